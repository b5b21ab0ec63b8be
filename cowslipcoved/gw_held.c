#include <stdlib.h>

#include "gw_impl.h"
#include "wtq.h"

/* Requests that arrive before this instance has read the configuration and the
   entries of the endpoints.  After a restart of all instances the load
   balancer sends them anyway, because no instance is ready, and reading takes
   seconds when hundreds of instances do it at once.  */

struct gw_held
{
  struct gw *gw;
  struct h1_exchange *exchange;
  uint64_t arrived_us;
  struct tm_timer timer;
  GList *link; /* in GW->held */
};

static void
gw_held_remove (struct gw_held *held)
{
  tm_cancel (held->gw->tm, &held->timer);
  g_queue_delete_link (&held->gw->held, held->link);
  g_free (held);
}

static void
gw_held_disconnected (void *arg)
{
  struct gw_held *held = arg;

  ctr_add (held->gw->counters, "callers_gone_total", 1);
  gw_held_remove (held);
}

static void
gw_held_expired (void *arg)
{
  struct gw_held *held = arg;
  struct gw *gw = held->gw;
  struct h1_exchange *exchange = held->exchange;

  gw_held_remove (held);
  gw_reject (gw, exchange, RSN_NO_CONFIGURATION);
}

/* Return whether this instance can route requests.  */
bool
gw_is_loaded (const struct gw *gw)
{
  return gw->config != NULL && gw->fleet_loaded;
}

/* Keep EXCHANGE until this instance is loaded.  Return false if it is not
   expected to be in time.  */
bool
gw_hold (struct gw *gw, struct h1_exchange *exchange)
{
  static const struct h1_exchange_events events
      = { gw_held_disconnected, NULL };
  const char *value = h1_head_get (h1_exchange_head (exchange),
                                   gw->protocol->fields.deadline_remaining_ms);
  uint64_t now_us = tm_now_us (gw->tm);
  uint64_t age_ms = (now_us - gw->started_us) / GW_US_PER_MS;
  uint32_t hold_ms = value == NULL || gw->draining
                         ? 0
                         : wtq_start_wait_ms (strtoull (value, NULL, 10),
                                              age_ms, gw->held.length);
  struct gw_held *held;

  if (hold_ms == 0)
    return false;
  held = g_new0 (struct gw_held, 1);
  held->gw = gw;
  held->exchange = exchange;
  held->arrived_us = now_us;
  g_queue_push_tail (&gw->held, held);
  held->link = gw->held.tail;
  h1_exchange_set_events (exchange, &events, held);
  tm_after (gw->tm, &held->timer, hold_ms * GW_US_PER_MS, gw_held_expired,
            held);
  ctr_add (gw->counters, "requests_held_total", 1);
  return true;
}

/* Process the requests that were kept, if this instance is loaded.  */
void
gw_release_held (struct gw *gw)
{
  while (gw_is_loaded (gw) && !g_queue_is_empty (&gw->held))
    {
      struct gw_held *held = g_queue_peek_head (&gw->held);
      struct h1_exchange *exchange = held->exchange;
      uint64_t arrived_us = held->arrived_us;

      gw_held_remove (held);
      gw_route_request (gw, exchange, arrived_us);
    }
}

/* Refuse the requests that are kept, because this instance stops.  */
void
gw_refuse_held (struct gw *gw)
{
  while (!g_queue_is_empty (&gw->held))
    gw_held_expired (g_queue_peek_head (&gw->held));
}
