#ifndef COWSLIP_CLM_CALL_H
#define COWSLIP_CLM_CALL_H

#include "clm.h"
#include "rsn.h"
#include "tm.h"

/* State machine of one call to a plain service, from its arrival to its
   response.  */
struct clm_call;

/* A complete response with a body of at most COWSLIP_BODY_MAX bytes.  */
struct clm_response
{
  uint32_t status;
  const char *content_type;
  const char *body;
  size_t body_bytes;
  bool is_replay; /* stored response of an earlier call */
};

/* Result of an attempt.  */
enum clm_attempt_result
{
  CLM_ATTEMPT_COMPLETE,
  CLM_ATTEMPT_NOT_SENT, /* no byte was written to the endpoint */
  CLM_ATTEMPT_INTERRUPTED,
  CLM_ATTEMPT_TIMEOUT
};

/* Actions that the call requests from its owner.  The caller gets exactly one
   of response, refuse or a stream, and nothing after it has disconnected.  */
struct clm_call_actions
{
  /* Submit CLAIM.  The reply is passed to clm_call_claimed.  */
  void (*claim) (void *context, const cs_claim *claim);
  /* Submit a completion or release.  No reply is expected.  */
  void (*settle) (void *context, const cs_claim *claim);
  /* Start an attempt at an endpoint that was not tried yet.  Return false if
     there is none.  The result is passed to clm_call_attempt_ended.  */
  bool (*attempt) (void *context);
  /* Return whether attempt would find an endpoint.  */
  bool (*has_endpoint) (void *context);
  /* Cancel the attempt in flight.  clm_call_attempt_ended is not called.  */
  void (*cancel_attempt) (void *context);
  bool (*may_retry) (void *context, enum rty_reason reason);
  bool (*is_owner_alive) (void *context, const char *owner,
                          uint64_t incarnation);
  void (*response) (void *context, const struct clm_response *response);
  void (*refuse) (void *context, enum rsn_refusal reason, bool not_run);
  void (*stream_start) (void *context, uint32_t status,
                        const char *content_type);
  void (*stream_data) (void *context, const char *data, size_t bytes);
  void (*stream_end) (void *context, bool complete);
  /* The call has ended and may be freed from within this action.  */
  void (*finished) (void *context);
};

struct clm_call_config
{
  const struct clm_call_actions *actions;
  void *context;
  struct tm_service *tm;
  bool is_repeatable; /* may run more than once; needs no claim */
  bool deduplicates;  /* the service rejects duplicate runs */
  uint64_t deadline_us;
  const cs_claim *claim; /* to be submitted; NULL if repeatable */
};

/* Time after the deadline for which a response is still awaited, to be stored
   for a repeated call.  */
#define CLM_LINGER_US (UINT64_C (30) * 1000 * 1000)

struct clm_call *clm_call_new (const struct clm_call_config *config);
void clm_call_free (struct clm_call *call);
void clm_call_start (struct clm_call *call);
void clm_call_claimed (struct clm_call *call, const cs_claim_reply *reply);
void clm_call_head (struct clm_call *call, uint32_t status,
                    const char *content_type);
void clm_call_body (struct clm_call *call, const char *data, size_t bytes);
void clm_call_attempt_ended (struct clm_call *call,
                             enum clm_attempt_result result);
void clm_call_caller_disconnected (struct clm_call *call);
bool clm_call_holds_claim (const struct clm_call *call);

#endif
