#include <stdlib.h>
#include <string.h>

#include "h1_parser.h"
#include "wire.h"

#define WIRE_HEAD_MAX_BYTES 65536
#define WIRE_PAUSE_MS       5

struct wire_endpoint
{
  uv_tcp_t listener;
  uv_loop_t *loop;
  uint16_t port;
  GHashTable *open; /* set of struct wire_conn */
  const char *id_name;
  uint32_t pause_ms; /* for each "|" of a script */
  const struct wire_script *scripts;
  size_t script_count;
  uint32_t requests;
  uint32_t connections;
  uint32_t closed;
  size_t pending_bytes;
  struct h1_head head; /* of the last request */
  size_t body_bytes;
};

/* A connection that an endpoint accepted.  */
struct wire_conn
{
  struct wire_endpoint *endpoint;
  uv_tcp_t tcp;
  uv_timer_t timer;
  struct h1_parser parser;
  char **parts;     /* of the response */
  char **next_part; /* the next one to send */
  enum wire_end_action end_action;
  bool closed;
};

struct wire_write
{
  uv_write_t request;
  struct wire_endpoint *endpoint; /* NULL for a caller */
  size_t bytes;
  char data[];
};

static void
wire_on_write (uv_write_t *request, int status)
{
  struct wire_write *write = request->data;

  (void)status;
  if (write->endpoint != NULL)
    write->endpoint->pending_bytes -= write->bytes;
  free (write);
}

static void
wire_send (uv_tcp_t *tcp, struct wire_endpoint *endpoint, const char *data,
           size_t bytes)
{
  struct wire_write *write = malloc (sizeof *write + bytes);
  uv_buf_t buffer = uv_buf_init (write->data, (unsigned)bytes);

  write->request.data = write;
  write->endpoint = endpoint;
  write->bytes = bytes;
  memcpy (write->data, data, bytes);
  if (endpoint != NULL)
    endpoint->pending_bytes += bytes;
  uv_write (&write->request, (uv_stream_t *)tcp, &buffer, 1, wire_on_write);
}

static void
wire_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char memory[65536];

  (void)handle;
  (void)size;
  *buffer = uv_buf_init (memory, sizeof memory);
}

static void
wire_conn_timer_closed (uv_handle_t *handle)
{
  struct wire_conn *conn = handle->data;

  h1_parser_clear (&conn->parser);
  g_strfreev (conn->parts);
  free (conn);
}

static void
wire_conn_tcp_closed (uv_handle_t *handle)
{
  struct wire_conn *conn = handle->data;

  uv_close ((uv_handle_t *)&conn->timer, wire_conn_timer_closed);
}

static void
wire_conn_close (struct wire_conn *conn, bool reset)
{
  if (conn->closed)
    return;
  conn->closed = true;
  conn->endpoint->closed++;
  g_hash_table_remove (conn->endpoint->open, conn);
  uv_timer_stop (&conn->timer);
  if (!reset || uv_tcp_close_reset (&conn->tcp, wire_conn_tcp_closed) != 0)
    uv_close ((uv_handle_t *)&conn->tcp, wire_conn_tcp_closed);
}

static void
wire_on_listener_closed (uv_handle_t *handle)
{
  handle->data = NULL;
}

/* Reset all connections of ENDPOINT and stop listening.  */
static void
wire_endpoint_crash (struct wire_endpoint *endpoint)
{
  GList *open = g_hash_table_get_keys (endpoint->open);

  for (GList *item = open; item != NULL; item = item->next)
    wire_conn_close (item->data, true);
  g_list_free (open);
  uv_close ((uv_handle_t *)&endpoint->listener, wire_on_listener_closed);
}

static void
wire_conn_end (struct wire_conn *conn)
{
  if (conn->end_action == WIRE_CRASH)
    wire_endpoint_crash (conn->endpoint);
  else
    wire_conn_close (conn, conn->end_action == WIRE_RESET);
}

static char *
wire_expand_id (const struct wire_conn *conn, const char *bytes)
{
  const char *id
      = h1_head_get (&conn->endpoint->head, conn->endpoint->id_name);
  char **pieces = g_strsplit (bytes, "{id}", -1);
  char *text = g_strjoinv (id == NULL ? "" : id, pieces);

  g_strfreev (pieces);
  return text;
}

static void wire_conn_send_next (uv_timer_t *timer);

/* Send the next part of the response, or perform the end action after the last
   one.  */
static void
wire_conn_send_next (uv_timer_t *timer)
{
  struct wire_conn *conn = timer->data;

  if (*conn->next_part != NULL)
    {
      const char *text = *conn->next_part++;

      wire_send (&conn->tcp, conn->endpoint, text, strlen (text));
      /* The reset must follow the last bytes without a pause.  */
      if (*conn->next_part == NULL
          && (conn->end_action == WIRE_RESET
              || conn->end_action == WIRE_CRASH))
        wire_conn_end (conn);
      else
        uv_timer_start (timer, wire_conn_send_next, conn->endpoint->pause_ms,
                        0);
    }
  else if (conn->end_action != WIRE_KEEP)
    wire_conn_end (conn);
}

static const struct wire_script *
wire_current_script (const struct wire_endpoint *endpoint)
{
  if (endpoint->requests == 0 || endpoint->script_count == 0)
    return NULL;
  return &endpoint
              ->scripts[MIN (endpoint->requests, endpoint->script_count) - 1];
}

static void
wire_conn_respond (struct wire_conn *conn)
{
  const struct wire_script *script = wire_current_script (conn->endpoint);
  char *text;

  if (script == NULL || script->bytes == NULL)
    return;
  text = wire_expand_id (conn, script->bytes);
  g_strfreev (conn->parts);
  conn->parts = g_strsplit (text, "|", -1);
  g_free (text);
  conn->next_part = conn->parts;
  conn->end_action = script->end_action;
  wire_conn_send_next (&conn->timer);
}

static void
wire_copy_head (struct h1_head *to, const struct h1_head *from)
{
  h1_head_clear (to);
  h1_head_init (to);
  to->method = g_strdup (from->method);
  to->target = g_strdup (from->target);
  to->status = from->status;
  for (guint i = 0; i < from->fields->len; i++)
    {
      const struct h1_field *field
          = &g_array_index (from->fields, struct h1_field, i);

      h1_head_add (to, field->name, field->value);
    }
}

static void
wire_conn_on_head (void *arg, const struct h1_head *head)
{
  struct wire_conn *conn = arg;
  const struct wire_script *script;

  wire_copy_head (&conn->endpoint->head, head);
  conn->endpoint->body_bytes = 0;
  conn->endpoint->requests++;
  script = wire_current_script (conn->endpoint);
  if (script != NULL && script->early)
    wire_conn_respond (conn);
}

static void
wire_conn_on_body (void *arg, const char *data, size_t bytes)
{
  struct wire_conn *conn = arg;

  (void)data;
  conn->endpoint->body_bytes += bytes;
}

static const struct h1_parser_events wire_conn_events
    = { wire_conn_on_head, wire_conn_on_body };

static void
wire_conn_on_read (uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buffer)
{
  struct wire_conn *conn = stream->data;
  const struct wire_script *script;
  size_t parsed = 0;
  size_t consumed = 0;

  if (bytes < 0)
    {
      wire_conn_close (conn, false);
      return;
    }
  while (consumed < (size_t)bytes && !conn->closed
         && h1_parser_feed (&conn->parser, buffer->base + consumed,
                            (size_t)bytes - consumed, &parsed)
                == H1_PARSE_COMPLETE)
    {
      consumed += parsed;
      script = wire_current_script (conn->endpoint);
      if (script != NULL && !script->early)
        wire_conn_respond (conn);
      h1_parser_next (&conn->parser);
    }
}

static void
wire_on_connection (uv_stream_t *listener, int status)
{
  struct wire_endpoint *endpoint = listener->data;
  struct wire_conn *conn = calloc (1, sizeof *conn);

  (void)status;
  conn->endpoint = endpoint;
  endpoint->connections++;
  uv_tcp_init (endpoint->loop, &conn->tcp);
  uv_timer_init (endpoint->loop, &conn->timer);
  conn->tcp.data = conn;
  conn->timer.data = conn;
  h1_parser_init (&conn->parser, HTTP_REQUEST, WIRE_HEAD_MAX_BYTES,
                  &wire_conn_events, conn);
  uv_accept (listener, (uv_stream_t *)&conn->tcp);
  uv_read_start ((uv_stream_t *)&conn->tcp, wire_alloc, wire_conn_on_read);
  g_hash_table_add (endpoint->open, conn);
}

/* Listen on PORT of 127.0.0.1; 0: on a free one.  */
static void
wire_endpoint_listen (struct wire_endpoint *endpoint, uint16_t port)
{
  struct sockaddr_in address;
  int bytes = sizeof address;

  uv_tcp_init (endpoint->loop, &endpoint->listener);
  endpoint->listener.data = endpoint;
  uv_ip4_addr ("127.0.0.1", port, &address);
  uv_tcp_bind (&endpoint->listener, (const struct sockaddr *)&address, 0);
  uv_listen ((uv_stream_t *)&endpoint->listener, 64, wire_on_connection);
  uv_tcp_getsockname (&endpoint->listener, (struct sockaddr *)&address,
                      &bytes);
  endpoint->port = ntohs (address.sin_port);
}

/* Return an endpoint that listens on a free port of 127.0.0.1.  Requests carry
   their identifier in the header field ID_NAME.  */
struct wire_endpoint *
wire_endpoint_new (uv_loop_t *loop, const char *id_name)
{
  struct wire_endpoint *endpoint = g_new0 (struct wire_endpoint, 1);

  endpoint->loop = loop;
  endpoint->id_name = id_name;
  endpoint->pause_ms = WIRE_PAUSE_MS;
  endpoint->open = g_hash_table_new (g_direct_hash, g_direct_equal);
  h1_head_init (&endpoint->head);
  wire_endpoint_listen (endpoint, 0);
  return endpoint;
}

/* Set the length of a pause in a response to PAUSE_MS.  */
void
wire_endpoint_set_pause (struct wire_endpoint *endpoint, uint32_t pause_ms)
{
  endpoint->pause_ms = pause_ms;
}

/* Respond to the next COUNT requests with SCRIPTS, one for each, and to all
   further ones with the last script.  Reset the counters.  */
void
wire_endpoint_set_scripts (struct wire_endpoint *endpoint,
                           const struct wire_script *scripts, size_t count)
{
  endpoint->scripts = scripts;
  endpoint->script_count = count;
  endpoint->requests = 0;
  endpoint->connections = 0;
  endpoint->closed = 0;
}

/* Let ENDPOINT, which has crashed, listen on its port again.  */
void
wire_endpoint_restart (struct wire_endpoint *endpoint)
{
  if (!uv_is_closing ((uv_handle_t *)&endpoint->listener))
    return;
  /* The callback of the close must run before the handle is used again.  */
  while (uv_loop_alive (endpoint->loop)
         && uv_handle_get_data ((uv_handle_t *)&endpoint->listener) != NULL)
    uv_run (endpoint->loop, UV_RUN_NOWAIT);
  wire_endpoint_listen (endpoint, endpoint->port);
}

/* Return the port of ENDPOINT.  */
uint16_t
wire_endpoint_port (const struct wire_endpoint *endpoint)
{
  return endpoint->port;
}

/* Return the number of requests received since the scripts were set.  */
uint32_t
wire_endpoint_requests (const struct wire_endpoint *endpoint)
{
  return endpoint->requests;
}

/* Return the number of connections accepted since the scripts were set.  */
uint32_t
wire_endpoint_connections (const struct wire_endpoint *endpoint)
{
  return endpoint->connections;
}

/* Return the number of connections that either side closed since the scripts
   were set.  */
uint32_t
wire_endpoint_disconnects (const struct wire_endpoint *endpoint)
{
  return endpoint->closed;
}

/* Return the number of response bytes queued for writing.  */
size_t
wire_endpoint_pending_bytes (const struct wire_endpoint *endpoint)
{
  return endpoint->pending_bytes;
}

/* Return the head (request line and header fields) of the last request.  */
const struct h1_head *
wire_endpoint_head (const struct wire_endpoint *endpoint)
{
  return &endpoint->head;
}

/* Return the length of the last request's body.  */
size_t
wire_endpoint_body_bytes (const struct wire_endpoint *endpoint)
{
  return endpoint->body_bytes;
}

struct wire_caller
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  char *bytes;
  struct h1_parser parser;
  struct h1_head head; /* of the last response */
  GString *body;
  uint32_t responses;
  bool closed;
};

static void
wire_caller_on_head (void *arg, const struct h1_head *head)
{
  struct wire_caller *caller = arg;

  wire_copy_head (&caller->head, head);
  g_string_truncate (caller->body, 0);
}

static void
wire_caller_on_body (void *arg, const char *data, size_t bytes)
{
  struct wire_caller *caller = arg;

  g_string_append_len (caller->body, data, (gssize)bytes);
}

static const struct h1_parser_events wire_caller_events
    = { wire_caller_on_head, wire_caller_on_body };

static void
wire_caller_on_read (uv_stream_t *stream, ssize_t bytes,
                     const uv_buf_t *buffer)
{
  struct wire_caller *caller = stream->data;
  size_t consumed = 0;
  size_t parsed = 0;

  if (bytes < 0)
    {
      caller->closed = true;
      uv_read_stop (stream);
      return;
    }
  while (consumed < (size_t)bytes
         && h1_parser_feed (&caller->parser, buffer->base + consumed,
                            (size_t)bytes - consumed, &parsed)
                == H1_PARSE_COMPLETE)
    {
      consumed += parsed;
      if (caller->head.status >= 200)
        caller->responses++;
      h1_parser_next (&caller->parser);
    }
}

/* Start reading from the connection of CALLER if ENABLED, or stop it.  */
void
wire_caller_set_reading (struct wire_caller *caller, bool enabled)
{
  if (enabled)
    uv_read_start ((uv_stream_t *)&caller->tcp, wire_alloc,
                   wire_caller_on_read);
  else
    uv_read_stop ((uv_stream_t *)&caller->tcp);
}

static void
wire_caller_on_connect (uv_connect_t *request, int status)
{
  struct wire_caller *caller = request->data;

  if (status != 0)
    {
      caller->closed = true;
      return;
    }
  wire_caller_set_reading (caller, true);
  wire_send (&caller->tcp, NULL, caller->bytes, strlen (caller->bytes));
}

/* Connect to PORT and send BYTES.  */
struct wire_caller *
wire_caller_new (uv_loop_t *loop, uint16_t port, const char *bytes)
{
  struct wire_caller *caller = g_new0 (struct wire_caller, 1);
  struct sockaddr_in address;

  caller->bytes = g_strdup (bytes);
  caller->body = g_string_new (NULL);
  h1_head_init (&caller->head);
  h1_parser_init (&caller->parser, HTTP_RESPONSE, WIRE_HEAD_MAX_BYTES,
                  &wire_caller_events, caller);
  uv_tcp_init (loop, &caller->tcp);
  caller->tcp.data = caller;
  caller->connect.data = caller;
  uv_ip4_addr ("127.0.0.1", port, &address);
  uv_tcp_connect (&caller->connect, &caller->tcp,
                  (const struct sockaddr *)&address, wire_caller_on_connect);
  return caller;
}

/* Send BYTES on the connection of CALLER, which is open.  */
void
wire_caller_send (struct wire_caller *caller, const char *bytes)
{
  wire_send (&caller->tcp, NULL, bytes, strlen (bytes));
}

static void
wire_caller_freed (uv_handle_t *handle)
{
  struct wire_caller *caller = handle->data;

  h1_parser_clear (&caller->parser);
  h1_head_clear (&caller->head);
  g_string_free (caller->body, TRUE);
  g_free (caller->bytes);
  g_free (caller);
}

/* Close the connection of CALLER and free it.  */
void
wire_caller_close (struct wire_caller *caller)
{
  uv_close ((uv_handle_t *)&caller->tcp, wire_caller_freed);
}

/* Return the number of complete responses received.  */
uint32_t
wire_caller_responses (const struct wire_caller *caller)
{
  return caller->responses;
}

/* Return whether the gateway closed the connection.  */
bool
wire_caller_closed (const struct wire_caller *caller)
{
  return caller->closed;
}

/* Return the status of the last response, 0 if there is none.  */
uint16_t
wire_caller_status (const struct wire_caller *caller)
{
  return caller->head.status;
}

/* Return the value of header field NAME of the last response, or NULL.  */
const char *
wire_caller_field (const struct wire_caller *caller, const char *name)
{
  return h1_head_get (&caller->head, name);
}

/* Return the part of the last response's body that was received.  */
const char *
wire_caller_body (const struct wire_caller *caller)
{
  return caller->body->str;
}
