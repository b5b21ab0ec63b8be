#include <stdio.h>

#include "gw_impl.h"
#include "lg.h"

/* Retry-After is this fraction of the remaining time: a longer delay would
   waste the caller's deadline, and a shorter one would find the load
   unchanged.  */
#define GW_RETRY_AFTER_SHARE 0.25
#define GW_RETRY_AFTER_MIN_S 0.2
#define GW_MS_PER_S          1000.0
/* Retry-After of a caller that stalled and whose connection was given to
   another one: it gets a new one at once.  */
#define GW_CONNECTIONS_RETRY_AFTER_MS 500
/* Time after which a request that crashed endpoints may be tried again.  */
#define GW_POISON_RETRY_AFTER_S 60.0

/* Log that the connection of a caller was closed within a request or a
   response.  */
void
gw_on_unfinished (void *arg, const struct h1_unfinished *unfinished)
{
  struct gw *gw = arg;
  const char *id
      = unfinished->head == NULL
            ? NULL
            : h1_head_get (unfinished->head, gw->protocol->fields.request_id);

  ctr_add (gw->counters, "connections_unfinished_total", 1);
  lg_write (LG_CONNECTION_UNFINISHED,
            "id=%s reason=%s answering=%d age_ms=%" G_GUINT64_FORMAT
            " unread_bytes=%zu unsent_bytes=%zu",
            id == NULL ? "-" : id, h1_close_reason_text (unfinished->reason),
            unfinished->answering, unfinished->age_us / GW_US_PER_MS,
            unfinished->unread_bytes, unfinished->unsent_bytes);
}

/* Refuse the request in EXCHANGE, which is not complete, because of
   REJECTION.  */
void
gw_on_rejected (void *arg, struct h1_exchange *exchange,
                enum h1_rejection rejection)
{
  struct gw *gw = arg;
  size_t bytes = (size_t)h1_exchange_head (exchange)->length_bytes;

  switch (rejection)
    {
    case H1_REJECT_HEAD_TOO_LARGE:
      gw_reject (gw, exchange, RSN_HEAD_TOO_LARGE);
      return;
    case H1_REJECT_BODY_TOO_LARGE:
      gw_reject (gw, exchange, RSN_TOO_LARGE);
      return;
    case H1_REJECT_MEMORY:
      gw_reject_until (gw, exchange, RSN_MEMORY,
                       mbg_retry_after_ms (gw->budget, bytes));
      return;
    case H1_REJECT_CONNECTIONS:
      gw_reject_until (gw, exchange, RSN_CONNECTIONS,
                       GW_CONNECTIONS_RETRY_AFTER_MS);
      return;
    default:
      gw_reject (gw, exchange, RSN_BAD_REQUEST);
    }
}

/* Return the Retry-After of REQUEST, which is refused for REASON, in
   seconds.  */
static double
gw_retry_after_s (const struct gw_request *request, enum rsn_refusal reason)
{
  double after_s
      = gw_remaining_ms (request) * GW_RETRY_AFTER_SHARE / GW_MS_PER_S;

  if (reason == RSN_POISON)
    return GW_POISON_RETRY_AFTER_S;
  if (reason == RSN_ENDPOINTS_PAUSED)
    after_s = gw_pause_ms (request) / GW_MS_PER_S;
  return MAX (GW_RETRY_AFTER_MIN_S, after_s);
}

static void
gw_send_error (struct gw_request *request, enum rsn_refusal reason,
               uint16_t status)
{
  struct gw *gw = request->gw;
  struct h1_exchange *exchange = request->exchange;
  char retry_after[32];
  struct h1_field field = { "Retry-After", retry_after };

  (void)snprintf (retry_after, sizeof retry_after, "%.2f",
                  gw_retry_after_s (request, reason));
  ctr_count_refusal (gw->counters, reason);
  if (request->response_started)
    {
      gw_request_finish (request, 0, rsn_refusal_text (reason));
      h1_response_abort (exchange);
      return;
    }
  gw_request_finish (request, status, rsn_refusal_text (reason));
  h1_respond (exchange, status, &field, status == 503 ? 1 : 0, "");
}

/* Refuse REQUEST for REASON: it has not run on an endpoint and will not.  */
void
gw_refuse (struct gw_request *request, enum rsn_refusal reason)
{
  gw_cancel_call (request);
  gw_send_error (request, reason, 503);
}

/* Fail REQUEST for REASON; it may have run on an endpoint.  */
void
gw_fail (struct gw_request *request, enum rsn_refusal reason)
{
  gw_cancel_call (request);
  gw_send_error (request, reason, reason == RSN_DEADLINE ? 504 : 502);
}

/* End REQUEST because its deadline or the shutdown grace period has passed:
   refuse it if it cannot have run, otherwise fail it.  */
void
gw_expire (struct gw_request *request)
{
  bool may_have_run = request->runs > 0 || gw_attempt_may_have_run (request);

  if (may_have_run)
    gw_fail (request, RSN_DEADLINE);
  else
    gw_refuse (request,
               request->model == NULL ? RSN_NO_ENDPOINT : RSN_COLD_TOO_LATE);
}
