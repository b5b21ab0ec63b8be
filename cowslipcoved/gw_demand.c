#include "gw_impl.h"

/* Pause between two reports to the leader.  Rates are averaged over seconds,
   so more often would say nothing new.  */
#define GW_DEMAND_MS 500
/* Where there are many instances, each reports less often, so that the leader
   gets about this many reports a second.  */
#define GW_DEMAND_REPORTS_PER_S 64
#define GW_DEMAND_MAX_MS        2000
/* A request that begins to wait is reported after this, with those that begin
   at the same moment.  */
#define GW_DEMAND_SOON_MS 4
/* Names in one report.  */
#define GW_DEMAND_MAX 512

/* Return the requests for NAME, MODEL or MODEL/ADAPTER.  */
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
gw_demand_period_ms (const struct gw *gw)
{
  uint32_t shared_ms = gw_instances (gw) * 1000 / GW_DEMAND_REPORTS_PER_S;

  return CLAMP (shared_ms, GW_DEMAND_MS, GW_DEMAND_MAX_MS);
}

static void
gw_demand_send (void *arg)
{
  struct gw *gw = arg;
  cs_residency_item items[GW_DEMAND_MAX];
  cs_residency_report report = { { 0, items } };
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  gw->demand_soon = false;
  tm_after (gw->tm, &gw->demand_timer, gw_demand_period_ms (gw) * GW_US_PER_MS,
            gw_demand_send, gw);
  g_hash_table_iter_init (&iter, gw->demand);
  while (count < GW_DEMAND_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct gw_demand *demand = value;

      if (demand->arrivals == 0 && demand->active == 0 && demand->waiting == 0)
        {
          /* Names come from callers; unused ones are not kept.  */
          g_hash_table_iter_remove (&iter);
          continue;
        }
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

/* A request began to wait: tell the leader at once.  */
void
gw_demand_soon (struct gw *gw)
{
  if (gw->demand_soon)
    return;
  gw->demand_soon = true;
  tm_after (gw->tm, &gw->demand_timer, GW_DEMAND_SOON_MS * GW_US_PER_MS,
            gw_demand_send, gw);
}

/* Report what callers ask for from time to time.  */
void
gw_demand_start (struct gw *gw)
{
  tm_after (gw->tm, &gw->demand_timer, GW_DEMAND_MS * GW_US_PER_MS,
            gw_demand_send, gw);
}
