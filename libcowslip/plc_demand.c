#include <math.h>

#include "plc_adapter.h"

/* Instances repeat their reports with each heartbeat, once a second.  */
#define PLC_DEMAND_TTL_MS 3500
/* Shorter gaps never cause an unload, and reports arrive once a second.  */
#define PLC_GAP_MIN_MS     2000
#define PLC_DEMAND_READ_MS 2000
/* Half-life of a request in the usage of its model.  */
#define PLC_USAGE_HALF_LIFE_US 4e6

/* Return the usage of MODEL: its number of requests, decayed exponentially
   with their age.  */
double
plc_model_usage (const struct plc *plc, const struct plc_model *model)
{
  double age_us = (double)(plc_now (plc) - model->usage_us);

  return model->usage * exp2 (-age_us / PLC_USAGE_HALF_LIFE_US);
}

static void
plc_record_usage (struct plc *plc, struct plc_model *model, uint32_t arrivals)
{
  uint64_t now_us = plc_now (plc);
  uint64_t gap_us = now_us - model->last_used_us;
  uint32_t shortest_ms = MAX (PLC_GAP_MIN_MS, model->keep_alive_min_ms);

  if (model->last_used_us != 0 && gap_us >= shortest_ms * PLC_US_PER_MS)
    plc_gaps_add (&model->gaps, gap_us);
  model->last_used_us = now_us;
  model->usage = plc_model_usage (plc, model) + arrivals;
  model->usage_us = now_us;
}

static void
plc_record_demand (struct plc *plc, GHashTable *demand_by_instance, char *key,
                   const struct plc_demand *demand)
{
  struct plc_instance_demand *report;

  if (demand->waiting == 0)
    {
      g_hash_table_remove (demand_by_instance, key);
      g_free (key);
      return;
    }
  report = g_new0 (struct plc_instance_demand, 1);
  report->waiting = demand->waiting;
  report->earliest_us = demand->earliest_us;
  report->priority = demand->priority;
  report->reported_us = plc_now (plc);
  g_hash_table_replace (demand_by_instance, key, report);
  plc_schedule_run (plc);
}

/* Read the engines of MODEL soon, because requests wait for it: an engine may
   have restarted and lost its replica, which only its state shows.  */
static void
plc_check_replicas (struct plc *plc, const struct plc_model *model)
{
  uint64_t due_us = plc_now (plc) + PLC_DEMAND_READ_MS * PLC_US_PER_MS;

  for (guint i = 0; i < model->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (model->slots, i);

      if (slot->state == PLC_LOADED)
        slot->engine->next_read_us = MIN (slot->engine->next_read_us, due_us);
    }
}

/* Replace the last report of INSTANCE for a model or adapter with DEMAND.
   Demand for an adapter counts for its model too.  Names that are not in the
   plan are ignored.  */
void
plc_update_demand (struct plc *plc, const char *instance,
                   const struct plc_demand *demand)
{
  struct plc_adapter *adapter
      = g_hash_table_lookup (plc->adapters, demand->model);
  struct plc_model *model = g_hash_table_lookup (plc->models, demand->model);

  if (adapter != NULL && adapter->planned)
    model = adapter->model;
  else
    adapter = NULL;
  if (model == NULL || !model->planned)
    return;
  if (demand->waiting > 0 || demand->arrivals > 0)
    plc_record_usage (plc, model, demand->arrivals);
  if (adapter != NULL && (demand->waiting > 0 || demand->arrivals > 0))
    adapter->last_used_us = plc_now (plc);
  if (demand->waiting > 0)
    plc_check_replicas (plc, model);
  if (adapter != NULL)
    plc_record_demand (plc, adapter->demand_by_instance, g_strdup (instance),
                       demand);
  plc_record_demand (plc, model->demand_by_instance,
                     adapter == NULL
                         ? g_strdup (instance)
                         : g_strdup_printf ("%s %s", instance, adapter->name),
                     demand);
}

/* Remove the expired reports from DEMAND_BY_INSTANCE and return the total of
   the others.  */
struct plc_demand_total
plc_compute_demand (const struct plc *plc, GHashTable *demand_by_instance)
{
  struct plc_demand_total total
      = { .earliest_us = UINT64_MAX, .priority = INT32_MIN };
  uint64_t now_us = plc_now (plc);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, demand_by_instance);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct plc_instance_demand *report = value;

      if (now_us >= report->reported_us + PLC_DEMAND_TTL_MS * PLC_US_PER_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      total.waiting += report->waiting;
      total.earliest_us = MIN (total.earliest_us, report->earliest_us);
      total.latest_us = MAX (total.latest_us, report->earliest_us);
      total.reported_us = MAX (total.reported_us, report->reported_us);
      total.priority = MAX (total.priority, report->priority);
    }
  return total;
}

/* Update the total demand for MODEL, including that for its adapters.  */
void
plc_model_update_demand (struct plc *plc, struct plc_model *model)
{
  struct plc_demand_total total
      = plc_compute_demand (plc, model->demand_by_instance);

  model->waiting = total.waiting;
  model->earliest_us = total.earliest_us;
  model->latest_us = total.latest_us;
  model->priority = total.priority;
}
