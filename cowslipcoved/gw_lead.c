#include <string.h>

#include "gw_impl.h"
#include "lg.h"

/* Decisions are looked at this often; new demand is acted on at once.  */
#define GW_LEAD_MS 50
/* Decisions are at least this far apart.  With 60 engines and 70 instances
   hundreds of reports and answers a second ask for them, and each takes a
   millisecond of processor time, 10 ms on an instance of 0.1 cores.  */
#define GW_LEAD_GAP_MS 10
/* Engines answer orders and reports at once; one that does not is cut off. */
#define GW_ORDER_TIMEOUT_MS  1000
#define GW_REPORT_TIMEOUT_MS 500

/* An order or a read of a report that is under way.  */
struct gw_engine_call
{
  struct gw *gw;
  uint64_t order;
  char *endpoint;
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
gw_order_answered (void *arg, const struct http_answer *answer)
{
  struct gw_engine_call *call = arg;
  struct gw *gw = call->gw;
  struct flt_endpoint *endpoint = flt_find (gw->fleet, call->endpoint);
  enum prt_order_result result = PRT_NO_ANSWER;

  if (answer->outcome == HTTP_COMPLETE)
    result = gw->protocol->read_order (answer->status);
  else if (!answer->sent)
    result = PRT_REFUSED;
  /* Neither an engine that cannot be reached nor another one that has its
     address is asked again at once.  */
  if (endpoint != NULL && result == PRT_REFUSED)
    flt_failed (gw->fleet, endpoint, true);
  lg_write (LG_ORDER_ANSWERED,
            "order=%" G_GUINT64_FORMAT
            " endpoint=%s http=\"%s\" status=%u result=%d",
            call->order, call->endpoint, http_outcome_text (answer->outcome),
            answer->status, result);
  res_answered (gw->res, call->order, result);
  gw_engine_call_free (call);
  gw_lead_step (gw);
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
  struct http_request request = { .method = "POST",
                                  .address = endpoint->entry.address,
                                  .path = gw->protocol->order_path,
                                  .headers = headers,
                                  .timeout_ms = GW_ORDER_TIMEOUT_MS };

  call->gw = gw;
  call->order = order->id;
  call->endpoint = g_strdup (order->endpoint);
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
  (void)http_fetch (gw->client, &request, gw_order_answered, call);
}

static void
gw_on_order (void *arg, const struct res_order *order)
{
  struct gw *gw = arg;
  struct flt_endpoint *endpoint = flt_find (gw->fleet, order->endpoint);
  uint64_t fence;

  /* The process may have been stopped since the decision.  */
  if (endpoint == NULL || !ldr_may_order (gw->ldr, &fence))
    {
      res_answered (gw->res, order->id, PRT_REFUSED);
      return;
    }
  gw_send_order (gw, order, endpoint, fence);
}

static void
gw_report_answered (void *arg, const struct http_answer *answer)
{
  struct gw_engine_call *call = arg;
  struct gw *gw = call->gw;
  struct flt_endpoint *endpoint = flt_find (gw->fleet, call->endpoint);
  bool good = false;

  if (endpoint != NULL && answer->outcome == HTTP_COMPLETE
      && answer->status == 200)
    {
      struct flt_weights weights;
      GError *error = NULL;

      flt_weights_init (&weights);
      good = gw->protocol->read_report (answer->body, answer->body_bytes,
                                        &weights, &error);
      if (good)
        flt_told_weights (gw->fleet, endpoint, &weights);
      else
        {
          lg_write (LG_ENTRY_BAD, "report of endpoint=%s: %s", call->endpoint,
                    error->message);
          g_error_free (error);
          flt_weights_clear (&weights);
        }
    }
  if (!good)
    lg_write (LG_REPORT_FAILED, "endpoint=%s http=\"%s\" status=%u",
              call->endpoint, http_outcome_text (answer->outcome),
              answer->status);
  else
    lg_write (LG_REPORT,
              "endpoint=%s orders=%" G_GUINT64_FORMAT
              " busy=%d models=%u in_memory=%u on_disk=%u",
              call->endpoint, endpoint->reported.orders,
              endpoint->reported.busy, endpoint->reported.models->len,
              endpoint->reported.in_memory->len,
              endpoint->reported.on_disk->len);
  res_refreshed (gw->res, call->endpoint, good);
  gw_engine_call_free (call);
  gw_lead_step (gw);
  gw_wake (gw);
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
                                  .timeout_ms = GW_REPORT_TIMEOUT_MS };

  if (endpoint == NULL)
    return;
  call = g_new0 (struct gw_engine_call, 1);
  call->gw = gw;
  call->endpoint = g_strdup (id);
  request.address = endpoint->entry.address;
  (void)http_fetch (gw->client, &request, gw_report_answered, call);
}

static void
gw_on_news (void *arg, const char *id, enum flt_news news, const char *model,
            const char *adapter)
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
    gw_peers_news (gw, &message);
}

static bool
gw_on_may_order (void *arg)
{
  struct gw *gw = arg;
  uint64_t fence;

  return !gw->draining && ldr_may_order (gw->ldr, &fence);
}

/* Take in NEWS of the leader.  */
void
gw_told_news (struct gw *gw, const cs_residency_news *news)
{
  struct flt_endpoint *endpoint = flt_find (gw->fleet, news->endpoint);

  if (endpoint == NULL || endpoint->entry.started_ms != news->started_ms)
    return;
  lg_write (LG_RESIDENCY_NEWS, "endpoint=%s news=%u model=%s/%s",
            news->endpoint, news->news, news->model, news->adapter);
  flt_told_news (gw->fleet, endpoint, (enum flt_news)news->news, news->model,
                 news->adapter[0] == '\0' ? NULL : news->adapter);
  gw_wake (gw);
}

/* INSTANCE reports what its callers ask for.  */
void
gw_lead_heard (struct gw *gw, const char *instance,
               const cs_residency_report *report)
{
  bool waits = false;

  res_demand_begin (gw->res, instance);
  for (u_int i = 0; i < report->items.items_len; i++)
    {
      const cs_residency_item *item = &report->items.items_val[i];
      struct res_demand demand = { .name = item->name,
                                   .arrivals = item->arrivals,
                                   .active = item->active,
                                   .waiting = item->waiting,
                                   .oldest_ms = item->oldest_ms };

      waits |= item->waiting > 0;
      res_demanded (gw->res, instance, &demand);
    }
  if (waits)
    gw_lead_step (gw);
}

static void
gw_lead_decide (struct gw *gw)
{
  uint64_t start_us = tm_now_us (gw->tm);

  res_step (gw->res);
  hst_observe (gw->decisions, "residency", tm_now_us (gw->tm) - start_us);
}

static void
gw_lead_due (void *arg)
{
  struct gw *gw = arg;

  gw->lead_us = tm_now_us (gw->tm);
  tm_after (gw->tm, &gw->lead_timer, GW_LEAD_MS * GW_US_PER_MS, gw_lead_due,
            gw);
  flt_sweep (gw->fleet);
  if (ldr_is_leader (gw->ldr) && gw->fleet_known)
    gw_lead_decide (gw);
}

/* Take the decisions that are due soon, if this instance leads.  */
void
gw_lead_step (struct gw *gw)
{
  uint64_t now_us = tm_now_us (gw->tm);
  uint64_t next_us = gw->lead_us + GW_LEAD_GAP_MS * GW_US_PER_MS;

  if (ldr_is_leader (gw->ldr))
    tm_after (gw->tm, &gw->lead_timer, next_us > now_us ? next_us - now_us : 0,
              gw_lead_due, gw);
}

/* This instance becomes the leader with FENCE.  */
void
gw_lead_gained (struct gw *gw, uint64_t fence)
{
  lg_write (LG_LEADER_GAINED, "fence=%" G_GUINT64_FORMAT, fence);
  flt_forget_reports (gw->fleet);
  res_begin (gw->res);
}

/* Prepare what the leader needs.  */
void
gw_lead_start (struct gw *gw)
{
  static const struct res_callbacks callbacks
      = { gw_on_order, gw_on_refresh, gw_on_news, gw_on_may_order };

  gw->res = res_new (gw->tm, gw->fleet, &callbacks, gw);
  tm_after (gw->tm, &gw->lead_timer, GW_LEAD_MS * GW_US_PER_MS, gw_lead_due,
            gw);
}
