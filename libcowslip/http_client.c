#include <string.h>

#include "adr.h"
#include "h1_pool.h"
#include "http_client.h"

#define HTTP_IDLE_MAX_MS 5000
/* Longer than the first retransmission of a lost SYN takes within a region,
   and short compared to request deadlines.  */
#define HTTP_CONNECT_TIMEOUT_MS 1000
#define HTTP_US_PER_MS          1000
/* Limit on the body of a fetch that sets none.  */
#define HTTP_BODY_MAX_BYTES (8U << 20)
/* Limit on the incomplete bodies of all fetches of a client.  A process of 260
   MB may have hundreds of them.  */
#define HTTP_BUFFERED_MAX_BYTES (16U << 20)

struct http_client
{
  struct tm_service *tm;
  struct h1_pool *pool;
  GQueue fetches;        /* struct http_fetch_state */
  size_t buffered_bytes; /* their bodies together */
};

struct http_call
{
  struct http_client *client;
  struct h1_call *call; /* NULL: no connection could be opened */
  struct http_handlers handlers;
  void *arg;
  struct h1_head *response_head;  /* NULL: header fields are not needed */
  struct http_fetch_state *fetch; /* NULL: started by http_start */
  struct tm_timer timeout;
  struct tm_timer head_timeout;
};

struct http_fetch_state
{
  struct http_client *client;
  struct http_call *call;
  GList *link; /* in CLIENT->fetches */
  http_response_cb done;
  void *arg;
  uint16_t status;
  struct h1_head head;
  char *content_type;
  GString *body;
  size_t body_max_bytes;
};

/* Return a client that runs on LOOP and uses the timers of TM.  */
struct http_client *
http_client_new (uv_loop_t *loop, struct tm_service *tm)
{
  struct http_client *client = g_new0 (struct http_client, 1);

  client->tm = tm;
  client->pool = h1_pool_new (loop, tm);
  g_queue_init (&client->fetches);
  return client;
}

/* Take the memory for unsent bytes of CLIENT's calls from BUDGET, which must
   outlive it.  */
void
http_client_set_budget (struct http_client *client, struct mbg_budget *budget)
{
  h1_pool_set_budget (client->pool, budget);
}

/* Free CLIENT, whose calls must all have ended or been cancelled.  The loop
   must run once more to close its handles.  */
void
http_client_free (struct http_client *client)
{
  if (client == NULL)
    return;
  h1_pool_free (client->pool);
  g_free (client);
}

static void
http_call_free (struct http_call *call)
{
  tm_cancel (call->client->tm, &call->timeout);
  tm_cancel (call->client->tm, &call->head_timeout);
  g_free (call);
}

/* Free CALL, whose connection is closed or kept, and report OUTCOME.  */
static void
http_finish (struct http_call *call, enum http_outcome outcome, bool sent)
{
  struct http_handlers handlers = call->handlers;
  void *arg = call->arg;

  http_call_free (call);
  handlers.on_done (arg, outcome, sent);
}

/* Free CALL and reset its connection.  A normal close would leave a request
   that a cut link holds up to be delivered when the link heals.  */
static void
http_abort (struct http_call *call)
{
  if (call->call != NULL)
    h1_call_cancel (call->call);
  http_call_free (call);
}

static void
http_give_up (struct http_call *call, enum http_outcome outcome)
{
  bool sent = call->call != NULL && h1_call_sent (call->call);

  if (call->call != NULL)
    h1_call_cancel (call->call);
  http_finish (call, outcome, sent);
}

static void
http_timed_out (void *arg)
{
  http_give_up (arg, HTTP_TIMEOUT);
}

static void
http_connect_failed (void *arg)
{
  http_give_up (arg, HTTP_CONNECT_FAILED);
}

static void
http_on_head (void *arg, const struct h1_head *head)
{
  struct http_call *call = arg;
  const char *type = h1_head_get (head, "Content-Type");

  tm_cancel (call->client->tm, &call->head_timeout);
  for (guint i = 0; call->response_head != NULL && i < head->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (head->fields, struct h1_field, i);

      h1_head_add (call->response_head, field->name, field->value);
    }
  call->handlers.on_head (call->arg, head->status, type == NULL ? "" : type);
}

static void
http_on_body (void *arg, const char *data, size_t bytes)
{
  const struct http_call *call = arg;

  call->handlers.on_body (call->arg, data, bytes);
}

static void
http_on_done (void *arg, enum h1_outcome end)
{
  struct http_call *call = arg;
  enum http_outcome outcome = HTTP_INCOMPLETE;

  if (end == H1_OUTCOME_COMPLETE)
    outcome = HTTP_COMPLETE;
  else if (end == H1_OUTCOME_CONNECT_FAILED)
    outcome = HTTP_CONNECT_FAILED;
  http_finish (call, outcome, end != H1_OUTCOME_CONNECT_FAILED);
}

static void
http_build_head (const struct http_request *request, struct h1_head *head)
{
  h1_head_init (head);
  head->method = g_strdup (request->method);
  head->target = g_strdup (request->path);
  head->has_length = request->body != NULL || request->shared_body != NULL
                     || strcmp (request->method, "GET") != 0;
  h1_head_add (head, "Host", request->address);
  for (const struct http_header *h = request->headers;
       h != NULL && h->name != NULL; h++)
    h1_head_add (head, h->name, h->value);
}

/* Start CALL with REQUEST.  Return NULL if no connection can be opened.  */
static struct h1_call *
http_send (struct http_call *call, const struct http_request *request)
{
  static const struct h1_call_events events
      = { http_on_head, http_on_body, http_on_done };
  struct sockaddr_in peer;
  struct h1_head head;
  struct h1_request outgoing
      = { .peer = request->address,
          .address = request->address,
          .head = &head,
          .body = request->body,
          .body_bytes = request->body_bytes,
          .shared_body = request->shared_body,
          .close = request->new_connection,
          .connect_timeout_ms = HTTP_CONNECT_TIMEOUT_MS,
          .idle_max_ms = request->new_connection ? 0 : HTTP_IDLE_MAX_MS };
  struct h1_call *sent;

  if (!adr_parse_peer (request->address, &peer))
    return NULL;
  http_build_head (request, &head);
  sent = h1_call_start (call->client->pool, &outgoing, &events, call);
  h1_head_clear (&head);
  return sent;
}

static void
http_set_timeout (struct http_call *call, struct tm_timer *timer,
                  uint32_t timeout_ms)
{
  if (timeout_ms > 0)
    tm_after (call->client->tm, timer, (uint64_t)timeout_ms * HTTP_US_PER_MS,
              http_timed_out, call);
}

/* Send REQUEST and report its response incrementally to HANDLERS with ARG.
   on_done is called exactly once, never from within this function, unless the
   call is cancelled.  The connect timeout is 1 s.  Return the call, valid
   until on_done or http_cancel.  */
struct http_call *
http_start (struct http_client *client, const struct http_request *request,
            const struct http_handlers *handlers, void *arg)
{
  struct http_call *call = g_new0 (struct http_call, 1);

  call->client = client;
  call->handlers = *handlers;
  call->arg = arg;
  call->response_head = request->response_head;
  call->call = http_send (call, request);
  if (call->call == NULL)
    {
      tm_after (client->tm, &call->timeout, 0, http_connect_failed, call);
      return call;
    }
  http_set_timeout (call, &call->timeout, request->timeout_ms);
  http_set_timeout (call, &call->head_timeout, request->head_timeout_ms);
  return call;
}

static void
http_fetch_free (struct http_fetch_state *state)
{
  struct http_client *client = state->client;

  client->buffered_bytes -= state->body->len;
  g_queue_delete_link (&client->fetches, state->link);
  h1_head_clear (&state->head);
  g_free (state->content_type);
  g_string_free (state->body, TRUE);
  g_free (state);
}

/* Cancel CALL without further callbacks and close its connection, which the
   endpoint notices.  Allowed in a callback of the same call, but not after
   on_done.  */
void
http_cancel (struct http_call *call)
{
  struct http_fetch_state *fetch = call->fetch;

  http_abort (call);
  if (fetch != NULL)
    http_fetch_free (fetch);
}

static void
http_fetch_done (struct http_fetch_state *state, enum http_outcome outcome,
                 bool sent)
{
  struct http_response response
      = { .outcome = outcome,
          .sent = sent,
          .status = state->status,
          .head = &state->head,
          .content_type
          = state->content_type == NULL ? "" : state->content_type,
          .body = state->body->str,
          .body_bytes = state->body->len };

  state->done (state->arg, &response);
  http_fetch_free (state);
}

static void
http_fetch_head (void *arg, uint16_t status, const char *content_type)
{
  struct http_fetch_state *state = arg;

  state->status = status;
  state->content_type = g_strdup (content_type);
}

static void
http_fetch_stop (struct http_fetch_state *state)
{
  http_abort (state->call);
  http_fetch_done (state, HTTP_TOO_LARGE, true);
}

/* Return the fetch of CLIENT with the largest body.  */
static struct http_fetch_state *
http_largest_fetch (const struct http_client *client)
{
  struct http_fetch_state *largest = NULL;

  for (const GList *item = client->fetches.head; item != NULL;
       item = item->next)
    {
      struct http_fetch_state *state = item->data;

      if (largest == NULL || state->body->len > largest->body->len)
        largest = state;
    }
  return largest;
}

static void
http_fetch_body (void *arg, const char *data, size_t bytes)
{
  struct http_fetch_state *state = arg;
  struct http_client *client = state->client;

  if (state->body->len + bytes > state->body_max_bytes)
    {
      http_fetch_stop (state);
      return;
    }
  g_string_append_len (state->body, data, (gssize)bytes);
  client->buffered_bytes += bytes;
  if (client->buffered_bytes > HTTP_BUFFERED_MAX_BYTES)
    http_fetch_stop (http_largest_fetch (client));
}

static void
http_fetch_end (void *arg, enum http_outcome outcome, bool sent)
{
  http_fetch_done (arg, outcome, sent);
}

/* Send REQUEST and call DONE once with ARG and the complete response, whose
   strings are valid during the callback.  A body over the limit of REQUEST
   ends the call with HTTP_TOO_LARGE; so does, for the fetch with the largest
   body, the limit on those of all fetches.  Return the call, valid until DONE
   or http_cancel.  */
struct http_call *
http_fetch (struct http_client *client, const struct http_request *request,
            http_response_cb done, void *arg)
{
  static const struct http_handlers handlers
      = { http_fetch_head, http_fetch_body, http_fetch_end };
  struct http_fetch_state *state = g_new0 (struct http_fetch_state, 1);
  struct http_request fetch = *request;

  state->client = client;
  state->done = done;
  state->arg = arg;
  state->body = g_string_new (NULL);
  state->body_max_bytes = request->body_max_bytes > 0 ? request->body_max_bytes
                                                      : HTTP_BODY_MAX_BYTES;
  h1_head_init (&state->head);
  g_queue_push_tail (&client->fetches, state);
  state->link = g_queue_peek_tail_link (&client->fetches);
  fetch.response_head = &state->head;
  state->call = http_start (client, &fetch, &handlers, state);
  state->call->fetch = state;
  return state->call;
}

/* Return the number of bytes sent, headers and bodies.  */
uint64_t
http_client_sent_bytes (const struct http_client *client)
{
  return h1_pool_sent_bytes (client->pool);
}

/* Return the number of bytes received, headers and bodies.  */
uint64_t
http_client_received_bytes (const struct http_client *client)
{
  return h1_pool_received_bytes (client->pool);
}

/* Return the description of OUTCOME for log lines.  */
const char *
http_outcome_text (enum http_outcome outcome)
{
  switch (outcome)
    {
    case HTTP_COMPLETE:
      return "complete";
    case HTTP_CONNECT_FAILED:
      return "connect failed";
    case HTTP_INCOMPLETE:
      return "connection cut";
    case HTTP_TIMEOUT:
      return "timeout";
    case HTTP_TOO_LARGE:
      return "response too large";
    }
  return "unknown";
}
