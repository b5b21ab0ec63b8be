#include "clm_call_impl.h"

/* The endpoint's answer begins.  */
void
clm_call_head (struct clm_call *call, uint32_t status,
               const char *content_type)
{
  call->head_seen = true;
  call->was_sent = true;
  call->status = status;
  g_free (call->content_type);
  call->content_type = g_strndup (content_type, COWSLIP_NAME_MAX);
}

/* More of the endpoint's answer.  It is kept until it is whole or too large;
   a larger one is passed on piece by piece.  */
void
clm_call_body (struct clm_call *call, const char *data, size_t bytes)
{
  const struct clm_call_config *config = &call->config;

  if (!call->too_large)
    g_string_append_len (call->body, data, (gssize)bytes);
  else if (call->streaming)
    config->actions->stream_data (config->context, data, bytes);
  if (call->too_large || call->body->len <= COWSLIP_BODY_MAX)
    return;
  call->too_large = true;
  if (!call->answered)
    {
      call->answered = true;
      call->streaming = true;
      config->actions->stream_start (config->context, call->status,
                                     call->content_type);
      config->actions->stream_data (config->context, call->body->str,
                                    call->body->len);
    }
  g_string_truncate (call->body, 0);
}

/* Whether CALL may go to another endpoint because of REASON.  The budget is
   asked last, so that nothing is taken from it in vain.  */
enum clm_verdict
{
  CLM_RETRY,
  CLM_NO_ENDPOINT,
  CLM_NO_BUDGET
};

static enum clm_verdict
clm_may_retry (const struct clm_call *call, enum rty_reason reason)
{
  const struct clm_call_config *config = &call->config;

  if (tm_now_us (config->tm) >= config->deadline_us
      || !config->actions->has_endpoint (config->context))
    return CLM_NO_ENDPOINT;
  return config->actions->may_retry (config->context, reason) ? CLM_RETRY
                                                              : CLM_NO_BUDGET;
}

/* Try CALL at another endpoint.  Only after attempts of which the caller has
   seen nothing.  */
static void
clm_retry (struct clm_call *call)
{
  call->head_seen = false;
  g_string_truncate (call->body, 0);
  (void)call->config.actions->attempt (call->config.context);
}

static bool
clm_is_server_error (uint32_t status)
{
  return status >= 502 && status <= 504;
}

static void
clm_whole (struct clm_call *call)
{
  struct clm_answer answer;

  if (call->config.is_repeatable && !call->answered
      && clm_is_server_error (call->status)
      && clm_may_retry (call, RTY_SERVER_ERROR) == CLM_RETRY)
    {
      clm_retry (call);
      return;
    }
  if (call->too_large)
    {
      clm_call_complete (call, call->status + CLM_STATUS_NOT_KEPT, false);
      clm_call_end_stream (call, true);
      clm_call_finish (call);
      return;
    }
  answer = (struct clm_answer){ call->status, call->content_type,
                                call->body->str, call->body->len, false };
  clm_call_complete (call, call->status, true);
  clm_call_give_answer (call, &answer);
  clm_call_finish (call);
}

/* No byte was written, so the call may go to another endpoint, under the same
   claim if it has one.  */
static void
clm_not_sent (struct clm_call *call)
{
  enum clm_verdict verdict = call->answered
                                 ? CLM_NO_ENDPOINT
                                 : clm_may_retry (call, RTY_CONNECT_FAILED);

  if (verdict == CLM_RETRY)
    {
      clm_retry (call);
      return;
    }
  clm_call_release (call);
  if (verdict == CLM_NO_BUDGET)
    clm_call_refuse (call, RSN_RETRY_BUDGET, !call->was_sent);
  else if (call->was_sent)
    clm_call_refuse (call, RSN_ENDPOINT_FAILED, false);
  else
    clm_call_refuse (call, RSN_NO_ENDPOINT, true);
  clm_call_finish (call);
}

static enum rsn_refusal
clm_broken_reason (enum clm_verdict verdict, bool timeout)
{
  if (timeout)
    return RSN_DEADLINE;
  return verdict == CLM_NO_BUDGET ? RSN_RETRY_BUDGET : RSN_ANSWER_CUT;
}

/* The attempt broke off after it was sent, because of the time limit if
   TIMEOUT.  */
void
clm_call_broken (struct clm_call *call, bool timeout)
{
  enum clm_verdict verdict = CLM_NO_ENDPOINT;

  call->was_sent = true;
  if (!call->config.is_repeatable)
    {
      clm_call_complete (call, CLM_STATUS_UNKNOWN, false);
      clm_call_refuse (call, RSN_OUTCOME_UNKNOWN, false);
      clm_call_end_stream (call, false);
      clm_call_finish (call);
      return;
    }
  if (!call->answered && !timeout && !call->head_seen)
    verdict = clm_may_retry (call, RTY_CUT_BEFORE_FIRST_BYTE);
  if (verdict == CLM_RETRY)
    {
      clm_retry (call);
      return;
    }
  clm_call_refuse (call, clm_broken_reason (verdict, timeout), false);
  clm_call_end_stream (call, false);
  clm_call_finish (call);
}

/* The attempt under way has ended as END says.  */
void
clm_call_ended (struct clm_call *call, enum clm_attempt_end end)
{
  switch (end)
    {
    case CLM_ATTEMPT_WHOLE:
      clm_whole (call);
      return;
    case CLM_ATTEMPT_NOT_SENT:
      clm_not_sent (call);
      return;
    case CLM_ATTEMPT_CUT:
      clm_call_broken (call, false);
      return;
    case CLM_ATTEMPT_TIMEOUT:
      clm_call_broken (call, true);
      return;
    }
}
