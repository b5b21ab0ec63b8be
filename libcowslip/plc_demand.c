#include <math.h>

#include "plc_adapter.h"

/* Reports are repeated with each heartbeat, once a second.  */
#define PLC_WAIT_VALID_MS 3500
/* Shorter gaps never unload a replica, and reports come once a second.  */
#define PLC_GAP_MIN_MS      2000
#define PLC_WAITING_READ_MS 2000
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

static void
plc_note_wait (struct plc *plc, GHashTable *demands, char *key,
               const struct plc_demand *demand)
{
  struct plc_wait *wait;

  if (demand->waiting == 0)
    {
      g_hash_table_remove (demands, key);
      g_free (key);
      return;
    }
  wait = g_new0 (struct plc_wait, 1);
  wait->waiting = demand->waiting;
  wait->earliest_us = demand->earliest_us;
  wait->priority = demand->priority;
  wait->heard_us = plc_now (plc);
  g_hash_table_replace (demands, key, wait);
  plc_wake (plc);
}

/* Requests wait for MODEL although replicas count as loaded: an engine may
   have restarted without it, which only its state tells.  */
static void
plc_check_replicas (struct plc *plc, const struct plc_model *model)
{
  uint64_t due_us = plc_now (plc) + PLC_WAITING_READ_MS * PLC_US_PER_MS;

  for (guint i = 0; i < model->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (model->slots, i);

      if (slot->state == PLC_LOADED)
        slot->engine->next_read_us = MIN (slot->engine->next_read_us, due_us);
    }
}

/* INSTANCE reports DEMAND, which replaces its last report for the model or
   adapter.  Demand for an adapter is also demand for its model.  Names that
   are not in the plan are ignored.  */
void
plc_demanded (struct plc *plc, const char *instance,
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
    plc_note_use (plc, model, demand->arrivals);
  if (adapter != NULL && (demand->waiting > 0 || demand->arrivals > 0))
    adapter->last_used_us = plc_now (plc);
  if (demand->waiting > 0)
    plc_check_replicas (plc, model);
  if (adapter != NULL)
    plc_note_wait (plc, adapter->demands, g_strdup (instance), demand);
  plc_note_wait (plc, model->demands,
                 adapter == NULL
                     ? g_strdup (instance)
                     : g_strdup_printf ("%s %s", instance, adapter->name),
                 demand);
}

/* Sum up DEMANDS over all instances that reported lately, and forget the older
   reports.  */
struct plc_need
plc_sum_waits (const struct plc *plc, GHashTable *demands)
{
  struct plc_need need = { .earliest_us = UINT64_MAX, .priority = INT32_MIN };
  uint64_t now_us = plc_now (plc);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, demands);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct plc_wait *wait = value;

      if (now_us >= wait->heard_us + PLC_WAIT_VALID_MS * PLC_US_PER_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      need.waiting += wait->waiting;
      need.earliest_us = MIN (need.earliest_us, wait->earliest_us);
      need.latest_us = MAX (need.latest_us, wait->earliest_us);
      need.heard_us = MAX (need.heard_us, wait->heard_us);
      need.priority = MAX (need.priority, wait->priority);
    }
  return need;
}

/* Sum up the demand for MODEL, that for its adapters included.  */
void
plc_sum_demand (struct plc *plc, struct plc_model *model)
{
  struct plc_need need = plc_sum_waits (plc, model->demands);

  model->waiting = need.waiting;
  model->earliest_us = need.earliest_us;
  model->latest_us = need.latest_us;
  model->priority = need.priority;
}
