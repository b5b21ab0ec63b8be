#include "rq.h"

#define RQ_STATUS_NOT_FOUND    404
#define RQ_STATUS_SERVER_ERROR 500

static void rq_deadline_expired (void *arg);
static void rq_hedge_expired (void *arg);

/* Initialize REQUEST, whose ACTIONS are called with ARG.  Attempt ids are
   taken from NEXT_ID, which all requests of the process share.  */
void
rq_init (struct rq_request *request, struct tm_service *tm,
         const struct rq_options *options, const struct rq_actions *actions,
         void *arg, uint64_t *next_id)
{
  *request = (struct rq_request){ .tm = tm,
                                  .actions = actions,
                                  .arg = arg,
                                  .next_id = next_id,
                                  .options = *options };
}

/* Start the deadline of REQUEST and queue it for an endpoint, or refuse it if
   it is known to be a poison request.  */
void
rq_start (struct rq_request *request)
{
  tm_after (request->tm, &request->deadline, request->options.deadline_us,
            rq_deadline_expired, request);
  request->state = RQ_WAITING;
  if (request->actions->is_poison (request->arg))
    rq_refused (request, RSN_POISON);
  else
    request->actions->wait (request->arg);
}

static struct rq_attempt *
rq_find_attempt (struct rq_request *request, uint64_t id)
{
  for (int i = 0; i < RQ_LIVE_MAX; i++)
    if (id != 0 && request->live[i].id == id)
      return &request->live[i];
  return NULL;
}

/* Return whether ATTEMPT is in progress and not cancelled.  */
bool
rq_is_live (const struct rq_request *request, uint64_t attempt)
{
  for (int i = 0; i < RQ_LIVE_MAX; i++)
    if (attempt != 0 && request->live[i].id == attempt)
      return true;
  return false;
}

static uint32_t
rq_live_count (const struct rq_request *request)
{
  uint32_t count = 0;

  for (int i = 0; i < RQ_LIVE_MAX; i++)
    if (request->live[i].id != 0)
      count++;
  return count;
}

static void
rq_release_attempt (struct rq_request *request, struct rq_attempt *attempt)
{
  tm_cancel (request->tm, &attempt->straggler_timer);
  attempt->id = 0;
}

/* Cancel all attempts but KEEP.  A cancelled attempt may have run.  */
static void
rq_cancel_others (struct rq_request *request, uint64_t keep)
{
  for (int i = 0; i < RQ_LIVE_MAX; i++)
    {
      uint64_t id = request->live[i].id;

      if (id == 0 || id == keep)
        continue;
      request->may_have_run = true;
      rq_release_attempt (request, &request->live[i]);
      request->actions->cancel (request->arg, id);
    }
}

/* Set the final state of REQUEST and call done, in which the owner may free
   it.  */
static void
rq_finish (struct rq_request *request, enum rq_outcome outcome)
{
  if (request->state == RQ_WAITING)
    request->actions->cancel_wait (request->arg);
  rq_cancel_others (request, 0);
  tm_cancel (request->tm, &request->deadline);
  tm_cancel (request->tm, &request->hedge);
  request->state = RQ_DONE;
  request->actions->done (request->arg, outcome);
}

/* Refuse REQUEST for REASON, as a stream event if part of a stream was sent.
   A reason that implies "never started" is replaced if an attempt may have
   run.  */
static void
rq_refuse (struct rq_request *request, enum rsn_refusal reason)
{
  bool started = request->tokens > 0;

  rq_cancel_others (request, 0);
  if (request->may_have_run && rsn_never_started (reason))
    reason = RSN_ENDPOINT_FAILED;
  request->actions->refuse (request->arg, reason, !request->may_have_run,
                            started);
  rq_finish (request, started ? RQ_TRUNCATED : RQ_REFUSED);
}

static void
rq_deadline_expired (void *arg)
{
  struct rq_request *request = arg;

  rq_refuse (request,
             request->attempts == 0 ? RSN_QUEUE_DEADLINE : RSN_DEADLINE);
}

/* Refuse REQUEST for REASON: the owner cannot provide an endpoint.  */
void
rq_refused (struct rq_request *request, enum rsn_refusal reason)
{
  if (request->state == RQ_WAITING)
    rq_refuse (request, reason);
}

static void
rq_straggler_expired (void *arg)
{
  struct rq_attempt *attempt = arg;
  struct rq_request *request = attempt->request;

  request->actions->straggler (request->arg, attempt->id);
}

/* Start an attempt on the endpoint that the owner has found.  Do nothing if no
   attempt is needed.  */
void
rq_launch (struct rq_request *request)
{
  struct rq_attempt *attempt = NULL;

  for (int i = 0; i < RQ_LIVE_MAX && attempt == NULL; i++)
    if (request->live[i].id == 0)
      attempt = &request->live[i];
  if (attempt == NULL
      || (request->state != RQ_WAITING && request->state != RQ_RUNNING))
    return;
  request->state = RQ_RUNNING;
  request->attempts++;
  attempt->request = request;
  attempt->id = ++*request->next_id;
  if (request->options.straggler_us > 0)
    tm_after (request->tm, &attempt->straggler_timer,
              request->options.straggler_us, rq_straggler_expired, attempt);
  if (request->options.hedge_us > 0 && !request->hedged
      && request->tokens == 0)
    tm_after (request->tm, &request->hedge, request->options.hedge_us,
              rq_hedge_expired, request);
  request->actions->launch (request->arg, attempt->id, request->tokens);
}

static void
rq_hedge_expired (void *arg)
{
  struct rq_request *request = arg;

  if (request->state != RQ_RUNNING || request->first_byte
      || rq_live_count (request) != 1)
    return;
  request->hedged = true;
  request->actions->hedge (request->arg);
}

static void
rq_first_byte (struct rq_request *request, uint64_t id)
{
  request->first_byte = true;
  tm_cancel (request->tm, &request->hedge);
  request->actions->first (request->arg, id);
}

/* The response head of ATTEMPT arrived, and the response is not a stream.  */
void
rq_response_head (struct rq_request *request, uint64_t attempt)
{
  if (rq_find_attempt (request, attempt) != NULL)
    rq_first_byte (request, attempt);
}

static enum rsn_refusal
rq_failure_refusal (const struct rq_request *request)
{
  switch (request->failure)
    {
    case RTY_CUT_BEFORE_FIRST_BYTE:
    case RTY_RESUME:
      return RSN_ANSWER_CUT;
    case RTY_CONNECT_FAILED:
    case RTY_NOT_STARTED:
    case RTY_SERVER_ERROR:
    case RTY_REPLICA_GONE:
    case RTY_HEDGE:
    case RTY_REASON_COUNT:
      break;
    }
  return RSN_ENDPOINT_FAILED;
}

/* Retry or refuse REQUEST, which has no attempt in progress.  */
static void
rq_retry_or_refuse (struct rq_request *request)
{
  if (request->actions->is_poison (request->arg))
    {
      rq_refuse (request, RSN_POISON);
      return;
    }
  if (request->tokens > 0)
    request->failure = RTY_RESUME;
  if ((request->tokens > 0 && !request->options.can_resume)
      || request->attempts >= RQ_ATTEMPTS_MAX)
    {
      rq_refuse (request, rq_failure_refusal (request));
      return;
    }
  if (!request->actions->consume_retry (request->arg, request->failure))
    {
      rq_refuse (request, RSN_RETRY_BUDGET);
      return;
    }
  request->state = RQ_WAITING;
  request->winner = 0;
  request->actions->wait (request->arg);
}

static void
rq_end_attempt (struct rq_request *request, struct rq_attempt *attempt,
                enum rty_reason reason, bool ran)
{
  rq_release_attempt (request, attempt);
  if (ran)
    request->may_have_run = true;
  request->failure = reason;
  if (rq_live_count (request) == 0)
    rq_retry_or_refuse (request);
}

/* Process the failure of ATTEMPT; SENT is true if any byte was written to its
   endpoint.  */
void
rq_attempt_failed (struct rq_request *request, uint64_t attempt,
                   enum rq_failure failure, bool sent)
{
  struct rq_attempt *found = rq_find_attempt (request, attempt);

  if (found == NULL)
    return;
  if (!sent || failure == RQ_CONNECT_FAILED)
    {
      rq_end_attempt (request, found, RTY_CONNECT_FAILED, sent);
      return;
    }
  if (failure == RQ_INCOMPLETE)
    {
      rq_end_attempt (request, found, RTY_CUT_BEFORE_FIRST_BYTE, true);
      return;
    }
  rq_release_attempt (request, found);
  request->may_have_run = true;
  request->failure = RTY_CUT_BEFORE_FIRST_BYTE;
  if (rq_live_count (request) == 0)
    {
      request->state = RQ_REPORTING;
      request->reported_attempt = attempt;
    }
  request->actions->report_crash (request->arg, attempt);
}

/* Go on after all peers have acknowledged the crash report of ATTEMPT.  */
void
rq_report_acked (struct rq_request *request, uint64_t attempt)
{
  if (request->state == RQ_REPORTING && request->reported_attempt == attempt)
    rq_retry_or_refuse (request);
}

/* Process one complete event of ATTEMPT's stream; DATA includes its line ends.
   The first attempt to deliver an event provides the whole response, and the
   others are cancelled.  */
void
rq_event (struct rq_request *request, uint64_t attempt,
          enum rq_event_kind kind, const char *data, size_t bytes)
{
  struct rq_attempt *found = rq_find_attempt (request, attempt);

  if (found == NULL)
    return;
  if (kind == RQ_EVENT_ERROR)
    {
      request->actions->cancel (request->arg, attempt);
      rq_end_attempt (request, found, RTY_SERVER_ERROR, true);
      return;
    }
  if (request->winner == 0)
    {
      request->winner = attempt;
      rq_cancel_others (request, attempt);
      rq_first_byte (request, attempt);
    }
  request->may_have_run = true;
  if (kind == RQ_EVENT_TOKEN)
    request->tokens++;
  request->actions->send (request->arg, data, bytes);
  if (kind != RQ_EVENT_END || request->state == RQ_DONE)
    return;
  rq_release_attempt (request, found);
  rq_finish (request, RQ_DELIVERED);
}

/* Process the complete RESPONSE of ATTEMPT, which is not a stream.  */
void
rq_response (struct rq_request *request, uint64_t attempt,
             const struct rq_response *response)
{
  struct rq_attempt *found = rq_find_attempt (request, attempt);

  if (found == NULL)
    return;
  if (response->not_started)
    rq_end_attempt (request, found, RTY_NOT_STARTED, false);
  else if (response->status >= RQ_STATUS_SERVER_ERROR)
    rq_end_attempt (request, found, RTY_SERVER_ERROR, true);
  else if (response->status == RQ_STATUS_NOT_FOUND)
    rq_end_attempt (request, found, RTY_REPLICA_GONE, true);
  else if (request->tokens > 0)
    {
      /* The response to a resumed request is not a stream.  */
      rq_release_attempt (request, found);
      rq_refuse (request, RSN_ANSWER_CUT);
    }
  else
    {
      rq_release_attempt (request, found);
      rq_cancel_others (request, 0);
      request->actions->response (request->arg, response);
      rq_finish (request, RQ_DELIVERED);
    }
}

/* Cancel REQUEST: the caller closed its connection.  */
void
rq_caller_disconnected (struct rq_request *request)
{
  if (request->state != RQ_DONE)
    rq_finish (request, RQ_DISCONNECTED);
}

/* Cut the response of REQUEST: the caller reads too slowly.  */
void
rq_caller_too_slow (struct rq_request *request)
{
  if (request->state != RQ_DONE)
    rq_finish (request, RQ_TRUNCATED);
}

/* Return the name of OUTCOME in metrics.  */
const char *
rq_outcome_text (enum rq_outcome outcome)
{
  static const char *const texts[] = { "delivered", "refused", "cut", "gone" };

  return texts[outcome];
}
