#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "drn.h"
#include "gw_impl.h"
#include "lg.h"

/* A request is answered this long before its caller times out, so that the
   response arrives in time; the one-way latency is 3 ms.  */
#define GW_RESPONSE_MARGIN_MS 20
/* A response that has begun is ended this long after the caller's time limit,
   so that the caller, which may still receive its end, leaves first.  */
#define GW_STARTED_GRACE_MS  50
#define GW_CHECK_INTERVAL_MS 100
/* Retry-After of a request without a route.  */
#define GW_REJECT_RETRY_AFTER_MS 300
#define GW_MS_PER_S              1000.0
/* Memory of a request in progress beside its body and head: its state, the
   response bytes that wait for a slow caller, and those that the kernel has
   received of its endpoint.  */
#define GW_REQUEST_BYTES (64U << 10)

static void gw_caller_disconnected (void *arg);

static const struct h1_exchange_events gw_exchange_events
    = { gw_caller_disconnected, gw_resume_reading };

/* Return the time until the deadline of REQUEST, in milliseconds.  */
uint32_t
gw_remaining_ms (const struct gw_request *request)
{
  uint64_t now_us = tm_now_us (request->gw->tm);

  return now_us >= request->deadline_us
             ? 0
             : (uint32_t)((request->deadline_us - now_us) / GW_US_PER_MS);
}

/* Return the time until the caller of REQUEST gives up, in milliseconds.  */
uint32_t
gw_caller_remaining_ms (const struct gw_request *request)
{
  uint64_t now_us = tm_now_us (request->gw->tm);

  return now_us >= request->caller_deadline_us
             ? 0
             : (uint32_t)((request->caller_deadline_us - now_us)
                          / GW_US_PER_MS);
}

static const char *
gw_request_field (const struct gw_request *request, const char *name)
{
  return h1_head_get (h1_exchange_head (request->exchange), name);
}

static void
gw_request_free (struct gw_request *request)
{
  struct gw *gw = request->gw;

  gw_dequeue (request);
  gw_forget_probe (request);
  gw_cancel_call (request);
  gw_silent_drop (request, "ended");
  tm_cancel (gw->tm, &request->timer);
  if (request->model_demand != NULL)
    request->model_demand->active--;
  if (request->adapter_demand != NULL)
    request->adapter_demand->active--;
  g_hash_table_remove (gw->requests, request);
  mbg_give (gw->budget, GW_REQUEST_BYTES);
  rte_config_unref (request->config);
  g_ptr_array_free (request->tried, TRUE);
  evs_clear (&request->events);
  if (request->traits != NULL)
    g_array_unref (request->traits);
  g_free (request->service_name);
  g_free (request->id);
  g_free (request->model);
  g_free (request->adapter);
  g_free (request);
}

/* Log and count the end of REQUEST with OUTCOME and the STATUS that its caller
   got (0: the connection was closed), and free it.  */
void
gw_request_finish (struct gw_request *request, uint16_t status,
                   const char *outcome)
{
  struct gw *gw = request->gw;
  uint64_t took_us = tm_now_us (gw->tm) - request->arrived_us;
  uint64_t waited_us = request->waited_us;

  if (request->state == GW_WAITING)
    waited_us += tm_now_us (gw->tm) - request->state_us;
  lg_write (LG_REQUEST,
            "id=%s route=%s service=%s model=%s/%s outcome=%s status=%u "
            "endpoint=%s sends=%u runs=%u took_ms=%" G_GUINT64_FORMAT
            " waited_ms=%" G_GUINT64_FORMAT " first_ms=%" G_GUINT64_FORMAT
            " pause_ms=%" G_GUINT64_FORMAT
            " left_ms=%u config=%" G_GUINT64_FORMAT
            " framing=%s attempt_end=%s partial_event_bytes=%zu",
            request->id, request->route->name, request->service_name,
            request->model == NULL ? "" : request->model,
            request->adapter == NULL ? "" : request->adapter, outcome, status,
            request->tried->len == 0
                ? "-"
                : (const char *)g_ptr_array_index (request->tried,
                                                   request->tried->len - 1),
            request->sends, request->runs, took_us / GW_US_PER_MS,
            waited_us / GW_US_PER_MS, request->first_byte_us / GW_US_PER_MS,
            request->max_gap_us / GW_US_PER_MS, gw_remaining_ms (request),
            request->config->version, request->framing, request->attempt_end,
            request->events.partial->len);
  hst_observe (gw->latencies, request->route->name, took_us);
  gw_request_free (request);
}

static void
gw_caller_disconnected (void *arg)
{
  struct gw_request *request = arg;

  ctr_add (request->gw->counters, "callers_gone_total", 1);
  gw_request_finish (request, 0, "caller_gone");
}

static void gw_request_check (void *arg);

/* Return when REQUEST ends at the latest.  */
static uint64_t
gw_request_end_us (const struct gw_request *request)
{
  return request->response_started
             ? request->caller_deadline_us + GW_STARTED_GRACE_MS * GW_US_PER_MS
             : request->deadline_us;
}

static void
gw_request_schedule_check (struct gw_request *request)
{
  uint64_t now_us = tm_now_us (request->gw->tm);
  uint64_t end_us = gw_request_end_us (request);
  uint64_t left_us = end_us > now_us ? end_us - now_us : 0;

  tm_after (request->gw->tm, &request->timer,
            MIN (GW_CHECK_INTERVAL_MS * GW_US_PER_MS, left_us + GW_US_PER_MS),
            gw_request_check, request);
}

/* Check the request ARG periodically: end it at its deadline, and abandon an
   attempt whose response is overdue.  */
static void
gw_request_check (void *arg)
{
  struct gw_request *request = arg;

  if (tm_now_us (request->gw->tm) >= gw_request_end_us (request))
    {
      gw_expire (request);
      return;
    }
  gw_request_schedule_check (request);
  if (request->state == GW_SENT)
    gw_check_timeout (request);
}

static void
gw_read_model (struct gw_request *request)
{
  const struct prt_fields *fields = &request->gw->protocol->fields;
  const char *value = gw_request_field (request, fields->model);
  const char *prefix = gw_request_field (request, fields->prefix);
  const char *slash;

  if (value == NULL || request->service == NULL || !request->service->engines)
    return;
  slash = strchr (value, '/');
  request->model_demand = gw_demand (request->gw, value);
  if (slash != NULL)
    {
      request->adapter_demand = request->model_demand;
      request->model = g_strndup (value, (gsize)(slash - value));
      request->adapter = g_strdup (slash + 1);
      request->model_demand = gw_demand (request->gw, request->model);
      request->adapter_demand->arrivals++;
      request->adapter_demand->active++;
    }
  else
    request->model = g_strdup (value);
  request->model_demand->arrivals++;
  request->model_demand->active++;
  if (prefix != NULL && request->route->sticky)
    {
      const char *last = strrchr (prefix, ',');

      /* The last prefix in the list is specific to this request.  */
      if (last != NULL)
        request->prefix = XXH64 (prefix, (size_t)(last - prefix), 0);
    }
}

static void
gw_read_deadline (struct gw_request *request)
{
  const struct prt_fields *fields = &request->gw->protocol->fields;
  const char *value
      = gw_request_field (request, fields->deadline_remaining_ms);
  uint64_t remaining_ms = request->route->timeout_ms;

  if (value != NULL)
    remaining_ms = MIN (remaining_ms, strtoull (value, NULL, 10));
  request->caller_deadline_us
      = request->arrived_us + remaining_ms * GW_US_PER_MS;
  remaining_ms = remaining_ms > GW_RESPONSE_MARGIN_MS
                     ? remaining_ms - GW_RESPONSE_MARGIN_MS
                     : 0;
  request->deadline_us = request->arrived_us + remaining_ms * GW_US_PER_MS;
}

static struct gw_request *
gw_request_new (struct gw *gw, struct h1_exchange *exchange,
                const struct rte_route *route, uint64_t arrived_us)
{
  struct gw_request *request = g_new0 (struct gw_request, 1);
  const char *id;

  request->gw = gw;
  request->exchange = exchange;
  request->config = rte_config_ref (gw->config);
  request->route = route;
  request->service_name
      = g_strdup (rte_pick_service (route, gsl_rng_uniform (gw->random)));
  if (request->service_name == NULL)
    request->service_name = g_strdup ("");
  request->service = rte_service (gw->config, request->service_name);
  request->arrived_us = arrived_us;
  request->tried = g_ptr_array_new_with_free_func (g_free);
  evs_init (&request->events);
  request->events.numbered = true;
  request->framing = "-";
  request->attempt_end = "-";
  id = gw_request_field (request, gw->protocol->fields.request_id);
  request->id = g_strdup (id == NULL ? "-" : id);
  g_hash_table_add (gw->requests, request);
  gw_read_deadline (request);
  gw_read_model (request);
  h1_exchange_set_events (exchange, &gw_exchange_events, request);
  return request;
}

/* Answer EXCHANGE, which has no route, with REASON.  Its head may be
   incomplete.  */
void
gw_reject (struct gw *gw, struct h1_exchange *exchange,
           enum rsn_refusal reason)
{
  gw_reject_until (gw, exchange, reason, GW_REJECT_RETRY_AFTER_MS);
}

/* The same with the time after which the caller may return.  */
void
gw_reject_until (struct gw *gw, struct h1_exchange *exchange,
                 enum rsn_refusal reason, uint32_t retry_after_ms)
{
  char text[32];
  const struct h1_field retry_after = { "Retry-After", text };
  const struct h1_head *head = h1_exchange_head (exchange);
  const char *id = h1_head_get (head, gw->protocol->fields.request_id);
  uint16_t status = rsn_refusal_status (reason);

  (void)snprintf (text, sizeof text, "%.2f", retry_after_ms / GW_MS_PER_S);
  ctr_count_refusal (gw->counters, reason);
  lg_write (
      LG_REFUSED,
      "id=%s reason=%s status=%u host=%s target=%s config=%" G_GUINT64_FORMAT
      " body_bytes=%" G_GUINT64_FORMAT " retry_after_ms=%u "
      "memory_used_bytes=%" G_GUINT64_FORMAT " connections=%u",
      id == NULL ? "-" : id, rsn_refusal_text (reason), status,
      h1_head_get (head, "Host") == NULL ? "-" : h1_head_get (head, "Host"),
      head->target == NULL ? "-" : head->target,
      gw->config == NULL ? 0 : gw->config->version, head->length_bytes,
      retry_after_ms, mbg_used_bytes (gw->budget),
      h1_server_connections (gw->callers));
  h1_respond (exchange, status, &retry_after, status == 503 ? 1 : 0, "");
}

/* Return whether REQUEST can be accepted: during a shutdown only if it can be
   answered before this process ends.  */
static bool
gw_accepts (const struct gw_request *request)
{
  const struct gw *gw = request->gw;
  uint64_t since_ms = (tm_now_us (gw->tm) - gw->drain_start_us) / GW_US_PER_MS;
  struct drn_input input
      = { .generates
          = request->route->kind == RTE_STREAM || request->model != NULL,
          .remaining_ms = gw_remaining_ms (request),
          .grace_ms = since_ms < gw->settings->grace_ms
                          ? (uint32_t)(gw->settings->grace_ms - since_ms)
                          : 0,
          .margin_ms
          = GW_DRAIN_MARGIN_MS + GW_RESPONSE_MARGIN_MS + GW_STARTED_GRACE_MS };

  return !gw->draining || drn_accepts (&input);
}

/* Route the request in EXCHANGE, which arrived at ARRIVED_US.  */
void
gw_route_request (struct gw *gw, struct h1_exchange *exchange,
                  uint64_t arrived_us)
{
  const struct h1_head *head = h1_exchange_head (exchange);
  const char *host = h1_head_get (head, "Host");
  const struct rte_route *route;
  struct gw_request *request;

  route = host == NULL ? NULL : rte_match (gw->config, host, head->target);
  if (route == NULL)
    {
      gw_reject (gw, exchange, RSN_NOT_FOUND);
      return;
    }
  if (!mbg_take (gw->budget, GW_REQUEST_BYTES, MBG_CLIENT))
    {
      gw_reject_until (gw, exchange, RSN_MEMORY,
                       mbg_retry_after_ms (gw->budget, GW_REQUEST_BYTES));
      return;
    }
  request = gw_request_new (gw, exchange, route, arrived_us);
  rbg_count_request (gw->budgets, request->service_name);
  if (gw_remaining_ms (request) == 0)
    {
      gw_refuse (request, RSN_QUEUE_DEADLINE);
      return;
    }
  if (!gw_accepts (request))
    {
      gw_refuse (request, RSN_DRAINING);
      return;
    }
  gw_request_schedule_check (request);
  gw_request_dispatch (request);
}

/* Handle a caller's new request.  */
void
gw_on_request (void *arg, struct h1_exchange *exchange)
{
  struct gw *gw = arg;

  if (gw_is_loaded (gw))
    gw_route_request (gw, exchange, tm_now_us (gw->tm));
  else if (!gw_hold (gw, exchange))
    gw_reject (gw, exchange, RSN_NO_CONFIGURATION);
}

/* Return the query that selects an endpoint for REQUEST.  */
struct pck_criteria
gw_endpoint_query (const struct gw_request *request)
{
  const struct gw *gw = request->gw;

  return (struct pck_criteria){ .service = request->service_name,
                                .model = request->model,
                                .adapter = request->adapter,
                                .zone = gw->settings->zone,
                                .slots = request->service == NULL
                                             ? 0
                                             : request->service->slots,
                                .instances = gw_instance_count (gw),
                                .prefix = request->prefix,
                                .tried = request->tried,
                                .random = gw->random };
}

/* Reserve a retry for REQUEST from the budget unless that has been done.
   Return false if the budget does not allow one.  */
bool
gw_acquire_retry (struct gw_request *request)
{
  struct gw *gw = request->gw;

  request->retry_acquired
      = request->retry_acquired
        || rbg_acquire (gw->budgets, request->service_name);
  if (!request->retry_acquired)
    ctr_add (gw->counters, "retries_denied_total", 1);
  return request->retry_acquired;
}

/* Send REQUEST to the best available endpoint, or queue it.  Refuse it if it
   is known to crash endpoints.  */
void
gw_request_dispatch (struct gw_request *request)
{
  struct gw *gw = request->gw;
  struct pck_criteria query;
  struct flt_endpoint *endpoint;

  if (!gw_blame_admits (request))
    return;
  query = gw_endpoint_query (request);
  for (;;)
    {
      endpoint = pck_choose (gw->fleet, gw->tm, &query);
      if (endpoint == NULL)
        {
          gw_enqueue (request);
          return;
        }
      if (request->arrivals > 0 && !gw_acquire_retry (request))
        {
          if (request->runs > 0)
            gw_fail (request, RSN_RETRY_BUDGET);
          else
            gw_enqueue (request);
          return;
        }
      if (gw_send (request, endpoint))
        {
          request->retry_acquired = false;
          return;
        }
      /* No socket could be opened, or the address is invalid.  */
      flt_record_failure (gw->fleet, endpoint, true);
    }
}
