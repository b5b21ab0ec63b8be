#include "lg.h"
#include "refuse.h"
#include "services_impl.h"

static void
cd_count_outcome (const struct cd_call *call, const char *outcome)
{
  char name[64];

  g_snprintf (name, sizeof name, "service_calls_total{outcome=\"%s\"}",
              outcome);
  ctr_add (call->config.daemon->counters, name, 1);
}

static void
cd_caller_report_disconnect (void *arg)
{
  struct cd_call *call = arg;

  cd_count_outcome (call, "gone");
  clm_call_caller_disconnected (call->machine);
}

/* The exchange is no longer valid.  The state machine is notified from the
   event loop, because it may be in the middle of an action.  A call that may
   not be repeated continues without its caller, whether or not it was sent. */
static void
cd_caller_disconnected (void *arg)
{
  struct cd_call *call = arg;

  call->exchange = NULL;
  if (!call->config.is_repeatable && !call->is_streaming)
    {
      cd_count_outcome (call, "gone");
      return;
    }
  tm_after (call->config.daemon->tm, &call->caller_timer, 0,
            cd_caller_report_disconnect, call);
}

/* Detect a disconnect of the caller.  */
void
cd_caller_watch (struct cd_call *call)
{
  http_on_disconnect (call->exchange, cd_caller_disconnected, call);
}

static struct http_exchange *
cd_detach_exchange (struct cd_call *call)
{
  struct http_exchange *exchange = call->exchange;

  if (exchange == NULL)
    return NULL;
  call->exchange = NULL;
  tm_cancel (call->config.daemon->tm, &call->caller_timer);
  http_on_disconnect (exchange, NULL, NULL);
  return exchange;
}

/* Send RESPONSE to the caller of the call CONTEXT.  */
void
cd_act_respond (void *context, const struct clm_response *response)
{
  struct cd_call *call = context;
  struct http_exchange *exchange = cd_detach_exchange (call);

  if (exchange == NULL)
    return;
  cd_count_outcome (call, response->is_replay ? "repeated" : "answered");
  http_respond (exchange, (uint16_t)response->status, response->content_type,
                response->body == NULL ? "" : response->body,
                response->body_bytes);
}

static const char *
cd_refusal_message (enum rsn_refusal reason)
{
  switch (reason)
    {
    case RSN_NO_ENDPOINT:
      return "no endpoint of the service takes connections";
    case RSN_ENDPOINT_FAILED:
    case RSN_ANSWER_CUT:
      return "the service did not answer completely";
    case RSN_RETRY_BUDGET:
      return "the call failed and too many calls are being repeated";
    case RSN_DEADLINE:
      return "the deadline of the request's class has passed";
    case RSN_IN_PROGRESS:
      return "an earlier call with this Idempotency-Key is being answered";
    case RSN_OUTCOME_UNKNOWN:
      return "the call may have run, but its outcome is not known";
    case RSN_KEY_REUSED:
      return "this Idempotency-Key belongs to another request";
    case RSN_ANSWER_NOT_KEPT:
      return "the call has run; its answer was too large to be kept";
    case RSN_CLAIM_UNAVAILABLE:
      return "the call could not be protected from running twice";
    default:
      return rsn_refusal_text (reason);
    }
}

/* Refuse the call CONTEXT for REASON.  */
void
cd_act_refuse (void *context, enum rsn_refusal reason, bool not_run)
{
  struct cd_call *call = context;
  struct http_exchange *exchange = cd_detach_exchange (call);

  if (reason == RSN_OUTCOME_UNKNOWN)
    lg_write (LG_CLAIM_UNKNOWN, "service %s, %s %s", call->service,
              call->method, call->target);
  if (exchange == NULL)
    return;
  cd_count_outcome (call, "refused");
  cd_refuse (call->config.daemon, exchange, reason, not_run,
             cd_refusal_message (reason));
}

/* Start a streamed response.  */
void
cd_act_stream_start (void *context, uint32_t status, const char *content_type)
{
  struct cd_call *call = context;

  if (call->exchange == NULL)
    return;
  call->is_streaming = true;
  http_stream_start (call->exchange, (uint16_t)status, content_type);
}

/* Relay BYTES at DATA.  A caller that reads too slowly is disconnected, to
   bound the memory for unsent data.  */
void
cd_act_stream_data (void *context, const char *data, size_t bytes)
{
  struct cd_call *call = context;

  if (call->exchange == NULL)
    return;
  http_stream_write (call->exchange, data, bytes);
  if (call->exchange == NULL
      || http_stream_pending_bytes (call->exchange)
             <= cd_pending_max_bytes (call->config.daemon))
    return;
  ctr_add (call->config.daemon->counters, "slow_callers_total", 1);
  lg_write (
      LG_CALLER_SLOW,
      "service %s: %zu bytes unsent, memory_used_bytes=%" G_GUINT64_FORMAT,
      call->service, http_stream_pending_bytes (call->exchange),
      mbg_used_bytes (call->config.daemon->budget));
  http_stream_abort (cd_detach_exchange (call));
  cd_caller_disconnected (call);
}

/* End a streamed response, as truncated unless COMPLETE.  */
void
cd_act_stream_end (void *context, bool complete)
{
  struct cd_call *call = context;
  struct http_exchange *exchange = cd_detach_exchange (call);

  if (exchange == NULL)
    return;
  cd_count_outcome (call, complete ? "answered" : "cut");
  http_stream_end (exchange, complete);
}
