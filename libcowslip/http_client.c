#include <h2o.h>
#include <h2o/http1client.h>

#include <netinet/tcp.h>
#include <string.h>

#include "adr.h"
#include "http_client.h"

#define HTTP_POOL_IDLE_MS    5000
#define HTTP_POOL_CAPACITY   65536
#define HTTP_IO_TIMEOUT_MS   3600000
#define HTTP_FETCH_MAX_BYTES (8U << 20)
/* Longer than the first retransmission of a lost SYN takes within a region,
   and short compared to request deadlines.  */
#define HTTP_CONNECT_TIMEOUT_MS 1000
#define HTTP_US_PER_MS          1000
#define HTTP_CONTENT_TYPE_BYTES 128

struct http_client
{
  uv_loop_t *loop;
  struct tm_service *tm;
  GHashTable *pools;
  h2o_timeout_t io_timeout;
  h2o_http1client_ctx_t context;
  h2o_multithread_queue_t *queue;
  h2o_multithread_receiver_t receiver;
  uint64_t sent_bytes;
  uint64_t received_bytes;
};

struct http_call
{
  struct http_client *client;
  h2o_http1client_t *connection;
  struct http_handlers handlers;
  void *arg;
  struct h1_head *response_head; /* NULL: header fields are not needed */
  GString *wire;
  h2o_iovec_t wire_vector;
  struct tm_timer timeout;
  struct tm_timer connect_timeout;
  bool is_head;
  bool starting; /* in http_start */
  bool sent;
  bool chunked;
  bool unframed; /* the response ends with the connection */
  bool in_callback;
  bool cancelled;
};

struct http_fetch_state
{
  http_response_cb done;
  void *arg;
  struct http_call *call;
  uint16_t status;
  struct h1_head head;
  char content_type[HTTP_CONTENT_TYPE_BYTES];
  GString *body;
};

static void http_pool_free (gpointer pool);
static void http_call_free (struct http_call *call);

/* Return a client that runs on LOOP and uses the timers of TM.  */
struct http_client *
http_client_new (uv_loop_t *loop, struct tm_service *tm)
{
  struct http_client *client = g_new0 (struct http_client, 1);

  client->loop = loop;
  client->tm = tm;
  client->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         http_pool_free);
  client->queue = h2o_multithread_create_queue (loop);
  h2o_multithread_register_receiver (client->queue, &client->receiver,
                                     h2o_hostinfo_getaddr_receiver);
  h2o_timeout_init (loop, &client->io_timeout, HTTP_IO_TIMEOUT_MS);
  client->context.loop = loop;
  client->context.getaddr_receiver = &client->receiver;
  client->context.io_timeout = &client->io_timeout;
  return client;
}

/* Free CLIENT, whose calls must all have ended or been cancelled.  The loop
   must run once more to close its handles.  */
void
http_client_free (struct http_client *client)
{
  if (client == NULL)
    return;
  g_hash_table_destroy (client->pools);
  h2o_multithread_unregister_receiver (client->queue, &client->receiver);
  h2o_multithread_destroy_queue (client->queue);
  h2o_timeout_dispose (client->loop, &client->io_timeout);
  g_free (client);
}

static void
http_pool_free (gpointer pool)
{
  h2o_socketpool_dispose (pool);
  g_free (pool);
}

static h2o_socketpool_t *
http_pool (struct http_client *client, const char *address)
{
  h2o_socketpool_t *pool = g_hash_table_lookup (client->pools, address);
  struct sockaddr_in peer;

  if (pool != NULL)
    return pool;
  if (!adr_parse_peer (address, &peer))
    return NULL;
  pool = g_new0 (h2o_socketpool_t, 1);
  h2o_socketpool_init_by_address (pool, (struct sockaddr *)&peer, sizeof peer,
                                  0, HTTP_POOL_CAPACITY);
  h2o_socketpool_set_timeout (pool, client->loop, HTTP_POOL_IDLE_MS);
  g_hash_table_insert (client->pools, g_strdup (address), pool);
  return pool;
}

static GString *
http_write_request (const struct http_request *request)
{
  GString *wire = g_string_sized_new (256 + request->body_bytes);

  g_string_append_printf (wire, "%s %s HTTP/1.1\r\nhost: %s\r\n",
                          request->method, request->path, request->address);
  if (request->body != NULL || strcmp (request->method, "GET") != 0)
    g_string_append_printf (wire, "content-length: %zu\r\n",
                            request->body_bytes);
  if (request->new_connection)
    g_string_append (wire, "connection: close\r\n");
  for (const struct http_header *h = request->headers;
       h != NULL && h->name != NULL; h++)
    g_string_append_printf (wire, "%s: %s\r\n", h->name, h->value);
  g_string_append (wire, "\r\n");
  if (request->body != NULL)
    g_string_append_len (wire, request->body, (gssize)request->body_bytes);
  return wire;
}

static void
http_call_free (struct http_call *call)
{
  tm_cancel (call->client->tm, &call->timeout);
  tm_cancel (call->client->tm, &call->connect_timeout);
  g_string_free (call->wire, TRUE);
  g_free (call);
}

/* Report OUTCOME unless CALL was cancelled, and free CALL.  Its connection is
   closed already or will be closed by h2o.  */
static void
http_finish (struct http_call *call, enum http_outcome outcome)
{
  call->connection = NULL;
  if (!call->cancelled)
    call->handlers.on_done (call->arg, outcome, call->sent);
  http_call_free (call);
}

/* Return whether the peer has closed the connection of SOCKET in the orderly
   way.  h2o reports a reset as the end of the stream too, so the state of the
   connection decides.  */
static bool
http_closed_orderly (h2o_socket_t *socket)
{
  struct tcp_info info = { 0 };
  socklen_t bytes = sizeof info;

  return getsockopt (h2o_socket_get_fd (socket), IPPROTO_TCP, TCP_INFO, &info,
                     &bytes)
             == 0
         && info.tcpi_state == TCP_CLOSE_WAIT;
}

static int
http_body_cb (h2o_http1client_t *connection, const char *error)
{
  struct http_call *call = connection->data;
  h2o_buffer_t *input = connection->sock->input;
  /* h2o reports a connection that closes between two chunks as the end of the
     response.  In that case nothing was read, whereas the final chunk has
     bytes.  */
  bool truncated = (call->chunked && connection->sock->bytes_read == 0)
                   || (call->unframed && error != NULL
                       && !http_closed_orderly (connection->sock));

  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      http_finish (call, HTTP_INCOMPLETE);
      return -1;
    }
  call->client->received_bytes += input->size;
  if (input->size > 0)
    {
      call->in_callback = true;
      call->handlers.on_body (call->arg, input->bytes, input->size);
      call->in_callback = false;
      h2o_buffer_consume (&connection->sock->input, input->size);
    }
  if (call->cancelled)
    {
      http_finish (call, HTTP_INCOMPLETE);
      return -1;
    }
  if (error == h2o_http1client_error_is_eos)
    http_finish (call, truncated ? HTTP_INCOMPLETE : HTTP_COMPLETE);
  return 0;
}

/* Return the header field NAME, in lower case, or NULL if it is absent.  */
static const h2o_header_t *
http_find_header (const h2o_header_t *headers, size_t count, const char *name)
{
  size_t bytes = strlen (name);

  for (size_t i = 0; i < count; i++)
    if (h2o_lcstris (headers[i].name->base, headers[i].name->len, name, bytes))
      return &headers[i];
  return NULL;
}

/* Return a copy of the value of the header field NAME, or NULL if it is
   absent.  */
static char *
http_copy_header (const h2o_header_t *headers, size_t count, const char *name)
{
  const h2o_header_t *header = http_find_header (headers, count, name);

  return header == NULL ? NULL
                        : g_strndup (header->value.base, header->value.len);
}

/* Return whether the response has a length, chunks or no body.  */
static bool
http_is_framed (const struct http_call *call, const h2o_header_t *headers,
                size_t count, int status)
{
  return status == 204 || status == 304 || call->chunked
         || http_find_header (headers, count, "content-length") != NULL;
}

/* Append HEADERS to HEAD, unless that is NULL.  */
static void
http_save_fields (struct h1_head *head, const h2o_header_t *headers,
                  size_t count)
{
  for (size_t i = 0; head != NULL && i < count; i++)
    {
      char *name = g_strndup (headers[i].name->base, headers[i].name->len);
      char *value = g_strndup (headers[i].value.base, headers[i].value.len);

      h1_head_add (head, name, value);
      g_free (value);
      g_free (name);
    }
}

static h2o_http1client_body_cb
http_head_cb (h2o_http1client_t *connection, const char *error, int minor,
              int status, h2o_iovec_t message, h2o_header_t *headers,
              size_t count, int header_bytes)
{
  struct http_call *call = connection->data;
  bool ended = error == h2o_http1client_error_is_eos;
  char *type;

  (void)minor;
  (void)message;
  if (header_bytes > 0)
    call->client->received_bytes += (uint64_t)header_bytes;
  call->chunked
      = http_find_header (headers, count, "transfer-encoding") != NULL;
  call->unframed = !http_is_framed (call, headers, count, status);
  if (error != NULL && !ended)
    {
      http_finish (call, HTTP_INCOMPLETE);
      return NULL;
    }
  http_save_fields (call->response_head, headers, count);
  type = http_copy_header (headers, count, "content-type");
  call->in_callback = true;
  call->handlers.on_head (call->arg, (uint16_t)status,
                          type == NULL ? "" : type);
  call->in_callback = false;
  g_free (type);
  if (call->cancelled || ended)
    {
      http_finish (call, HTTP_COMPLETE);
      return NULL;
    }
  return http_body_cb;
}

static void http_connect_failed (void *arg);

static h2o_http1client_head_cb
http_connect_cb (h2o_http1client_t *connection, const char *error,
                 h2o_iovec_t **buffers, size_t *count, int *is_head)
{
  struct http_call *call = connection->data;

  tm_cancel (call->client->tm, &call->connect_timeout);
  if (error != NULL && call->starting)
    {
      /* The kernel has rejected the address; the caller does not have CALL
         yet.  */
      call->connection = NULL;
      tm_after (call->client->tm, &call->connect_timeout, 0,
                http_connect_failed, call);
      return NULL;
    }
  if (error != NULL)
    {
      http_finish (call, HTTP_CONNECT_FAILED);
      return NULL;
    }
  call->sent = true;
  call->client->sent_bytes += call->wire->len;
  call->wire_vector = h2o_iovec_init (call->wire->str, call->wire->len);
  *buffers = &call->wire_vector;
  *count = 1;
  *is_head = call->is_head;
  return http_head_cb;
}

/* Close the connection of CALL with a reset.  A normal close would leave a
   request that a cut link holds up to be delivered when the link heals.  */
static void
http_reset (struct http_call *call)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  h2o_socket_t *socket;

  if (call->connection == NULL)
    return;
  socket = call->connection->sock;
  if (socket != NULL)
    (void)setsockopt (h2o_socket_get_fd (socket), SOL_SOCKET, SO_LINGER,
                      &reset, sizeof reset);
  h2o_http1client_cancel (call->connection);
}

static void
http_timed_out (void *arg)
{
  struct http_call *call = arg;

  http_reset (call);
  http_finish (call, HTTP_TIMEOUT);
}

/* The connection was not established, so nothing was sent.  */
static void
http_connect_failed (void *arg)
{
  struct http_call *call = arg;

  http_reset (call);
  http_finish (call, HTTP_CONNECT_FAILED);
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
  h2o_socketpool_t *pool = http_pool (client, request->address);
  struct sockaddr_in peer = { 0 };

  call->client = client;
  call->handlers = *handlers;
  call->arg = arg;
  call->response_head = request->response_head;
  call->is_head = strcmp (request->method, "HEAD") == 0;
  call->wire = http_write_request (request);
  if (pool == NULL)
    {
      tm_after (client->tm, &call->timeout, 0, http_connect_failed, call);
      return call;
    }
  if (request->timeout_ms > 0)
    tm_after (client->tm, &call->timeout,
              (uint64_t)request->timeout_ms * HTTP_US_PER_MS, http_timed_out,
              call);
  tm_after (client->tm, &call->connect_timeout,
            (uint64_t)HTTP_CONNECT_TIMEOUT_MS * HTTP_US_PER_MS,
            http_connect_failed, call);
  call->starting = true;
  if (request->new_connection)
    {
      const char *colon = strrchr (request->address, ':');

      (void)adr_parse_peer (request->address, &peer);
      h2o_http1client_connect (
          &call->connection, call, &client->context,
          h2o_iovec_init (request->address,
                          (size_t)(colon - request->address)),
          ntohs (peer.sin_port), 0, http_connect_cb);
    }
  else
    h2o_http1client_connect_with_pool (
        &call->connection, call, &client->context, pool, http_connect_cb);
  call->starting = false;
  return call;
}

/* Cancel CALL without further callbacks and close its connection, which the
   endpoint notices.  Allowed in a callback of the same call, but not after
   on_done.  */
void
http_cancel (struct http_call *call)
{
  call->cancelled = true;
  if (call->in_callback)
    return;
  http_reset (call);
  http_call_free (call);
}

static void
http_fetch_done (struct http_fetch_state *state, enum http_outcome outcome,
                 bool sent)
{
  struct http_response response = { .outcome = outcome,
                                    .sent = sent,
                                    .status = state->status,
                                    .head = &state->head,
                                    .content_type = state->content_type,
                                    .body = state->body->str,
                                    .body_bytes = state->body->len };

  state->done (state->arg, &response);
  h1_head_clear (&state->head);
  g_string_free (state->body, TRUE);
  g_free (state);
}

static void
http_fetch_head (void *arg, uint16_t status, const char *content_type)
{
  struct http_fetch_state *state = arg;

  state->status = status;
  g_strlcpy (state->content_type, content_type, sizeof state->content_type);
}

static void
http_fetch_body (void *arg, const char *data, size_t bytes)
{
  struct http_fetch_state *state = arg;

  if (state->body->len + bytes > HTTP_FETCH_MAX_BYTES)
    {
      http_cancel (state->call);
      http_fetch_done (state, HTTP_TOO_LARGE, true);
      return;
    }
  g_string_append_len (state->body, data, (gssize)bytes);
}

static void
http_fetch_end (void *arg, enum http_outcome outcome, bool sent)
{
  http_fetch_done (arg, outcome, sent);
}

/* Send REQUEST and call DONE once with ARG and the complete response, whose
   strings are valid during the callback.  A body over 8 MiB ends the call
   with HTTP_TOO_LARGE.  The returned call must not be passed to http_cancel;
   only its timeout ends it early.  */
struct http_call *
http_fetch (struct http_client *client, const struct http_request *request,
            http_response_cb done, void *arg)
{
  static const struct http_handlers handlers
      = { http_fetch_head, http_fetch_body, http_fetch_end };
  struct http_fetch_state *state = g_new0 (struct http_fetch_state, 1);
  struct http_request fetch = *request;

  state->done = done;
  state->arg = arg;
  state->body = g_string_new (NULL);
  h1_head_init (&state->head);
  fetch.response_head = &state->head;
  state->call = http_start (client, &fetch, &handlers, state);
  return state->call;
}

/* Return the number of bytes sent, headers and bodies.  */
uint64_t
http_client_sent_bytes (const struct http_client *client)
{
  return client->sent_bytes;
}

/* Return the number of bytes received, headers and bodies without chunked
   framing.  */
uint64_t
http_client_received_bytes (const struct http_client *client)
{
  return client->received_bytes;
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
