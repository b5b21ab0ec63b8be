#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gw_impl.h"
#include "lg.h"

/* Connecting within a region takes 1 ms.  TCP retransmits a lost SYN only
   after a second, so trying another endpoint is faster.  */
#define GW_CONNECT_TIMEOUT_MS 300
/* An idle connection older than this is not reused: the endpoint may close it
   while the request is in transit, which leaves it unknown whether the request
   ran.  */
#define GW_CONNECTION_IDLE_MAX_MS 1000
/* Reading from the endpoint pauses while more bytes than this of one response
   wait to be sent to the caller.  */
#define GW_PENDING_MAX_BYTES (256U << 10)
/* An idempotent request is sent to another endpoint if its response has not
   started after this multiple of the route's target latency.  */
#define GW_HEDGE_TARGET_RATIO 2.5
#define GW_HEDGE_MIN_MS       200
/* A response that is of no use is read to its end for this long, so that its
   connection can be kept.  */
#define GW_DISCARD_TIMEOUT_MS 200
/* A stream is resumed at another endpoint if no bytes at all have been
   received from its engine for this long.  Callers time out after 2 s without
   an event.  */
#define GW_STREAM_IDLE_TIMEOUT_MS 1000
/* Greater numbers in a reported load are not plausible.  */
#define GW_LOAD_MAX            1000000
#define GW_NORMAL_PACE_PERCENT 100
/* An endpoint that crashes on a request may have written the first bytes of
   its answer by then.  An answer that goes on for this long is sound.  */
#define GW_SOUND_AFTER_MS 100

static void
gw_set_outstanding (struct gw_request *request, bool outstanding)
{
  if (request->outstanding == outstanding)
    return;
  request->outstanding = outstanding;
  if (outstanding)
    request->endpoint->outstanding++;
  else
    request->endpoint->outstanding--;
}

/* Detach REQUEST from its endpoint and clear the state of the attempt.  */
void
gw_release_endpoint (struct gw_request *request)
{
  gw_set_outstanding (request, false);
  if (request->endpoint != NULL)
    request->endpoint->in_flight--;
  request->endpoint = NULL;
  request->call = NULL;
  request->response_status = 0;
  if (request->response_buffered)
    h1_head_clear (&request->response);
  request->response_buffered = false;
  request->response_discarded = false;
}

/* Cancel the current attempt of REQUEST, if there is one.  */
void
gw_cancel_call (struct gw_request *request)
{
  if (request->call != NULL)
    h1_call_cancel (request->call);
  gw_release_endpoint (request);
}

/* Return whether REQUEST may have run in its current attempt.  */
bool
gw_attempt_may_have_run (const struct gw_request *request)
{
  return request->state == GW_LOST
         || (request->call != NULL && h1_call_sent (request->call)
             && !(request->response_discarded && request->end == FWD_NOT_RUN));
}

/* Take over the load that the endpoint of REQUEST reports in HEAD: running and
   waiting requests, slots and, optionally, its pace.  */
static void
gw_update_load (struct gw_request *request, const struct h1_head *head)
{
  const char *value = h1_head_get (head, request->gw->protocol->fields.load);
  double numbers[] = { 0, 0, 0, GW_NORMAL_PACE_PERCENT };

  request->endpoint->last_receive_us = tm_now_us (request->gw->tm);
  if (value == NULL
      || sscanf (value, "%lf,%lf,%lf,%lf", &numbers[0], &numbers[1],
                 &numbers[2], &numbers[3])
             < 3)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (!(numbers[i] >= 0 && numbers[i] <= GW_LOAD_MAX))
      return;
  flt_set_load (request->gw->fleet, request->endpoint, (uint32_t)numbers[0],
                (uint32_t)numbers[1], (uint32_t)numbers[3]);
}

/* Handle a 421 response: the endpoint did not run the request because it lacks
   the model or adapter, or because another endpoint now has its address.  */
static void
gw_handle_misdirected (struct gw_request *request, const struct h1_head *head)
{
  struct gw *gw = request->gw;
  const char *id = h1_head_get (head, gw->protocol->fields.endpoint_id);

  if (id != NULL && !g_str_equal (id, request->endpoint->entry.id))
    flt_record_failure (gw->fleet, request->endpoint, true);
  else if (request->model != NULL)
    flt_mark_absent (gw->fleet, request->endpoint, request->model,
                     request->adapter);
}

static bool
gw_is_success (uint16_t status)
{
  return status >= 200 && status < 300;
}

/* Return whether HEAD announces an encoded body.  Callers ask for plain ones,
   so it is not the endpoint's.  */
static bool
gw_is_encoded (const struct h1_head *head)
{
  const char *encoding = h1_head_get (head, "Content-Encoding");

  return encoding != NULL && g_ascii_strcasecmp (encoding, "identity") != 0;
}

/* Return whether STATUS tells a caller that the request has not run and will
   not.  */
static bool
gw_is_refusal (uint16_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
gw_is_error (uint16_t status)
{
  return status == 500 || status == 502 || status == 503 || status == 504;
}

/* Return whether an endpoint that has not been tried can accept REQUEST.  */
static bool
gw_has_untried_endpoint (const struct gw_request *request)
{
  struct gw *gw = request->gw;
  struct pck_criteria query = gw_endpoint_query (request);

  query.only_untried = true;
  return pck_choose (gw->fleet, gw->tm, &query) != NULL;
}

static enum fwd_action
gw_decide (const struct gw_request *request, enum fwd_result end)
{
  struct fwd_input input
      = { .end = end,
          .may_retry = rte_may_retry (request->route),
          .may_have_run = request->runs > 0,
          .response_started = request->response_started,
          .can_resume = request->event_stream && request->route->resumable
                        && request->events.has_last_id,
          .runs = request->runs + (fwd_may_have_run (end) ? 1 : 0),
          .runs_max = request->route->attempts_max,
          .sends = request->sends,
          .remaining_ms = gw_remaining_ms (request),
          .endpoint_available = gw_has_untried_endpoint (request),
          .earlier_open = request->silent.endpoint != NULL };

  return fwd_decide (&input);
}

static void
gw_forward_head (struct gw_request *request)
{
  if (!request->response_buffered)
    return;
  /* A resumed stream keeps the response head of its first endpoint.  */
  if (!request->response_started)
    h1_response_head (request->exchange, &request->response);
  request->response_started = true;
  request->response_buffered = false;
  h1_head_clear (&request->response);
}

/* Return how many bytes of a response may wait to be sent: without memory for
   callers with much, only those that have been read already.  */
static size_t
gw_pending_max_bytes (const struct gw *gw)
{
  return mbg_is_short (gw->budget) ? 0 : GW_PENDING_MAX_BYTES;
}

static void
gw_forward_body (void *arg, const char *data, size_t bytes)
{
  struct gw_request *request = arg;
  uint64_t now_us = tm_now_us (request->gw->tm);

  gw_silent_drop (request, "resumed");
  if (request->forwarded_us == 0)
    request->first_byte_us = now_us - request->arrived_us;
  else
    request->max_gap_us
        = MAX (request->max_gap_us, now_us - request->forwarded_us);
  request->forwarded_us = now_us;
  gw_forward_head (request);
  h1_response_body (request->exchange, data, bytes);
  /* The last bytes are passed on when the call has ended.  */
  if (request->call != NULL
      && h1_exchange_pending_bytes (request->exchange)
             > gw_pending_max_bytes (request->gw))
    h1_call_set_reading (request->call, false);
}

/* The pending response bytes of the request ARG have been sent to its caller:
   resume reading from the endpoint.  */
void
gw_resume_reading (void *arg)
{
  struct gw_request *request = arg;

  if (request->call != NULL)
    h1_call_set_reading (request->call, true);
}

static void
gw_on_head (void *arg, const struct h1_head *head)
{
  struct gw_request *request = arg;
  const struct prt_fields *fields = &request->gw->protocol->fields;
  bool success = gw_is_success (head->status);
  bool is_stream
      = success && evs_is_stream_type (h1_head_get (head, "Content-Type"));

  request->response_status = head->status;
  request->framing = h1_head_framing (head);
  request->head_us = tm_now_us (request->gw->tm);
  gw_update_load (request, head);
  gw_read_signs (request->gw, request->endpoint->entry.id, request->started_ms,
                 head->status, head);
  gw_blame_alive (request, head);
  if (head->status == 421 || h1_head_get (head, fields->not_run) != NULL)
    {
      request->end = FWD_NOT_RUN;
      request->response_discarded = true;
      if (head->status == 421)
        gw_handle_misdirected (request, head);
    }
  else if (((success || gw_is_refusal (head->status))
            && h1_head_get (head, fields->seal) == NULL)
           || gw_is_encoded (head)
           || (request->response_started && !is_stream))
    {
      /* A success or refusal without a seal was not sent by the endpoint; only
         a stream can continue a stream.  */
      request->end = FWD_NO_VALID_RESPONSE;
      request->response_discarded = true;
    }
  else if (gw_is_error (head->status)
           && gw_decide (request, FWD_ERROR) == FWD_RETRY)
    {
      request->end = FWD_ERROR;
      request->response_discarded = true;
    }
  else
    gw_buffer_response_head (request, head);
}

/* End the current attempt of REQUEST, which has failed with RESULT, while its
   response goes on.  */
static void
gw_abandon_attempt (struct gw_request *request, enum fwd_result result)
{
  request->end = result;
  flt_record_failure (request->gw->fleet, request->endpoint, false);
  h1_call_cancel (request->call);
  request->call = NULL;
  gw_attempt_failed (request);
}

/* The endpoint did not crash on REQUEST: it is being answered.  */
static void
gw_set_sound (struct gw_request *request)
{
  if (!request->sound && gw_is_success (request->response_status))
    gw_blame_answered (request);
  request->sound = true;
}

static void
gw_check_sound (struct gw_request *request)
{
  uint64_t now_us = tm_now_us (request->gw->tm);

  if (request->body_us == 0)
    request->body_us = now_us;
  else if (now_us - request->body_us >= GW_SOUND_AFTER_MS * GW_US_PER_MS)
    gw_set_sound (request);
}

static void
gw_on_body (void *arg, const char *data, size_t bytes)
{
  struct gw_request *request = arg;

  request->endpoint->last_receive_us = tm_now_us (request->gw->tm);
  gw_set_outstanding (request, false);
  if (request->response_discarded)
    return;
  gw_check_sound (request);
  if (!request->event_stream)
    {
      gw_forward_body (request, data, bytes);
      return;
    }
  evs_feed (&request->events, data, bytes, gw_forward_body, request);
  if (request->events.out_of_place)
    {
      ctr_add (request->gw->counters, "events_out_of_place_total", 1);
      request->attempt_end = "out_of_place";
    }
  if (request->events.too_long || request->events.out_of_place)
    gw_abandon_attempt (request, FWD_NO_VALID_RESPONSE);
}

/* Return whether the endpoint broke off the event stream that it has ended.
   A response that continues a stream without any event may be an error's.
   Without a length or chunks the end of a stream without any event cannot be
   told from a failure before the first one.  */
static bool
gw_stream_is_truncated (const struct gw_request *request)
{
  return request->event_stream
         && (evs_is_within_event (&request->events)
             || evs_is_short (&request->events)
             || (request->unframed && request->events.event_count == 0));
}

static void
gw_response_complete (struct gw_request *request)
{
  struct gw *gw = request->gw;
  struct h1_exchange *exchange = request->exchange;
  uint16_t status
      = request->response_buffered ? request->response.status : 200;

  if (request->event_stream && request->events.partial->len > 0)
    gw_forward_body (request, request->events.partial->str,
                     request->events.partial->len);
  gw_forward_head (request);
  gw_set_sound (request);
  flt_record_success (request->endpoint);
  ctr_add (gw->counters, "answers_total", 1);
  gw_release_endpoint (request);
  gw_request_finish (request, status, "answered");
  h1_response_end (exchange);
}

static enum fwd_result
gw_attempt_result (enum h1_outcome end)
{
  return end == H1_OUTCOME_CONNECT_FAILED ? FWD_NOT_SENT
                                          : FWD_NO_VALID_RESPONSE;
}

static enum rty_reason
gw_retry_reason (const struct gw_request *request)
{
  if (request->response_started)
    return RTY_RESUME;
  switch (request->end)
    {
    case FWD_NOT_SENT:
      return RTY_CONNECT_FAILED;
    case FWD_NOT_RUN:
      return RTY_NOT_STARTED;
    case FWD_ERROR:
      return RTY_SERVER_ERROR;
    case FWD_TIMED_OUT:
      return RTY_HEDGE;
    default:
      return RTY_CUT_BEFORE_FIRST_BYTE;
    }
}

/* Return whether the attempt of REQUEST, which ended with END, may have
   crashed its endpoint: the connection was lost when the answer began, or
   before.  */
static bool
gw_is_lost (const struct gw_request *request, enum h1_outcome end)
{
  return (end == H1_OUTCOME_NO_RESPONSE || end == H1_OUTCOME_INCOMPLETE)
         && !request->response_discarded && !request->sound;
}

static void
gw_on_done (void *arg, enum h1_outcome end)
{
  struct gw_request *request = arg;
  struct gw *gw = request->gw;

  request->call = NULL;
  request->attempt_end = h1_outcome_text (end);
  if (end == H1_OUTCOME_COMPLETE && !request->response_discarded
      && gw_stream_is_truncated (request))
    {
      ctr_add (gw->counters, "streams_truncated_total", 1);
      end = H1_OUTCOME_INCOMPLETE;
    }
  if (end == H1_OUTCOME_COMPLETE && !request->response_discarded)
    {
      gw_response_complete (request);
      return;
    }
  if (!request->response_discarded)
    request->end = gw_attempt_result (end);
  if (end == H1_OUTCOME_COMPLETE)
    flt_record_success (request->endpoint);
  else
    flt_record_failure (gw->fleet, request->endpoint,
                        end == H1_OUTCOME_CONNECT_FAILED);
  if (!gw_is_lost (request, end) || !gw_await_probe (request))
    gw_attempt_failed (request);
}

const struct h1_call_events gw_call_events
    = { gw_on_head, gw_on_body, gw_on_done };

static void
gw_fail_attempt (struct gw_request *request)
{
  enum rsn_refusal reason
      = request->response_started ? RSN_ANSWER_CUT : RSN_ENDPOINT_FAILED;

  gw_fail (request, reason);
}

/* Handle the end of an attempt without a response for the caller: retry,
   queue, refuse or fail REQUEST.  */
void
gw_attempt_failed (struct gw_request *request)
{
  struct gw *gw = request->gw;
  enum fwd_action action = gw_decide (request, request->end);

  if (request->end != FWD_NOT_SENT)
    request->arrivals++;
  else if (request->arrivals > 0)
    request->retry_acquired = true;
  if (fwd_may_have_run (request->end))
    request->runs++;
  lg_write (LG_NO_RESPONSE,
            "id=%s endpoint=%s end=%d status=%u step=%d sends=%u runs=%u "
            "left_ms=%u framing=%s attempt_end=%s partial_event_bytes=%zu",
            request->id, request->endpoint->entry.id, request->end,
            request->response_status, action, request->sends, request->runs,
            gw_remaining_ms (request), request->framing, request->attempt_end,
            request->events.partial->len);
  gw_release_endpoint (request);
  evs_reset (&request->events);
  switch (action)
    {
    case FWD_GO_BACK:
      gw_silent_go_back (request);
      break;
    case FWD_RETRY:
      ctr_count_retry (gw->counters, gw_retry_reason (request));
      gw_request_dispatch (request);
      break;
    case FWD_WAIT:
      gw_enqueue (request);
      break;
    case FWD_REFUSE:
      gw_refuse (request, RSN_NO_ENDPOINT);
      break;
    default:
      gw_fail_attempt (request);
      break;
    }
}

static bool
gw_has_id (const struct gw_request *request)
{
  return h1_head_get (h1_exchange_head (request->exchange),
                      request->gw->protocol->fields.request_id)
         != NULL;
}

/* Send REQUEST to ENDPOINT.  Return false if no connection can be opened.  */
bool
gw_send (struct gw_request *request, struct flt_endpoint *endpoint)
{
  struct gw *gw = request->gw;
  struct h1_head head;
  struct h1_request send = { .peer = endpoint->entry.id,
                             .address = endpoint->entry.address,
                             .head = &head,
                             .connect_timeout_ms = GW_CONNECT_TIMEOUT_MS,
                             .idle_max_ms = GW_CONNECTION_IDLE_MAX_MS };

  if (gw_has_id (request))
    {
      send.match_name = gw->protocol->fields.request_id;
      send.match_value = request->id;
    }
  /* Elsewhere a response to an earlier request, or to an earlier attempt of
     this one, cannot be told from the response to this attempt.  */
  if (!gw_has_id (request)
      || flt_list_has (request->tried, endpoint->entry.id))
    send.idle_max_ms = 0;

  send.shared_body = h1_exchange_shared_body (request->exchange);
  gw_build_request_head (request, endpoint, &head);
  request->call = h1_call_start (gw->pool, &send, &gw_call_events, request);
  h1_head_clear (&head);
  if (request->call == NULL)
    return false;
  gw_dequeue (request);
  request->state = GW_SENT;
  request->head_us = 0;
  request->body_us = 0;
  request->framing = "-";
  request->attempt_end = "-";
  request->state_us = tm_now_us (gw->tm);
  request->endpoint = endpoint;
  request->started_ms = endpoint->entry.started_ms;
  endpoint->in_flight++;
  gw_set_outstanding (request, true);
  request->sends++;
  if (!flt_list_has (request->tried, endpoint->entry.id))
    g_ptr_array_add (request->tried, g_strdup (endpoint->entry.id));
  return true;
}

/* Abandon the current attempt of REQUEST if its response is overdue and the
   request may be sent to another endpoint, or if the response is of no use and
   does not end.  */
void
gw_check_timeout (struct gw_request *request)
{
  uint64_t now_us = tm_now_us (request->gw->tm);
  uint64_t last_receive_us
      = MAX (request->endpoint->last_receive_us, request->state_us);
  double limit_ms = GW_STREAM_IDLE_TIMEOUT_MS;

  gw_silent_check (request);
  if (request->response_discarded)
    {
      if (now_us - request->head_us >= GW_DISCARD_TIMEOUT_MS * GW_US_PER_MS)
        gw_abandon_attempt (request, request->end);
      return;
    }
  if (!rte_may_retry (request->route))
    return;
  if (request->route->kind == RTE_IDEMPOTENT)
    {
      if (request->response_buffered || request->response_started)
        return;
      last_receive_us = request->state_us;
      limit_ms = MAX (GW_HEDGE_MIN_MS,
                      GW_HEDGE_TARGET_RATIO * request->route->target_ms);
    }
  if ((double)(now_us - last_receive_us) < limit_ms * GW_US_PER_MS
      || gw_decide (request, FWD_TIMED_OUT) != FWD_RETRY)
    return;
  /* The endpoint may only be slow: without a retry the attempt goes on.  */
  if (request->response_started)
    gw_silent_resume (request);
  else if (gw_acquire_retry (request))
    gw_abandon_attempt (request, FWD_TIMED_OUT);
}
