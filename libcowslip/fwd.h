#ifndef COWSLIP_FWD_H
#define COWSLIP_FWD_H

#include <stdbool.h>
#include <stdint.h>

/* What to do with a request after a send to an endpoint has ended without a
   whole good answer.  */

enum fwd_end
{
  FWD_NOT_SENT, /* no connection */
  FWD_NOT_RUN,  /* the endpoint says that it did not run the request */
  FWD_ERROR,    /* the endpoint answered that it failed */
  FWD_LOST,     /* no answer, a cut one, or bytes that are none */
  FWD_SLOW      /* given up because nothing was heard */
};

/* What is known of the request when a send has ended.  */
struct fwd_facts
{
  enum fwd_end end;
  bool may_repeat;   /* the request's kind allows a second run */
  bool has_run;      /* an earlier send may have run */
  bool answer_begun; /* bytes of an answer went to the caller */
  bool can_resume;   /* the answer can go on at another endpoint */
  uint32_t runs;     /* endpoints on which it may have run, this included */
  uint32_t runs_max;
  uint32_t sends;     /* connections tried, this included */
  uint32_t left_ms;   /* until the caller's time is over */
  bool endpoint_left; /* another endpoint can take it */
};

enum fwd_step
{
  FWD_AGAIN,  /* send it once more; arrivals need a budget */
  FWD_WAIT,   /* the last send did not run; wait for an endpoint */
  FWD_REFUSE, /* tell the caller truthfully that it did not run */
  FWD_FAIL,   /* tell the caller that it failed */
  FWD_PASS,   /* give the caller the endpoint's own answer */
  FWD_CUT     /* break the begun answer off */
};

bool fwd_may_have_run (enum fwd_end end);
enum fwd_step fwd_decide (const struct fwd_facts *facts);

#endif
