#include <math.h>
#include <string.h>

#include "res_impl.h"

/* Time constant of the average rate of requests.  Demand moves to other models
   within 4 to 6 seconds, and a swing of the traffic takes 13.  */
#define RES_RATE_S 8.0
/* The demand of an instance that is no longer heard counts this long.  */
#define RES_HEARD_MS 4500
#define RES_US_PER_S 1e6
/* News are repeated at most this often to instances that missed them.  */
#define RES_REPEAT_MS 300

/* Return the item called NAME, MODEL or MODEL/ADAPTER, made if need be.  */
struct res_item *
res_item (struct res_table *table, const char *name)
{
  struct res_item *item = g_hash_table_lookup (table->items, name);
  const char *slash = strchr (name, '/');

  if (item != NULL)
    return item;
  item = g_new0 (struct res_item, 1);
  item->name = g_strdup (name);
  item->model = slash == NULL ? g_strdup (name)
                              : g_strndup (name, (gsize)(slash - name));
  item->adapter = slash == NULL ? NULL : g_strdup (slash + 1);
  item->rate_us = res_now (table);
  g_hash_table_insert (table->items, item->name, item);
  return item;
}

static double
res_decayed (const struct res_table *table, const struct res_item *item)
{
  double age_s = (double)(res_now (table) - item->rate_us) / RES_US_PER_S;

  return item->rate * exp (-age_s / RES_RATE_S);
}

/* Return the requests per second for NAME.  */
double
res_rate (const struct res_table *table, const char *name)
{
  const struct res_item *item = g_hash_table_lookup (table->items, name);

  return item == NULL ? 0 : res_decayed (table, item);
}

/* A report of INSTANCE begins; it replaces the one before.  */
void
res_demand_begin (struct res_table *table, const char *instance)
{
  struct res_instance *known
      = g_hash_table_lookup (table->instances, instance);

  if (known == NULL)
    {
      known = g_new0 (struct res_instance, 1);
      known->shares = g_array_new (FALSE, TRUE, sizeof (struct res_share));
      g_hash_table_insert (table->instances, g_strdup (instance), known);
    }
  g_array_set_size (known->shares, 0);
  known->heard_us = res_now (table);
}

/* INSTANCE reports DEMAND.  */
void
res_demanded (struct res_table *table, const char *instance,
              const struct res_demand *demand)
{
  struct res_instance *known
      = g_hash_table_lookup (table->instances, instance);
  struct res_item *item = res_item (table, demand->name);
  struct res_share share
      = { .item = item, .active = demand->active, .waiting = demand->waiting };
  uint64_t now_us = res_now (table);
  uint64_t oldest_us = demand->oldest_ms * RES_US_PER_MS;

  share.waiting_since_us = now_us > oldest_us ? now_us - oldest_us : 1;
  g_array_append_val (known->shares, share);
  item->rate = res_decayed (table, item) + demand->arrivals / RES_RATE_S;
  item->rate_us = now_us;
  if (demand->arrivals > 0 || demand->active > 0 || demand->waiting > 0)
    item->used_us = now_us;
}

/* WAITING more requests wait for ITEM, the oldest since SINCE_US.  */
static void
res_add_waiting (struct res_item *item, uint32_t waiting, uint64_t since_us)
{
  if (waiting == 0)
    return;
  if (item->waiting == 0 || since_us < item->waiting_since_us)
    item->waiting_since_us = since_us;
  item->waiting += waiting;
}

static void
res_add_share (const struct res_share *share)
{
  struct res_item *item = share->item;

  item->active += share->active;
  res_add_waiting (item, share->waiting, share->waiting_since_us);
}

/* An adapter needs its model as well.  */
static void
res_add_to_model (struct res_table *table, const struct res_item *item)
{
  struct res_item *model = g_hash_table_lookup (table->items, item->model);

  if (item->adapter != NULL && model != NULL)
    res_add_waiting (model, item->waiting, item->waiting_since_us);
}

/* Add the reports of the instances up.  */
void
res_sum_demand (struct res_table *table)
{
  uint64_t now_us = res_now (table);
  GList *items = g_hash_table_get_values (table->items);
  GHashTableIter iter;
  gpointer value;

  for (GList *each = items; each != NULL; each = each->next)
    {
      struct res_item *item = each->data;

      item->active = 0;
      item->waiting = 0;
      if (item->adapter != NULL)
        (void)res_item (table, item->model);
    }
  g_hash_table_iter_init (&iter, table->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct res_instance *instance = value;

      if (now_us - instance->heard_us > RES_HEARD_MS * RES_US_PER_MS)
        g_array_set_size (instance->shares, 0);
      for (guint i = 0; i < instance->shares->len; i++)
        res_add_share (&g_array_index (instance->shares, struct res_share, i));
    }
  for (GList *each = items; each != NULL; each = each->next)
    res_add_to_model (table, each->data);
  g_list_free (items);
}

/* Requests wait for ITEM, which ENDPOINT holds: tell the instances again.  */
void
res_repeat_ready (struct res_table *table, struct res_item *item,
                  const struct flt_endpoint *endpoint)
{
  uint64_t now_us = res_now (table);

  if (now_us - item->told_us < RES_REPEAT_MS * RES_US_PER_MS)
    return;
  item->told_us = now_us;
  table->callbacks.news (table->arg, endpoint->entry.id, FLT_READY,
                         item->model, item->adapter);
}

/* Return whether INSTANCE had requests for MODEL or its adapters in its last
   report.  The others learn from announcements what engines hold.  */
bool
res_is_interested (struct res_table *table, const char *instance,
                   const char *model)
{
  const struct res_instance *known
      = g_hash_table_lookup (table->instances, instance);

  for (guint i = 0; known != NULL && i < known->shares->len; i++)
    if (g_str_equal (
            g_array_index (known->shares, struct res_share, i).item->model,
            model))
      return true;
  return false;
}
