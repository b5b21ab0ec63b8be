#include <string.h>

#include "h1_server_impl.h"

#define H1_US_PER_MS UINT64_C (1000)
/* Time to read bytes that have arrived.  */
#define H1_READ_DELAY_US 10000
/* Limit on pipelined bytes buffered while a request is processed.  */
#define H1_PIPELINED_MAX_BYTES (64U << 10)

/* Close the connection of EXCHANGE and free it, without a callback.  */
void
h1_exchange_destroy (struct h1_exchange *exchange)
{
  struct h1_server *server = exchange->server;

  if (exchange->conn != NULL)
    h1_conn_close (exchange->conn);
  tm_cancel (server->tm, &exchange->timer);
  g_hash_table_remove (server->connections, exchange);
  h1_parser_clear (&exchange->parser);
  g_byte_array_free (exchange->body, TRUE);
  g_byte_array_free (exchange->pipelined, TRUE);
  g_free (exchange);
}

/* Return the name of REASON for log lines.  */
const char *
h1_close_reason_text (enum h1_close_reason reason)
{
  static const char *const texts[] = { "peer", "lost", "timeout", "abort" };

  return texts[reason];
}

/* Close the connection of EXCHANGE for REASON and free it.  Report what was
   not finished.  */
void
h1_exchange_close (struct h1_exchange *exchange, enum h1_close_reason reason)
{
  struct h1_server *server = exchange->server;
  struct h1_unfinished unfinished
      = { .reason = reason,
          .head = exchange->parser.started ? &exchange->parser.head : NULL,
          .answering = exchange->busy || exchange->closing,
          .age_us = tm_now_us (server->tm) - exchange->request_us,
          .unread_bytes = exchange->pipelined->len,
          .unsent_bytes = h1_conn_pending_bytes (exchange->conn) };
  bool within_request = exchange->parser.started && !exchange->closing;

  if (server->events.unfinished != NULL
      && (within_request || unfinished.unread_bytes > 0
          || unfinished.unsent_bytes > 0))
    server->events.unfinished (server->arg, &unfinished);
  h1_exchange_destroy (exchange);
}

/* Close the connection of EXCHANGE when its last response has been sent.  */
void
h1_exchange_shutdown (struct h1_exchange *exchange)
{
  exchange->closing = true;
  exchange->events = NULL;
  tm_cancel (exchange->server->tm, &exchange->timer);
  h1_conn_shutdown (exchange->conn);
}

static void
h1_exchange_on_closed (void *arg, bool reset)
{
  struct h1_exchange *exchange = arg;
  const struct h1_exchange_events *events = exchange->events;
  void *owner = exchange->arg;
  bool busy = exchange->busy;

  h1_exchange_close (exchange, reset ? H1_CLOSE_LOST : H1_CLOSE_PEER);
  if (busy && events != NULL)
    events->disconnected (owner);
}

static void
h1_exchange_on_timer (void *arg)
{
  h1_exchange_close (arg, H1_CLOSE_TIMEOUT);
}

static void
h1_exchange_set_timeout (struct h1_exchange *exchange, uint32_t timeout_ms)
{
  tm_after (exchange->server->tm, &exchange->timer, timeout_ms * H1_US_PER_MS,
            h1_exchange_on_timer, exchange);
}

/* Close the idle connection of ARG, unless the limit was raised meanwhile or
   bytes have arrived.  */
static void
h1_exchange_on_idle (void *arg)
{
  struct h1_exchange *exchange = arg;
  const struct h1_server *server = exchange->server;
  uint64_t end_us = exchange->idle_since_us
                    + server->limits.idle_timeout_ms * H1_US_PER_MS;
  uint64_t now_us = tm_now_us (server->tm);

  /* After a stall of this process timers expire before sockets are read.  */
  if (now_us >= end_us && h1_conn_has_unread (exchange->conn))
    end_us = now_us + H1_READ_DELAY_US;
  if (now_us < end_us)
    tm_after (server->tm, &exchange->timer, end_us - now_us,
              h1_exchange_on_idle, exchange);
  else
    h1_exchange_destroy (exchange);
}

/* The time between two requests begins when the response was sent.  */
static void
h1_exchange_start_idle (struct h1_exchange *exchange)
{
  const struct h1_server *server = exchange->server;

  if (h1_conn_pending_bytes (exchange->conn) > 0)
    return;
  exchange->idle_since_us = tm_now_us (server->tm);
  tm_after (server->tm, &exchange->timer,
            server->limits.idle_timeout_ms * H1_US_PER_MS, h1_exchange_on_idle,
            exchange);
}

static void
h1_exchange_on_flushed (void *arg)
{
  struct h1_exchange *exchange = arg;

  if (exchange->busy && exchange->events != NULL
      && exchange->events->flushed != NULL)
    exchange->events->flushed (exchange->arg);
  else if (!exchange->busy && !exchange->closing && !exchange->parser.started
           && exchange->pipelined->len == 0)
    h1_exchange_start_idle (exchange);
}

/* Respond with STATUS to a request that may be incomplete, and close the
   connection gracefully.  */
static void
h1_exchange_reject (struct h1_exchange *exchange, uint16_t status)
{
  exchange->close_after = true;
  exchange->busy = true;
  exchange->events = NULL;
  h1_respond (exchange, status, NULL, 0, "");
}

static void
h1_exchange_on_head (void *arg, const struct h1_head *head)
{
  struct h1_exchange *exchange = arg;
  const char *expect = h1_head_get (head, "Expect");
  static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";

  exchange->head_only = g_str_equal (head->method, "HEAD");
  exchange->close_after = !head->keep_alive;
  exchange->oversize
      = head->length_bytes > exchange->server->limits.body_max_bytes;
  if (expect != NULL && !exchange->oversize
      && g_ascii_strcasecmp (expect, "100-continue") == 0)
    h1_conn_write (exchange->conn, continue_line, sizeof continue_line - 1);
}

static void
h1_exchange_on_body (void *arg, const char *data, size_t bytes)
{
  struct h1_exchange *exchange = arg;

  if (exchange->body->len + bytes > exchange->server->limits.body_max_bytes)
    exchange->oversize = true;
  if (!exchange->oversize)
    g_byte_array_append (exchange->body, (const guint8 *)data, (guint)bytes);
}

static const struct h1_parser_events h1_exchange_parser_events
    = { h1_exchange_on_head, h1_exchange_on_body };

static void
h1_exchange_buffer_pipelined (struct h1_exchange *exchange, const char *data,
                              size_t bytes)
{
  g_byte_array_append (exchange->pipelined, (const guint8 *)data,
                       (guint)bytes);
  if (exchange->pipelined->len > H1_PIPELINED_MAX_BYTES)
    h1_conn_set_reading (exchange->conn, false);
}

static void
h1_exchange_request_complete (struct h1_exchange *exchange)
{
  struct h1_server *server = exchange->server;

  tm_cancel (server->tm, &exchange->timer);
  exchange->busy = true;
  exchange->close_after |= server->draining;
  server->events.request (server->arg, exchange);
}

/* Parse DATA as part of the current request.  EXCHANGE may be freed.  */
static void
h1_exchange_feed (struct h1_exchange *exchange, const char *data, size_t bytes)
{
  enum h1_parse_result result;
  size_t used;

  if (!exchange->parser.started)
    {
      exchange->request_us = tm_now_us (exchange->server->tm);
      exchange->parser.head_max_bytes
          = exchange->server->limits.head_max_bytes;
      h1_exchange_set_timeout (exchange,
                               exchange->server->limits.head_timeout_ms);
    }
  result = h1_parser_feed (&exchange->parser, data, bytes, &used);
  if (exchange->oversize)
    h1_exchange_reject (exchange, 413);
  else if (result == H1_PARSE_MALFORMED)
    h1_exchange_reject (exchange, exchange->parser.too_long ? 431 : 400);
  else if (result == H1_PARSE_COMPLETE)
    {
      h1_exchange_buffer_pipelined (exchange, data + used, bytes - used);
      h1_exchange_request_complete (exchange);
    }
}

static void
h1_exchange_on_data (void *arg, const char *data, size_t bytes)
{
  struct h1_exchange *exchange = arg;

  if (exchange->closing)
    return;
  if (exchange->busy || exchange->pipelined->len > 0)
    h1_exchange_buffer_pipelined (exchange, data, bytes);
  else
    h1_exchange_feed (exchange, data, bytes);
}

static const struct h1_conn_events h1_exchange_conn_events
    = { NULL, h1_exchange_on_data, h1_exchange_on_closed,
        h1_exchange_on_flushed };

static void
h1_exchange_on_pipelined (void *arg)
{
  struct h1_exchange *exchange = arg;
  GByteArray *pipelined = exchange->pipelined;

  exchange->pipelined = g_byte_array_new ();
  h1_conn_set_reading (exchange->conn, true);
  h1_exchange_feed (exchange, (const char *)pipelined->data, pipelined->len);
  g_byte_array_free (pipelined, TRUE);
}

/* Prepare for the next request on the connection.  A pipelined request is
   parsed from the loop, so that a long sequence of them cannot overflow the
   stack.  */
void
h1_exchange_next_request (struct h1_exchange *exchange)
{
  h1_parser_next (&exchange->parser);
  g_byte_array_set_size (exchange->body, 0);
  exchange->events = NULL;
  exchange->oversize = false;
  if (exchange->pipelined->len > 0)
    tm_after (exchange->server->tm, &exchange->timer, 0,
              h1_exchange_on_pipelined, exchange);
  else
    h1_exchange_start_idle (exchange);
}

/* Accept a connection of SERVER.  A connection over the limit is closed
   immediately.  */
struct h1_exchange *
h1_exchange_accept (struct h1_server *server)
{
  struct h1_exchange *exchange = g_new0 (struct h1_exchange, 1);

  exchange->conn
      = h1_conn_accept ((uv_stream_t *)&server->listener, server->tm,
                        &h1_exchange_conn_events, exchange);
  if (exchange->conn == NULL
      || g_hash_table_size (server->connections)
             >= server->limits.connections_max)
    {
      if (exchange->conn != NULL)
        h1_conn_close (exchange->conn);
      g_free (exchange);
      return NULL;
    }
  exchange->server = server;
  exchange->body = g_byte_array_new ();
  exchange->pipelined = g_byte_array_new ();
  h1_parser_init (&exchange->parser, HTTP_REQUEST,
                  server->limits.head_max_bytes, &h1_exchange_parser_events,
                  exchange);
  g_hash_table_add (server->connections, exchange);
  h1_exchange_start_idle (exchange);
  return exchange;
}

/* Return the head of the request.  */
const struct h1_head *
h1_exchange_head (const struct h1_exchange *exchange)
{
  return &exchange->parser.head;
}

/* Return the body of the request, BYTES long.  */
const char *
h1_exchange_body (const struct h1_exchange *exchange, size_t *bytes)
{
  *bytes = exchange->body->len;
  return (const char *)exchange->body->data;
}

/* Set the callbacks of EXCHANGE.  */
void
h1_exchange_set_events (struct h1_exchange *exchange,
                        const struct h1_exchange_events *events, void *arg)
{
  exchange->events = events;
  exchange->arg = arg;
}

/* Return the number of response bytes queued for the caller.  */
size_t
h1_exchange_pending_bytes (const struct h1_exchange *exchange)
{
  return h1_conn_pending_bytes (exchange->conn);
}
