#include "gw_impl.h"
#include "lg.h"

/* Streams whose engine has sent nothing for some time.  An engine that pauses
   cannot be told from one that hangs, so another one is asked to go on while
   the first connection stays open; the one that sends first is kept.  */

/* A response begins when its engine runs the request, and a request must not
   run at two engines for 400 ms.  This is checked each 100 ms.  */
#define GW_OVERLAP_MAX_MS 200

static void
gw_silent_log_end (const struct gw_request *request, const char *result)
{
  lg_write (LG_STREAM_SILENT_END, "id=%s endpoint=%s result=%s", request->id,
            request->silent.endpoint->entry.id, result);
}

/* Forget the silent attempt of REQUEST, which no longer has a call.  */
static void
gw_silent_clear (struct gw_request *request)
{
  struct gw_silent *silent = &request->silent;

  silent->endpoint->in_flight--;
  g_string_free (silent->partial, TRUE);
  *silent = (struct gw_silent){ 0 };
}

/* Cancel the silent attempt of REQUEST, if there is one: another endpoint goes
   on with the stream, or REQUEST ends.  RESULT is for the log.  */
void
gw_silent_drop (struct gw_request *request, const char *result)
{
  if (request->silent.endpoint == NULL)
    return;
  gw_silent_log_end (request, result);
  h1_call_cancel (request->silent.call);
  gw_silent_clear (request);
}

/* Cancel the silent attempt of REQUEST if the current one has been running for
   so long that both might be at work.  */
void
gw_silent_check (struct gw_request *request)
{
  uint64_t now_us = tm_now_us (request->gw->tm);

  if (request->head_us != 0 && request->response_buffered
      && now_us - request->head_us >= GW_OVERLAP_MAX_MS * GW_US_PER_MS)
    gw_silent_drop (request, "resumed");
}

/* Make the silent attempt of REQUEST the current one, in place of one that has
   ended.  */
static void
gw_silent_restore (struct gw_request *request)
{
  struct gw_silent *silent = &request->silent;

  request->call = silent->call;
  request->endpoint = silent->endpoint;
  request->endpoint->in_flight++;
  request->state = GW_SENT;
  request->state_us = silent->state_us;
  request->head_us = silent->head_us;
  request->body_us = silent->body_us;
  request->framing = silent->framing;
  request->attempt_end = "-";
  request->response_status = silent->response_status;
  request->event_stream = true;
  request->unframed = silent->unframed;
  evs_reset (&request->events);
  g_string_append_len (request->events.partial, silent->partial->str,
                       (gssize)silent->partial->len);
  request->events.event_count = silent->event_count;
  request->events.resumed = silent->resumed;
  request->events.reached = silent->reached;
  request->runs--;
  request->arrivals--;
  if (request->call != NULL)
    h1_call_set_events (request->call, &gw_call_events);
  gw_silent_clear (request);
}

/* The current attempt of REQUEST has ended without a response and is detached:
   wait for the silent one.  */
void
gw_silent_go_back (struct gw_request *request)
{
  gw_silent_log_end (request, "back");
  gw_silent_restore (request);
}

/* The silent attempt of REQUEST goes on: cancel the current one.  */
static void
gw_silent_wake (struct gw_request *request)
{
  gw_silent_log_end (request, "woken");
  ctr_add (request->gw->counters, "silent_streams_woken_total", 1);
  flt_record_success (request->silent.endpoint);
  if (gw_attempt_may_have_run (request))
    request->runs++;
  request->retry_acquired
      = request->call != NULL && !h1_call_sent (request->call);
  if (!request->retry_acquired)
    request->arrivals++;
  gw_forget_probe (request);
  gw_cancel_call (request);
  gw_silent_restore (request);
}

static void
gw_silent_on_body (void *arg, const char *data, size_t bytes)
{
  struct gw_request *request = arg;

  gw_silent_wake (request);
  gw_call_events.body (request, data, bytes);
}

/* The connection of the silent attempt has ended.  A stream that is complete
   needs no other endpoint.  */
static void
gw_silent_on_done (void *arg, enum h1_outcome end)
{
  struct gw_request *request = arg;

  request->silent.call = NULL;
  if (end == H1_OUTCOME_COMPLETE && request->silent.partial->len == 0)
    {
      gw_silent_wake (request);
      gw_call_events.done (request, end);
      return;
    }
  gw_silent_log_end (request, "lost");
  flt_record_failure (request->gw->fleet, request->silent.endpoint, false);
  gw_silent_clear (request);
}

/* Detach REQUEST from the current attempt, which is kept as the silent one. It
   may have run, and counts as one that has ended until it goes on.  */
static void
gw_silent_keep (struct gw_request *request)
{
  const struct h1_call_events events
      = { gw_call_events.head, gw_silent_on_body, gw_silent_on_done };

  request->silent = (struct gw_silent){
    .call = request->call,
    .endpoint = request->endpoint,
    .state_us = request->state_us,
    .head_us = request->head_us,
    .body_us = request->body_us,
    .framing = request->framing,
    .response_status = request->response_status,
    .unframed = request->unframed,
    .partial = g_string_new_len (request->events.partial->str,
                                 (gssize)request->events.partial->len),
    .event_count = request->events.event_count,
    .resumed = request->events.resumed,
    .reached = request->events.reached
  };
  h1_call_set_events (request->call, &events);
  request->endpoint->in_flight++;
  request->runs++;
  request->arrivals++;
  request->call = NULL;
  gw_release_endpoint (request);
  evs_reset (&request->events);
}

/* Send REQUEST, whose stream is silent, to an endpoint that has not been
   tried, if the retry budget allows that.  */
void
gw_silent_resume (struct gw_request *request)
{
  struct gw *gw = request->gw;
  struct pck_criteria query = gw_endpoint_query (request);
  struct flt_endpoint *silent = request->endpoint;
  struct flt_endpoint *next;

  query.only_untried = true;
  next = pck_choose (gw->fleet, gw->tm, &query);
  /* The stream may have stopped because the request crashes endpoints.  */
  if (next == NULL || (!request->sound && !blm_is_empty (gw->blame.table))
      || !gw_acquire_retry (request))
    return;
  gw_silent_keep (request);
  if (!gw_send (request, next))
    {
      flt_record_failure (gw->fleet, next, true);
      gw_silent_restore (request);
      return;
    }
  request->retry_acquired = false;
  flt_record_failure (gw->fleet, silent, false);
  ctr_count_retry (gw->counters, RTY_RESUME);
  ctr_add (gw->counters, "silent_streams_total", 1);
  lg_write (LG_STREAM_SILENT, "id=%s endpoint=%s next=%s left_ms=%u",
            request->id, silent->entry.id, next->entry.id,
            gw_remaining_ms (request));
}
