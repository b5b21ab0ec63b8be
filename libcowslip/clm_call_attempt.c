#include "clm_call_impl.h"

/* Handle the start of the endpoint's response.  */
void
clm_call_head (struct clm_call *call, uint32_t status,
               const char *content_type)
{
  call->head_received = true;
  call->was_sent = true;
  call->status = status;
  g_free (call->content_type);
  call->content_type = g_strndup (content_type, COWSLIP_NAME_MAX);
  call->event_stream = evs_is_stream_type (content_type);
  evs_reset (&call->events);
}

static void
clm_ignore_event (void *arg, const char *data, size_t bytes)
{
  (void)arg;
  (void)data;
  (void)bytes;
}

/* Handle response data.  The body is buffered up to COWSLIP_BODY_MAX and
   streamed to the caller beyond that.  */
void
clm_call_body (struct clm_call *call, const char *data, size_t bytes)
{
  const struct clm_call_config *config = &call->config;

  if (call->event_stream)
    evs_feed (&call->events, data, bytes, clm_ignore_event, NULL);
  if (!call->too_large)
    g_string_append_len (call->body, data, (gssize)bytes);
  else if (call->streaming)
    config->actions->stream_data (config->context, data, bytes);
  if (call->too_large || call->body->len <= COWSLIP_BODY_MAX)
    return;
  call->too_large = true;
  if (!call->responded)
    {
      call->responded = true;
      call->streaming = true;
      config->actions->stream_start (config->context, call->status,
                                     call->content_type);
      config->actions->stream_data (config->context, call->body->str,
                                    call->body->len);
    }
  g_string_truncate (call->body, 0);
}

/* Whether CALL may be retried at another endpoint.  The retry budget is
   checked last, because a successful check consumes it.  */
enum clm_retry_decision
{
  CLM_RETRY,
  CLM_NO_ENDPOINT,
  CLM_NO_BUDGET
};

static enum clm_retry_decision
clm_may_retry (const struct clm_call *call, enum rty_reason reason)
{
  const struct clm_call_config *config = &call->config;

  if (tm_now_us (config->tm) >= config->deadline_us
      || !config->actions->has_endpoint (config->context))
    return CLM_NO_ENDPOINT;
  return config->actions->may_retry (config->context, reason) ? CLM_RETRY
                                                              : CLM_NO_BUDGET;
}

/* Retry CALL at another endpoint.  Only valid if nothing of the previous
   response was passed to the caller.  */
static void
clm_retry (struct clm_call *call)
{
  call->head_received = false;
  g_string_truncate (call->body, 0);
  (void)call->config.actions->attempt (call->config.context);
}

static bool
clm_is_server_error (uint32_t status)
{
  return status >= 502 && status <= 504;
}

static void
clm_attempt_complete (struct clm_call *call)
{
  struct clm_response response;

  if (call->event_stream && evs_is_within_event (&call->events))
    {
      clm_call_interrupted (call, false);
      return;
    }
  if (call->config.is_repeatable && !call->responded
      && clm_is_server_error (call->status)
      && clm_may_retry (call, RTY_SERVER_ERROR) == CLM_RETRY)
    {
      clm_retry (call);
      return;
    }
  if (call->too_large)
    {
      clm_call_complete (call, call->status + CLM_STATUS_BODY_OMITTED, false);
      clm_call_end_stream (call, true);
      clm_call_finish (call);
      return;
    }
  response = (struct clm_response){ call->status, call->content_type,
                                    call->body->str, call->body->len, false };
  clm_call_complete (call, call->status, true);
  clm_call_respond (call, &response);
  clm_call_finish (call);
}

/* Nothing was sent, so the call may be retried at another endpoint, under the
   same claim if it has one.  */
static void
clm_attempt_not_sent (struct clm_call *call)
{
  enum clm_retry_decision decision
      = call->responded ? CLM_NO_ENDPOINT
                        : clm_may_retry (call, RTY_CONNECT_FAILED);

  if (decision == CLM_RETRY)
    {
      clm_retry (call);
      return;
    }
  clm_call_release (call);
  if (decision == CLM_NO_BUDGET)
    clm_call_refuse (call, RSN_RETRY_BUDGET, !call->was_sent);
  else if (call->was_sent)
    clm_call_refuse (call, RSN_ENDPOINT_FAILED, false);
  else
    clm_call_refuse (call, RSN_NO_ENDPOINT, true);
  clm_call_finish (call);
}

static enum rsn_refusal
clm_interrupted_reason (enum clm_retry_decision decision, bool timeout)
{
  if (timeout)
    return RSN_DEADLINE;
  return decision == CLM_NO_BUDGET ? RSN_RETRY_BUDGET : RSN_ANSWER_CUT;
}

/* Handle an attempt that failed after the call was sent, because of the
   deadline if TIMEOUT.  */
void
clm_call_interrupted (struct clm_call *call, bool timeout)
{
  enum clm_retry_decision decision = CLM_NO_ENDPOINT;

  call->was_sent = true;
  if (!call->config.is_repeatable)
    {
      clm_call_complete (call, CLM_STATUS_UNKNOWN, false);
      clm_call_refuse (call, RSN_OUTCOME_UNKNOWN, false);
      clm_call_end_stream (call, false);
      clm_call_finish (call);
      return;
    }
  if (!call->responded && !timeout && !call->head_received)
    decision = clm_may_retry (call, RTY_CUT_BEFORE_FIRST_BYTE);
  if (decision == CLM_RETRY)
    {
      clm_retry (call);
      return;
    }
  clm_call_refuse (call, clm_interrupted_reason (decision, timeout), false);
  clm_call_end_stream (call, false);
  clm_call_finish (call);
}

/* Handle RESULT, the result of the current attempt.  */
void
clm_call_attempt_ended (struct clm_call *call, enum clm_attempt_result result)
{
  switch (result)
    {
    case CLM_ATTEMPT_COMPLETE:
      clm_attempt_complete (call);
      return;
    case CLM_ATTEMPT_NOT_SENT:
      clm_attempt_not_sent (call);
      return;
    case CLM_ATTEMPT_INTERRUPTED:
      clm_call_interrupted (call, false);
      return;
    case CLM_ATTEMPT_TIMEOUT:
      clm_call_interrupted (call, true);
      return;
    }
}
