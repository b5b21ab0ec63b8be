#include <string.h>

#include "res_impl.h"

/* Maximum adapters being fetched by one engine, which refuses more, and by all
   engines, above which loads become slower.  */
#define RES_INCOMING_MAX     4
#define RES_INCOMING_ALL_MAX 30
/* An adapter is not evicted within this time after its last use.  */
#define RES_ADAPTER_MIN_IDLE_MS 700

static bool
res_is_incoming (const struct res_engine *engine, const struct res_item *item)
{
  if (res_adapter_ordered (engine, item->model, item->adapter))
    return true;
  return engine->adapter_order != 0 && engine->adapter_kind == PRT_LOAD
         && g_str_equal (engine->adapter_model, item->model)
         && g_str_equal (engine->adapter, item->adapter);
}

static uint32_t
res_incoming_total (struct res_table *table)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t total = 0;

  g_hash_table_iter_init (&iter, table->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    total += ((struct res_engine *)value)->incoming->len;
  return total;
}

static bool
res_adapter_fits (struct res_table *table, const struct rte_service *service,
                  struct flt_endpoint *endpoint, const struct rte_model *model)
{
  return res_adapter_count (table, endpoint) < service->adapter_slots
         && res_used_mb (table, service, endpoint) + model->adapter_mb
                <= service->weights_mb;
}

/* Return the engine that should load the adapter of ITEM: one that holds its
   model, if possible with capacity for the adapter, with the fewest adapters.
   Return NULL if none can take an order now.  */
static struct flt_endpoint *
res_adapter_engine (struct res_table *table, const struct rte_service *service,
                    const struct rte_model *model, const struct res_item *item)
{
  const GPtrArray *holders = res_replica_holders (table, item->model);
  struct flt_endpoint *best = NULL;
  bool best_fits = false;

  for (guint i = 0; i < holders->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (holders, i);
      struct res_engine *engine;
      bool fits;

      engine = res_engine (table, endpoint);
      /* An engine refuses orders while one for a model is in progress.  */
      if (!res_can_order (table, engine, endpoint) || engine->phase != RES_IDLE
          || engine->incoming->len >= RES_INCOMING_MAX)
        continue;
      fits = res_adapter_fits (table, service, endpoint, model);
      if (best == NULL || (fits && !best_fits)
          || (fits == best_fits
              && res_adapter_count (table, endpoint)
                     < res_adapter_count (table, best)))
        {
          best = endpoint;
          best_fits = fits;
        }
    }
  return best;
}

/* Return whether an engine holds the adapter of ITEM or is fetching it.  If
   one holds it, repeat the notice, which the waiting instance has missed.  */
static bool
res_adapter_is_placed (struct res_table *table, struct res_item *item)
{
  const GPtrArray *holders = res_replica_holders (table, item->model);

  for (guint i = 0; i < holders->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (holders, i);
      const struct res_engine *engine = res_engine (table, endpoint);

      if (flt_holds (table->fleet, endpoint, item->model, item->adapter))
        {
          res_notify_again (table, item, endpoint);
          return true;
        }
      if (res_is_incoming (engine, item))
        return true;
    }
  return false;
}

/* Evict the least recently used adapter of ENDPOINT, if one has been idle for
   long enough.  */
static void
res_evict_adapter (struct res_table *table, struct flt_endpoint *endpoint)
{
  const GPtrArray *models = endpoint->reported.models;
  const struct flt_model *owner = NULL;
  const char *oldest = NULL;
  uint64_t oldest_us
      = res_now (table) - RES_ADAPTER_MIN_IDLE_MS * RES_US_PER_MS;

  for (guint i = 0; i < models->len; i++)
    {
      const struct flt_model *model = g_ptr_array_index (models, i);

      for (guint j = 0; j < model->adapters->len; j++)
        {
          const char *adapter = g_ptr_array_index (model->adapters, j);
          char *name = g_strconcat (model->name, "/", adapter, NULL);
          const struct res_item *item
              = g_hash_table_lookup (table->items, name);
          uint64_t used_us = item == NULL ? 0 : item->used_us;

          if (used_us < oldest_us && (item == NULL || item->active == 0))
            {
              oldest_us = used_us;
              oldest = adapter;
              owner = model;
            }
          g_free (name);
        }
    }
  if (oldest != NULL)
    res_order_adapter (table, res_engine (table, endpoint), PRT_UNLOAD,
                       owner->name, oldest, "adapter places full");
}

static gint
res_compare_wait (gconstpointer a, gconstpointer b)
{
  const struct res_item *x = a;
  const struct res_item *y = b;

  return x->waiting_since_us < y->waiting_since_us   ? -1
         : x->waiting_since_us > y->waiting_since_us ? 1
                                                     : 0;
}

static GList *
res_awaited_adapters (struct res_table *table)
{
  GHashTableIter iter;
  gpointer value;
  GList *awaited = NULL;

  g_hash_table_iter_init (&iter, table->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct res_item *item = value;

      if (item->adapter != NULL && item->waiting > 0)
        awaited = g_list_prepend (awaited, value);
    }
  return awaited;
}

/* Order the loads of adapters of SERVICE for which requests wait, the longest
   wait first.  Adapter loads take milliseconds, so serving them in the order
   of arrival is best although an engine executes one order at a time.  */
void
res_step_adapters (struct res_table *table, const struct rte_service *service)
{
  GList *items = g_list_sort (res_awaited_adapters (table), res_compare_wait);

  for (GList *each = items; each != NULL; each = each->next)
    {
      struct res_item *item = each->data;
      const struct rte_model *model = rte_model (service, item->model);
      struct flt_endpoint *endpoint;

      if (model == NULL || res_incoming_total (table) >= RES_INCOMING_ALL_MAX
          || res_adapter_is_placed (table, item))
        continue;
      endpoint = res_adapter_engine (table, service, model, item);
      if (endpoint == NULL)
        continue;
      if (res_adapter_fits (table, service, endpoint, model))
        res_order_adapter (table, res_engine (table, endpoint), PRT_LOAD,
                           item->model, item->adapter, "adapter waited for");
      else
        res_evict_adapter (table, endpoint);
    }
  g_list_free (items);
}
