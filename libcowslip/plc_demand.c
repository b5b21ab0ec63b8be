#include <math.h>

#include "plc_private.h"

/* Reports are repeated with each heartbeat, once a second.  */
#define PLC_WAIT_VALID_MS 3500
/* Shorter gaps never unload a replica, and reports come once a second.  */
#define PLC_GAP_MIN_MS 2000
/* A request counts half as use of its model after this time.  */
#define PLC_USE_HALF_US 4e6

/* Return how much MODEL is used: its requests, weighted down with their age.
 */
double
plc_model_use (const struct plc *plc, const struct plc_model *model)
{
  double age_us = (double)(plc_now (plc) - model->use_us);

  return model->use * exp2 (-age_us / PLC_USE_HALF_US);
}

static void
plc_note_use (struct plc *plc, struct plc_model *model, uint32_t arrivals)
{
  uint64_t now_us = plc_now (plc);
  uint64_t gap_us = now_us - model->last_used_us;
  uint32_t shortest_ms = MAX (PLC_GAP_MIN_MS, model->keep_alive_min_ms);

  if (model->last_used_us != 0 && gap_us >= shortest_ms * PLC_US_PER_MS)
    plc_gaps_add (&model->gaps, gap_us);
  model->last_used_us = now_us;
  model->use = plc_model_use (plc, model) + arrivals;
  model->use_us = now_us;
}

/* INSTANCE reports DEMAND, which replaces its last report for the model.
   Names that are not in the plan are ignored.  */
void
plc_demanded (struct plc *plc, const char *instance,
              const struct plc_demand *demand)
{
  struct plc_model *model = g_hash_table_lookup (plc->models, demand->model);
  struct plc_wait *wait;

  if (model == NULL || !model->planned)
    return;
  if (demand->waiting > 0 || demand->arrivals > 0)
    plc_note_use (plc, model, demand->arrivals);
  if (demand->waiting == 0)
    {
      g_hash_table_remove (model->demands, instance);
      return;
    }
  wait = g_new0 (struct plc_wait, 1);
  wait->waiting = demand->waiting;
  wait->earliest_us = demand->earliest_us;
  wait->priority = demand->priority;
  wait->heard_us = plc_now (plc);
  g_hash_table_replace (model->demands, g_strdup (instance), wait);
  plc_wake (plc);
}

/* Sum up the demand for MODEL over all instances that reported lately.  */
void
plc_sum_demand (struct plc *plc, struct plc_model *model)
{
  uint64_t now_us = plc_now (plc);
  GHashTableIter iter;
  gpointer value;

  model->waiting = 0;
  model->earliest_us = UINT64_MAX;
  model->latest_us = 0;
  model->priority = INT32_MIN;
  g_hash_table_iter_init (&iter, model->demands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct plc_wait *wait = value;

      if (now_us >= wait->heard_us + PLC_WAIT_VALID_MS * PLC_US_PER_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      model->waiting += wait->waiting;
      model->earliest_us = MIN (model->earliest_us, wait->earliest_us);
      model->latest_us = MAX (model->latest_us, wait->earliest_us);
      model->priority = MAX (model->priority, wait->priority);
    }
}
