#include "clm_call_impl.h"

static void clm_deadline_expired (void *arg);

/* Create a call with the settings in CONFIG.  */
struct clm_call *
clm_call_new (const struct clm_call_config *config)
{
  struct clm_call *call = g_new0 (struct clm_call, 1);

  call->config = *config;
  if (config->claim != NULL)
    call->claim = clm_copy (config->claim);
  call->body = g_string_new (NULL);
  evs_init (&call->events);
  return call;
}

/* Free CALL in any state.  No further actions are called.  */
void
clm_call_free (struct clm_call *call)
{
  if (call == NULL)
    return;
  tm_cancel (call->config.tm, &call->timer);
  clm_free (call->claim);
  g_free (call->content_type);
  g_string_free (call->body, TRUE);
  evs_clear (&call->events);
  g_free (call);
}

/* Start CALL: submit its claim, or send it at once if it is repeatable.  */
void
clm_call_start (struct clm_call *call)
{
  uint64_t now_us = tm_now_us (call->config.tm);
  uint64_t remaining_us = call->config.deadline_us > now_us
                              ? call->config.deadline_us - now_us
                              : 0;

  tm_after (call->config.tm, &call->timer, remaining_us, clm_deadline_expired,
            call);
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

/* Send a claimed call, unless its deadline has passed: the instance may have
   been paused for so long that the claim has expired and another call holds
   it.  */
static void
clm_run_claimed (struct clm_call *call)
{
  bool is_expired = tm_now_us (call->config.tm) >= call->config.deadline_us;

  call->state = CLM_RUNNING;
  if (!is_expired && call->config.actions->attempt (call->config.context))
    return;
  clm_call_release (call);
  clm_call_refuse (call, is_expired ? RSN_DEADLINE : RSN_NO_ENDPOINT, true);
  clm_call_finish (call);
}

/* Answer CALL from the claim of an earlier call with the same idempotency
   key.  */
static void
clm_respond_duplicate (struct clm_call *call, const cs_claim_reply *reply)
{
  const struct clm_call_config *config = &call->config;
  struct clm_response response
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
  else if (reply->status >= CLM_STATUS_BODY_OMITTED)
    clm_call_refuse (call, RSN_ANSWER_NOT_KEPT, false);
  else
    clm_call_respond (call, &response);
  clm_call_finish (call);
}

/* Handle a claim that was not granted.  A service that rejects duplicate runs
   itself needs no claim; if one may have been written, it is completed
   nevertheless.  */
static void
clm_claim_failed (struct clm_call *call, bool may_be_written)
{
  call->holds_claim = may_be_written;
  if (call->config.deduplicates && !call->responded)
    {
      clm_run_claimed (call);
      return;
    }
  clm_call_release (call);
  clm_call_refuse (call, RSN_CLAIM_UNAVAILABLE, true);
  clm_call_finish (call);
}

/* Handle REPLY to the claim of CALL.  The call is not sent if its caller has
   disconnected or was refused meanwhile, because it could not receive the
   response.  */
void
clm_call_claimed (struct clm_call *call, const cs_claim_reply *reply)
{
  switch (reply->outcome)
    {
    case CS_CLAIM_GRANTED:
      call->holds_claim = true;
      if (!call->responded)
        {
          clm_run_claimed (call);
          return;
        }
      clm_call_release (call);
      clm_call_finish (call);
      return;
    case CS_CLAIM_HELD:
    case CS_CLAIM_DONE:
      clm_respond_duplicate (call, reply);
      return;
    case CS_CLAIM_UNAVAILABLE:
      clm_claim_failed (call, false);
      return;
    case CS_CLAIM_UNKNOWN:
      clm_claim_failed (call, true);
      return;
    }
}

/* The caller has disconnected.  A call that is not repeatable continues, so
   that its response is stored for a repeated call; a repeatable one is
   cancelled.  */
void
clm_call_caller_disconnected (struct clm_call *call)
{
  if (call->state == CLM_FINISHED)
    return;
  call->responded = true;
  call->streaming = false;
  if (!call->config.is_repeatable)
    return;
  call->config.actions->cancel_attempt (call->config.context);
  clm_call_finish (call);
}

static void
clm_linger_expired (void *arg)
{
  struct clm_call *call = arg;

  call->config.actions->cancel_attempt (call->config.context);
  clm_call_interrupted (call, true);
}

static void
clm_deadline_expired (void *arg)
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
                clm_linger_expired, call);
      return;
    }
  call->config.actions->cancel_attempt (call->config.context);
  clm_call_interrupted (call, true);
}

/* Return whether CALL holds a claim that is neither completed nor
   released.  */
bool
clm_call_holds_claim (const struct clm_call *call)
{
  return call->holds_claim;
}
