#include <string.h>

#include "gw_impl.h"

/* Interval between two demand reports to the leader.  It averages rates over
   seconds, so more frequent reports would add nothing.  */
#define GW_DEMAND_INTERVAL_MS 500
/* With many instances each reports less often, so that the leader receives
   about this many reports per second.  */
#define GW_DEMAND_REPORTS_PER_S   64
#define GW_DEMAND_INTERVAL_MAX_MS 2000
/* A newly queued request is reported after this delay, together with those
   queued at the same time.  */
#define GW_DEMAND_DEBOUNCE_MS 4
/* Maximum number of names in one report.  */
#define GW_DEMAND_ITEMS_MAX 512

/* Return the demand for NAME, which is MODEL or MODEL/ADAPTER.  It is created
   if there is none.  */
struct gw_demand *
gw_demand (struct gw *gw, const char *name)
{
  struct gw_demand *demand = g_hash_table_lookup (gw->demand, name);

  if (demand != NULL)
    return demand;
  demand = g_new0 (struct gw_demand, 1);
  demand->name = g_strdup (name);
  g_hash_table_insert (gw->demand, demand->name, demand);
  return demand;
}

/* Free the struct gw_demand at DATA.  */
void
gw_demand_free (gpointer data)
{
  struct gw_demand *demand = data;

  g_free (demand->name);
  g_free (demand);
}

static uint32_t
gw_oldest_ms (const struct gw *gw, const struct gw_demand *demand)
{
  for (const GList *item = gw->waiting.head; item != NULL; item = item->next)
    {
      const struct gw_request *request = item->data;

      if (request->model_demand == demand || request->adapter_demand == demand)
        return (uint32_t)((tm_now_us (gw->tm) - request->state_us)
                          / GW_US_PER_MS);
    }
  return 0;
}

static uint32_t
gw_demand_interval_ms (const struct gw *gw)
{
  uint32_t shared_ms = gw_instance_count (gw) * 1000 / GW_DEMAND_REPORTS_PER_S;

  return CLAMP (shared_ms, GW_DEMAND_INTERVAL_MS, GW_DEMAND_INTERVAL_MAX_MS);
}

static void
gw_demand_send (void *arg)
{
  struct gw *gw = arg;
  cs_residency_item items[GW_DEMAND_ITEMS_MAX];
  cs_residency_report report = { { 0, items } };
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  gw->demand_scheduled = false;
  tm_after (gw->tm, &gw->demand_timer,
            gw_demand_interval_ms (gw) * GW_US_PER_MS, gw_demand_send, gw);
  g_hash_table_iter_init (&iter, gw->demand);
  while (count < GW_DEMAND_ITEMS_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gw_demand *demand = value;

      if (demand->arrivals == 0 && demand->active == 0 && demand->waiting == 0)
        {
          /* Names come from callers, so unused ones are removed.  */
          g_hash_table_iter_remove (&iter);
          continue;
        }
      /* One name that cannot be encoded would make the report invalid.  */
      if (strlen (demand->name) > COWSLIP_NAME_MAX)
        continue;
      items[count++] = (cs_residency_item){
        .name = demand->name,
        .arrivals = demand->arrivals,
        .active = demand->active - MIN (demand->waiting, demand->active),
        .waiting = demand->waiting,
        .oldest_ms = demand->waiting == 0 ? 0 : gw_oldest_ms (gw, demand)
      };
      demand->arrivals = 0;
    }
  report.items.items_len = count;
  gw_peers_report (gw, &report);
}

/* Send a report to the leader soon, because a request was queued.  */
void
gw_demand_schedule (struct gw *gw)
{
  if (gw->demand_scheduled)
    return;
  gw->demand_scheduled = true;
  tm_after (gw->tm, &gw->demand_timer, GW_DEMAND_DEBOUNCE_MS * GW_US_PER_MS,
            gw_demand_send, gw);
}

/* Start the periodic demand reports.  */
void
gw_demand_start (struct gw *gw)
{
  tm_after (gw->tm, &gw->demand_timer, GW_DEMAND_INTERVAL_MS * GW_US_PER_MS,
            gw_demand_send, gw);
}
