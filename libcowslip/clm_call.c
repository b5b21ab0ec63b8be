#include "clm_call_impl.h"

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
  clm_call_refuse (call, RSN_NO_ENDPOINT, true);
  clm_call_finish (call);
}

/* After the deadline nothing is sent: the instance may have been paused for so
   long that the claim has expired and belongs to another call.  */
static void
clm_run_claimed (struct clm_call *call)
{
  bool is_late = tm_now_us (call->config.tm) >= call->config.deadline_us;

  call->state = CLM_RUNNING;
  if (!is_late && call->config.actions->attempt (call->config.context))
    return;
  clm_call_release (call);
  clm_call_refuse (call, is_late ? RSN_DEADLINE : RSN_NO_ENDPOINT, true);
  clm_call_finish (call);
}

/* Another call has this idempotency key; tell the caller what is known of
   it.  */
static void
clm_repeat (struct clm_call *call, const cs_claim_reply *reply)
{
  const struct clm_call_config *config = &call->config;
  struct clm_answer answer
      = { reply->status, reply->content_type, reply->body.body_val,
          reply->body.body_len, true };
  bool is_readable = reply->owner[0] != '\0';

  if (is_readable && reply->request_digest != call->claim->request_digest)
    clm_call_refuse (call, RSN_KEY_REUSED, false);
  else if (reply->outcome == CS_CLAIM_HELD
           && config->actions->is_owner_alive (config->context, reply->owner,
                                               reply->owner_incarnation))
    clm_call_refuse (call, RSN_IN_PROGRESS, false);
  else if (reply->outcome == CS_CLAIM_HELD
           || reply->status == CLM_STATUS_UNKNOWN)
    clm_call_refuse (call, RSN_OUTCOME_UNKNOWN, false);
  else if (reply->status >= CLM_STATUS_NOT_KEPT)
    clm_call_refuse (call, RSN_ANSWER_NOT_KEPT, false);
  else
    clm_call_give_answer (call, &answer);
  clm_call_finish (call);
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
  clm_call_release (call);
  clm_call_refuse (call, RSN_CLAIM_UNAVAILABLE, true);
  clm_call_finish (call);
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
      clm_call_release (call);
      clm_call_finish (call);
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
  clm_call_finish (call);
}

static void
clm_linger_passed (void *arg)
{
  struct clm_call *call = arg;

  call->config.actions->abandon (call->config.context);
  clm_call_broken (call, true);
}

static void
clm_deadline (void *arg)
{
  struct clm_call *call = arg;

  if (call->state == CLM_CLAIMING)
    {
      clm_call_refuse (call, RSN_DEADLINE, true);
      return;
    }
  if (!call->config.is_repeatable)
    {
      clm_call_refuse (call, RSN_OUTCOME_UNKNOWN, false);
      clm_call_end_stream (call, false);
      tm_after (call->config.tm, &call->timer, CLM_LINGER_US,
                clm_linger_passed, call);
      return;
    }
  call->config.actions->abandon (call->config.context);
  clm_call_broken (call, true);
}

/* Return whether CALL holds a claim that is not settled.  */
bool
clm_call_holds_claim (const struct clm_call *call)
{
  return call->holds_claim;
}
