#include <string.h>

#include "h1_server_impl.h"

#define H1_US_PER_MS UINT64_C (1000)
/* A caller may send this much behind a request that is being answered.  */
#define H1_HELD_MAX_BYTES (64U << 10)

/* Close the connection of EXCHANGE and free it, without a report.  */
void
h1_exchange_destroy (struct h1_exchange *exchange)
{
  struct h1_server *server = exchange->server;

  if (exchange->link != NULL)
    h1_link_close (exchange->link);
  tm_cancel (server->tm, &exchange->timer);
  g_hash_table_remove (server->connections, exchange);
  h1_parser_clear (&exchange->parser);
  g_byte_array_free (exchange->body, TRUE);
  g_byte_array_free (exchange->held, TRUE);
  g_free (exchange);
}

static void
h1_exchange_on_closed (void *arg, bool reset)
{
  struct h1_exchange *exchange = arg;
  const struct h1_exchange_events *events = exchange->events;
  void *owner = exchange->arg;
  bool busy = exchange->busy;

  (void)reset;
  exchange->link = NULL;
  h1_exchange_destroy (exchange);
  if (busy && events != NULL)
    events->gone (owner);
}

static void
h1_exchange_on_flushed (void *arg)
{
  struct h1_exchange *exchange = arg;

  if (exchange->busy && exchange->events != NULL
      && exchange->events->flushed != NULL)
    exchange->events->flushed (exchange->arg);
}

static void
h1_exchange_on_timer (void *arg)
{
  h1_exchange_destroy (arg);
}

static void
h1_exchange_wait (struct h1_exchange *exchange, uint32_t timeout_ms)
{
  tm_after (exchange->server->tm, &exchange->timer, timeout_ms * H1_US_PER_MS,
            h1_exchange_on_timer, exchange);
}

/* Refuse what was read so far with STATUS and close the connection in
   order.  */
static void
h1_exchange_refuse (struct h1_exchange *exchange, uint16_t status)
{
  exchange->close_after = true;
  exchange->busy = true;
  exchange->events = NULL;
  h1_answer (exchange, status, NULL, 0, "");
}

static void
h1_exchange_on_head (void *arg, const struct h1_head *head)
{
  struct h1_exchange *exchange = arg;
  const char *expect = h1_head_get (head, "Expect");
  static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";

  exchange->head_only = g_str_equal (head->method, "HEAD");
  exchange->close_after = !head->keep_alive;
  exchange->oversize
      = head->length_bytes > exchange->server->limits.body_max_bytes;
  if (expect != NULL && !exchange->oversize
      && g_ascii_strcasecmp (expect, "100-continue") == 0)
    h1_link_write (exchange->link, go_on, sizeof go_on - 1);
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
h1_exchange_hold (struct h1_exchange *exchange, const char *data, size_t bytes)
{
  g_byte_array_append (exchange->held, (const guint8 *)data, (guint)bytes);
  if (exchange->held->len > H1_HELD_MAX_BYTES)
    h1_link_read (exchange->link, false);
}

static void
h1_exchange_whole (struct h1_exchange *exchange)
{
  struct h1_server *server = exchange->server;

  tm_cancel (server->tm, &exchange->timer);
  exchange->busy = true;
  exchange->close_after |= server->draining;
  server->events.request (server->arg, exchange);
}

/* Parse DATA as part of the current request.  The exchange may be gone
   afterwards.  */
static void
h1_exchange_feed (struct h1_exchange *exchange, const char *data, size_t bytes)
{
  enum h1_verdict verdict;
  size_t used;

  if (!exchange->parser.started)
    h1_exchange_wait (exchange, exchange->server->limits.head_timeout_ms);
  verdict = h1_parser_feed (&exchange->parser, data, bytes, &used);
  if (exchange->oversize)
    h1_exchange_refuse (exchange, 413);
  else if (verdict == H1_MALFORMED)
    h1_exchange_refuse (exchange, exchange->parser.too_long ? 431 : 400);
  else if (verdict == H1_WHOLE)
    {
      h1_exchange_hold (exchange, data + used, bytes - used);
      h1_exchange_whole (exchange);
    }
}

static void
h1_exchange_on_data (void *arg, const char *data, size_t bytes)
{
  struct h1_exchange *exchange = arg;

  if (exchange->busy || exchange->held->len > 0)
    h1_exchange_hold (exchange, data, bytes);
  else
    h1_exchange_feed (exchange, data, bytes);
}

static const struct h1_link_events h1_exchange_link_events
    = { NULL, h1_exchange_on_data, h1_exchange_on_closed,
        h1_exchange_on_flushed };

static void
h1_exchange_on_held (void *arg)
{
  struct h1_exchange *exchange = arg;
  GByteArray *held = exchange->held;

  exchange->held = g_byte_array_new ();
  h1_link_read (exchange->link, true);
  h1_exchange_feed (exchange, (const char *)held->data, held->len);
  g_byte_array_free (held, TRUE);
}

/* Wait for the next request of the connection.  One that has arrived already
   is parsed from the loop, so that many of them cannot exhaust the stack.  */
void
h1_exchange_next (struct h1_exchange *exchange)
{
  h1_parser_next (&exchange->parser);
  g_byte_array_set_size (exchange->body, 0);
  exchange->events = NULL;
  exchange->oversize = false;
  if (exchange->held->len > 0)
    tm_after (exchange->server->tm, &exchange->timer, 0, h1_exchange_on_held,
              exchange);
  else
    h1_exchange_wait (exchange, exchange->server->limits.idle_timeout_ms);
}

/* Accept a connection of SERVER.  Over the limit of connections the one that
   came last is closed at once.  */
struct h1_exchange *
h1_exchange_accept (struct h1_server *server)
{
  struct h1_exchange *exchange = g_new0 (struct h1_exchange, 1);

  exchange->link
      = h1_link_accept ((uv_stream_t *)&server->listener, server->tm,
                        &h1_exchange_link_events, exchange);
  if (exchange->link == NULL
      || g_hash_table_size (server->connections)
             >= server->limits.connections_max)
    {
      if (exchange->link != NULL)
        h1_link_close (exchange->link);
      g_free (exchange);
      return NULL;
    }
  exchange->server = server;
  exchange->body = g_byte_array_new ();
  exchange->held = g_byte_array_new ();
  h1_parser_init (&exchange->parser, HTTP_REQUEST,
                  server->limits.head_max_bytes, &h1_exchange_parser_events,
                  exchange);
  g_hash_table_add (server->connections, exchange);
  h1_exchange_wait (exchange, server->limits.idle_timeout_ms);
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

/* Tell the owner of EXCHANGE about the caller.  */
void
h1_exchange_listen (struct h1_exchange *exchange,
                    const struct h1_exchange_events *events, void *arg)
{
  exchange->events = events;
  exchange->arg = arg;
}

/* Return how many bytes of answers the caller has not taken.  */
size_t
h1_exchange_pending_bytes (const struct h1_exchange *exchange)
{
  return h1_link_pending_bytes (exchange->link);
}
