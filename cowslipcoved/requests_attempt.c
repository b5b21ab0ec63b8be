#include <string.h>

#include "evs.h"
#include "lg.h"
#include "requests_impl.h"

#define CD_RESPONSE_MAX_BYTES (8U << 20)
/* Memory of a response up to which it may use all that callers have.  */
#define CD_RESPONSE_SMALL_BYTES (64U << 10)
/* Time allowed beyond the deadline for a finished stream to close its
   connection.  */
#define CD_END_GRACE_MS       1000
#define CD_STATUS_OK          200
#define CD_STATUS_ERROR       500
#define CD_STATUS_UNAVAILABLE 503

/* One call to an engine.  It outlives its request while the connection
   ends.  */
struct cd_attempt
{
  struct cd_request *request; /* NULL: cancelled or ended */
  uint64_t id;
  struct http_call *call;
  struct mbg_budget *budget;
  char address[128];
  uint16_t status;
  char content_type[128];
  bool stream;
  bool in_callback;   /* within a callback of CALL */
  bool free_deferred; /* free when the callback returns */
  struct sse_parser parser;
  GString *response;
  size_t taken_bytes; /* of the budget, for RESPONSE */
};

static void
cd_attempt_free (struct cd_attempt *attempt)
{
  sse_clear (&attempt->parser);
  g_string_free (attempt->response, TRUE);
  mbg_give (attempt->budget, attempt->taken_bytes);
  g_free (attempt);
}

/* Detach ATTEMPT from its request.  */
static void
cd_attempt_detach (struct cd_attempt *attempt)
{
  struct cd_request *request = attempt->request;

  attempt->request = NULL;
  for (int i = 0; request != NULL && i < RQ_LIVE_MAX; i++)
    if (request->attempts[i] == attempt)
      request->attempts[i] = NULL;
}

static void
cd_attempt_cancel (struct cd_attempt *attempt)
{
  cd_attempt_detach (attempt);
  http_cancel (attempt->call);
  if (attempt->in_callback)
    attempt->free_deferred = true;
  else
    cd_attempt_free (attempt);
}

/* Cancel ATTEMPT, whose response is unusable for the reason WHAT.  Call this
   only from within a callback of its HTTP call.  */
static void
cd_attempt_reject (struct cd_attempt *attempt, const char *what)
{
  struct cd_request *request = attempt->request;

  lg_write (LG_ATTEMPT_FAILED, "%s: %s at %s", request->id, what,
            attempt->address);
  cd_attempt_detach (attempt);
  http_cancel (attempt->call);
  attempt->free_deferred = true;
  dsp_attempt_failed (request->request, attempt->id, RQ_INCOMPLETE, true);
}

static void
cd_attempt_head (void *arg, uint16_t status, const char *content_type)
{
  struct cd_attempt *attempt = arg;

  attempt->status = status;
  g_strlcpy (attempt->content_type, content_type,
             sizeof attempt->content_type);
  attempt->stream
      = status == CD_STATUS_OK && evs_is_stream_type (content_type);
  if (attempt->request == NULL || attempt->stream || status >= CD_STATUS_ERROR)
    return;
  dsp_response_head (attempt->request->request, attempt->id);
}

static bool
cd_attempt_event (void *arg, enum rq_event_kind kind, const char *data,
                  size_t bytes)
{
  struct cd_attempt *attempt = arg;
  struct cd_request *request = attempt->request;

  /* The connection of a complete stream returns to the pool by itself.  */
  if (kind == RQ_EVENT_END)
    cd_attempt_detach (attempt);
  dsp_event (request->request, attempt->id, kind, data, bytes);
  if (attempt->request != NULL && attempt->request->slow)
    dsp_caller_too_slow (attempt->request->request);
  return attempt->request != NULL;
}

static void
cd_attempt_append (struct cd_attempt *attempt, const char *data, size_t bytes)
{
  /* The string may have twice the size.  */
  if (!mbg_take (attempt->budget, 2 * bytes,
                 attempt->taken_bytes < CD_RESPONSE_SMALL_BYTES ? MBG_CLIENT
                                                                : MBG_LARGE))
    {
      cd_attempt_reject (attempt, "no memory for the response");
      return;
    }
  attempt->taken_bytes += 2 * bytes;
  g_string_append_len (attempt->response, data, (gssize)bytes);
  if (attempt->response->len > CD_RESPONSE_MAX_BYTES)
    cd_attempt_reject (attempt, "response too large");
}

static void
cd_attempt_body (void *arg, const char *data, size_t bytes)
{
  struct cd_attempt *attempt = arg;

  if (attempt->request == NULL)
    return;
  attempt->in_callback = true;
  if (!attempt->stream)
    cd_attempt_append (attempt, data, bytes);
  else if (!sse_feed (&attempt->parser, data, bytes, cd_attempt_event, attempt)
           && attempt->request != NULL)
    cd_attempt_reject (attempt, "event too large");
  attempt->in_callback = false;
  if (attempt->free_deferred)
    cd_attempt_free (attempt);
}

static bool
cd_attempt_not_started (const struct cd_attempt *attempt)
{
  struct json_object *body;
  struct json_object *error;
  struct json_object *value;
  bool not_started;

  if (attempt->status != CD_STATUS_UNAVAILABLE)
    return false;
  body = json_tokener_parse (attempt->response->str);
  not_started = json_object_object_get_ex (body, "error", &error)
                && json_object_object_get_ex (error, "not_started", &value)
                && json_object_get_boolean (value);
  json_object_put (body);
  return not_started;
}

static void
cd_attempt_complete (struct cd_attempt *attempt)
{
  struct rq_response response
      = { .status = attempt->status,
          .content_type = attempt->content_type,
          .body = attempt->response->str,
          .body_bytes = attempt->response->len,
          .not_started = cd_attempt_not_started (attempt) };
  struct cd_request *request = attempt->request;

  if (attempt->status >= CD_STATUS_ERROR)
    lg_write (LG_ATTEMPT_FAILED, "%s: status %u from %s", request->id,
              attempt->status, attempt->address);
  cd_attempt_detach (attempt);
  dsp_response (request->request, attempt->id, &response);
}

static void
cd_attempt_done (void *arg, enum http_outcome outcome, bool sent)
{
  struct cd_attempt *attempt = arg;
  struct cd_request *request = attempt->request;

  if (request == NULL)
    ;
  else if (outcome == HTTP_COMPLETE && !attempt->stream)
    cd_attempt_complete (attempt);
  else
    {
      enum rq_failure failure
          = outcome == HTTP_CONNECT_FAILED ? RQ_CONNECT_FAILED
            : outcome == HTTP_INCOMPLETE   ? RQ_CONNECTION_LOST
                                           : RQ_INCOMPLETE;

      cd_attempt_detach (attempt);
      lg_write (LG_ATTEMPT_FAILED, "%s: %s at %s", request->id,
                http_outcome_text (outcome), attempt->address);
      dsp_attempt_failed (request->request, attempt->id, failure, sent);
    }
  cd_attempt_free (attempt);
}

static void
cd_attempt_send (struct cd_attempt *attempt, const struct dsp_launch *launch)
{
  static const struct http_handlers handlers
      = { cd_attempt_head, cd_attempt_body, cd_attempt_done };
  const struct cd_request *request = attempt->request;
  struct http_header headers[] = { { "content-type", "application/json" },
                                   { "x-request-id", request->id },
                                   { NULL, NULL } };
  char *body = cd_body_write (&request->body, request->priority, request->id,
                              launch->resume_from);
  struct http_request call
      = { .method = "POST",
          .address = launch->address,
          .path = request->path,
          .headers = headers,
          .body = body,
          .body_bytes = strlen (body),
          .timeout_ms = request->deadline_ms + CD_END_GRACE_MS,
          .new_connection = launch->new_connection };

  attempt->call = http_start (request->requests->daemon->client, &call,
                              &handlers, attempt);
  g_free (body);
}

/* Send the request to an engine as specified by LAUNCH.  */
void
cd_request_launch (void *owner, const struct dsp_launch *launch)
{
  struct cd_request *request = owner;
  struct cd_attempt *attempt = g_new0 (struct cd_attempt, 1);
  int slot = request->attempts[0] == NULL ? 0 : 1;

  request->attempts[slot] = attempt;
  attempt->request = request;
  attempt->budget = request->requests->daemon->budget;
  attempt->id = launch->attempt;
  attempt->response = g_string_new (NULL);
  sse_init (&attempt->parser);
  g_strlcpy (attempt->address, launch->address, sizeof attempt->address);
  cd_attempt_send (attempt, launch);
}

/* Cancel ATTEMPT.  Closing its connection cancels the work of the engine.  */
void
cd_request_cancel (void *owner, uint64_t attempt)
{
  const struct cd_request *request = owner;

  for (int i = 0; i < RQ_LIVE_MAX; i++)
    if (request->attempts[i] != NULL && request->attempts[i]->id == attempt)
      {
        cd_attempt_cancel (request->attempts[i]);
        return;
      }
}

/* Cancel all attempts of REQUEST, which is about to be freed.  */
void
cd_request_detach (struct cd_request *request)
{
  for (int i = 0; i < RQ_LIVE_MAX; i++)
    if (request->attempts[i] != NULL)
      cd_attempt_cancel (request->attempts[i]);
}
