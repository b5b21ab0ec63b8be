#include "fwd.h"

/* Below this a further send cannot bring an answer in time.  */
#define FWD_LEFT_MIN_MS 20
/* Sends of one request, refused and failed ones included.  Bounds the work
   that one request can cause when all endpoints refuse.  */
#define FWD_SENDS_MAX 6

/* Return whether a send that ended with END may have run the request.  */
bool
fwd_may_have_run (enum fwd_end end)
{
  return end != FWD_NOT_SENT && end != FWD_NOT_RUN;
}

static bool
fwd_can_send (const struct fwd_facts *facts)
{
  return facts->left_ms >= FWD_LEFT_MIN_MS && facts->sends < FWD_SENDS_MAX;
}

/* The send that ended may have run the request.  */
static enum fwd_step
fwd_after_run (const struct fwd_facts *facts)
{
  bool repeat = facts->may_repeat && facts->runs < facts->runs_max
                && facts->endpoint_left && fwd_can_send (facts);

  if (facts->answer_begun)
    return repeat && facts->can_resume ? FWD_AGAIN : FWD_CUT;
  if (repeat)
    return FWD_AGAIN;
  return facts->end == FWD_ERROR ? FWD_PASS : FWD_FAIL;
}

/* Return the next step for a request of which FACTS hold.  A refusal that says
   "not run" is given only if no send may have run.  A begun answer that can go
   on is not broken off because the next endpoint is full: it has the rest of
   the caller's time to find one.  */
enum fwd_step
fwd_decide (const struct fwd_facts *facts)
{
  if (fwd_may_have_run (facts->end))
    return fwd_after_run (facts);
  if (facts->answer_begun && !(facts->can_resume && fwd_can_send (facts)))
    return FWD_CUT;
  if (fwd_can_send (facts))
    return facts->endpoint_left ? FWD_AGAIN : FWD_WAIT;
  return facts->has_run ? FWD_FAIL : FWD_REFUSE;
}
