#include <string.h>

#include "adr.h"
#include "h1_conn.h"
#include "h1_parser.h"
#include "h1_pool.h"
#include "h1_request.h"
#include "lg.h"

#define H1_US_PER_MS UINT64_C (1000)
/* Larger than the 16 KB that callers accept in a head.  */
#define H1_RESPONSE_HEAD_MAX_BYTES 32768
/* Limit on responses to earlier requests that are skipped per request.  */
#define H1_SKIPPED_MAX 4
/* Limit on their bodies together.  A late response is as large as a
   generation, some 10 KB; a faulty endpoint sends without end.  */
#define H1_SKIPPED_MAX_BYTES (256U << 10)

struct h1_pool
{
  uv_loop_t *loop;
  struct tm_service *tm;
  struct mbg_budget *budget; /* for unsent bytes; NULL: not counted */
  GHashTable *idle; /* peer -> GQueue of struct h1_channel, newest first */
  GQueue cancelled; /* struct h1_channel, to be freed from the loop */
  uint64_t connects;
  uint64_t unmatched; /* responses that belonged to no request */
  uint64_t sent_bytes;
  uint64_t received_bytes;
};

/* A connection to an endpoint.  */
struct h1_channel
{
  struct h1_pool *pool;
  char *peer;
  struct h1_conn *conn;
  struct h1_parser parser;
  struct h1_call *call; /* NULL: idle */
  struct tm_timer timer;
  uint64_t idle_since_us;
  uint32_t keep_alive_ms;
  uint32_t skipped;
  size_t skipped_bytes;
  bool skipping; /* the current response belongs to an earlier request */
  bool reused;   /* it has served an earlier request */
  bool reusable;
  bool head_received; /* the head of the current response was delivered */
  bool cancelled;     /* in POOL->cancelled */
};

struct h1_call
{
  struct h1_channel *channel;
  struct h1_call_events events;
  void *arg;
  GString *text;        /* the serialized request without BODY; NULL: sent */
  struct h1_body *body; /* NULL: in TEXT */
  char *match_name;
  char *match_value;
  bool sent;
  bool response_started; /* bytes of the matching response arrived */
  bool head_request;
  bool close;
};

static void
h1_queue_free (gpointer data)
{
  g_queue_free (data);
}

/* Return an empty pool.  */
struct h1_pool *
h1_pool_new (uv_loop_t *loop, struct tm_service *tm)
{
  struct h1_pool *pool = g_new0 (struct h1_pool, 1);

  pool->loop = loop;
  pool->tm = tm;
  g_queue_init (&pool->cancelled);
  pool->idle
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, h1_queue_free);
  return pool;
}

static GQueue *
h1_pool_queue (struct h1_pool *pool, const char *peer)
{
  GQueue *queue = g_hash_table_lookup (pool->idle, peer);

  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (pool->idle, g_strdup (peer), queue);
    }
  return queue;
}

static void
h1_channel_free (struct h1_channel *channel)
{
  struct h1_pool *pool = channel->pool;

  if (channel->conn != NULL)
    h1_conn_close (channel->conn);
  tm_cancel (pool->tm, &channel->timer);
  if (channel->cancelled)
    g_queue_remove (&pool->cancelled, channel);
  else if (channel->call == NULL)
    g_queue_remove (h1_pool_queue (pool, channel->peer), channel);
  h1_parser_clear (&channel->parser);
  g_free (channel->peer);
  g_free (channel);
}

/* Close the idle connections to PEER.  */
void
h1_pool_close_idle (struct h1_pool *pool, const char *peer)
{
  GQueue *queue = g_hash_table_lookup (pool->idle, peer);

  while (queue != NULL && !g_queue_is_empty (queue))
    h1_channel_free (g_queue_peek_head (queue));
  if (queue != NULL)
    g_hash_table_remove (pool->idle, peer);
}

/* Take the memory for unsent bytes of POOL's calls from BUDGET, which must
   outlive it.  */
void
h1_pool_set_budget (struct h1_pool *pool, struct mbg_budget *budget)
{
  pool->budget = budget;
}

/* Free POOL, whose calls must all have ended or been cancelled, and close its
   connections.  POOL may be NULL.  */
void
h1_pool_free (struct h1_pool *pool)
{
  GHashTableIter iter;
  gpointer queue;

  if (pool == NULL)
    return;
  g_hash_table_iter_init (&iter, pool->idle);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    while (!g_queue_is_empty (queue))
      h1_channel_free (g_queue_peek_head (queue));
  while (!g_queue_is_empty (&pool->cancelled))
    h1_channel_free (g_queue_peek_head (&pool->cancelled));
  g_hash_table_destroy (pool->idle);
  g_free (pool);
}

/* Return the number of connections opened since the pool was created.  */
uint64_t
h1_pool_connect_count (const struct h1_pool *pool)
{
  return pool->connects;
}

/* Return the number of responses received since the pool was created that were
   not attributed to a request.  */
uint64_t
h1_pool_unmatched_count (const struct h1_pool *pool)
{
  return pool->unmatched;
}

/* Return the number of bytes of the requests that were sent.  */
uint64_t
h1_pool_sent_bytes (const struct h1_pool *pool)
{
  return pool->sent_bytes;
}

/* Return the number of bytes received from endpoints.  */
uint64_t
h1_pool_received_bytes (const struct h1_pool *pool)
{
  return pool->received_bytes;
}

/* Free the request of CALL, which is sent or will not be.  */
static void
h1_call_free_request (struct h1_call *call)
{
  if (call->text != NULL)
    g_string_free (call->text, TRUE);
  h1_body_unref (call->body);
  call->text = NULL;
  call->body = NULL;
}

static void
h1_call_free (struct h1_call *call)
{
  h1_call_free_request (call);
  g_free (call->match_name);
  g_free (call->match_value);
  g_free (call);
}

/* Report OUTCOME and free CALL, which is already detached from its
   channel.  */
static void
h1_call_end (struct h1_call *call, enum h1_outcome outcome)
{
  struct h1_call_events events = call->events;
  void *arg = call->arg;

  h1_call_free (call);
  events.done (arg, outcome);
}

static void
h1_channel_free_cb (void *arg)
{
  h1_channel_free (arg);
}

/* Return CHANNEL to the pool of idle connections, or close it.  */
static void
h1_channel_release (struct h1_channel *channel)
{
  struct h1_pool *pool = channel->pool;

  channel->call = NULL;
  g_queue_push_head (h1_pool_queue (pool, channel->peer), channel);
  if (!channel->reusable || channel->keep_alive_ms == 0
      || h1_conn_pending_bytes (channel->conn) > 0)
    {
      h1_channel_free (channel);
      return;
    }
  channel->idle_since_us = tm_now_us (pool->tm);
  h1_parser_next (&channel->parser);
  h1_conn_set_reading (channel->conn, true);
  tm_after (pool->tm, &channel->timer, channel->keep_alive_ms * H1_US_PER_MS,
            h1_channel_free_cb, channel);
}

/* Return whether HEAD may be that of the response to the call of CHANNEL.  An
   endpoint may send a response to an earlier request once more.  Without the
   field that names its request, a response can be attributed only on a new
   connection.  */
static bool
h1_channel_matches (const struct h1_channel *channel,
                    const struct h1_head *head)
{
  const struct h1_call *call = channel->call;
  const char *value;

  if (call->match_name == NULL)
    return true;
  value = h1_head_get (head, call->match_name);
  return value == NULL ? !channel->reused
                       : g_str_equal (value, call->match_value);
}

static void
h1_channel_skip (struct h1_channel *channel, const struct h1_head *head)
{
  const struct h1_call *call = channel->call;
  const char *value = h1_head_get (head, call->match_name);

  channel->pool->unmatched++;
  lg_write (LG_RESPONSE_UNMATCHED,
            "endpoint=%s status=%u id=%s expected=%s reused=%d", channel->peer,
            head->status, value == NULL ? "-" : value, call->match_value,
            channel->reused);
}

static void
h1_channel_on_head (void *arg, const struct h1_head *head)
{
  struct h1_channel *channel = arg;
  struct h1_call *call = channel->call;
  bool interim = head->status < 200;

  channel->skipping = interim || !h1_channel_matches (channel, head);
  if (channel->skipping && !interim)
    h1_channel_skip (channel, head);
  if (channel->skipping)
    return;
  channel->reusable = head->keep_alive && !call->close;
  channel->keep_alive_ms = h1_head_keep_alive_ms (head);
  channel->head_received = true;
  call->response_started = true;
  call->events.head (call->arg, head);
}

static void
h1_channel_on_body (void *arg, const char *data, size_t bytes)
{
  struct h1_channel *channel = arg;

  if (channel->skipping)
    channel->skipped_bytes += bytes;
  else if (channel->call != NULL)
    channel->call->events.body (channel->call->arg, data, bytes);
}

static const struct h1_parser_events h1_channel_parser_events
    = { h1_channel_on_head, h1_channel_on_body };

static enum h1_outcome
h1_conn_lost_outcome (const struct h1_call *call)
{
  if (!call->sent)
    return H1_OUTCOME_CONNECT_FAILED;
  return call->response_started ? H1_OUTCOME_INCOMPLETE
                                : H1_OUTCOME_NO_RESPONSE;
}

/* Close CHANNEL and end its call with OUTCOME.  */
static void
h1_channel_fail (struct h1_channel *channel, enum h1_outcome outcome)
{
  struct h1_call *call = channel->call;

  h1_channel_free (channel);
  h1_call_end (call, outcome);
}

static void
h1_channel_on_closed (void *arg, bool reset)
{
  struct h1_channel *channel = arg;
  struct h1_call *call = channel->call;

  channel->conn = NULL;
  if (call == NULL)
    {
      h1_channel_free (channel);
      return;
    }
  if (!reset && channel->head_received
      && h1_parser_eof (&channel->parser) == H1_PARSE_COMPLETE)
    h1_channel_fail (channel, H1_OUTCOME_COMPLETE);
  else
    h1_channel_fail (channel, h1_conn_lost_outcome (call));
}

/* Process DATA as part of the response.  The callbacks may cancel the call,
   which detaches it from the channel.  */
static void
h1_channel_feed (struct h1_channel *channel, const char *data, size_t bytes)
{
  for (;;)
    {
      size_t used = 0;
      enum h1_parse_result result
          = h1_parser_feed (&channel->parser, data, bytes, &used);

      if (channel->call == NULL)
        return;
      if (channel->skipped_bytes > H1_SKIPPED_MAX_BYTES)
        result = H1_PARSE_MALFORMED;
      if (result == H1_PARSE_INCOMPLETE)
        return;
      if (result == H1_PARSE_MALFORMED)
        {
          h1_channel_fail (channel, channel->call->response_started
                                        ? H1_OUTCOME_INCOMPLETE
                                        : H1_OUTCOME_MALFORMED);
          return;
        }
      data += used;
      bytes -= used;
      if (!channel->skipping)
        break;
      h1_parser_next (&channel->parser);
      if (++channel->skipped > H1_SKIPPED_MAX)
        {
          h1_channel_fail (channel, H1_OUTCOME_MALFORMED);
          return;
        }
      if (bytes == 0)
        return;
    }
  struct h1_call *call = channel->call;

  /* Bytes after a complete response belong to no request.  */
  channel->reusable = channel->reusable && bytes == 0;
  h1_channel_release (channel);
  h1_call_end (call, H1_OUTCOME_COMPLETE);
}

static void
h1_channel_on_data (void *arg, const char *data, size_t bytes)
{
  struct h1_channel *channel = arg;

  channel->pool->received_bytes += bytes;
  if (channel->call == NULL)
    h1_channel_free (channel);
  else
    h1_channel_feed (channel, data, bytes);
}

static void
h1_channel_send (struct h1_channel *channel)
{
  struct h1_call *call = channel->call;

  call->sent = true;
  channel->pool->sent_bytes
      += call->text->len
         + (call->body == NULL ? 0 : h1_body_bytes (call->body));
  channel->parser.no_body = call->head_request;
  channel->head_received = false;
  channel->skipping = false;
  channel->skipped = 0;
  channel->skipped_bytes = 0;
  h1_conn_write (channel->conn, call->text->str, call->text->len);
  if (call->body != NULL)
    h1_conn_write_body (channel->conn, call->body);
  h1_call_free_request (call);
}

static void
h1_channel_on_connected (void *arg)
{
  h1_channel_send (arg);
}

static const struct h1_conn_events h1_channel_conn_events
    = { .connected = h1_channel_on_connected,
        .data = h1_channel_on_data,
        .closed = h1_channel_on_closed };

/* Return an idle connection to PEER that was idle for at most IDLE_MAX_MS and
   that its peer has left open, or NULL.  */
static struct h1_channel *
h1_pool_get_idle (struct h1_pool *pool, const char *peer, uint32_t idle_max_ms)
{
  GQueue *queue = g_hash_table_lookup (pool->idle, peer);
  struct h1_channel *channel
      = queue == NULL ? NULL : g_queue_peek_head (queue);

  while (channel != NULL && !h1_conn_is_quiet (channel->conn))
    {
      h1_channel_free (channel);
      channel = g_queue_peek_head (queue);
    }
  if (channel == NULL || idle_max_ms == 0
      || tm_now_us (pool->tm) - channel->idle_since_us
             > idle_max_ms * H1_US_PER_MS)
    return NULL;
  g_queue_pop_head (queue);
  tm_cancel (pool->tm, &channel->timer);
  return channel;
}

static struct h1_channel *
h1_pool_connect (struct h1_pool *pool, const struct h1_request *request)
{
  struct h1_channel *channel;
  struct sockaddr_in address;
  struct h1_conn *conn;

  if (!adr_parse (request->address, &address))
    return NULL;
  channel = g_new0 (struct h1_channel, 1);
  conn = h1_conn_connect (pool->loop, pool->tm, &address,
                          request->connect_timeout_ms, &h1_channel_conn_events,
                          channel);
  if (conn == NULL)
    {
      g_free (channel);
      return NULL;
    }
  h1_conn_set_budget (conn, pool->budget);
  channel->pool = pool;
  channel->conn = conn;
  channel->peer = g_strdup (request->peer);
  h1_parser_init (&channel->parser, HTTP_RESPONSE, H1_RESPONSE_HEAD_MAX_BYTES,
                  &h1_channel_parser_events, channel);
  pool->connects++;
  return channel;
}

/* Send REQUEST, which is copied but for a large shared body, and report the
   response to EVENTS with ARG.  Return NULL, without any callback, if no
   connection can be opened.  No callback is called before this function
   returns.  */
struct h1_call *
h1_call_start (struct h1_pool *pool, const struct h1_request *request,
               const struct h1_call_events *events, void *arg)
{
  struct h1_channel *channel
      = h1_pool_get_idle (pool, request->peer, request->idle_max_ms);
  bool reused = channel != NULL;
  struct h1_call *call;

  if (!reused)
    channel = h1_pool_connect (pool, request);
  if (channel == NULL)
    return NULL;
  call = g_new0 (struct h1_call, 1);
  call->channel = channel;
  call->events = *events;
  call->arg = arg;
  call->text = h1_request_text (request);
  if (h1_request_shares_body (request))
    call->body = h1_body_ref (request->shared_body);
  call->match_name = g_strdup (request->match_name);
  call->match_value = g_strdup (request->match_value);
  call->head_request = g_str_equal (request->head->method, "HEAD");
  call->close = request->close;
  channel->call = call;
  channel->reused = reused;
  if (reused)
    h1_channel_send (channel);
  return call;
}

/* Report the rest of the response of CALL to EVENTS.  */
void
h1_call_set_events (struct h1_call *call, const struct h1_call_events *events)
{
  call->events = *events;
}

/* Cancel CALL without a callback and reset its connection, on which most
   endpoints stop processing the request.  */
void
h1_call_cancel (struct h1_call *call)
{
  struct h1_channel *channel = call->channel;

  if (channel->conn != NULL)
    h1_conn_reset (channel->conn);
  channel->conn = NULL;
  /* The parser may be on the call stack, so the channel is freed from the
     loop.  */
  channel->call = NULL;
  channel->cancelled = true;
  g_queue_push_tail (&channel->pool->cancelled, channel);
  tm_after (channel->pool->tm, &channel->timer, 0, h1_channel_free_cb,
            channel);
  h1_call_free (call);
}

/* Resume or pause reading the response.  A paused response stays in the
   socket buffers while a slow caller catches up.  */
void
h1_call_set_reading (struct h1_call *call, bool enabled)
{
  if (call->channel->conn != NULL)
    h1_conn_set_reading (call->channel->conn, enabled);
}

/* Return whether any byte of the request may have reached the endpoint.  */
bool
h1_call_sent (const struct h1_call *call)
{
  return call->sent;
}

/* Return the name of OUTCOME for log lines.  */
const char *
h1_outcome_text (enum h1_outcome outcome)
{
  switch (outcome)
    {
    case H1_OUTCOME_COMPLETE:
      return "complete";
    case H1_OUTCOME_CONNECT_FAILED:
      return "connect_failed";
    case H1_OUTCOME_NO_RESPONSE:
      return "no_response";
    case H1_OUTCOME_INCOMPLETE:
      return "incomplete";
    case H1_OUTCOME_MALFORMED:
      return "malformed";
    }
  return "unknown";
}
