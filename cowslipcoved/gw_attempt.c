#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gw_impl.h"
#include "lg.h"

/* Connections within a region take 1 ms.  A lost opening packet is sent again
   after a second, so waiting that long costs more than another endpoint.  */
#define GW_CONNECT_MS 300
/* A kept connection that was idle longer is not used: the endpoint may close
   it while the request is on its way, and then it is not known whether the
   request ran.  */
#define GW_IDLE_MAX_MS 1000
/* Unsent bytes of one answer at which the endpoint is no longer read.  */
#define GW_PENDING_MAX_BYTES (256U << 10)
/* An answer that has not begun after this many times the objective is asked
   for elsewhere, where the request allows it.  */
#define GW_SLOW_TARGETS 2.5
#define GW_SLOW_MIN_MS  200
/* Streams go on elsewhere when an engine is not heard at all for this long.
   Callers give up after 2 s without an event (PROTOCOL).  */
#define GW_SILENT_MS 1000
/* The requests with priority 0 get this rank at engines, whose scale goes
   from 0, the first, to 9.  */
#define GW_FIRST_RANK 2
#define GW_LAST_RANK  9

static void gw_next_step (struct gw_request *request);

/* Return the names of the fields in the Connection field of HEAD, to be freed
   with g_strfreev; NULL: none.  */
static char **
gw_connection_fields (const struct h1_head *head)
{
  const char *value = h1_head_get (head, "Connection");
  char **names = value == NULL ? NULL : g_strsplit (value, ",", -1);

  for (char **each = names; each != NULL && *each != NULL; each++)
    g_strstrip (*each);
  return names;
}

/* Return whether NAMES, which may be NULL, has NAME in any case.  */
static bool
gw_has_name (const char *const *names, const char *name)
{
  for (; names != NULL && *names != NULL; names++)
    if (g_ascii_strcasecmp (*names, name) == 0)
      return true;
  return false;
}

static bool
gw_is_reserved (const struct prt_fields *fields, const char *name)
{
  return gw_has_name (fields->reserved, name)
         || g_ascii_strcasecmp (fields->time_left_ms, name) == 0;
}

static void
gw_add_own_fields (const struct gw_request *request,
                   const struct flt_endpoint *endpoint, struct h1_head *head)
{
  const struct prt_fields *fields = &request->gw->protocol->fields;
  uint32_t rank = MIN (GW_FIRST_RANK + request->route->priority, GW_LAST_RANK);
  char number[32];

  h1_head_add (head, fields->expected_endpoint, endpoint->entry.id);
  (void)snprintf (number, sizeof number, "%u", gw_left_ms (request));
  h1_head_add (head, fields->time_left_ms, number);
  if (request->model != NULL)
    {
      (void)snprintf (number, sizeof number, "%u", rank);
      h1_head_add (head, fields->priority, number);
    }
  if (request->answer_begun)
    {
      (void)snprintf (number, sizeof number, "%" G_GUINT64_FORMAT,
                      request->events.last_id);
      h1_head_add (head, fields->last_event, number);
    }
}

/* Fill HEAD with what ENDPOINT gets.  */
static void
gw_write_head (const struct gw_request *request,
               const struct flt_endpoint *endpoint, struct h1_head *head)
{
  const struct prt_fields *names = &request->gw->protocol->fields;
  const struct h1_head *from = h1_exchange_head (request->exchange);
  char **dropped = gw_connection_fields (from);

  h1_head_init (head);
  head->method = g_strdup (from->method);
  head->target = g_strdup (from->target);
  head->has_length = from->has_length;
  head->chunked = from->chunked;
  for (guint i = 0; i < from->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (from->fields, struct h1_field, i);

      if (gw_is_reserved (names, field->name)
          || gw_has_name ((const char *const *)dropped, field->name)
          || (request->answer_begun
              && g_ascii_strcasecmp (field->name, names->last_event) == 0))
        continue;
      h1_head_add (head, field->name, field->value);
    }
  g_strfreev (dropped);
  gw_add_own_fields (request, endpoint, head);
}

static void
gw_set_unanswered (struct gw_request *request, bool unanswered)
{
  if (request->unanswered == unanswered)
    return;
  request->unanswered = unanswered;
  if (unanswered)
    request->endpoint->unanswered++;
  else
    request->endpoint->unanswered--;
}

/* Leave the endpoint of REQUEST.  */
static void
gw_leave_endpoint (struct gw_request *request)
{
  gw_set_unanswered (request, false);
  if (request->endpoint != NULL)
    request->endpoint->in_flight--;
  request->endpoint = NULL;
  request->call = NULL;
  if (request->answer_held)
    h1_head_clear (&request->answer);
  request->answer_held = false;
  request->answer_dropped = false;
}

/* Give the send of REQUEST up, if there is one.  */
void
gw_drop_call (struct gw_request *request)
{
  if (request->call != NULL)
    h1_call_cancel (request->call);
  gw_leave_endpoint (request);
}

static void
gw_note_load (struct gw_request *request, const struct h1_head *head)
{
  const char *value = h1_head_get (head, request->gw->protocol->fields.load);
  unsigned int running = 0;
  unsigned int waiting = 0;
  unsigned int slots = 0;
  unsigned int pace = 100;

  request->endpoint->heard_us = tm_now_us (request->gw->tm);
  if (value != NULL
      && sscanf (value, "%u,%u,%u,%u", &running, &waiting, &slots, &pace) >= 3)
    flt_told_load (request->gw->fleet, request->endpoint, running, waiting,
                   pace);
}

/* The endpoint says that it did not run the request because it lacks what the
   request needs, or because another endpoint has its address.  */
static void
gw_note_misdirected (struct gw_request *request, const struct h1_head *head)
{
  struct gw *gw = request->gw;
  const char *id = h1_head_get (head, gw->protocol->fields.endpoint_id);

  if (id != NULL && !g_str_equal (id, request->endpoint->entry.id))
    flt_failed (gw->fleet, request->endpoint, true);
  else if (request->model != NULL)
    flt_lacks (gw->fleet, request->endpoint, request->model, request->adapter);
}

static bool
gw_is_error (uint16_t status)
{
  return status == 500 || status == 502 || status == 503 || status == 504;
}

/* Return whether another endpoint than those tried can take REQUEST.  */
static bool
gw_endpoint_left (const struct gw_request *request)
{
  struct gw *gw = request->gw;
  struct pck_wish wish = gw_wish (request);

  wish.only_untried = true;
  return pck_choose (gw->fleet, gw->tm, &wish) != NULL;
}

static enum fwd_step
gw_decide (const struct gw_request *request, enum fwd_end end)
{
  struct fwd_facts facts
      = { .end = end,
          .may_repeat = rte_may_repeat (request->route),
          .has_run = request->runs > 0,
          .answer_begun = request->answer_begun,
          .can_resume = request->event_stream && request->route->resumable
                        && request->events.any,
          .runs = request->runs + (fwd_may_have_run (end) ? 1 : 0),
          .runs_max = request->route->attempts_max,
          .sends = request->sends,
          .left_ms = gw_left_ms (request),
          .endpoint_left = gw_endpoint_left (request) };

  return fwd_decide (&facts);
}

static void
gw_pass_head (struct gw_request *request)
{
  if (!request->answer_held)
    return;
  /* A stream that goes on elsewhere keeps the head of its first engine.  */
  if (!request->answer_begun)
    h1_answer_head (request->exchange, &request->answer);
  request->answer_begun = true;
  request->answer_held = false;
  h1_head_clear (&request->answer);
}

static void
gw_pass_body (void *arg, const char *data, size_t bytes)
{
  struct gw_request *request = arg;
  uint64_t now_us = tm_now_us (request->gw->tm);

  if (request->passed_us == 0)
    request->first_us = now_us - request->arrived_us;
  else
    request->pause_us = MAX (request->pause_us, now_us - request->passed_us);
  request->passed_us = now_us;
  gw_pass_head (request);
  h1_answer_body (request->exchange, data, bytes);
  if (h1_exchange_pending_bytes (request->exchange) > GW_PENDING_MAX_BYTES)
    h1_call_read (request->call, false);
}

/* The caller of the request ARG took what was sent to it.  */
void
gw_resume_reading (void *arg)
{
  struct gw_request *request = arg;

  if (request->call != NULL)
    h1_call_read (request->call, true);
}

static void
gw_hold_head (struct gw_request *request, const struct h1_head *head)
{
  const char *type = h1_head_get (head, "Content-Type");
  char **dropped = gw_connection_fields (head);

  request->event_stream = type != NULL
                          && g_ascii_strncasecmp (type, "text/event-stream",
                                                  strlen ("text/event-stream"))
                                 == 0;
  h1_head_init (&request->answer);
  request->answer.status = head->status;
  request->answer.has_length = head->has_length && !request->event_stream;
  request->answer.length_bytes = head->length_bytes;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (head->fields, struct h1_field, i);

      if (!gw_has_name ((const char *const *)dropped, field->name))
        h1_head_add (&request->answer, field->name, field->value);
    }
  g_strfreev (dropped);
  request->answer_held = true;
}

static void
gw_on_head (void *arg, const struct h1_head *head)
{
  struct gw_request *request = arg;
  const struct prt_fields *fields = &request->gw->protocol->fields;
  bool good = head->status >= 200 && head->status < 300;

  gw_note_load (request, head);
  if (head->status == 421 || h1_head_get (head, fields->not_run) != NULL)
    {
      request->end = FWD_NOT_RUN;
      request->answer_dropped = true;
      if (head->status == 421)
        gw_note_misdirected (request, head);
    }
  else if (good ? h1_head_get (head, fields->seal) == NULL
                : request->answer_begun)
    {
      /* Not the endpoint's answer, or no way to go on with the stream.  */
      request->end = FWD_LOST;
      request->answer_dropped = true;
    }
  else if (gw_is_error (head->status)
           && gw_decide (request, FWD_ERROR) == FWD_AGAIN)
    {
      request->end = FWD_ERROR;
      request->answer_dropped = true;
    }
  else
    gw_hold_head (request, head);
}

static void
gw_on_body (void *arg, const char *data, size_t bytes)
{
  struct gw_request *request = arg;

  request->endpoint->heard_us = tm_now_us (request->gw->tm);
  gw_set_unanswered (request, false);
  if (request->answer_dropped)
    return;
  if (request->event_stream)
    evs_feed (&request->events, data, bytes, gw_pass_body, request);
  else
    gw_pass_body (request, data, bytes);
}

static void
gw_answered (struct gw_request *request)
{
  struct gw *gw = request->gw;
  struct h1_exchange *exchange = request->exchange;
  uint16_t status = request->answer_held ? request->answer.status : 200;

  if (request->event_stream && request->events.partial->len > 0)
    gw_pass_body (request, request->events.partial->str,
                  request->events.partial->len);
  gw_pass_head (request);
  flt_answered (request->endpoint);
  ctr_add (gw->counters, "answers_total", 1);
  gw_leave_endpoint (request);
  gw_request_ended (request, status, "answered");
  h1_answer_end (exchange);
}

static enum fwd_end
gw_end_of (enum h1_end end)
{
  return end == H1_END_NO_LINK ? FWD_NOT_SENT : FWD_LOST;
}

static enum rty_reason
gw_retry_reason (const struct gw_request *request)
{
  if (request->answer_begun)
    return RTY_RESUME;
  switch (request->end)
    {
    case FWD_NOT_SENT:
      return RTY_CONNECT_FAILED;
    case FWD_NOT_RUN:
      return RTY_NOT_STARTED;
    case FWD_ERROR:
      return RTY_SERVER_ERROR;
    case FWD_SLOW:
      return RTY_HEDGE;
    default:
      return RTY_CUT_BEFORE_FIRST_BYTE;
    }
}

static void
gw_on_done (void *arg, enum h1_end end)
{
  struct gw_request *request = arg;
  struct gw *gw = request->gw;

  request->call = NULL;
  if (end == H1_END_WHOLE && !request->answer_dropped)
    {
      gw_answered (request);
      return;
    }
  if (!request->answer_dropped)
    request->end = gw_end_of (end);
  if (end == H1_END_WHOLE)
    flt_answered (request->endpoint);
  else
    flt_failed (gw->fleet, request->endpoint, end == H1_END_NO_LINK);
  gw_next_step (request);
}

static const struct h1_call_events gw_call_events
    = { gw_on_head, gw_on_body, gw_on_done };

static void
gw_fail_or_pass (struct gw_request *request)
{
  enum rsn_refusal reason
      = request->answer_begun ? RSN_ANSWER_CUT : RSN_ENDPOINT_FAILED;

  gw_fail (request, reason);
}

/* A send has ended without an answer for the caller: go on as the facts
   allow.  */
static void
gw_next_step (struct gw_request *request)
{
  struct gw *gw = request->gw;
  enum fwd_step step = gw_decide (request, request->end);

  if (request->end != FWD_NOT_SENT)
    request->arrivals++;
  if (fwd_may_have_run (request->end))
    request->runs++;
  lg_write (LG_SEND_ENDED,
            "id=%s endpoint=%s end=%d step=%d sends=%u runs=%u left_ms=%u",
            request->id, request->endpoint->entry.id, request->end, step,
            request->sends, request->runs, gw_left_ms (request));
  gw_leave_endpoint (request);
  evs_restart (&request->events);
  switch (step)
    {
    case FWD_AGAIN:
      ctr_retry (gw->counters, gw_retry_reason (request));
      gw_request_dispatch (request);
      break;
    case FWD_WAIT:
      gw_wait (request);
      break;
    case FWD_REFUSE:
      gw_refuse (request, RSN_NO_ENDPOINT);
      break;
    default:
      gw_fail_or_pass (request);
      break;
    }
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
                             .match_name = gw->protocol->fields.request_id,
                             .match_value = request->id,
                             .connect_timeout_ms = GW_CONNECT_MS,
                             .idle_max_ms = GW_IDLE_MAX_MS };

  send.body = h1_exchange_body (request->exchange, &send.body_bytes);
  gw_write_head (request, endpoint, &head);
  request->call = h1_call_start (gw->pool, &send, &gw_call_events, request);
  h1_head_clear (&head);
  if (request->call == NULL)
    return false;
  gw_unwait (request);
  request->state = GW_SENT;
  request->state_us = tm_now_us (gw->tm);
  request->endpoint = endpoint;
  endpoint->in_flight++;
  gw_set_unanswered (request, true);
  request->sends++;
  if (!flt_list_has (request->tried, endpoint->entry.id))
    g_ptr_array_add (request->tried, g_strdup (endpoint->entry.id));
  return true;
}

/* Give the send of REQUEST up if nothing is heard of it and it may be sent to
   another endpoint.  */
void
gw_check_silence (struct gw_request *request)
{
  uint64_t now_us = tm_now_us (request->gw->tm);
  uint64_t heard_us = MAX (request->endpoint->heard_us, request->state_us);
  double limit_ms = GW_SILENT_MS;

  if (!rte_may_repeat (request->route) || request->answer_dropped)
    return;
  if (request->route->kind == RTE_IDEMPOTENT)
    {
      if (request->answer_held || request->answer_begun)
        return;
      heard_us = request->state_us;
      limit_ms
          = MAX (GW_SLOW_MIN_MS, GW_SLOW_TARGETS * request->route->target_ms);
    }
  if ((double)(now_us - heard_us) < limit_ms * GW_US_PER_MS
      || gw_decide (request, FWD_SLOW) != FWD_AGAIN)
    return;
  request->end = FWD_SLOW;
  flt_failed (request->gw->fleet, request->endpoint, false);
  h1_call_cancel (request->call);
  request->call = NULL;
  gw_next_step (request);
}
