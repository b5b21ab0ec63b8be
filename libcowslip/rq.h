#ifndef COWSLIP_RQ_H
#define COWSLIP_RQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rsn.h"
#include "tm.h"

#define RQ_ATTEMPTS_MAX 4
#define RQ_LIVE_MAX     2 /* an attempt and its hedge */

/* State machine of one idempotent request with its retries, hedge and
   deadline.  Attempts have ids; events of an attempt that was cancelled, or of
   another request, are ignored.  */

enum rq_state
{
  RQ_NEW,
  RQ_WAITING,   /* queued for an endpoint */
  RQ_RUNNING,   /* at least one attempt is in progress */
  RQ_REPORTING, /* awaiting the peers' acknowledgement of a crash report */
  RQ_DONE
};

/* Final outcome of a request.  */
enum rq_outcome
{
  RQ_DELIVERED, /* complete response sent to the caller */
  RQ_REFUSED,
  RQ_TRUNCATED,   /* response ended early, which the caller can detect */
  RQ_DISCONNECTED /* the caller disconnected */
};

/* How an attempt failed to deliver a complete response.  */
enum rq_failure
{
  RQ_CONNECT_FAILED,
  RQ_CONNECTION_LOST, /* connection lost before the response was complete */
  RQ_INCOMPLETE       /* regular end, but incomplete or invalid response */
};

/* One event of a stream.  */
enum rq_event_kind
{
  RQ_EVENT_TOKEN,
  RQ_EVENT_END,  /* [DONE] */
  RQ_EVENT_ERROR /* error reported by the engine within the stream */
};

/* A complete response that is not a stream.  */
struct rq_response
{
  uint16_t status;
  const char *content_type;
  const char *body;
  size_t body_bytes;
  bool not_started; /* the engine reports that it did not start the request */
};

/* Time limits and options of a request.  The deadline counts from rq_start,
   the other delays from the start of an attempt; 0 disables them.  */
struct rq_options
{
  uint64_t deadline_us; /* for the complete response */
  uint64_t hedge_us;    /* start a hedge if no first byte has arrived */
  uint64_t straggler_us;
  bool can_resume;
};

/* Callbacks to the owner.  A callback must not call into the request unless
   its comment says so.  */
struct rq_actions
{
  /* Request an endpoint; the owner calls rq_launch or rq_refused, now or
     later.  */
  void (*wait) (void *arg);
  /* Cancel the last call of wait.  */
  void (*cancel_wait) (void *arg);
  /* Call rq_launch now if another endpoint has capacity and the retry budget
     allows it.  */
  void (*hedge) (void *arg);
  void (*launch) (void *arg, uint64_t attempt, uint32_t resume_from);
  void (*cancel) (void *arg, uint64_t attempt);
  /* The connection of ATTEMPT broke; call rq_report_acked, now or later, once
     all peers have acknowledged it.  */
  void (*report_crash) (void *arg, uint64_t attempt);
  bool (*consume_retry) (void *arg, enum rty_reason reason);
  bool (*is_poison) (void *arg);
  void (*straggler) (void *arg, uint64_t attempt);
  void (*first) (void *arg, uint64_t attempt);
  void (*send) (void *arg, const char *data, size_t bytes);
  void (*response) (void *arg, const struct rq_response *response);
  /* STARTED: part of a stream was sent, so the refusal must be sent as a
     stream event.  */
  void (*refuse) (void *arg, enum rsn_refusal reason, bool not_run,
                  bool started);
  /* The last callback.  The owner may free the request.  */
  void (*done) (void *arg, enum rq_outcome outcome);
};

struct rq_attempt
{
  struct rq_request *request;
  uint64_t id; /* 0: free */
  struct tm_timer straggler_timer;
};

struct rq_request
{
  struct tm_service *tm;
  const struct rq_actions *actions;
  void *arg;
  uint64_t *next_id;
  struct rq_options options;
  enum rq_state state;
  struct rq_attempt live[RQ_LIVE_MAX];
  uint32_t attempts;
  uint64_t reported_attempt; /* the attempt in the pending crash report */
  uint64_t winner;           /* attempt whose stream is forwarded; 0: none */
  uint32_t tokens;           /* sent to the caller */
  bool first_byte;
  bool hedged;
  bool may_have_run;
  enum rty_reason failure;
  struct tm_timer deadline;
  struct tm_timer hedge;
};

void rq_init (struct rq_request *request, struct tm_service *tm,
              const struct rq_options *options,
              const struct rq_actions *actions, void *arg, uint64_t *next_id);
void rq_start (struct rq_request *request);
void rq_launch (struct rq_request *request);
void rq_refused (struct rq_request *request, enum rsn_refusal reason);
void rq_response_head (struct rq_request *request, uint64_t attempt);
void rq_event (struct rq_request *request, uint64_t attempt,
               enum rq_event_kind kind, const char *data, size_t bytes);
void rq_response (struct rq_request *request, uint64_t attempt,
                  const struct rq_response *response);
void rq_attempt_failed (struct rq_request *request, uint64_t attempt,
                        enum rq_failure failure, bool sent);
void rq_report_acked (struct rq_request *request, uint64_t attempt);
void rq_caller_disconnected (struct rq_request *request);
void rq_caller_too_slow (struct rq_request *request);
bool rq_is_live (const struct rq_request *request, uint64_t attempt);
const char *rq_outcome_text (enum rq_outcome outcome);

#endif
