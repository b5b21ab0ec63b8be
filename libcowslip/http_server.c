#include <string.h>

#include "http_server.h"

#define HTTP_HEAD_MAX_BYTES 65536
/* Time to receive a request, head and body.  */
#define HTTP_REQUEST_TIMEOUT_MS 10000
#define HTTP_IDLE_TIMEOUT_MS    10000
/* Connections until http_server_set_limits is called.  */
#define HTTP_CONNECTIONS_MAX 2000

struct http_server
{
  struct h1_server *h1;
  struct h1_limits limits;
  http_handler handler;
  struct http_server_events events;
  void *arg;
};

struct http_exchange
{
  struct http_server *server;
  struct h1_exchange *h1; /* NULL: the caller has disconnected */
  char *method;
  char *path;
  char *query;
  struct h1_head response;
  void (*disconnected) (void *arg);
  void *disconnected_arg;
  bool streaming;
};

static void
http_exchange_free (struct http_exchange *exchange)
{
  h1_head_clear (&exchange->response);
  g_free (exchange->method);
  g_free (exchange->path);
  g_free (exchange->query);
  g_free (exchange);
}

static void
http_exchange_disconnected (void *arg)
{
  struct http_exchange *exchange = arg;
  void (*disconnected) (void *arg) = exchange->disconnected;
  void *disconnected_arg = exchange->disconnected_arg;

  exchange->h1 = NULL;
  if (disconnected == NULL)
    return;
  http_exchange_free (exchange);
  disconnected (disconnected_arg);
}

/* Return an exchange for H1, whose head may be incomplete.  */
static struct http_exchange *
http_exchange_new (struct http_server *server, struct h1_exchange *h1)
{
  static const struct h1_exchange_events events
      = { .disconnected = http_exchange_disconnected };
  const struct h1_head *head = h1_exchange_head (h1);
  const char *target = head->target == NULL ? "" : head->target;
  size_t path_bytes = strcspn (target, "?");
  struct http_exchange *exchange = g_new0 (struct http_exchange, 1);

  exchange->server = server;
  exchange->h1 = h1;
  exchange->method = g_strdup (head->method == NULL ? "" : head->method);
  exchange->path = g_strndup (target, path_bytes);
  exchange->query
      = g_strdup (target[path_bytes] == '\0' ? "" : target + path_bytes + 1);
  h1_head_init (&exchange->response);
  h1_exchange_set_events (h1, &events, exchange);
  return exchange;
}

static void
http_on_request (void *arg, struct h1_exchange *h1)
{
  struct http_server *server = arg;

  server->handler (server->arg, http_exchange_new (server, h1));
}

static void
http_on_rejected (void *arg, struct h1_exchange *h1,
                  enum h1_rejection rejection)
{
  struct http_server *server = arg;

  if (server->events.rejected == NULL)
    h1_respond (h1, h1_rejection_status (rejection), NULL, 0, "");
  else
    server->events.rejected (server->arg, http_exchange_new (server, h1),
                             rejection);
}

static bool
http_is_control (void *arg, const struct h1_head *head)
{
  const struct http_server *server = arg;

  return server->events.is_control != NULL
         && server->events.is_control (server->arg, head);
}

/* Listen on ADDRESS ("IP:PORT"; port 0: any free port) on LOOP and pass each
   request to HANDLER with ARG.  Requests with bodies over MAX_BODY_BYTES get
   status 413.  Return NULL and set ERROR if the address is invalid or in
   use.  */
struct http_server *
http_server_new (uv_loop_t *loop, struct tm_service *tm, const char *address,
                 size_t max_body_bytes, http_handler handler, void *arg,
                 GError **error)
{
  static const struct h1_server_events events
      = { .request = http_on_request,
          .rejected = http_on_rejected,
          .is_control = http_is_control };
  struct http_server *server = g_new0 (struct http_server, 1);

  server->handler = handler;
  server->arg = arg;
  server->limits
      = (struct h1_limits){ .head_max_bytes = HTTP_HEAD_MAX_BYTES,
                            .body_max_bytes = max_body_bytes,
                            .head_timeout_ms = HTTP_REQUEST_TIMEOUT_MS,
                            .idle_timeout_ms = HTTP_IDLE_TIMEOUT_MS,
                            .connections_max = HTTP_CONNECTIONS_MAX };
  server->h1 = h1_server_new (loop, tm, address, &events, server, error);
  if (server->h1 == NULL)
    {
      g_free (server);
      return NULL;
    }
  h1_server_set_limits (server->h1, &server->limits);
  return server;
}

/* Let SERVER take its memory from BUDGET and have at most CONNECTIONS_MAX
   connections, and call EVENTS with the argument of its handler.  It must have
   no connection yet.  */
void
http_server_set_limits (struct http_server *server, struct mbg_budget *budget,
                        uint32_t connections_max,
                        const struct http_server_events *events)
{
  server->events = *events;
  server->limits.connections_max = connections_max;
  h1_server_set_budget (server->h1, budget);
  h1_server_set_limits (server->h1, &server->limits);
}

/* Make callers close their connections: responses carry "Connection: close".
   New connections are still accepted.  */
void
http_server_close_idle (struct http_server *server)
{
  h1_server_drain (server->h1);
}

/* Close the listening socket.  Active requests continue.  */
void
http_server_stop_accepting (struct http_server *server)
{
  h1_server_stop_accepting (server->h1);
}

/* Free SERVER, which may be NULL and must have no active request, and close
   its connections.  */
void
http_server_free (struct http_server *server)
{
  if (server == NULL)
    return;
  h1_server_free (server->h1);
  g_free (server);
}

/* Return the number of requests in progress, with those whose response is not
   sent whole.  */
uint32_t
http_server_active (const struct http_server *server)
{
  return h1_server_active (server->h1);
}

/* Set the gauges in COUNTERS of the limits of SERVER.  */
void
http_server_report (const struct http_server *server, struct ctr_set *counters)
{
  h1_server_report (server->h1, counters);
}

/* Return the port on which SERVER listens, or 0 if it does not listen.  */
uint16_t
http_server_port (const struct http_server *server)
{
  return h1_server_port (server->h1);
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

/* Return the value of the request header NAME, or NULL.  The string lives
   until the response has ended or the caller has disconnected.  */
const char *
http_header_value (const struct http_exchange *exchange, const char *name)
{
  return exchange->h1 == NULL
             ? NULL
             : h1_head_get (h1_exchange_head (exchange->h1), name);
}

/* Return the request's body, which is not null-terminated and may contain
   null bytes.  */
const char *
http_body (const struct http_exchange *exchange)
{
  size_t bytes;

  return exchange->h1 == NULL ? "" : h1_exchange_body (exchange->h1, &bytes);
}

/* Return the size of the request's body in bytes.  */
size_t
http_body_bytes (const struct http_exchange *exchange)
{
  size_t bytes = 0;

  if (exchange->h1 != NULL)
    (void)h1_exchange_body (exchange->h1, &bytes);
  return bytes;
}

/* Return the request's body, or NULL if it is empty.  A reference to it may
   outlive the exchange.  */
struct h1_body *
http_shared_body (const struct http_exchange *exchange)
{
  return exchange->h1 == NULL ? NULL : h1_exchange_shared_body (exchange->h1);
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

/* Return whether the caller has closed its connection.  */
bool
http_peer_closed (const struct http_exchange *exchange)
{
  return exchange->h1 == NULL;
}

/* Add a header to the response, before it is started.  */
void
http_add_header (struct http_exchange *exchange, const char *name,
                 const char *value)
{
  h1_head_add (&exchange->response, name, value);
}

static void
http_set_head (struct http_exchange *exchange, uint16_t status,
               const char *content_type)
{
  exchange->response.status = status;
  http_add_header (exchange, "Server", "cowslipcove");
  if (content_type != NULL && content_type[0] != '\0')
    http_add_header (exchange, "Content-Type", content_type);
}

/* Respond with STATUS and BYTES of BODY and end the exchange.  */
void
http_respond (struct http_exchange *exchange, uint16_t status,
              const char *content_type, const char *body, size_t bytes)
{
  struct h1_exchange *h1 = exchange->h1;

  http_set_head (exchange, status, content_type);
  exchange->response.has_length = true;
  exchange->response.length_bytes = bytes;
  if (h1 != NULL)
    {
      h1_response_head (h1, &exchange->response);
      h1_response_body (h1, body, bytes);
    }
  http_exchange_free (exchange);
  if (h1 != NULL)
    h1_response_end (h1);
}

/* Start a streamed response.  */
void
http_stream_start (struct http_exchange *exchange, uint16_t status,
                   const char *content_type)
{
  http_set_head (exchange, status, content_type);
  exchange->streaming = true;
  if (exchange->h1 != NULL)
    h1_response_head (exchange->h1, &exchange->response);
}

/* Append BYTES of DATA to a streamed response.  */
void
http_stream_write (struct http_exchange *exchange, const char *data,
                   size_t bytes)
{
  if (exchange->h1 != NULL)
    h1_response_body (exchange->h1, data, bytes);
}

/* End a streamed response.  If COMPLETE is false the connection closes
   without the final chunk, so that the caller detects the truncation.  */
void
http_stream_end (struct http_exchange *exchange, bool complete)
{
  struct h1_exchange *h1 = exchange->h1;

  http_exchange_free (exchange);
  if (h1 != NULL && complete)
    h1_response_end (h1);
  else if (h1 != NULL)
    h1_response_cut (h1);
}

/* End a streamed response whose caller does not read, and discard the queued
   bytes.  */
void
http_stream_abort (struct http_exchange *exchange)
{
  struct h1_exchange *h1 = exchange->h1;

  http_exchange_free (exchange);
  if (h1 != NULL)
    h1_response_abort (h1);
}

/* Return the number of bytes that are queued for the caller.  */
size_t
http_stream_pending_bytes (const struct http_exchange *exchange)
{
  return exchange->streaming && exchange->h1 != NULL
             ? h1_exchange_pending_bytes (exchange->h1)
             : 0;
}
