#include "rt_impl.h"
#include "rt_prefix.h"

static struct rt_model *
rt_model (struct rt_table *table, const char *name)
{
  struct rt_model *model = g_hash_table_lookup (table->models, name);

  if (model != NULL)
    return model;
  model = g_new0 (struct rt_model, 1);
  model->name = g_strdup (name);
  model->sorted = g_ptr_array_new ();
  for (int i = 0; i < RT_RANK_COUNT; i++)
    model->ranks[i] = g_ptr_array_new ();
  g_hash_table_insert (table->models, model->name, model);
  return model;
}

static struct rt_replica *
rt_replica (const struct rt_endpoint *endpoint, const struct rt_model *model)
{
  for (guint i = 0; i < endpoint->replicas->len; i++)
    {
      struct rt_replica *replica = g_ptr_array_index (endpoint->replicas, i);

      if (replica->model == model)
        return replica;
    }
  return NULL;
}

static void
rt_set_ready (struct rt_replica *replica, bool ready)
{
  if (replica->ready == ready)
    return;
  replica->ready = ready;
  replica->model->replicas_changed = true;
  if (ready)
    rt_list_add (replica);
  else
    rt_list_remove (replica);
}

/* Begin to apply a view of the controller with fencing number FENCE.  */
void
rt_view_begin (struct rt_table *table, uint64_t fence)
{
  GHashTableIter iter;
  gpointer value;

  table->fence = fence;
  g_hash_table_iter_init (&iter, table->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct rt_endpoint *endpoint = value;

      for (guint i = 0; i < endpoint->replicas->len; i++)
        {
          struct rt_replica *r = g_ptr_array_index (endpoint->replicas, i);

          r->in_view = false;
        }
    }
}

/* Apply a ready replica of MODEL at ADDRESS.  A replica that the controller
   has quiesced by rt_quiesce stays unused until a view shows it as not ready
   or comes from a later controller, as the view may be older than the
   call.  */
void
rt_view_ready (struct rt_table *table, const char *model, const char *address)
{
  struct rt_endpoint *endpoint = rt_endpoint (table, address);
  struct rt_model *of = rt_model (table, model);
  struct rt_replica *replica = rt_replica (endpoint, of);

  if (replica == NULL)
    {
      replica = g_new0 (struct rt_replica, 1);
      replica->endpoint = endpoint;
      replica->model = of;
      g_ptr_array_add (endpoint->replicas, replica);
    }
  replica->in_view = true;
  if (replica->quiesced && table->fence <= replica->quiesced_fence)
    return;
  replica->quiesced = false;
  rt_set_ready (replica, true);
}

static void
rt_remove_unseen (struct rt_endpoint *endpoint)
{
  for (guint i = endpoint->replicas->len; i > 0; i--)
    {
      struct rt_replica *replica
          = g_ptr_array_index (endpoint->replicas, i - 1);

      if (replica->in_view)
        continue;
      rt_set_ready (replica, false);
      replica->quiesced = false;
      if (replica->in_flight == 0)
        g_ptr_array_remove_index_fast (endpoint->replicas, i - 1);
    }
}

static void
rt_sort_replicas (struct rt_model *model)
{
  g_ptr_array_set_size (model->sorted, 0);
  for (int rank = 0; rank < RT_RANK_COUNT; rank++)
    for (guint i = 0; i < model->ranks[rank]->len; i++)
      g_ptr_array_add (model->sorted,
                       g_ptr_array_index (model->ranks[rank], i));
  rt_prefix_sort (model->sorted);
  model->replicas_changed = false;
}

/* End a view: replicas that it did not contain as ready are no longer
   selected.  */
void
rt_view_end (struct rt_table *table)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rt_remove_unseen (value);
  g_hash_table_iter_init (&iter, table->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct rt_model *)value)->replicas_changed)
      rt_sort_replicas (value);
}

/* Set the model of ADAPTER to MODEL; NULL: ADAPTER is itself a model.  */
void
rt_set_base (struct rt_table *table, const char *adapter, const char *model)
{
  rt_model (table, adapter)->base
      = model == NULL ? NULL : rt_model (table, model);
}

/* Quiesce REPLICA and return its requests in flight.  A replica that is not
   ready in the newest view must not be marked: it would stay unused after the
   controller makes it ready again.  */
static uint32_t
rt_replica_quiesce (struct rt_table *table, struct rt_replica *replica)
{
  if (!replica->ready)
    return replica->in_flight;
  rt_set_ready (replica, false);
  rt_sort_replicas (replica->model);
  replica->quiesced = true;
  replica->quiesced_fence = table->fence;
  return replica->in_flight;
}

/* Stop selecting the replica of MODEL at ADDRESS and, if MODEL is not an
   adapter, its adapters there; return the number of requests in flight on
   them.  */
uint32_t
rt_quiesce (struct rt_table *table, const char *model, const char *address)
{
  struct rt_endpoint *endpoint = rt_endpoint (table, address);
  const struct rt_model *of = rt_model (table, model);
  uint32_t in_flight = 0;

  /* Before the first view the table does not contain the replica.  */
  if (table->fence == 0)
    rt_view_ready (table, model, address);
  for (guint i = 0; i < endpoint->replicas->len; i++)
    {
      struct rt_replica *replica = g_ptr_array_index (endpoint->replicas, i);

      if (replica->model == of || replica->model->base == of)
        in_flight += rt_replica_quiesce (table, replica);
    }
  return in_flight;
}
