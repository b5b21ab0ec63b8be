#ifndef COWSLIP_FWD_H
#define COWSLIP_FWD_H

#include <stdbool.h>
#include <stdint.h>

/* Decides what to do with a request after an attempt to send it to an endpoint
   has failed.  */

enum fwd_result
{
  FWD_NOT_SENT, /* no connection was opened */
  FWD_NOT_RUN,  /* the endpoint reported that the request did not run */
  FWD_ERROR,    /* error response */
  FWD_NO_VALID_RESPONSE, /* missing, truncated or malformed response */
  FWD_TIMED_OUT          /* canceled because no data was received */
};

/* State of the request when the attempt has ended.  */
struct fwd_input
{
  enum fwd_result end;
  bool may_retry;        /* the route allows it to run more than once */
  bool may_have_run;     /* an earlier attempt may have run */
  bool response_started; /* part of a response was sent to the caller */
  bool can_resume;       /* the response can be resumed at another endpoint */
  uint32_t runs;         /* attempts that may have run, this one included */
  uint32_t runs_max;
  uint32_t sends;          /* attempts, this one included */
  uint32_t remaining_ms;   /* until the caller's deadline */
  bool endpoint_available; /* an untried endpoint can take it */
  bool earlier_open;       /* an earlier attempt, which is silent, may go on */
};

enum fwd_action
{
  FWD_RETRY,  /* send it again; counts against the retry budget if it
                 reached an endpoint before */
  FWD_WAIT,   /* this attempt did not run; wait for an endpoint */
  FWD_REFUSE, /* respond that the request did not run */
  FWD_FAIL,   /* respond with an error; the request may have run */
  FWD_RELAY,  /* relay the error response of the endpoint */
  FWD_ABORT,  /* abort the response to the caller */
  FWD_GO_BACK /* wait for the earlier attempt */
};

bool fwd_may_have_run (enum fwd_result end);
enum fwd_action fwd_decide (const struct fwd_input *input);

#endif
