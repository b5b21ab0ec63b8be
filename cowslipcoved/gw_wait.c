#include "gw_impl.h"
#include "wtq.h"

#define GW_WAKE_MS 50
/* A request that an endpoint refused is sent again after this, doubled with
   each further refusal.  Full endpoints need about a request's time, a second,
   to have room.  */
#define GW_AGAIN_MS 250

static struct gw_demand *
gw_wanted (const struct gw_request *request)
{
  return request->adapter_demand != NULL ? request->adapter_demand
                                         : request->model_demand;
}

static enum wtq_step
gw_wait_decide (const struct gw_request *request)
{
  const struct gw *gw = request->gw;
  uint64_t now_us = tm_now_us (gw->tm);
  struct wtq_facts facts = {
    .cold = request->model != NULL,
    .stream = request->route->kind == RTE_STREAM,
    .target_ms = request->route->target_ms,
    .gap_ms = request->route->gap_ms,
    .total_ms
    = (uint32_t)((request->deadline_us - request->arrived_us) / GW_US_PER_MS),
    .waited_ms = (uint32_t)((now_us - request->state_us + request->waited_us)
                            / GW_US_PER_MS)
  };

  facts.known_model = request->model != NULL
                      && rte_model (request->service, request->model) != NULL;
  return wtq_decide (&facts);
}

static void
gw_wake_due (void *arg)
{
  gw_wake (arg);
}

/* No endpoint can take REQUEST now: let it wait, or refuse it.  */
void
gw_wait (struct gw_request *request)
{
  struct gw *gw = request->gw;

  if (request->state != GW_WAITING)
    {
      request->state = GW_WAITING;
      request->state_us = tm_now_us (gw->tm);
      g_queue_push_tail (&gw->waiting, request);
      request->queued = gw->waiting.tail;
      if (gw_wanted (request) != NULL)
        {
          gw_wanted (request)->waiting++;
          gw_demand_soon (gw);
        }
    }
  if (gw_wait_decide (request) == WTQ_HOLD)
    {
      if (!tm_pending (&gw->wake_timer))
        tm_after (gw->tm, &gw->wake_timer, GW_WAKE_MS * GW_US_PER_MS,
                  gw_wake_due, gw);
      return;
    }
  if (request->runs > 0)
    gw_fail (request, RSN_ENDPOINT_FAILED);
  else
    gw_refuse (request,
               request->model == NULL ? RSN_NO_ENDPOINT : RSN_COLD_TOO_LATE);
}

/* REQUEST no longer waits.  */
void
gw_unwait (struct gw_request *request)
{
  struct gw *gw = request->gw;

  if (request->queued == NULL)
    return;
  request->waited_us += tm_now_us (gw->tm) - request->state_us;
  request->state_us = tm_now_us (gw->tm);
  g_queue_delete_link (&gw->waiting, request->queued);
  request->queued = NULL;
  if (gw_wanted (request) != NULL)
    gw_wanted (request)->waiting--;
}

static uint64_t
gw_again_us (const struct gw_request *request)
{
  if (request->arrivals == 0)
    return 0;
  return (GW_AGAIN_MS * GW_US_PER_MS) << (request->arrivals - 1);
}

/* Look again at all requests that wait, the longest wait first.  */
void
gw_wake (struct gw *gw)
{
  uint64_t now_us = tm_now_us (gw->tm);
  GList *next;

  for (GList *item = gw->waiting.head; item != NULL; item = next)
    {
      struct gw_request *request = item->data;

      next = item->next;
      if (now_us - request->state_us >= gw_again_us (request))
        gw_request_dispatch (request);
    }
  if (!g_queue_is_empty (&gw->waiting) && !tm_pending (&gw->wake_timer))
    tm_after (gw->tm, &gw->wake_timer, GW_WAKE_MS * GW_US_PER_MS, gw_wake_due,
              gw);
}
