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
  const char *id_name;
  const struct wire_script *scripts;
  size_t script_count;
  uint32_t requests;
  uint32_t connections;
  uint32_t closed;
  size_t unsent;
  struct h1_head head; /* of the last request */
  size_t body_bytes;
};

/* One connection to an endpoint.  */
struct wire_link
{
  struct wire_endpoint *endpoint;
  uv_tcp_t tcp;
  uv_timer_t timer;
  struct h1_parser parser;
  char **parts; /* of the answer */
  char **part;  /* the next one to be sent */
  enum wire_then then;
  bool closed;
};

struct wire_write
{
  uv_write_t request;
  struct wire_endpoint *endpoint; /* NULL: a caller */
  size_t bytes;
  char data[];
};

static void
wire_on_write (uv_write_t *request, int status)
{
  struct wire_write *write = request->data;

  (void)status;
  if (write->endpoint != NULL)
    write->endpoint->unsent -= write->bytes;
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
    endpoint->unsent += bytes;
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
wire_link_freed (uv_handle_t *handle)
{
  struct wire_link *link = handle->data;

  h1_parser_clear (&link->parser);
  g_strfreev (link->parts);
  free (link);
}

static void
wire_link_stopped (uv_handle_t *handle)
{
  struct wire_link *link = handle->data;

  uv_close ((uv_handle_t *)&link->timer, wire_link_freed);
}

static void
wire_link_close (struct wire_link *link, bool reset)
{
  if (link->closed)
    return;
  link->closed = true;
  link->endpoint->closed++;
  uv_timer_stop (&link->timer);
  if (!reset || uv_tcp_close_reset (&link->tcp, wire_link_stopped) != 0)
    uv_close ((uv_handle_t *)&link->tcp, wire_link_stopped);
}

static char *
wire_fill (const struct wire_link *link, const char *bytes)
{
  const char *id
      = h1_head_get (&link->endpoint->head, link->endpoint->id_name);
  char **pieces = g_strsplit (bytes, "{id}", -1);
  char *text = g_strjoinv (id == NULL ? "" : id, pieces);

  g_strfreev (pieces);
  return text;
}

static void wire_link_next (uv_timer_t *timer);

/* Send the next part of the answer, or do what comes after the last.  */
static void
wire_link_next (uv_timer_t *timer)
{
  struct wire_link *link = timer->data;

  if (*link->part != NULL)
    {
      char *text = wire_fill (link, *link->part++);

      wire_send (&link->tcp, link->endpoint, text, strlen (text));
      g_free (text);
      /* A reset must leave together with the last bytes.  */
      if (*link->part == NULL && link->then == WIRE_RESET)
        wire_link_close (link, true);
      else
        uv_timer_start (timer, wire_link_next, WIRE_PAUSE_MS, 0);
    }
  else if (link->then != WIRE_KEEP)
    wire_link_close (link, link->then == WIRE_RESET);
}

static const struct wire_script *
wire_script_now (const struct wire_endpoint *endpoint)
{
  if (endpoint->requests == 0 || endpoint->script_count == 0)
    return NULL;
  return &endpoint
              ->scripts[MIN (endpoint->requests, endpoint->script_count) - 1];
}

static void
wire_link_answer (struct wire_link *link)
{
  const struct wire_script *script = wire_script_now (link->endpoint);

  if (script == NULL || script->bytes == NULL)
    return;
  g_strfreev (link->parts);
  link->parts = g_strsplit (script->bytes, "|", -1);
  link->part = link->parts;
  link->then = script->then;
  wire_link_next (&link->timer);
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
wire_link_on_head (void *arg, const struct h1_head *head)
{
  struct wire_link *link = arg;
  const struct wire_script *script;

  wire_copy_head (&link->endpoint->head, head);
  link->endpoint->body_bytes = 0;
  link->endpoint->requests++;
  script = wire_script_now (link->endpoint);
  if (script != NULL && script->early)
    wire_link_answer (link);
}

static void
wire_link_on_body (void *arg, const char *data, size_t bytes)
{
  struct wire_link *link = arg;

  (void)data;
  link->endpoint->body_bytes += bytes;
}

static const struct h1_parser_events wire_link_events
    = { wire_link_on_head, wire_link_on_body };

static void
wire_link_on_read (uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buffer)
{
  struct wire_link *link = stream->data;
  const struct wire_script *script;
  size_t used = 0;
  size_t done = 0;

  if (bytes < 0)
    {
      wire_link_close (link, false);
      return;
    }
  while (done < (size_t)bytes && !link->closed
         && h1_parser_feed (&link->parser, buffer->base + done,
                            (size_t)bytes - done, &used)
                == H1_PARSE_COMPLETE)
    {
      done += used;
      script = wire_script_now (link->endpoint);
      if (script != NULL && !script->early)
        wire_link_answer (link);
      h1_parser_next (&link->parser);
    }
}

static void
wire_on_connection (uv_stream_t *listener, int status)
{
  struct wire_endpoint *endpoint = listener->data;
  struct wire_link *link = calloc (1, sizeof *link);

  (void)status;
  link->endpoint = endpoint;
  endpoint->connections++;
  uv_tcp_init (endpoint->loop, &link->tcp);
  uv_timer_init (endpoint->loop, &link->timer);
  link->tcp.data = link;
  link->timer.data = link;
  h1_parser_init (&link->parser, HTTP_REQUEST, WIRE_HEAD_MAX_BYTES,
                  &wire_link_events, link);
  uv_accept (listener, (uv_stream_t *)&link->tcp);
  uv_read_start ((uv_stream_t *)&link->tcp, wire_alloc, wire_link_on_read);
}

/* Return an endpoint on a free port that knows requests by ID_NAME.  */
struct wire_endpoint *
wire_endpoint_new (uv_loop_t *loop, const char *id_name)
{
  struct wire_endpoint *endpoint = g_new0 (struct wire_endpoint, 1);
  struct sockaddr_in any;

  endpoint->loop = loop;
  endpoint->id_name = id_name;
  h1_head_init (&endpoint->head);
  uv_tcp_init (loop, &endpoint->listener);
  endpoint->listener.data = endpoint;
  uv_ip4_addr ("127.0.0.1", 0, &any);
  uv_tcp_bind (&endpoint->listener, (const struct sockaddr *)&any, 0);
  uv_listen ((uv_stream_t *)&endpoint->listener, 64, wire_on_connection);
  return endpoint;
}

/* Answer the next COUNT requests as SCRIPTS say, and further ones like the
   last of them.  */
void
wire_endpoint_play (struct wire_endpoint *endpoint,
                    const struct wire_script *scripts, size_t count)
{
  endpoint->scripts = scripts;
  endpoint->script_count = count;
  endpoint->requests = 0;
  endpoint->connections = 0;
  endpoint->closed = 0;
}

/* Return the port of ENDPOINT.  */
uint16_t
wire_endpoint_port (const struct wire_endpoint *endpoint)
{
  struct sockaddr_in local;
  int bytes = sizeof local;

  uv_tcp_getsockname (&endpoint->listener, (struct sockaddr *)&local, &bytes);
  return ntohs (local.sin_port);
}

/* Return how many requests arrived since the last play.  */
uint32_t
wire_endpoint_requests (const struct wire_endpoint *endpoint)
{
  return endpoint->requests;
}

/* Return how many connections were opened since the last play.  */
uint32_t
wire_endpoint_connections (const struct wire_endpoint *endpoint)
{
  return endpoint->connections;
}

/* Return how many connections were closed, by either side.  */
uint32_t
wire_endpoint_closed (const struct wire_endpoint *endpoint)
{
  return endpoint->closed;
}

/* Return how many bytes of answers the gateway has not taken.  */
size_t
wire_endpoint_unsent (const struct wire_endpoint *endpoint)
{
  return endpoint->unsent;
}

/* Return the head of the last request.  */
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
  struct h1_head head; /* of the last answer */
  GString *body;
  uint32_t whole;
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
  size_t done = 0;
  size_t used = 0;

  if (bytes < 0)
    {
      caller->closed = true;
      uv_read_stop (stream);
      return;
    }
  while (done < (size_t)bytes
         && h1_parser_feed (&caller->parser, buffer->base + done,
                            (size_t)bytes - done, &used)
                == H1_PARSE_COMPLETE)
    {
      done += used;
      if (caller->head.status >= 200)
        caller->whole++;
      h1_parser_next (&caller->parser);
    }
}

/* Let CALLER take what is sent to it, or leave it in the connection.  */
void
wire_caller_read (struct wire_caller *caller, bool enabled)
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
  wire_caller_read (caller, true);
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

/* Return how many answers arrived whole.  */
uint32_t
wire_caller_whole (const struct wire_caller *caller)
{
  return caller->whole;
}

/* Return whether the gateway closed the connection.  */
bool
wire_caller_closed (const struct wire_caller *caller)
{
  return caller->closed;
}

/* Return the status of the last answer, 0 if none has begun.  */
uint16_t
wire_caller_status (const struct wire_caller *caller)
{
  return caller->head.status;
}

/* Return a field of the last answer, or NULL.  */
const char *
wire_caller_field (const struct wire_caller *caller, const char *name)
{
  return h1_head_get (&caller->head, name);
}

/* Return the body of the last answer as far as it arrived.  */
const char *
wire_caller_body (const struct wire_caller *caller)
{
  return caller->body->str;
}
