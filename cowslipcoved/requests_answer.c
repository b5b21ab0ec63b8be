#include <string.h>

#include "lg.h"
#include "refuse.h"
#include "requests_impl.h"

#define CD_CALLER_POLL_INTERVAL_US 1000000
/* Conventional status for a caller that has closed its connection; it is never
   delivered.  */
#define CD_STATUS_CALLER_DISCONNECTED 499

static void
cd_request_free (struct cd_request *request)
{
  tm_cancel (request->requests->daemon->tm, &request->poll_timer);
  cd_request_detach (request);
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

/* h2o does not read from the connection while a request is in progress, so a
   disconnect before the first byte of the response is detected only by
   polling.  */
static void
cd_request_poll_caller (void *arg)
{
  struct cd_request *request = arg;

  if (request->streaming || request->exchange == NULL)
    return;
  if (http_peer_closed (request->exchange))
    {
      dsp_caller_disconnected (request->request);
      return;
    }
  tm_after (request->requests->daemon->tm, &request->poll_timer,
            CD_CALLER_POLL_INTERVAL_US, cd_request_poll_caller, request);
}

/* Return a request for EXCHANGE.  It takes ownership of BODY and of a
   reference to DOCUMENT.  */
struct cd_request *
cd_request_new (struct cd_requests *requests, struct http_exchange *exchange,
                struct cd_body *body, struct env_document *document)
{
  struct cd_request *request = g_new0 (struct cd_request, 1);

  request->requests = requests;
  request->exchange = exchange;
  request->document = document;
  request->body = *body;
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
  tm_after (request->requests->daemon->tm, &request->poll_timer,
            CD_CALLER_POLL_INTERVAL_US, cd_request_poll_caller, request);
  request->request = dsp_request_new (request->requests->dsp, spec, request);
  dsp_request_start (request->request);
}

/* Relay one event of the stream to the caller.  */
void
cd_request_send (void *owner, const char *data, size_t bytes)
{
  struct cd_request *request = owner;

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
  if (http_stream_pending_bytes (request->exchange) <= CD_PENDING_MAX_BYTES)
    return;
  request->slow = true;
  ctr_add (request->requests->daemon->counters, "slow_callers_total", 1);
  lg_write (LG_CALLER_SLOW, "%s: more than %u bytes unsent", request->id,
            CD_PENDING_MAX_BYTES);
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
  else if (exchange != NULL && request->streaming)
    http_stream_end (exchange, outcome == RQ_DELIVERED);
  else if (exchange != NULL)
    http_respond (exchange, CD_STATUS_CALLER_DISCONNECTED, "text/plain", "",
                  0);
  cd_request_free (request);
}
