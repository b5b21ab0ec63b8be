#include <string.h>

#include "lg.h"
#include "refuse.h"
#include "requests_impl.h"

static void
cd_request_free (struct cd_request *request)
{
  cd_request_detach (request);
  mbg_give (request->requests->daemon->budget, request->taken_bytes);
  cd_body_clear (&request->body);
  env_unref (request->document);
  g_free (request->path);
  g_free (request);
}

static void
cd_request_disconnected (void *arg)
{
  struct cd_request *request = arg;

  request->exchange = NULL;
  if (request->request != NULL)
    dsp_caller_disconnected (request->request);
}

/* Return a request for EXCHANGE.  It takes ownership of BODY, for which
   TAKEN_BYTES of the budget were taken, and of a reference to DOCUMENT.  */
struct cd_request *
cd_request_new (struct cd_requests *requests, struct http_exchange *exchange,
                struct cd_body *body, size_t taken_bytes,
                struct env_document *document)
{
  struct cd_request *request = g_new0 (struct cd_request, 1);

  request->requests = requests;
  request->exchange = exchange;
  request->document = document;
  request->body = *body;
  request->taken_bytes = taken_bytes;
  request->path = g_strdup (http_path (exchange));
  g_snprintf (request->id, sizeof request->id, "%s-%08x-%llu",
              requests->daemon->settings->instance,
              (unsigned)requests->daemon->incarnation,
              (unsigned long long)++requests->next_id);
  return request;
}

/* Start REQUEST according to SPEC.  It may have ended and been freed on
   return.  */
void
cd_request_start (struct cd_request *request, const struct dsp_spec *spec)
{
  http_on_disconnect (request->exchange, cd_request_disconnected, request);
  request->request = dsp_request_new (request->requests->dsp, spec, request);
  dsp_request_start (request->request);
}

/* Relay one event of the stream to the caller.  */
void
cd_request_send (void *owner, const char *data, size_t bytes)
{
  struct cd_request *request = owner;
  size_t pending_bytes;

  if (request->exchange == NULL || request->slow)
    return;
  if (!request->streaming)
    {
      http_add_header (request->exchange, "cache-control", "no-cache");
      http_add_header (request->exchange, "x-request-id", request->id);
      http_stream_start (request->exchange, 200, "text/event-stream");
      request->streaming = true;
    }
  http_stream_write (request->exchange, data, bytes);
  pending_bytes = http_stream_pending_bytes (request->exchange);
  if (pending_bytes <= cd_pending_max_bytes (request->requests->daemon))
    return;
  request->slow = true;
  ctr_add (request->requests->daemon->counters, "slow_callers_total", 1);
  lg_write (LG_CALLER_SLOW,
            "%s: %zu bytes unsent, memory_used_bytes=%" G_GUINT64_FORMAT,
            request->id, pending_bytes,
            mbg_used_bytes (request->requests->daemon->budget));
}

/* Send a complete RESPONSE to the caller.  */
void
cd_request_respond (void *owner, const struct rq_response *response)
{
  struct cd_request *request = owner;
  struct http_exchange *exchange = request->exchange;

  if (exchange == NULL)
    return;
  request->exchange = NULL;
  http_add_header (exchange, "x-request-id", request->id);
  http_respond (exchange, response->status, response->content_type,
                response->body, response->body_bytes);
}

static const char *
cd_refusal_message (enum rsn_refusal reason)
{
  switch (reason)
    {
    case RSN_QUEUE_FULL:
      return "too many requests wait";
    case RSN_QUEUE_DEADLINE:
      return "no endpoint became free in time";
    case RSN_DEADLINE:
      return "the answer was not complete in time";
    case RSN_COLD_TOO_LATE:
      return "the model cannot be loaded in time";
    case RSN_CONTROL_UNAVAILABLE:
      return "no load can be ordered at present";
    case RSN_NO_ENDPOINT:
      return "the model has no replica in this availability zone";
    case RSN_RETRY_BUDGET:
      return "an attempt failed and too many were repeated already";
    case RSN_POISON:
      return "endpoints crashed while they ran this request";
    case RSN_ANSWER_CUT:
      return "the endpoint's answer was cut off";
    default:
      return "the endpoint failed";
    }
}

/* Refuse the request for REASON.  If STARTED, the response stream has begun
   and the refusal is sent as its last event.  */
void
cd_request_refuse (void *owner, enum rsn_refusal reason, bool not_run,
                   bool started)
{
  struct cd_request *request = owner;
  struct cd_daemon *daemon = request->requests->daemon;
  struct http_exchange *exchange = request->exchange;
  const char *message = cd_refusal_message (reason);
  char *error;
  char *event;

  if (exchange == NULL)
    return;
  if (!started)
    {
      request->exchange = NULL;
      cd_refuse (daemon, exchange, reason, not_run, message);
      return;
    }
  cd_refusal_record (daemon, request->id, reason, not_run, message);
  lg_write (LG_RESPONSE_INCOMPLETE, "%s: %s", request->id,
            rsn_refusal_text (reason));
  error = cd_refusal_text (reason, not_run, message);
  event = g_strdup_printf ("data: %s\n\n", error);
  http_stream_write (exchange, event, strlen (event));
  g_free (event);
  g_free (error);
}

/* End and free the request, which ended with OUTCOME.  */
void
cd_request_done (void *owner, enum rq_outcome outcome)
{
  struct cd_request *request = owner;
  struct http_exchange *exchange = request->exchange;

  request->request = NULL;
  request->exchange = NULL;
  if (exchange != NULL && request->slow)
    http_stream_abort (exchange);
  else if (exchange != NULL)
    http_stream_end (exchange, outcome == RQ_DELIVERED);
  cd_request_free (request);
}
