#include "res_impl.h"

static void
res_item_free (gpointer data)
{
  struct res_item *item = data;

  g_free (item->name);
  g_free (item->model);
  g_free (item->adapter);
  g_free (item);
}

static void
res_instance_free (gpointer data)
{
  struct res_instance *instance = data;

  g_array_free (instance->reports, TRUE);
  g_free (instance);
}

static void
res_holders_free (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

/* Return a table for the engines of FLEET.  CALLBACKS are called with ARG.  */
struct res_table *
res_new (struct tm_service *tm, struct flt_fleet *fleet,
         const struct res_callbacks *callbacks, void *arg)
{
  struct res_table *table = g_new0 (struct res_table, 1);

  table->tm = tm;
  table->fleet = fleet;
  table->callbacks = *callbacks;
  table->store_max = RES_STORE_LOADS_INITIAL;
  table->arg = arg;
  table->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, res_engine_free);
  table->items
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, res_item_free);
  table->available = g_ptr_array_new ();
  table->replicas = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           res_holders_free);
  table->no_engines = g_ptr_array_new ();
  table->copies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         res_holders_free);
  table->pending
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  table->instances = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            res_instance_free);
  return table;
}

/* Free TABLE.  Pending orders and refreshes must not be completed after
   that.  */
void
res_free (struct res_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->engines);
  g_hash_table_destroy (table->instances);
  g_hash_table_destroy (table->items);
  g_hash_table_destroy (table->replicas);
  g_hash_table_destroy (table->pending);
  g_hash_table_destroy (table->copies);
  g_ptr_array_free (table->no_engines, TRUE);
  g_ptr_array_free (table->available, TRUE);
  g_free (table);
}

/* Use CONFIG, which must stay valid until the next call.  */
void
res_configure (struct res_table *table, const struct rte_config *config)
{
  table->config = config;
  /* Drop models that are no longer configured.  */
  g_hash_table_remove_all (table->copies);
  g_hash_table_remove_all (table->replicas);
  table->copies_valid = false;
}

/* Start a term as the leader.  The state of engines from an earlier term is
   discarded; reported demand is kept.  */
void
res_start_term (struct res_table *table)
{
  g_hash_table_remove_all (table->engines);
}

static void
res_step_engines (struct res_table *table)
{
  GPtrArray *all = flt_all (table->fleet);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      const struct rte_service *service
          = rte_service (table->config, endpoint->entry.service);

      if (service != NULL && service->engines)
        res_engine_step (table, res_engine (table, endpoint));
    }
  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (res_endpoint (table, value) == NULL)
      g_hash_table_iter_remove (&iter);
}

/* Make the decisions that are due and send the resulting orders.  */
void
res_step (struct res_table *table)
{
  if (table->config == NULL)
    return;
  res_step_engines (table);
  res_sum_demand (table);
  for (guint i = 0; i < table->config->services->len; i++)
    {
      const struct rte_service *service
          = g_ptr_array_index (table->config->services, i);

      if (!service->engines || !table->callbacks.may_order (table->arg))
        continue;
      res_count_replicas (table, service);
      res_step_adapters (table, service);
      res_step_models (table, service);
    }
}
