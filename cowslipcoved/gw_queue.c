#include "gw_impl.h"
#include "wtq.h"

#define GW_QUEUE_POLL_MS 50
/* Initial backoff of a request that an endpoint refused; it doubles with each
   further refusal.  A full endpoint frees a slot in about the duration of a
   request, 1 s.  */
#define GW_RESEND_BACKOFF_MS 250

static struct gw_demand *
gw_request_demand (const struct gw_request *request)
{
  return request->adapter_demand != NULL ? request->adapter_demand
                                         : request->model_demand;
}

/* Return the time until an endpoint takes REQUEST if all that could serve it
   want no requests now, in milliseconds; otherwise 0.  */
uint32_t
gw_pause_ms (const struct gw_request *request)
{
  const struct pck_criteria query = gw_endpoint_query (request);

  return pck_pause_ms (request->gw->fleet, &query);
}

/* Return the reason for refusing REQUEST because no endpoint takes it.  */
static enum rsn_refusal
gw_queue_reason (const struct gw_request *request)
{
  if (gw_pause_ms (request) > 0)
    return RSN_ENDPOINTS_PAUSED;
  return request->model == NULL ? RSN_NO_ENDPOINT : RSN_COLD_TOO_LATE;
}

static enum wtq_action
gw_queue_decide (const struct gw_request *request)
{
  const struct gw *gw = request->gw;
  uint64_t now_us = tm_now_us (gw->tm);
  struct wtq_input input = {
    .cold = request->model != NULL,
    .stream = request->route->kind == RTE_STREAM,
    .target_ms = request->route->target_ms,
    .gap_ms = request->route->gap_ms,
    .total_ms
    = (uint32_t)((request->deadline_us - request->arrived_us) / GW_US_PER_MS),
    .waited_ms = (uint32_t)((now_us - request->state_us + request->waited_us)
                            / GW_US_PER_MS),
    .paused_ms = gw_pause_ms (request)
  };

  input.model_configured
      = request->model != NULL
        && rte_model (request->service, request->model) != NULL;
  return wtq_decide (&input);
}

static void
gw_queue_timer_expired (void *arg)
{
  gw_dispatch_queued (arg);
}

/* Queue REQUEST, which no endpoint can accept now.  If its time limit does not
   allow it to wait, refuse it, or fail it if it may have run.  */
void
gw_enqueue (struct gw_request *request)
{
  struct gw *gw = request->gw;

  if (request->state != GW_WAITING)
    {
      request->state = GW_WAITING;
      request->state_us = tm_now_us (gw->tm);
      g_queue_push_tail (&gw->waiting, request);
      request->queue_link = gw->waiting.tail;
      if (gw_request_demand (request) != NULL)
        {
          gw_request_demand (request)->waiting++;
          gw_demand_schedule (gw);
        }
    }
  if (gw_queue_decide (request) == WTQ_WAIT)
    {
      if (!tm_pending (&gw->queue_timer))
        tm_after (gw->tm, &gw->queue_timer, GW_QUEUE_POLL_MS * GW_US_PER_MS,
                  gw_queue_timer_expired, gw);
      return;
    }
  if (request->runs > 0)
    gw_fail (request, RSN_ENDPOINT_FAILED);
  else
    gw_refuse (request, gw_queue_reason (request));
}

/* Remove REQUEST from the queue, if it is queued.  */
void
gw_dequeue (struct gw_request *request)
{
  struct gw *gw = request->gw;

  if (request->queue_link == NULL)
    return;
  request->waited_us += tm_now_us (gw->tm) - request->state_us;
  request->state_us = tm_now_us (gw->tm);
  g_queue_delete_link (&gw->waiting, request->queue_link);
  request->queue_link = NULL;
  if (gw_request_demand (request) != NULL)
    gw_request_demand (request)->waiting--;
}

static uint64_t
gw_resend_backoff_us (const struct gw_request *request)
{
  if (request->arrivals == 0)
    return 0;
  return (GW_RESEND_BACKOFF_MS * GW_US_PER_MS) << (request->arrivals - 1);
}

/* Try to dispatch all queued requests, the longest wait first.  */
void
gw_dispatch_queued (struct gw *gw)
{
  uint64_t now_us = tm_now_us (gw->tm);
  GList *next;

  for (GList *item = gw->waiting.head; item != NULL; item = next)
    {
      struct gw_request *request = item->data;

      next = item->next;
      if (now_us - request->state_us >= gw_resend_backoff_us (request))
        gw_request_dispatch (request);
    }
  if (!g_queue_is_empty (&gw->waiting) && !tm_pending (&gw->queue_timer))
    tm_after (gw->tm, &gw->queue_timer, GW_QUEUE_POLL_MS * GW_US_PER_MS,
              gw_queue_timer_expired, gw);
}
