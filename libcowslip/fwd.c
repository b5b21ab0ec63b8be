#include "fwd.h"

/* With less time left, a retry cannot complete before the deadline.  */
#define FWD_REMAINING_MIN_MS 20
/* Maximum attempts per request, refused and failed ones included.  Bounds the
   work that one request causes when all endpoints refuse it.  */
#define FWD_SENDS_MAX 6

/* Return whether the request may have run if the attempt ended with END.  */
bool
fwd_may_have_run (enum fwd_result end)
{
  return end != FWD_NOT_SENT && end != FWD_NOT_RUN;
}

static bool
fwd_can_send (const struct fwd_input *input)
{
  return input->remaining_ms >= FWD_REMAINING_MIN_MS
         && input->sends < FWD_SENDS_MAX;
}

/* Return the action after an attempt that may have run.  */
static enum fwd_action
fwd_after_run (const struct fwd_input *input)
{
  bool retry = input->may_retry && input->runs < input->runs_max
               && input->endpoint_available && fwd_can_send (input);

  if (input->response_started)
    return retry && input->can_resume ? FWD_RETRY : FWD_ABORT;
  if (retry)
    return FWD_RETRY;
  return input->end == FWD_ERROR ? FWD_RELAY : FWD_FAIL;
}

/* Return the next action for a request with INPUT.  FWD_REFUSE is returned
   only if no attempt may have run.  A partial response that can be resumed is
   not aborted because the next endpoint is full: it may wait for one until the
   deadline.  */
enum fwd_action
fwd_decide (const struct fwd_input *input)
{
  if (input->earlier_open)
    return FWD_GO_BACK;
  if (fwd_may_have_run (input->end))
    return fwd_after_run (input);
  if (input->response_started && !(input->can_resume && fwd_can_send (input)))
    return FWD_ABORT;
  if (fwd_can_send (input))
    return input->endpoint_available ? FWD_RETRY : FWD_WAIT;
  return input->may_have_run ? FWD_FAIL : FWD_REFUSE;
}
