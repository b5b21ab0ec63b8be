#include "adr.h"
#include "h1_server_impl.h"
#include "jsn.h"

#define H1_BACKLOG 1024
/* Part of the machine's memory for bytes that the kernel has received for
   callers' connections, and bounds on what one of them gets.  */
#define H1_UNREAD_DIVISOR           8
#define H1_RECEIVE_BUFFER_MIN_BYTES (16U << 10)
#define H1_RECEIVE_BUFFER_MAX_BYTES (64U << 10)

/* Limits until h1_server_set_limits is called.  */
static const struct h1_limits h1_default_limits = { .head_max_bytes = 16384,
                                                    .body_max_bytes = 4U << 20,
                                                    .head_timeout_ms = 5000,
                                                    .idle_timeout_ms = 15000,
                                                    .connections_max = 2000 };

static void
h1_server_on_connection (uv_stream_t *listener, int status)
{
  struct h1_server *server = listener->data;

  if (status == 0)
    (void)h1_exchange_accept (server);
}

/* Limit the kernel's buffer of each connection from now on, so that all of
   them together stay within their part of the memory.  */
static void
h1_server_limit_buffers (struct h1_server *server)
{
  uint64_t unread_bytes
      = mbg_memory_bytes (server->budget) / H1_UNREAD_DIVISOR;
  uint64_t bytes = unread_bytes / MAX (server->limits.connections_max, 1);

  server->receive_buffer_bytes = (size_t)CLAMP (
      bytes, H1_RECEIVE_BUFFER_MIN_BYTES, H1_RECEIVE_BUFFER_MAX_BYTES);
  h1_conn_limit_listener (&server->listener, server->receive_buffer_bytes);
}

/* Listen on ADDRESS ("IP:PORT"; port 0: any free port) and call EVENTS with
   ARG.  Return NULL and set ERROR if the address is invalid or in use.  */
struct h1_server *
h1_server_new (uv_loop_t *loop, struct tm_service *tm, const char *address,
               const struct h1_server_events *events, void *arg,
               GError **error)
{
  struct h1_server *server = g_new0 (struct h1_server, 1);
  struct sockaddr_in local;
  int status = UV_EINVAL;

  server->tm = tm;
  server->events = *events;
  server->arg = arg;
  server->limits = h1_default_limits;
  server->budget = mbg_new (tm, mbg_machine_bytes ());
  server->connections = g_hash_table_new (g_direct_hash, g_direct_equal);
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  if (adr_parse (address, &local))
    status
        = uv_tcp_bind (&server->listener, (const struct sockaddr *)&local, 0);
  if (status == 0)
    h1_server_limit_buffers (server);
  if (status == 0)
    status = uv_listen ((uv_stream_t *)&server->listener, H1_BACKLOG,
                        h1_server_on_connection);
  if (status == 0)
    return server;
  g_set_error (error, JSN_ERROR, JSN_ERROR_VALUE, "%s: %s", address,
               uv_strerror (status));
  h1_server_free (server);
  return NULL;
}

/* Use LIMITS for connections and requests from now on.  */
void
h1_server_set_limits (struct h1_server *server, const struct h1_limits *limits)
{
  server->limits = *limits;
  h1_server_limit_buffers (server);
}

/* Take the memory for connections, requests and responses from BUDGET instead
   of one of SERVER's own.  It must have no connection yet.  */
void
h1_server_set_budget (struct h1_server *server, struct mbg_budget *budget)
{
  mbg_unref (server->budget);
  server->budget = mbg_ref (budget);
  h1_server_limit_buffers (server);
}

/* Close each connection after its next response.  New connections are still
   accepted, because the load balancer needs time to notice.  */
void
h1_server_drain (struct h1_server *server)
{
  server->draining = true;
}

static bool
h1_server_is_idle (const struct h1_exchange *exchange)
{
  return !exchange->busy && !exchange->closing && !exchange->parser.started
         && exchange->pipelined->len == 0
         && h1_conn_pending_bytes (exchange->conn) == 0
         && !h1_conn_has_unread (exchange->conn);
}

/* Close the connections without a request in progress.  */
void
h1_server_close_idle (struct h1_server *server)
{
  GList *all = g_hash_table_get_keys (server->connections);

  for (GList *item = all; item != NULL; item = item->next)
    {
      struct h1_exchange *exchange = item->data;

      if (h1_server_is_idle (exchange))
        h1_exchange_destroy (exchange);
    }
  g_list_free (all);
}

static void
h1_server_release (struct h1_server *server)
{
  g_hash_table_destroy (server->connections);
  mbg_unref (server->budget);
  g_free (server);
}

static void
h1_server_listener_closed (uv_handle_t *handle)
{
  struct h1_server *server = handle->data;

  server->listener_closed = true;
  if (server->freed)
    h1_server_release (server);
}

/* Close the listening socket.  Open connections go on.  */
void
h1_server_stop_accepting (struct h1_server *server)
{
  if (!server->listener_closing)
    uv_close ((uv_handle_t *)&server->listener, h1_server_listener_closed);
  server->listener_closing = true;
}

/* Close all connections and free SERVER.  */
void
h1_server_free (struct h1_server *server)
{
  GList *all;

  if (server == NULL)
    return;
  all = g_hash_table_get_keys (server->connections);
  for (GList *item = all; item != NULL; item = item->next)
    h1_exchange_destroy (item->data);
  g_list_free (all);
  h1_server_stop_accepting (server);
  server->freed = true;
  if (server->listener_closed)
    h1_server_release (server);
}

/* Return the number of open connections.  */
uint32_t
h1_server_connections (const struct h1_server *server)
{
  return g_hash_table_size (server->connections);
}

/* Return the number of connections with a request or a response in
   progress.  */
uint32_t
h1_server_active (const struct h1_server *server)
{
  uint32_t active = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct h1_exchange *exchange = key;

      if (exchange->busy || h1_conn_pending_bytes (exchange->conn) > 0)
        active++;
    }
  return active;
}

/* Return the port on which SERVER listens.  */
uint16_t
h1_server_port (const struct h1_server *server)
{
  struct sockaddr_in local;
  int length = sizeof local;

  if (uv_tcp_getsockname (&server->listener, (struct sockaddr *)&local,
                          &length)
      != 0)
    return 0;
  return ntohs (local.sin_port);
}
