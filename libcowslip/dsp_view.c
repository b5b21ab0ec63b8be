#include "dsp_impl.h"

/* Free the model DATA.  */
void
dsp_model_free (gpointer data)
{
  struct dsp_model *model = data;

  g_free (model->base);
  g_free (model);
}

/* Begin to name all endpoints and models of a new configuration.  */
void
dsp_configure_begin (struct dsp *dsp)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct dsp_model *)value)->configured = false;
  g_hash_table_iter_init (&iter, rt_endpoints (dsp->routes));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct rt_endpoint *)value)->configured = false;
}

static void
dsp_add (struct dsp *dsp, const char *model, const char *base, uint32_t budget)
{
  struct dsp_model *found = g_hash_table_lookup (dsp->models, model);

  if (found == NULL)
    {
      found = g_new0 (struct dsp_model, 1);
      g_hash_table_insert (dsp->models, g_strdup (model), found);
    }
  g_free (found->base);
  found->base = g_strdup (base);
  rt_set_base (dsp->routes, model, base);
  found->budget = budget;
  found->configured = true;
  if (budget == 0 && found->outlook != ADM_READY)
    found->outlook = ADM_NONE;
  else if (budget > 0 && found->outlook == ADM_NONE)
    found->outlook = ADM_UNKNOWN;
}

/* MODEL may have BUDGET replicas in this zone.  */
void
dsp_add_model (struct dsp *dsp, const char *model, uint32_t budget)
{
  dsp_add (dsp, model, NULL, budget);
}

/* ADAPTER can be loaded on the replicas of MODEL, of which this zone may have
   BUDGET.  Requests for it are routed and wait like those for a model.  */
void
dsp_add_adapter (struct dsp *dsp, const char *adapter, const char *model,
                 uint32_t budget)
{
  dsp_add (dsp, adapter, model, budget);
}

/* The new configuration is complete: requests for other models are refused,
   and other endpoints no longer count for their pool.  */
void
dsp_configure_end (struct dsp *dsp)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct dsp_model *model = value;

      if (!model->configured)
        model->outlook = ADM_NONE;
      adm_set_outlook (dsp->queues, key, model->outlook, model->ready_us);
      if (!model->configured)
        g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, rt_endpoints (dsp->routes));
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (!((struct rt_endpoint *)value)->configured)
      {
        hlt_remove (dsp->health, key);
        rt_set_ejected (dsp->routes, value, false);
      }
  adm_wake_all (dsp->queues);
}

static enum adm_outlook
dsp_replica_outlook (const struct vw_replica *replica)
{
  switch (replica->state)
    {
    case VW_READY:
      return ADM_READY;
    case VW_BLOCKED:
      return ADM_BLOCKED;
    case VW_LOADING:
      return ADM_EXPECTED;
    case VW_COLD:
      /* A time here is the earliest at which a load could be ready.  */
      return replica->ready_us > 0 ? ADM_EXPECTED : ADM_UNKNOWN;
    case VW_QUIESCING:
    case VW_DOUBTFUL:
      break;
    }
  return ADM_UNKNOWN;
}

/* Take one replica of the view into account for MODEL: the best one counts. */
static void
dsp_fold (struct dsp_model *model, const struct vw_replica *replica)
{
  static const uint8_t value[] = { [ADM_NONE] = 0,
                                   [ADM_BLOCKED] = 1,
                                   [ADM_UNKNOWN] = 2,
                                   [ADM_EXPECTED] = 3,
                                   [ADM_READY] = 4 };
  enum adm_outlook outlook = dsp_replica_outlook (replica);

  if (outlook == ADM_EXPECTED && model->outlook == ADM_EXPECTED)
    model->ready_us = MIN (model->ready_us, replica->ready_us);
  else if (outlook == ADM_EXPECTED && value[model->outlook] < value[outlook])
    model->ready_us = replica->ready_us;
  if (value[outlook] > value[model->outlook])
    model->outlook = outlook;
}

/* An adapter that no engine holds can be loaded as soon as its model is.  */
static void
dsp_inherit (const struct dsp *dsp, struct dsp_model *adapter)
{
  const struct dsp_model *base
      = g_hash_table_lookup (dsp->models, adapter->base);

  if (base == NULL || adapter->outlook != ADM_NONE)
    return;
  adapter->outlook = base->outlook == ADM_READY ? ADM_UNKNOWN : base->outlook;
  adapter->ready_us = base->ready_us;
}

/* Take over VIEW, the newest of the own zone.  */
void
dsp_view (struct dsp *dsp, const struct vw_view *view)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct dsp_model *)value)->outlook = ADM_NONE;
  rt_view_begin (dsp->routes, view->fence);
  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);
      struct dsp_model *model = g_hash_table_lookup (dsp->models, r->model);

      if (r->state == VW_READY)
        rt_view_ready (dsp->routes, r->model, r->endpoint);
      if (model != NULL)
        dsp_fold (model, r);
    }
  rt_view_end (dsp->routes);
  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct dsp_model *)value)->base != NULL)
      dsp_inherit (dsp, value);
  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct dsp_model *model = value;

      /* The controller may not have pinned a slot yet.  */
      if (model->outlook == ADM_NONE && model->budget > 0)
        model->outlook = ADM_UNKNOWN;
      adm_set_outlook (dsp->queues, key, model->outlook, model->ready_us);
    }
  adm_wake_all (dsp->queues);
}
