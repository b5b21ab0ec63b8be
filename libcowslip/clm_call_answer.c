#include "clm_call_impl.h"

/* End CALL.  The finished action may free it.  */
void
clm_call_finish (struct clm_call *call)
{
  call->state = CLM_FINISHED;
  tm_cancel (call->config.tm, &call->timer);
  call->config.actions->finished (call->config.context);
}

/* Refuse CALL because of REASON, unless it has been answered.  */
void
clm_call_refuse (struct clm_call *call, enum rsn_refusal reason, bool not_run)
{
  if (call->responded)
    return;
  call->responded = true;
  call->config.actions->refuse (call->config.context, reason, not_run);
}

/* Send RESPONSE to the caller, unless CALL has been answered.  */
void
clm_call_respond (struct clm_call *call, const struct clm_response *response)
{
  if (call->responded)
    return;
  call->responded = true;
  call->config.actions->response (call->config.context, response);
}

/* End the streamed response, if there is one.  */
void
clm_call_end_stream (struct clm_call *call, bool complete)
{
  if (!call->streaming)
    return;
  call->streaming = false;
  call->config.actions->stream_end (call->config.context, complete);
}

/* Release the claim, if any.  Call this only if nothing was sent under it.  */
void
clm_call_release (struct clm_call *call)
{
  if (!call->holds_claim)
    return;
  call->holds_claim = false;
  call->claim->kind = CS_CLAIM_RELEASE;
  call->config.actions->settle (call->config.context, call->claim);
}

/* Complete the claim of CALL, if any, with STATUS and, if WITH_BODY, the
   response body.  */
void
clm_call_complete (struct clm_call *call, uint32_t status, bool with_body)
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
