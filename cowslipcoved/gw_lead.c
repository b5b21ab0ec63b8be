#include <string.h>

#include "gw_impl.h"
#include "lg.h"

/* Interval between two rounds of decisions; new demand triggers a round
   early.  */
#define GW_DECISION_INTERVAL_MS 50
/* Minimum interval between two rounds.  With 60 engines and 70 instances
   hundreds of reports and responses a second trigger one, and each round takes
   1 ms of processor time, which is 10 ms on an instance limited to 0.1
   cores.  */
#define GW_DECISION_MIN_INTERVAL_MS 10
/* At least this many times the duration of a round passes until the next one,
   so that a leader with many engines keeps most of its processor time for
   requests.  */
#define GW_DECISION_REST_RATIO 3
/* Engines respond to orders and report requests without waiting for a load, so
   a later response is treated as lost.  */
#define GW_ORDER_TIMEOUT_MS  1000
#define GW_REPORT_TIMEOUT_MS 500
/* A report lists some hundred models and runs.  */
#define GW_REPORT_MAX_BYTES (1U << 20)
/* The response to an order needs no body.  */
#define GW_ORDER_RESPONSE_MAX_BYTES (64U << 10)

/* An order or a report request in progress.  */
struct gw_engine_call
{
  struct gw *gw;
  uint64_t order;
  char *endpoint;
  uint64_t started_ms; /* of the endpoint */
  char *body;
};

static void
gw_engine_call_free (struct gw_engine_call *call)
{
  g_free (call->endpoint);
  g_free (call->body);
  g_free (call);
}

static void
gw_order_done (void *arg, const struct http_response *response)
{
  struct gw_engine_call *call = arg;
  struct gw *gw = call->gw;
  struct flt_endpoint *endpoint = flt_find (gw->fleet, call->endpoint);
  enum prt_order_result result = PRT_NO_RESPONSE;

  gw_read_signs (gw, call->endpoint, call->started_ms, response->status,
                 response->head);
  if (response->outcome == HTTP_COMPLETE)
    result = gw->protocol->read_order (response->status);
  else if (!response->sent)
    result = PRT_REFUSED;
  /* Back off from an engine that is unreachable or whose address now belongs
     to another one.  */
  if (endpoint != NULL && result == PRT_REFUSED)
    flt_record_failure (gw->fleet, endpoint, true);
  lg_write (LG_ORDER_COMPLETED,
            "order=%" G_GUINT64_FORMAT
            " endpoint=%s http=\"%s\" status=%u result=%d",
            call->order, call->endpoint, http_outcome_text (response->outcome),
            response->status, result);
  res_order_result (gw->res, call->order, result);
  gw_engine_call_free (call);
  gw_lead_schedule (gw);
}

static void
gw_send_order (struct gw *gw, const struct res_order *order,
               const struct flt_endpoint *endpoint, uint64_t fence)
{
  struct gw_engine_call *call = g_new0 (struct gw_engine_call, 1);
  struct prt_order body = { .kind = order->kind,
                            .model = order->model,
                            .adapter = order->adapter,
                            .holder = gw->settings->instance,
                            .fence = fence,
                            .orders = endpoint->reported.orders };
  struct http_header headers[]
      = { { "Content-Type", "application/json" },
          { gw->protocol->fields.expected_endpoint, order->endpoint },
          { NULL, NULL } };
  struct http_request request
      = { .method = "POST",
          .address = endpoint->entry.address,
          .path = gw->protocol->order_path,
          .headers = headers,
          .timeout_ms = GW_ORDER_TIMEOUT_MS,
          .body_max_bytes = GW_ORDER_RESPONSE_MAX_BYTES };

  call->gw = gw;
  call->order = order->id;
  call->endpoint = g_strdup (order->endpoint);
  call->started_ms = endpoint->entry.started_ms;
  call->body = gw->protocol->write_order (&body);
  request.body = call->body;
  request.body_bytes = strlen (call->body);
  lg_write (LG_ORDER_SENT,
            "order=%" G_GUINT64_FORMAT
            " endpoint=%s kind=%s model=%s/%s reason=\"%s\" "
            "fence=%" G_GUINT64_FORMAT " orders=%" G_GUINT64_FORMAT,
            order->id, order->endpoint,
            order->kind == PRT_LOAD ? "load" : "unload", order->model,
            order->adapter == NULL ? "" : order->adapter, order->reason, fence,
            body.orders);
  (void)http_fetch (gw->client, &request, gw_order_done, call);
}

static void
gw_on_order (void *arg, const struct res_order *order)
{
  struct gw *gw = arg;
  struct flt_endpoint *endpoint = flt_find (gw->fleet, order->endpoint);
  uint64_t fence;

  /* The process may have been suspended since the decision.  */
  if (endpoint == NULL || flt_pause_ms (gw->fleet, endpoint) > 0
      || !ldr_may_order (gw->ldr, &fence))
    {
      res_order_result (gw->res, order->id, PRT_REFUSED);
      return;
    }
  gw_send_order (gw, order, endpoint, fence);
}

static void
gw_report_done (void *arg, const struct http_response *response)
{
  struct gw_engine_call *call = arg;
  struct gw *gw = call->gw;
  struct flt_endpoint *endpoint = flt_find (gw->fleet, call->endpoint);
  bool valid = false;

  gw_read_signs (gw, call->endpoint, call->started_ms, response->status,
                 response->head);
  if (endpoint != NULL && response->outcome == HTTP_COMPLETE
      && response->status == 200)
    {
      struct flt_weights weights;
      GError *error = NULL;

      flt_weights_init (&weights);
      valid = gw->protocol->read_report (response->body, response->body_bytes,
                                         &weights, &error);
      if (valid)
        flt_set_report (gw->fleet, endpoint, &weights);
      else
        {
          lg_write (LG_ENTRY_INVALID, "report of endpoint=%s: %s",
                    call->endpoint, error->message);
          g_error_free (error);
          flt_weights_clear (&weights);
        }
    }
  if (!valid)
    lg_write (LG_REPORT_FAILED, "endpoint=%s http=\"%s\" status=%u",
              call->endpoint, http_outcome_text (response->outcome),
              response->status);
  else
    lg_write (LG_REPORT,
              "endpoint=%s orders=%" G_GUINT64_FORMAT
              " busy=%d models=%u in_memory=%u on_disk=%u",
              call->endpoint, endpoint->reported.orders,
              endpoint->reported.busy, endpoint->reported.models->len,
              endpoint->reported.in_memory->len,
              endpoint->reported.on_disk->len);
  res_refresh_done (gw->res, call->endpoint, valid);
  gw_engine_call_free (call);
  gw_lead_schedule (gw);
  gw_dispatch_queued (gw);
}

static void
gw_on_refresh (void *arg, const char *id)
{
  struct gw *gw = arg;
  struct flt_endpoint *endpoint = flt_find (gw->fleet, id);
  struct gw_engine_call *call;
  struct http_header headers[]
      = { { gw->protocol->fields.expected_endpoint, id }, { NULL, NULL } };
  struct http_request request = { .method = "GET",
                                  .path = gw->protocol->report_path,
                                  .headers = headers,
                                  .timeout_ms = GW_REPORT_TIMEOUT_MS,
                                  .body_max_bytes = GW_REPORT_MAX_BYTES };

  if (endpoint == NULL)
    return;
  call = g_new0 (struct gw_engine_call, 1);
  call->gw = gw;
  call->endpoint = g_strdup (id);
  call->started_ms = endpoint->entry.started_ms;
  request.address = endpoint->entry.address;
  (void)http_fetch (gw->client, &request, gw_report_done, call);
}

static void
gw_on_residency_change (void *arg, const char *id, enum flt_notice_kind news,
                        const char *model, const char *adapter)
{
  struct gw *gw = arg;
  const struct flt_endpoint *endpoint = flt_find (gw->fleet, id);
  cs_residency_news message
      = { .endpoint = (char *)id,
          .started_ms = endpoint == NULL ? 0 : endpoint->entry.started_ms,
          .news = news,
          .model = (char *)model,
          .adapter = adapter == NULL ? "" : (char *)adapter };

  if (endpoint != NULL)
    gw_peers_notify_residency (gw, &message);
}

static bool
gw_on_may_order (void *arg)
{
  struct gw *gw = arg;
  uint64_t fence;

  return !gw->draining && ldr_may_order (gw->ldr, &fence);
}

/* Apply a notice of the leader about a change on an engine.  */
void
gw_residency_changed (struct gw *gw, const cs_residency_news *news)
{
  struct flt_endpoint *endpoint = flt_find (gw->fleet, news->endpoint);

  if (endpoint == NULL || endpoint->entry.started_ms != news->started_ms)
    return;
  lg_write (LG_RESIDENCY_CHANGED, "endpoint=%s news=%u model=%s/%s",
            news->endpoint, news->news, news->model, news->adapter);
  flt_apply_notice (gw->fleet, endpoint, (enum flt_notice_kind)news->news,
                    news->model,
                    news->adapter[0] == '\0' ? NULL : news->adapter);
  gw_dispatch_queued (gw);
}

/* Replace the demand of INSTANCE with that in REPORT.  */
void
gw_lead_update_demand (struct gw *gw, const char *instance,
                       const cs_residency_report *report)
{
  bool any_waiting = false;

  res_demand_begin (gw->res, instance);
  for (u_int i = 0; i < report->items.items_len; i++)
    {
      const cs_residency_item *item = &report->items.items_val[i];
      struct res_demand demand = { .name = item->name,
                                   .arrivals = item->arrivals,
                                   .active = item->active,
                                   .waiting = item->waiting,
                                   .oldest_ms = item->oldest_ms };

      any_waiting |= item->waiting > 0;
      res_demand_add (gw->res, instance, &demand);
    }
  if (any_waiting)
    gw_lead_schedule (gw);
}

static void
gw_lead_decide (struct gw *gw)
{
  uint64_t start_us = tm_now_us (gw->tm);

  res_step (gw->res);
  gw->decision_us = tm_now_us (gw->tm) - start_us;
  hst_observe (gw->decision_times, "residency", gw->decision_us);
}

static void
gw_lead_timer_expired (void *arg)
{
  struct gw *gw = arg;

  gw->last_decision_us = tm_now_us (gw->tm);
  tm_after (gw->tm, &gw->lead_timer, GW_DECISION_INTERVAL_MS * GW_US_PER_MS,
            gw_lead_timer_expired, gw);
  flt_set_era (gw->fleet, kv_era (&gw->kv));
  flt_sweep (gw->fleet);
  if (ldr_is_leader (gw->ldr) && gw->fleet_loaded)
    gw_lead_decide (gw);
}

/* Schedule the next round of decisions as early as GW_DECISION_MIN_INTERVAL_MS
   allows, if this instance is the leader.  */
void
gw_lead_schedule (struct gw *gw)
{
  uint64_t now_us = tm_now_us (gw->tm);
  uint64_t interval_us = MAX (GW_DECISION_MIN_INTERVAL_MS * GW_US_PER_MS,
                              (GW_DECISION_REST_RATIO + 1) * gw->decision_us);
  uint64_t next_us = gw->last_decision_us + interval_us;

  if (ldr_is_leader (gw->ldr))
    tm_after (gw->tm, &gw->lead_timer, next_us > now_us ? next_us - now_us : 0,
              gw_lead_timer_expired, gw);
}

/* Handle the election of this instance as leader with FENCE.  */
void
gw_lead_gained (struct gw *gw, uint64_t fence)
{
  lg_write (LG_LEADER_GAINED, "fence=%" G_GUINT64_FORMAT, fence);
  flt_invalidate_reports (gw->fleet);
  res_start_term (gw->res);
}

/* Create the leader's state and start its timer.  */
void
gw_lead_start (struct gw *gw)
{
  static const struct res_callbacks callbacks
      = { gw_on_order, gw_on_refresh, gw_on_residency_change,
          gw_on_may_order };

  gw->res = res_new (gw->tm, gw->fleet, &callbacks, gw);
  tm_after (gw->tm, &gw->lead_timer, GW_DECISION_INTERVAL_MS * GW_US_PER_MS,
            gw_lead_timer_expired, gw);
}
