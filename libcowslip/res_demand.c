#include <math.h>
#include <string.h>

#include "res_impl.h"

/* Time constant of the moving average of the request rate.  Demand moves to
   other models within 4 to 6 s; a swing of the total traffic takes 13 s.  */
#define RES_RATE_TIME_CONSTANT_S 8.0
/* The same for the rate that decides on further replicas of a busy model,
   which are useful only until the demand moves on.  */
#define RES_RECENT_TIME_CONSTANT_S 2.0
/* Demand of an instance that has not reported for this long is dropped.  */
#define RES_REPORT_TIMEOUT_MS 4500
#define RES_US_PER_S          1e6
/* Minimum interval between repeated notices about a model or adapter.  */
#define RES_NOTIFY_INTERVAL_MS 300
/* If requests still wait after a repeated notice, the engine's report is read
   again, at most once in this time.  */
#define RES_VERIFY_INTERVAL_MS 1000

/* Return the item called NAME (MODEL or MODEL/ADAPTER), creating it if
   needed.  */
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

/* Return RATE of ITEM, a moving average with TIME_CONSTANT_S, decayed to the
   present time.  */
static double
res_decayed_rate (const struct res_table *table, const struct res_item *item,
                  double rate, double time_constant_s)
{
  double age_s = (double)(res_now (table) - item->rate_us) / RES_US_PER_S;

  return rate == 0 ? 0 : rate * exp (-age_s / time_constant_s);
}

static void
res_decay_rates (const struct res_table *table, struct res_item *item)
{
  item->step_rate
      = res_decayed_rate (table, item, item->rate, RES_RATE_TIME_CONSTANT_S);
  item->step_recent_rate = res_decayed_rate (table, item, item->recent_rate,
                                             RES_RECENT_TIME_CONSTANT_S);
}

/* Return the requests per second for NAME, as of this step.  */
double
res_rate (const struct res_table *table, const char *name)
{
  const struct res_item *item = g_hash_table_lookup (table->items, name);

  return item == NULL ? 0 : item->step_rate;
}

/* Begin a report of INSTANCE, which replaces its previous one.  */
void
res_demand_begin (struct res_table *table, const char *instance)
{
  struct res_instance *existing
      = g_hash_table_lookup (table->instances, instance);

  if (existing == NULL)
    {
      existing = g_new0 (struct res_instance, 1);
      existing->reports
          = g_array_new (FALSE, TRUE, sizeof (struct res_report));
      g_hash_table_insert (table->instances, g_strdup (instance), existing);
    }
  g_array_set_size (existing->reports, 0);
  existing->reported_us = res_now (table);
}

/* Add DEMAND to the current report of INSTANCE.  */
void
res_demand_add (struct res_table *table, const char *instance,
                const struct res_demand *demand)
{
  struct res_instance *existing
      = g_hash_table_lookup (table->instances, instance);
  struct res_item *item = res_item (table, demand->name);
  struct res_report report
      = { .item = item, .active = demand->active, .waiting = demand->waiting };
  uint64_t now_us = res_now (table);
  uint64_t oldest_us = demand->oldest_ms * RES_US_PER_MS;

  report.waiting_since_us = now_us > oldest_us ? now_us - oldest_us : 1;
  g_array_append_val (existing->reports, report);
  res_decay_rates (table, item);
  item->rate = item->step_rate + demand->arrivals / RES_RATE_TIME_CONSTANT_S;
  item->recent_rate
      = item->step_recent_rate + demand->arrivals / RES_RECENT_TIME_CONSTANT_S;
  item->rate_us = now_us;
  if (demand->arrivals > 0 || demand->active > 0 || demand->waiting > 0)
    item->used_us = now_us;
}

/* Add WAITING requests to those that wait for ITEM, the oldest since
   SINCE_US.  */
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
res_add_report (const struct res_report *report)
{
  struct res_item *item = report->item;

  item->active += report->active;
  res_add_waiting (item, report->waiting, report->waiting_since_us);
}

/* Requests that wait for an adapter also wait for its model.  */
static void
res_add_to_model (struct res_table *table, const struct res_item *item)
{
  struct res_item *model = g_hash_table_lookup (table->items, item->model);

  if (item->adapter != NULL && model != NULL)
    res_add_waiting (model, item->waiting, item->waiting_since_us);
}

/* Sum up the reports of the instances.  */
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
      res_decay_rates (table, item);
      if (item->adapter != NULL)
        (void)res_item (table, item->model);
    }
  g_hash_table_iter_init (&iter, table->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct res_instance *instance = value;

      if (now_us - instance->reported_us
          > RES_REPORT_TIMEOUT_MS * RES_US_PER_MS)
        g_array_set_size (instance->reports, 0);
      for (guint i = 0; i < instance->reports->len; i++)
        res_add_report (
            &g_array_index (instance->reports, struct res_report, i));
    }
  for (GList *each = items; each != NULL; each = each->next)
    res_add_to_model (table, each->data);
  g_list_free (items);
}

/* Read the report of ENDPOINT if the last notice about ITEM has not ended the
   wait: the engine may no longer hold it.  */
static void
res_verify (struct res_table *table, const struct res_item *item,
            struct flt_endpoint *endpoint)
{
  struct res_engine *engine = res_engine (table, endpoint);
  uint64_t now_us = res_now (table);

  if (now_us - item->notified_us >= 2 * RES_NOTIFY_INTERVAL_MS * RES_US_PER_MS
      || engine->phase != RES_IDLE || engine->refreshing
      || now_us - engine->verified_us < RES_VERIFY_INTERVAL_MS * RES_US_PER_MS)
    return;
  engine->verified_us = now_us;
  res_refresh (table, engine);
}

/* Repeat the notice that ENDPOINT holds ITEM, for which requests wait.  */
void
res_notify_again (struct res_table *table, struct res_item *item,
                  struct flt_endpoint *endpoint)
{
  uint64_t now_us = res_now (table);

  if (now_us - item->notified_us < RES_NOTIFY_INTERVAL_MS * RES_US_PER_MS)
    return;
  res_verify (table, item, endpoint);
  item->notified_us = now_us;
  table->callbacks.notice (table->arg, endpoint->entry.id, FLT_LOADED,
                           item->model, item->adapter);
}

/* Return whether the last report of INSTANCE has demand for MODEL or its
   adapters.  Other instances need no notices and learn from entries what
   engines hold.  */
bool
res_has_demand (struct res_table *table, const char *instance,
                const char *model)
{
  const struct res_instance *existing
      = g_hash_table_lookup (table->instances, instance);

  for (guint i = 0; existing != NULL && i < existing->reports->len; i++)
    if (g_str_equal (g_array_index (existing->reports, struct res_report, i)
                         .item->model,
                     model))
      return true;
  return false;
}
