#include "clm_call.h"

enum clm_state
{
  CLM_CLAIMING,
  CLM_RUNNING,
  CLM_FINISHED
};

struct clm_call
{
  struct clm_call_config config;
  cs_claim *claim;
  struct tm_timer timer;
  enum clm_state state;
  bool holds_claim;
  bool was_sent;  /* a byte may have been written by an earlier attempt */
  bool answered;  /* the caller has its answer or has gone */
  bool streaming; /* an answer that is too large to be kept is passed on */
  bool head_seen;
  bool too_large;
  uint32_t status;
  char *content_type;
  GString *body;
};

static void clm_deadline (void *arg);

/* Return a new call as CONFIG says.  */
struct clm_call *
clm_call_new (const struct clm_call_config *config)
{
  struct clm_call *call = g_new0 (struct clm_call, 1);

  call->config = *config;
  if (config->claim != NULL)
    call->claim = clm_copy (config->claim);
  call->body = g_string_new (NULL);
  return call;
}

/* Free CALL, at any time; no further action follows.  */
void
clm_call_free (struct clm_call *call)
{
  if (call == NULL)
    return;
  tm_cancel (call->config.tm, &call->timer);
  clm_free (call->claim);
  g_free (call->content_type);
  g_string_free (call->body, TRUE);
  g_free (call);
}

static void
clm_finish (struct clm_call *call)
{
  call->state = CLM_FINISHED;
  tm_cancel (call->config.tm, &call->timer);
  call->config.actions->finished (call->config.context);
}

static void
clm_refuse (struct clm_call *call, enum rsn_refusal reason, bool not_run)
{
  if (call->answered)
    return;
  call->answered = true;
  call->config.actions->refuse (call->config.context, reason, not_run);
}

static void
clm_give_answer (struct clm_call *call, const struct clm_answer *answer)
{
  if (call->answered)
    return;
  call->answered = true;
  call->config.actions->answer (call->config.context, answer);
}

static void
clm_end_stream (struct clm_call *call, bool whole)
{
  if (!call->streaming)
    return;
  call->streaming = false;
  call->config.actions->stream_end (call->config.context, whole);
}

/* Give the claim back; only if no byte was written under it.  */
static void
clm_release (struct clm_call *call)
{
  if (!call->holds_claim)
    return;
  call->holds_claim = false;
  call->claim->kind = CS_CLAIM_RELEASE;
  call->config.actions->settle (call->config.context, call->claim);
}

static void
clm_complete (struct clm_call *call, uint32_t status, bool with_body)
{
  cs_claim *claim = call->claim;

  if (!call->holds_claim)
    return;
  call->holds_claim = false;
  claim->kind = CS_CLAIM_COMPLETE;
  claim->status = status;
  if (with_body)
    {
      g_free (claim->content_type);
      claim->content_type = g_strdup (call->content_type);
      claim->body.body_len = (uint32_t)call->body->len;
      claim->body.body_val = call->body->str;
    }
  call->config.actions->settle (call->config.context, claim);
  claim->body.body_len = 0;
  claim->body.body_val = NULL;
}

/* Start CALL: claim it, or run it at once if it may be repeated.  */
void
clm_call_start (struct clm_call *call)
{
  uint64_t now_us = tm_now_us (call->config.tm);
  uint64_t left_us = call->config.deadline_us > now_us
                         ? call->config.deadline_us - now_us
                         : 0;

  tm_after (call->config.tm, &call->timer, left_us, clm_deadline, call);
  if (!call->config.is_repeatable)
    {
      call->state = CLM_CLAIMING;
      call->config.actions->claim (call->config.context, call->claim);
      return;
    }
  call->state = CLM_RUNNING;
  if (call->config.actions->attempt (call->config.context))
    return;
  clm_refuse (call, RSN_NO_ENDPOINT, true);
  clm_finish (call);
}

static void
clm_run_claimed (struct clm_call *call)
{
  call->state = CLM_RUNNING;
  if (call->config.actions->attempt (call->config.context))
    return;
  clm_release (call);
  clm_refuse (call, RSN_NO_ENDPOINT, true);
  clm_finish (call);
}

/* Another call has this idempotency key; tell the caller what is known of
   it.  */
static void
clm_repeat (struct clm_call *call, const cs_claim_reply *reply)
{
  const struct clm_call_config *config = &call->config;
  struct clm_answer answer = { reply->status, reply->content_type,
                               reply->body.body_val, reply->body.body_len };

  bool is_readable = reply->owner[0] != '\0';

  if (is_readable && reply->request_digest != call->claim->request_digest)
    clm_refuse (call, RSN_KEY_REUSED, false);
  else if (reply->outcome == CS_CLAIM_HELD
           && config->actions->is_owner_alive (config->context, reply->owner,
                                               reply->owner_incarnation))
    clm_refuse (call, RSN_IN_PROGRESS, false);
  else if (reply->outcome == CS_CLAIM_HELD
           || reply->status == CLM_STATUS_UNKNOWN)
    clm_refuse (call, RSN_OUTCOME_UNKNOWN, false);
  else if (reply->status >= CLM_STATUS_NOT_KEPT)
    clm_refuse (call, RSN_ANSWER_NOT_KEPT, false);
  else
    clm_give_answer (call, &answer);
  clm_finish (call);
}

/* There is no claim.  A service that refuses second runs itself needs none;
   a claim that may have been written is then completed all the same.  */
static void
clm_unclaimed (struct clm_call *call, bool may_be_written)
{
  call->holds_claim = may_be_written;
  if (call->config.deduplicates && !call->answered)
    {
      clm_run_claimed (call);
      return;
    }
  clm_release (call);
  clm_refuse (call, RSN_CLAIM_UNAVAILABLE, true);
  clm_finish (call);
}

/* REPLY answers the claim of CALL.  A caller that has gone or was refused
   meanwhile gets no run that it would not learn of.  */
void
clm_call_claimed (struct clm_call *call, const cs_claim_reply *reply)
{
  switch (reply->outcome)
    {
    case CS_CLAIM_GRANTED:
      call->holds_claim = true;
      if (!call->answered)
        {
          clm_run_claimed (call);
          return;
        }
      clm_release (call);
      clm_finish (call);
      return;
    case CS_CLAIM_HELD:
    case CS_CLAIM_DONE:
      clm_repeat (call, reply);
      return;
    case CS_CLAIM_UNAVAILABLE:
      clm_unclaimed (call, false);
      return;
    case CS_CLAIM_UNKNOWN:
      clm_unclaimed (call, true);
      return;
    }
}

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

/* Try CALL at another endpoint because of REASON; return whether that goes on.
   Only for attempts of which the caller has seen nothing.  */
static bool
clm_retry (struct clm_call *call, enum rty_reason reason, bool *has_budget)
{
  const struct clm_call_config *config = &call->config;

  *has_budget = config->actions->may_retry (config->context, reason);
  if (!*has_budget)
    return false;
  call->head_seen = false;
  g_string_truncate (call->body, 0);
  return config->actions->attempt (config->context);
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
  bool has_budget;

  if (call->config.is_repeatable && !call->answered
      && clm_is_server_error (call->status))
    {
      GString *body
          = g_string_new_len (call->body->str, (gssize)call->body->len);

      if (clm_retry (call, RTY_SERVER_ERROR, &has_budget))
        {
          g_string_free (body, TRUE);
          return;
        }
      g_string_free (call->body, TRUE);
      call->body = body;
    }
  if (call->too_large)
    {
      clm_complete (call, call->status + CLM_STATUS_NOT_KEPT, false);
      clm_end_stream (call, true);
      clm_finish (call);
      return;
    }
  answer = (struct clm_answer){ call->status, call->content_type,
                                call->body->str, call->body->len };
  clm_complete (call, call->status, true);
  clm_give_answer (call, &answer);
  clm_finish (call);
}

/* No byte was written, so the call may go to another endpoint, under the same
   claim if it has one.  */
static void
clm_not_sent (struct clm_call *call)
{
  bool has_budget = true;

  if (!call->answered && clm_retry (call, RTY_CONNECT_FAILED, &has_budget))
    return;
  clm_release (call);
  if (!has_budget)
    clm_refuse (call, RSN_RETRY_BUDGET, !call->was_sent);
  else if (call->was_sent)
    clm_refuse (call, RSN_ENDPOINT_FAILED, false);
  else
    clm_refuse (call, RSN_NO_ENDPOINT, true);
  clm_finish (call);
}

static void
clm_broken (struct clm_call *call, bool timeout)
{
  bool has_budget = true;

  call->was_sent = true;
  if (!call->config.is_repeatable)
    {
      clm_complete (call, CLM_STATUS_UNKNOWN, false);
      clm_refuse (call, RSN_OUTCOME_UNKNOWN, false);
      clm_end_stream (call, false);
      clm_finish (call);
      return;
    }
  if (!call->answered && !timeout && !call->head_seen
      && clm_retry (call, RTY_CUT_BEFORE_FIRST_BYTE, &has_budget))
    return;
  if (timeout)
    clm_refuse (call, RSN_DEADLINE, false);
  else
    clm_refuse (call, has_budget ? RSN_ANSWER_CUT : RSN_RETRY_BUDGET, false);
  clm_end_stream (call, false);
  clm_finish (call);
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
      clm_broken (call, false);
      return;
    case CLM_ATTEMPT_TIMEOUT:
      clm_broken (call, true);
      return;
    }
}

/* The caller will read no answer.  A call that may not be repeated goes on, so
   that its answer is kept for a repeated call; another one is cancelled.  */
void
clm_call_gone (struct clm_call *call)
{
  if (call->state == CLM_FINISHED)
    return;
  call->answered = true;
  call->streaming = false;
  if (!call->config.is_repeatable)
    return;
  call->config.actions->abandon (call->config.context);
  clm_finish (call);
}

static void
clm_linger_passed (void *arg)
{
  struct clm_call *call = arg;

  call->config.actions->abandon (call->config.context);
  clm_broken (call, true);
}

static void
clm_deadline (void *arg)
{
  struct clm_call *call = arg;

  if (call->state == CLM_CLAIMING)
    {
      clm_refuse (call, RSN_DEADLINE, true);
      return;
    }
  if (!call->config.is_repeatable)
    {
      clm_refuse (call, RSN_OUTCOME_UNKNOWN, false);
      clm_end_stream (call, false);
      tm_after (call->config.tm, &call->timer, CLM_LINGER_US,
                clm_linger_passed, call);
      return;
    }
  call->config.actions->abandon (call->config.context);
  clm_broken (call, true);
}

/* Return whether CALL holds a claim that is not settled.  */
bool
clm_call_holds_claim (const struct clm_call *call)
{
  return call->holds_claim;
}
