#include "dsp_impl.h"

void
dsp_model_free (gpointer data)
{
  struct dsp_model *model = data;

  g_free (model->base);
  g_free (model);
}

/* Begin a new configuration: the following calls add all of its endpoints and
   models.  */
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
  if (budget == 0 && found->availability != ADM_READY)
    found->availability = ADM_NONE;
  else if (budget > 0 && found->availability == ADM_NONE)
    found->availability = ADM_UNKNOWN;
}

/* Configure MODEL with up to BUDGET replicas in this zone.  */
void
dsp_add_model (struct dsp *dsp, const char *model, uint32_t budget)
{
  dsp_add (dsp, model, NULL, budget);
}

/* Configure ADAPTER, which can be loaded on the replicas of MODEL, of which
   this zone may have BUDGET.  Requests for it are routed and queued like those
   for a model.  */
void
dsp_add_adapter (struct dsp *dsp, const char *adapter, const char *model,
                 uint32_t budget)
{
  dsp_add (dsp, adapter, model, budget);
}

/* End a new configuration: refuse requests for models that it does not
   contain, and remove endpoints that it does not contain from the health
   checks.  */
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
        model->availability = ADM_NONE;
      adm_set_availability (dsp->queues, key, model->availability,
                            model->ready_us);
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

static enum adm_availability
dsp_replica_availability (const struct vw_replica *replica)
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
      /* If set, the time is the earliest at which a load could complete.  */
      return replica->ready_us > 0 ? ADM_EXPECTED : ADM_UNKNOWN;
    case VW_QUIESCING:
    case VW_DOUBTFUL:
      break;
    }
  return ADM_UNKNOWN;
}

/* Merge one replica of the view into the availability of MODEL: the best
   replica determines it.  */
static void
dsp_merge_replica (struct dsp_model *model, const struct vw_replica *replica)
{
  static const uint8_t value[] = { [ADM_NONE] = 0,
                                   [ADM_BLOCKED] = 1,
                                   [ADM_UNKNOWN] = 2,
                                   [ADM_EXPECTED] = 3,
                                   [ADM_READY] = 4 };
  enum adm_availability availability = dsp_replica_availability (replica);

  if (availability == ADM_EXPECTED && model->availability == ADM_EXPECTED)
    model->ready_us = MIN (model->ready_us, replica->ready_us);
  else if (availability == ADM_EXPECTED
           && value[model->availability] < value[availability])
    model->ready_us = replica->ready_us;
  if (value[availability] > value[model->availability])
    model->availability = availability;
}

/* An adapter that is not loaded anywhere can be loaded once its model is;
   derive its availability from the model.  */
static void
dsp_inherit_availability (const struct dsp *dsp, struct dsp_model *adapter)
{
  const struct dsp_model *base
      = g_hash_table_lookup (dsp->models, adapter->base);

  if (base == NULL || adapter->availability != ADM_NONE)
    return;
  adapter->availability
      = base->availability == ADM_READY ? ADM_UNKNOWN : base->availability;
  adapter->ready_us = base->ready_us;
}

/* Apply VIEW, the newest view of this instance's zone.  */
void
dsp_apply_view (struct dsp *dsp, const struct vw_view *view)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct dsp_model *)value)->availability = ADM_NONE;
  rt_view_begin (dsp->routes, view->fence);
  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);
      struct dsp_model *model = g_hash_table_lookup (dsp->models, r->model);

      if (r->state == VW_READY)
        rt_view_ready (dsp->routes, r->model, r->endpoint);
      if (model != NULL)
        dsp_merge_replica (model, r);
    }
  rt_view_end (dsp->routes);
  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct dsp_model *)value)->base != NULL)
      dsp_inherit_availability (dsp, value);
  g_hash_table_iter_init (&iter, dsp->models);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct dsp_model *model = value;

      /* The controller may not have pinned a replica slot to an engine yet. */
      if (model->availability == ADM_NONE && model->budget > 0)
        model->availability = ADM_UNKNOWN;
      adm_set_availability (dsp->queues, key, model->availability,
                            model->ready_us);
    }
  adm_wake_all (dsp->queues);
}
