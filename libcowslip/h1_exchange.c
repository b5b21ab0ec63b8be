#include <string.h>

#include "h1_server_impl.h"

#define H1_US_PER_MS UINT64_C (1000)
/* Time to read bytes that have arrived.  */
#define H1_READ_DELAY_US 10000
/* Memory of a connection, with a head of the usual size.  */
#define H1_CONNECTION_BYTES 8192
#define H1_HEAD_USUAL_BYTES 4096
/* One connection for control is kept for this many others.  */
#define H1_RESERVE_DIVISOR 16

/* Free the body of the current request of EXCHANGE, and its head if that is
   large.  Others are kept for the log.  */
static void
h1_exchange_free_request (struct h1_exchange *exchange)
{
  h1_body_unref (exchange->body);
  exchange->body = NULL;
  mbg_give (exchange->server->budget, exchange->head_taken);
  exchange->head_taken = 0;
  if (exchange->parser.memory_bytes > H1_HEAD_USUAL_BYTES)
    h1_parser_forget_head (&exchange->parser);
}

/* Close the connection of EXCHANGE and free it, without a callback.  */
void
h1_exchange_destroy (struct h1_exchange *exchange)
{
  struct h1_server *server = exchange->server;

  if (exchange->conn != NULL)
    h1_conn_close (exchange->conn);
  tm_cancel (server->tm, &exchange->timer);
  g_hash_table_remove (server->connections, exchange);
  h1_exchange_free_request (exchange);
  h1_pipeline_clear (exchange);
  mbg_close (&exchange->holder);
  mbg_give (server->budget, H1_CONNECTION_BYTES);
  h1_parser_clear (&exchange->parser);
  g_byte_array_free (exchange->pipelined, TRUE);
  g_free (exchange);
}

/* Return the name of REASON for log lines.  */
const char *
h1_close_reason_text (enum h1_close_reason reason)
{
  static const char *const texts[]
      = { "peer", "lost", "timeout", "abort", "evicted" };

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
  h1_exchange_free_request (exchange);
  h1_pipeline_clear (exchange);
  mbg_restart (&exchange->holder);
  mbg_set_bytes (&exchange->holder, h1_conn_pending_bytes (exchange->conn));
  mbg_set_evictable (&exchange->holder, true);
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
  mbg_restart (&exchange->holder);
  tm_after (server->tm, &exchange->timer,
            server->limits.idle_timeout_ms * H1_US_PER_MS, h1_exchange_on_idle,
            exchange);
}

static void
h1_exchange_on_flushed (void *arg)
{
  struct h1_exchange *exchange = arg;

  if (!exchange->busy && !exchange->parser.started)
    mbg_set_bytes (&exchange->holder, 0);
  if (exchange->busy && exchange->events != NULL
      && exchange->events->flushed != NULL)
    exchange->events->flushed (exchange->arg);
  else if (!exchange->busy && !exchange->closing && !exchange->parser.started
           && exchange->pipelined->len == 0)
    h1_exchange_start_idle (exchange);
}

/* The caller of a response that is complete has read BYTES of it.  */
static void
h1_exchange_on_taken (void *arg, size_t bytes)
{
  struct h1_exchange *exchange = arg;

  mbg_progress (&exchange->holder, bytes);
  mbg_set_bytes (&exchange->holder, h1_conn_pending_bytes (exchange->conn));
}

static void
h1_exchange_on_head (void *arg, const struct h1_head *head)
{
  struct h1_exchange *exchange = arg;
  struct h1_server *server = exchange->server;
  const char *expect = h1_head_get (head, "Expect");
  static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";

  exchange->head_only = g_str_equal (head->method, "HEAD");
  exchange->close_after = !head->keep_alive;
  exchange->is_control = server->events.is_control != NULL
                         && server->events.is_control (server->arg, head);
  if (exchange->is_reserve && !exchange->is_control)
    exchange->rejection = H1_REJECT_CONNECTIONS;
  else if (head->length_bytes > server->limits.body_max_bytes)
    exchange->rejection = H1_REJECT_BODY_TOO_LARGE;
  else if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    h1_conn_write (exchange->conn, continue_line, sizeof continue_line - 1);
}

/* Return the use for which EXCHANGE takes BYTES more.  */
static enum mbg_use
h1_exchange_use (const struct h1_exchange *exchange, size_t bytes)
{
  return exchange->is_control ? MBG_CONTROL
                              : mbg_holder_use (&exchange->holder, bytes);
}

static void
h1_exchange_on_body (void *arg, const char *data, size_t bytes)
{
  struct h1_exchange *exchange = arg;
  const struct h1_server *server = exchange->server;

  if (exchange->rejection != H1_REJECT_NONE)
    return;
  if (exchange->body == NULL)
    exchange->body = h1_body_new (server->budget);
  if (h1_body_bytes (exchange->body) + bytes > server->limits.body_max_bytes)
    exchange->rejection = H1_REJECT_BODY_TOO_LARGE;
  else if (!h1_body_append (exchange->body, data, bytes,
                            exchange->parser.head.length_bytes,
                            h1_exchange_use (exchange, bytes)))
    exchange->rejection = H1_REJECT_MEMORY;
}

static const struct h1_parser_events h1_exchange_parser_events
    = { h1_exchange_on_head, h1_exchange_on_body };

/* Take the memory of the head of EXCHANGE beyond the usual size.  Return false
   if there is none.  */
static bool
h1_exchange_take_head (struct h1_exchange *exchange)
{
  size_t bytes = exchange->parser.memory_bytes;

  bytes = bytes > H1_HEAD_USUAL_BYTES ? bytes - H1_HEAD_USUAL_BYTES : 0;
  if (bytes <= exchange->head_taken)
    return true;
  if (!mbg_take (exchange->server->budget, bytes - exchange->head_taken,
                 h1_exchange_use (exchange, bytes - exchange->head_taken)))
    return false;
  exchange->head_taken = bytes;
  return true;
}

static void
h1_exchange_request_complete (struct h1_exchange *exchange)
{
  struct h1_server *server = exchange->server;

  tm_cancel (server->tm, &exchange->timer);
  exchange->busy = true;
  exchange->served = true;
  exchange->close_after |= server->draining;
  server->events.request (server->arg, exchange);
}

static void
h1_exchange_start_request (struct h1_exchange *exchange)
{
  const struct h1_server *server = exchange->server;

  exchange->request_us = tm_now_us (server->tm);
  exchange->parser.head_max_bytes = server->limits.head_max_bytes;
  mbg_restart (&exchange->holder);
  h1_exchange_set_timeout (exchange, server->limits.head_timeout_ms);
}

/* Update what the eviction of EXCHANGE, which has received BYTES of a request
   that is not complete, would free.  */
static void
h1_exchange_update_holder (struct h1_exchange *exchange, size_t bytes)
{
  size_t held_bytes = exchange->head_taken;

  if (exchange->body != NULL)
    held_bytes += h1_body_memory_bytes (exchange->body);
  mbg_progress (&exchange->holder, bytes);
  mbg_set_bytes (&exchange->holder, held_bytes);
  mbg_set_evictable (&exchange->holder, true);
}

/* Parse DATA as part of the current request.  EXCHANGE may be freed.  */
static void
h1_exchange_feed (struct h1_exchange *exchange, const char *data, size_t bytes)
{
  enum h1_parse_result result;
  size_t used;

  if (!exchange->parser.started)
    h1_exchange_start_request (exchange);
  /* The memory that it takes below must not evict itself.  */
  mbg_set_evictable (&exchange->holder, false);
  result = h1_parser_feed (&exchange->parser, data, bytes, &used);
  if (exchange->rejection == H1_REJECT_NONE
      && !h1_exchange_take_head (exchange))
    exchange->rejection = H1_REJECT_MEMORY;
  if (exchange->rejection == H1_REJECT_NONE && result == H1_PARSE_MALFORMED)
    exchange->rejection = exchange->parser.too_long ? H1_REJECT_HEAD_TOO_LARGE
                                                    : H1_REJECT_MALFORMED;
  if (exchange->rejection != H1_REJECT_NONE)
    h1_exchange_reject (exchange, exchange->rejection);
  else if (result == H1_PARSE_COMPLETE)
    {
      h1_pipeline_append (exchange, data + used, bytes - used);
      h1_exchange_request_complete (exchange);
    }
  else
    h1_exchange_update_holder (exchange, bytes);
}

static void
h1_exchange_on_data (void *arg, const char *data, size_t bytes)
{
  struct h1_exchange *exchange = arg;

  if (exchange->closing)
    return;
  if (exchange->busy || exchange->pipelined->len > 0)
    h1_pipeline_append (exchange, data, bytes);
  else
    h1_exchange_feed (exchange, data, bytes);
}

static const struct h1_conn_events h1_exchange_conn_events
    = { .data = h1_exchange_on_data,
        .closed = h1_exchange_on_closed,
        .flushed = h1_exchange_on_flushed,
        .taken = h1_exchange_on_taken };

static void
h1_exchange_on_pipelined (void *arg)
{
  struct h1_exchange *exchange = arg;
  GByteArray *pipelined = h1_pipeline_take (exchange);

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
  h1_exchange_free_request (exchange);
  exchange->events = NULL;
  exchange->is_control = false;
  mbg_restart (&exchange->holder);
  mbg_set_bytes (&exchange->holder, h1_conn_pending_bytes (exchange->conn));
  mbg_set_evictable (&exchange->holder, true);
  if (exchange->pipelined->len > 0)
    tm_after (exchange->server->tm, &exchange->timer, 0,
              h1_exchange_on_pipelined, exchange);
  else
    h1_exchange_start_idle (exchange);
}

/* Return whether SERVER may have another connection, for which an idle one is
   closed if need be, and take its memory.  Set IS_RESERVE if it is one of
   those kept for control.  */
static bool
h1_exchange_admit (struct h1_server *server, bool *is_reserve)
{
  uint32_t count = g_hash_table_size (server->connections);
  uint32_t max = server->limits.connections_max;

  *is_reserve = count >= max && !h1_server_make_room (server);
  if (*is_reserve && count >= max + max / H1_RESERVE_DIVISOR + 1)
    return false;
  return mbg_take (server->budget, H1_CONNECTION_BYTES, MBG_CONTROL);
}

/* Accept a connection of SERVER.  Over the limit its request is refused,
   unless it is an operator's or a readiness check, and over that for control
   the connection is closed immediately.  */
struct h1_exchange *
h1_exchange_accept (struct h1_server *server)
{
  struct h1_exchange *exchange = g_new0 (struct h1_exchange, 1);

  exchange->conn
      = h1_conn_accept ((uv_stream_t *)&server->listener, server->tm,
                        &h1_exchange_conn_events, exchange);
  if (exchange->conn == NULL
      || !h1_exchange_admit (server, &exchange->is_reserve))
    {
      if (exchange->conn != NULL)
        {
          server->counts.connections_refused++;
          h1_conn_close (exchange->conn);
        }
      g_free (exchange);
      return NULL;
    }
  exchange->server = server;
  exchange->pipelined = g_byte_array_new ();
  h1_conn_set_budget (exchange->conn, server->budget);
  mbg_open (&exchange->holder, server->budget, h1_exchange_evict, exchange);
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
  if (exchange->body != NULL)
    return h1_body_data (exchange->body, bytes);
  *bytes = 0;
  return "";
}

/* Return the body of the request, or NULL if it is empty.  It is not changed
   any more.  */
struct h1_body *
h1_exchange_shared_body (const struct h1_exchange *exchange)
{
  return exchange->body;
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
