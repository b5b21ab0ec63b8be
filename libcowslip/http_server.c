#include <h2o.h>

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "adr.h"
#include "http_server.h"

#define HTTP_BACKLOG            1024
#define HTTP_REQUEST_TIMEOUT_MS 10000

struct http_server
{
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_tcp_t *listener;
  http_handler handler;
  void *arg;
  uint32_t active;
};

/* One buffer is being written to the connection while the other is filled.  */
struct http_exchange
{
  h2o_generator_t generator;
  h2o_req_t *request;
  struct http_server *server;
  char *method;
  char *path;
  char *query;
  GString *filling;
  GString *sending;
  void (*disconnected) (void *arg);
  void *disconnected_arg;
  bool streaming;
  bool ready;
  bool ended;
  bool complete;
};

struct http_h2o_handler
{
  h2o_handler_t base;
  struct http_server *server;
};

static void http_exchange_dispose (void *memory);
static void http_flush (struct http_exchange *exchange);

static int
http_on_request (h2o_handler_t *base, h2o_req_t *request)
{
  struct http_server *server = ((struct http_h2o_handler *)base)->server;
  size_t path_bytes
      = request->query_at == SIZE_MAX ? request->path.len : request->query_at;
  struct http_exchange *exchange = h2o_mem_alloc_shared (
      &request->pool, sizeof *exchange, http_exchange_dispose);

  memset (exchange, 0, sizeof *exchange);
  exchange->request = request;
  exchange->server = server;
  exchange->method = g_strndup (request->method.base, request->method.len);
  exchange->path = g_strndup (request->path.base, path_bytes);
  exchange->query = request->query_at == SIZE_MAX
                        ? g_strdup ("")
                        : g_strndup (request->path.base + path_bytes + 1,
                                     request->path.len - path_bytes - 1);
  server->active++;
  server->handler (server->arg, exchange);
  return 0;
}

/* h2o frees the memory pool of a request when the request ends, with or
   without a response.  */
static void
http_exchange_dispose (void *memory)
{
  struct http_exchange *exchange = memory;

  exchange->server->active--;
  if (!exchange->ended && exchange->disconnected != NULL)
    exchange->disconnected (exchange->disconnected_arg);
  g_free (exchange->method);
  g_free (exchange->path);
  g_free (exchange->query);
  if (exchange->filling != NULL)
    g_string_free (exchange->filling, TRUE);
  if (exchange->sending != NULL)
    g_string_free (exchange->sending, TRUE);
}

static void
http_connection_closed (uv_handle_t *handle)
{
  free (handle);
}

static void
http_on_connection (uv_stream_t *listener, int status)
{
  struct http_server *server = listener->data;
  uv_tcp_t *connection;

  if (status != 0)
    return;
  connection = h2o_mem_alloc (sizeof *connection);
  uv_tcp_init (listener->loop, connection);
  if (uv_accept (listener, (uv_stream_t *)connection) != 0)
    {
      uv_close ((uv_handle_t *)connection, http_connection_closed);
      return;
    }
  uv_tcp_nodelay (connection, 1);
  h2o_accept (&server->accept, h2o_uv_socket_create ((uv_stream_t *)connection,
                                                     http_connection_closed));
}

static bool
http_listen (struct http_server *server, uv_loop_t *loop, const char *address,
             GError **error)
{
  struct sockaddr_in local;
  int status = UV_EINVAL;

  server->listener = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (loop, server->listener);
  server->listener->data = server;
  if (adr_parse (address, &local))
    status = uv_tcp_bind (server->listener, (struct sockaddr *)&local, 0);
  if (status == 0)
    status = uv_listen ((uv_stream_t *)server->listener, HTTP_BACKLOG,
                        http_on_connection);
  if (status == 0)
    return true;
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_FAILED, "%s: %s", address,
               uv_strerror (status));
  return false;
}

/* Listen on ADDRESS ("IP:PORT"; port 0: any free port) on LOOP and pass each
   request to HANDLER with ARG.  Requests with bodies over MAX_BODY_BYTES get
   status 413.  Return NULL and set ERROR if the address is invalid or in
   use.  */
struct http_server *
http_server_new (uv_loop_t *loop, const char *address, size_t max_body_bytes,
                 http_handler handler, void *arg, GError **error)
{
  struct http_server *server = g_new0 (struct http_server, 1);
  struct http_h2o_handler *base;
  h2o_hostconf_t *host;
  h2o_pathconf_t *root;

  server->handler = handler;
  server->arg = arg;
  h2o_config_init (&server->config);
  server->config.max_request_entity_size = max_body_bytes;
  server->config.http1.req_timeout = HTTP_REQUEST_TIMEOUT_MS;
  server->config.http1.upgrade_to_http2 = 0;
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("cowslipcove"));
  host = h2o_config_register_host (
      &server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  root = h2o_config_register_path (host, "/", 0);
  base = (struct http_h2o_handler *)h2o_create_handler (root, sizeof *base);
  base->base.on_req = http_on_request;
  base->server = server;
  h2o_context_init (&server->context, loop, &server->config);
  server->accept.ctx = &server->context;
  server->accept.hosts = server->config.hosts;
  if (http_listen (server, loop, address, error))
    return server;
  http_server_free (server);
  return NULL;
}

static void
http_listener_closed (uv_handle_t *handle)
{
  g_free (handle);
}

/* Make callers close their connections: responses carry "connection: close".
   New connections are still accepted.  */
void
http_server_close_idle (struct http_server *server)
{
  h2o_context_request_shutdown (&server->context);
}

/* Close the listening socket.  Active requests continue.  */
void
http_server_stop_accepting (struct http_server *server)
{
  if (server->listener == NULL)
    return;
  uv_close ((uv_handle_t *)server->listener, http_listener_closed);
  server->listener = NULL;
}

/* Free SERVER, which must have no active request.  Its open connections close
   when the process exits, because h2o needs its context for them.  */
void
http_server_free (struct http_server *server)
{
  if (server == NULL)
    return;
  http_server_stop_accepting (server);
}

/* Return the number of requests in progress.  */
uint32_t
http_server_active (const struct http_server *server)
{
  return server->active;
}

/* Return the port on which SERVER listens, or 0 if it does not listen.  */
uint16_t
http_server_port (const struct http_server *server)
{
  struct sockaddr_in local;
  int bytes = sizeof local;

  if (server->listener == NULL
      || uv_tcp_getsockname (server->listener, (struct sockaddr *)&local,
                             &bytes)
             != 0)
    return 0;
  return ntohs (local.sin_port);
}

/* Return the request's method, as in "POST".  */
const char *
http_method (const struct http_exchange *exchange)
{
  return exchange->method;
}

/* Return the request's path without its query.  */
const char *
http_path (const struct http_exchange *exchange)
{
  return exchange->path;
}

/* Return the request's query without the question mark; may be empty.  */
const char *
http_query (const struct http_exchange *exchange)
{
  return exchange->query;
}

/* Return the value of the request header NAME (lower case), or NULL.  The
   string lives as long as the exchange.  */
const char *
http_header_value (const struct http_exchange *exchange, const char *name)
{
  const h2o_headers_t *headers = &exchange->request->headers;
  size_t bytes = strlen (name);

  for (size_t i = 0; i < headers->size; i++)
    {
      const h2o_header_t *header = &headers->entries[i];

      if (header->name->len == bytes
          && h2o_lcstris (header->name->base, bytes, name, bytes))
        return h2o_strdup (&exchange->request->pool, header->value.base,
                           header->value.len)
            .base;
    }
  return NULL;
}

/* Return the request's body, which is not null-terminated and may contain
   null bytes.  */
const char *
http_body (const struct http_exchange *exchange)
{
  return exchange->request->entity.base == NULL
             ? ""
             : exchange->request->entity.base;
}

/* Return the size of the request's body in bytes.  */
size_t
http_body_bytes (const struct http_exchange *exchange)
{
  return exchange->request->entity.len;
}

/* Call DISCONNECTED with ARG if the caller disconnects before the response
   has ended.  EXCHANGE must not be used after that.  */
void
http_on_disconnect (struct http_exchange *exchange,
                    void (*disconnected) (void *arg), void *arg)
{
  exchange->disconnected = disconnected;
  exchange->disconnected_arg = arg;
}

/* Return whether the caller has closed its connection.  h2o does not read
   from a connection while it processes a request, so a disconnect before the
   first byte of the response must be polled for.  */
bool
http_peer_closed (struct http_exchange *exchange)
{
  h2o_conn_t *connection = exchange->request->conn;
  h2o_socket_t *socket = connection->callbacks->get_socket (connection);
  char byte;

  if (socket == NULL)
    return true;
  return recv (h2o_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         == 0;
}

/* Add a header to the response, before it is started.  */
void
http_add_header (struct http_exchange *exchange, const char *name,
                 const char *value)
{
  h2o_req_t *request = exchange->request;
  h2o_iovec_t n = h2o_strdup (&request->pool, name, SIZE_MAX);
  h2o_iovec_t v = h2o_strdup (&request->pool, value, SIZE_MAX);

  h2o_add_header_by_str (&request->pool, &request->res.headers, n.base, n.len,
                         0, NULL, v.base, v.len);
}

static void
http_set_head (struct http_exchange *exchange, uint16_t status,
               const char *content_type)
{
  h2o_req_t *request = exchange->request;

  request->res.status = status;
  request->res.reason = status < 400 ? "OK" : "Error";
  if (content_type != NULL && content_type[0] != '\0')
    http_add_header (exchange, "content-type", content_type);
}

/* Respond with STATUS and BYTES of BODY and end the exchange.  */
void
http_respond (struct http_exchange *exchange, uint16_t status,
              const char *content_type, const char *body, size_t bytes)
{
  h2o_req_t *request = exchange->request;

  http_set_head (exchange, status, content_type);
  exchange->ended = true;
  exchange->complete = true;
  request->res.content_length = bytes;
  h2o_send_inline (request, body, bytes);
}

static void
http_proceed (h2o_generator_t *generator, h2o_req_t *request)
{
  struct http_exchange *exchange = (struct http_exchange *)generator;

  (void)request;
  exchange->ready = true;
  http_flush (exchange);
}

static void
http_stop (h2o_generator_t *generator, h2o_req_t *request)
{
  struct http_exchange *exchange = (struct http_exchange *)generator;
  void (*disconnected) (void *arg) = exchange->disconnected;

  (void)request;
  exchange->disconnected = NULL;
  if (!exchange->ended && disconnected != NULL)
    disconnected (exchange->disconnected_arg);
}

static void
http_flush (struct http_exchange *exchange)
{
  GString *swap = exchange->sending;
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  h2o_iovec_t vector;

  if (!exchange->ready || (exchange->filling->len == 0 && !exchange->ended))
    return;
  exchange->sending = exchange->filling;
  exchange->filling = swap;
  g_string_truncate (exchange->filling, 0);
  exchange->ready = false;
  if (exchange->ended)
    state = exchange->complete ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
  vector = h2o_iovec_init (exchange->sending->str, exchange->sending->len);
  h2o_send (exchange->request, &vector, vector.len > 0 ? 1 : 0, state);
}

/* Start a streamed response.  */
void
http_stream_start (struct http_exchange *exchange, uint16_t status,
                   const char *content_type)
{
  http_set_head (exchange, status, content_type);
  exchange->filling = g_string_new (NULL);
  exchange->sending = g_string_new (NULL);
  exchange->streaming = true;
  exchange->ready = true;
  exchange->generator.proceed = http_proceed;
  exchange->generator.stop = http_stop;
  h2o_start_response (exchange->request, &exchange->generator);
}

/* Append BYTES of DATA to a streamed response.  */
void
http_stream_write (struct http_exchange *exchange, const char *data,
                   size_t bytes)
{
  g_string_append_len (exchange->filling, data, (gssize)bytes);
  http_flush (exchange);
}

/* End a streamed response.  If COMPLETE is false the connection closes
   without the final chunk, so that the caller detects the truncation.  */
void
http_stream_end (struct http_exchange *exchange, bool complete)
{
  exchange->ended = true;
  exchange->complete = complete;
  http_flush (exchange);
}

/* End a streamed response whose caller does not read, and discard the queued
   bytes.  h2o waits for a pending write, so the socket is shut down beneath
   it; the write then fails and h2o frees the request.  */
void
http_stream_abort (struct http_exchange *exchange)
{
  h2o_conn_t *connection = exchange->request->conn;
  h2o_socket_t *socket = connection->callbacks->get_socket (connection);

  http_stream_end (exchange, false);
  if (socket != NULL)
    (void)shutdown (h2o_socket_get_fd (socket), SHUT_RDWR);
}

/* Return the number of queued bytes that are not yet passed to h2o.  */
size_t
http_stream_pending_bytes (const struct http_exchange *exchange)
{
  return exchange->streaming ? exchange->filling->len : 0;
}
