#ifndef COWSLIP_RQ_H
#define COWSLIP_RQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rsn.h"
#include "tm.h"

#define RQ_ATTEMPTS_MAX 4
#define RQ_LIVE_MAX     2 /* an attempt and its hedge */

/* State machine of one repeatable request.  Attempts have ids; events of an
   attempt that was abandoned, or of another request, change nothing.  */

enum rq_state
{
  RQ_NEW,
  RQ_WAITING,   /* for an endpoint */
  RQ_RUNNING,   /* at least one attempt is under way */
  RQ_REPORTING, /* peers are being told of a broken connection */
  RQ_DONE
};

/* The one end of a request.  */
enum rq_outcome
{
  RQ_DELIVERED, /* whole answer given to the caller */
  RQ_REFUSED,
  RQ_CUT, /* answer begun and ended visibly incomplete */
  RQ_GONE /* the caller left */
};

/* How an attempt failed without an answer.  */
enum rq_failure
{
  RQ_CONNECT_FAILED,
  RQ_BROKEN,    /* the connection broke */
  RQ_INCOMPLETE /* the answer ended in order, but is not whole or usable */
};

/* One event of a stream.  */
enum rq_event_kind
{
  RQ_EVENT_TOKEN,
  RQ_EVENT_END,  /* [DONE] */
  RQ_EVENT_ERROR /* the engine reports an error within its stream */
};

/* A whole answer that is not a stream.  */
struct rq_answer
{
  uint16_t status;
  const char *content_type;
  const char *body;
  size_t body_bytes;
  bool not_started; /* the engine says that it did not start */
};

/* What the request is promised; durations count from rq_start, and 0 means
   none.  */
struct rq_promise
{
  uint64_t deadline_us; /* from now; the whole answer */
  uint64_t hedge_us;    /* without a first byte */
  uint64_t straggler_us;
  bool can_resume;
};

/* Actions of the owner.  None may call back into the request unless it says
   so.  */
struct rq_actions
{
  /* Find an endpoint and call rq_launch, now or later, or rq_refused.  */
  void (*wait) (void *arg);
  /* No endpoint is needed any more.  */
  void (*withdraw) (void *arg);
  /* Call rq_launch now if another endpoint is free and the budget allows.  */
  void (*hedge) (void *arg);
  void (*launch) (void *arg, uint64_t attempt, uint32_t resume_from);
  void (*cancel) (void *arg, uint64_t attempt);
  /* The connection of ATTEMPT broke; call rq_reported once all peers know,
     now or later.  */
  void (*report) (void *arg, uint64_t attempt);
  bool (*budget) (void *arg, enum rty_reason reason);
  bool (*poison) (void *arg);
  void (*straggles) (void *arg, uint64_t attempt);
  void (*first) (void *arg, uint64_t attempt);
  void (*send) (void *arg, const char *data, size_t bytes);
  void (*answer) (void *arg, const struct rq_answer *answer);
  /* STARTED: part of a stream was sent, so the refusal goes as an event.  */
  void (*refuse) (void *arg, enum rsn_refusal reason, bool not_run,
                  bool started);
  /* Always the last action.  The owner may free the request.  */
  void (*done) (void *arg, enum rq_outcome outcome);
};

struct rq_attempt
{
  struct rq_request *request;
  uint64_t id; /* 0: free */
  struct tm_timer straggler;
};

struct rq_request
{
  struct tm_service *tm;
  const struct rq_actions *actions;
  void *arg;
  uint64_t *next_id;
  struct rq_promise promise;
  enum rq_state state;
  struct rq_attempt live[RQ_LIVE_MAX];
  uint32_t attempts;
  uint64_t reported; /* the attempt of which peers are being told */
  uint64_t winner;   /* the attempt whose stream the caller gets */
  uint32_t tokens;   /* sent to the caller */
  bool first_byte;
  bool hedged;
  bool may_have_run;
  enum rty_reason failure;
  struct tm_timer deadline;
  struct tm_timer hedge;
};

void rq_init (struct rq_request *request, struct tm_service *tm,
              const struct rq_promise *promise,
              const struct rq_actions *actions, void *arg, uint64_t *next_id);
void rq_start (struct rq_request *request);
void rq_launch (struct rq_request *request);
void rq_refused (struct rq_request *request, enum rsn_refusal reason);
void rq_head (struct rq_request *request, uint64_t attempt);
void rq_event (struct rq_request *request, uint64_t attempt,
               enum rq_event_kind kind, const char *data, size_t bytes);
void rq_answer (struct rq_request *request, uint64_t attempt,
                const struct rq_answer *answer);
void rq_failed (struct rq_request *request, uint64_t attempt,
                enum rq_failure failure, bool sent);
void rq_reported (struct rq_request *request, uint64_t attempt);
void rq_gone (struct rq_request *request);
void rq_slow (struct rq_request *request);
bool rq_is_live (const struct rq_request *request, uint64_t attempt);
const char *rq_outcome_text (enum rq_outcome outcome);

#endif
