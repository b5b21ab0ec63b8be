#include <stdlib.h>
#include <string.h>

#include "adr.h"
#include "h1_link.h"
#include "h1_parser.h"
#include "h1_pool.h"

#define H1_US_PER_MS UINT64_C (1000)
/* Heads of answers; callers accept no more than 16 KB themselves.  */
#define H1_ANSWER_HEAD_MAX_BYTES 32768
/* A kept connection is closed this long before its peer would do so, because
   a request that crosses the close may or may not run.  */
#define H1_KEEP_MARGIN_MS 500
/* Idle time after which a connection is closed if its peer names none.  */
#define H1_KEEP_DEFAULT_MS 3000
/* Answers of earlier requests that are skipped on one connection.  */
#define H1_SKIPPED_MAX 4

struct h1_pool
{
  uv_loop_t *loop;
  struct tm_service *tm;
  GHashTable *idle; /* peer -> GQueue of struct h1_channel, newest first */
  uint64_t connects;
};

/* One connection to an endpoint.  */
struct h1_channel
{
  struct h1_pool *pool;
  char *peer;
  struct h1_link *link;
  struct h1_parser parser;
  struct h1_call *call; /* NULL: idle */
  struct tm_timer timer;
  uint64_t idle_since_us;
  uint32_t keep_ms;
  uint32_t skipped;
  bool skipping; /* the current answer belongs to an earlier request */
  bool reusable;
  bool head_seen; /* the head of the current answer was passed on */
  bool cancelled; /* freed from the loop; on no list */
};

struct h1_call
{
  struct h1_channel *channel;
  struct h1_call_events events;
  void *arg;
  GString *text; /* what is sent once the connection stands */
  char *match_name;
  char *match_value;
  bool sent;
  bool answered; /* bytes of the own answer arrived */
  bool head_request;
};

static void
h1_queue_free (gpointer data)
{
  g_queue_free (data);
}

/* Return a pool without connections.  */
struct h1_pool *
h1_pool_new (uv_loop_t *loop, struct tm_service *tm)
{
  struct h1_pool *pool = g_new0 (struct h1_pool, 1);

  pool->loop = loop;
  pool->tm = tm;
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

  if (channel->link != NULL)
    h1_link_close (channel->link);
  tm_cancel (pool->tm, &channel->timer);
  if (channel->call == NULL && !channel->cancelled)
    g_queue_remove (h1_pool_queue (pool, channel->peer), channel);
  h1_parser_clear (&channel->parser);
  g_free (channel->peer);
  g_free (channel);
}

/* Close the idle connections to PEER.  */
void
h1_pool_forget (struct h1_pool *pool, const char *peer)
{
  GQueue *queue = g_hash_table_lookup (pool->idle, peer);

  while (queue != NULL && !g_queue_is_empty (queue))
    h1_channel_free (g_queue_peek_head (queue));
  if (queue != NULL)
    g_hash_table_remove (pool->idle, peer);
}

/* Return how many connections were opened since the start.  */
uint64_t
h1_pool_connects (const struct h1_pool *pool)
{
  return pool->connects;
}

static void
h1_call_free (struct h1_call *call)
{
  g_string_free (call->text, TRUE);
  g_free (call->match_name);
  g_free (call->match_value);
  g_free (call);
}

/* End CALL, whose channel is taken care of.  */
static void
h1_call_end (struct h1_call *call, enum h1_end end)
{
  struct h1_call_events events = call->events;
  void *arg = call->arg;

  h1_call_free (call);
  events.done (arg, end);
}

static void
h1_channel_expired (void *arg)
{
  h1_channel_free (arg);
}

/* Read the idle timeout of a Keep-Alive field, in milliseconds.  */
static uint32_t
h1_keep_ms (const struct h1_head *head)
{
  const char *value = h1_head_get (head, "Keep-Alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");
  uint64_t keep_ms = H1_KEEP_DEFAULT_MS;

  if (timeout != NULL)
    keep_ms = MIN (strtoull (timeout + strlen ("timeout="), NULL, 10), 3600)
              * 1000;
  return keep_ms > H1_KEEP_MARGIN_MS ? (uint32_t)keep_ms - H1_KEEP_MARGIN_MS
                                     : 0;
}

/* Keep CHANNEL for the next request, or close it.  */
static void
h1_channel_release (struct h1_channel *channel)
{
  struct h1_pool *pool = channel->pool;

  channel->call = NULL;
  g_queue_push_head (h1_pool_queue (pool, channel->peer), channel);
  if (!channel->reusable || channel->keep_ms == 0
      || h1_link_pending_bytes (channel->link) > 0)
    {
      h1_channel_free (channel);
      return;
    }
  channel->idle_since_us = tm_now_us (pool->tm);
  h1_parser_next (&channel->parser);
  h1_link_read (channel->link, true);
  tm_after (pool->tm, &channel->timer, channel->keep_ms * H1_US_PER_MS,
            h1_channel_expired, channel);
}

static void
h1_channel_on_head (void *arg, const struct h1_head *head)
{
  struct h1_channel *channel = arg;
  struct h1_call *call = channel->call;
  const char *value
      = call->match_name == NULL ? NULL : h1_head_get (head, call->match_name);

  channel->skipping
      = head->status < 200
        || (value != NULL && !g_str_equal (value, call->match_value));
  if (channel->skipping)
    return;
  channel->reusable = head->keep_alive;
  channel->keep_ms = h1_keep_ms (head);
  channel->head_seen = true;
  call->answered = true;
  call->events.head (call->arg, head);
}

static void
h1_channel_on_body (void *arg, const char *data, size_t bytes)
{
  struct h1_channel *channel = arg;

  if (!channel->skipping && channel->call != NULL)
    channel->call->events.body (channel->call->arg, data, bytes);
}

static const struct h1_parser_events h1_channel_parser_events
    = { h1_channel_on_head, h1_channel_on_body };

static enum h1_end
h1_broken_end (const struct h1_call *call)
{
  if (!call->sent)
    return H1_END_NO_LINK;
  return call->answered ? H1_END_CUT : H1_END_SILENT;
}

/* Give CHANNEL up and end its call with END.  */
static void
h1_channel_fail (struct h1_channel *channel, enum h1_end end)
{
  struct h1_call *call = channel->call;

  h1_channel_free (channel);
  h1_call_end (call, end);
}

static void
h1_channel_on_closed (void *arg, bool reset)
{
  struct h1_channel *channel = arg;
  struct h1_call *call = channel->call;

  channel->link = NULL;
  if (call == NULL)
    {
      h1_channel_free (channel);
      return;
    }
  if (!reset && channel->head_seen
      && h1_parser_eof (&channel->parser) == H1_WHOLE)
    h1_channel_fail (channel, H1_END_WHOLE);
  else
    h1_channel_fail (channel, h1_broken_end (call));
}

/* Take DATA as part of the answer.  The call may cancel itself from within its
   events, which detaches it from the channel.  */
static void
h1_channel_feed (struct h1_channel *channel, const char *data, size_t bytes)
{
  for (;;)
    {
      size_t used = 0;
      enum h1_verdict verdict
          = h1_parser_feed (&channel->parser, data, bytes, &used);

      if (channel->call == NULL || verdict == H1_MORE)
        return;
      if (verdict == H1_MALFORMED)
        {
          h1_channel_fail (channel, channel->call->answered ? H1_END_CUT
                                                            : H1_END_GARBLED);
          return;
        }
      data += used;
      bytes -= used;
      if (!channel->skipping)
        break;
      h1_parser_next (&channel->parser);
      if (++channel->skipped > H1_SKIPPED_MAX)
        {
          h1_channel_fail (channel, H1_END_GARBLED);
          return;
        }
      if (bytes == 0)
        return;
    }
  struct h1_call *call = channel->call;

  /* Bytes behind a complete answer belong to no request.  */
  channel->reusable = channel->reusable && bytes == 0;
  h1_channel_release (channel);
  h1_call_end (call, H1_END_WHOLE);
}

static void
h1_channel_on_data (void *arg, const char *data, size_t bytes)
{
  struct h1_channel *channel = arg;

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
  channel->parser.no_body = call->head_request;
  channel->head_seen = false;
  channel->skipping = false;
  channel->skipped = 0;
  h1_link_write (channel->link, call->text->str, call->text->len);
}

static void
h1_channel_on_connected (void *arg)
{
  h1_channel_send (arg);
}

static const struct h1_link_events h1_channel_link_events
    = { h1_channel_on_connected, h1_channel_on_data, h1_channel_on_closed,
        NULL };

/* Return a kept connection to PEER that was idle for at most IDLE_MAX_MS, or
   NULL.  */
static struct h1_channel *
h1_pool_take (struct h1_pool *pool, const char *peer, uint32_t idle_max_ms)
{
  GQueue *queue = g_hash_table_lookup (pool->idle, peer);
  struct h1_channel *channel
      = queue == NULL ? NULL : g_queue_peek_head (queue);

  if (channel == NULL
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
  struct h1_link *link;

  if (!adr_parse (request->address, &address))
    return NULL;
  channel = g_new0 (struct h1_channel, 1);
  link = h1_link_connect (pool->loop, pool->tm, &address,
                          request->connect_timeout_ms, &h1_channel_link_events,
                          channel);
  if (link == NULL)
    {
      g_free (channel);
      return NULL;
    }
  channel->pool = pool;
  channel->link = link;
  channel->peer = g_strdup (request->peer);
  h1_parser_init (&channel->parser, HTTP_RESPONSE, H1_ANSWER_HEAD_MAX_BYTES,
                  &h1_channel_parser_events, channel);
  pool->connects++;
  return channel;
}

static GString *
h1_request_text (const struct h1_request *request)
{
  const struct h1_head *head = request->head;
  GString *text = g_string_sized_new (512 + request->body_bytes);

  g_string_printf (text, "%s %s HTTP/1.1\r\n", head->method, head->target);
  h1_head_print (head, text);
  if (request->body_bytes > 0 || head->has_length || head->chunked)
    g_string_append_printf (text, "Content-Length: %zu\r\n",
                            request->body_bytes);
  g_string_append (text, "\r\n");
  g_string_append_len (text, request->body, (gssize)request->body_bytes);
  return text;
}

/* Send REQUEST, whose contents are copied, and report the answer to EVENTS
   with ARG.  Return NULL if no connection can be opened; there is no report
   then.  No event is called before this returns.  */
struct h1_call *
h1_call_start (struct h1_pool *pool, const struct h1_request *request,
               const struct h1_call_events *events, void *arg)
{
  struct h1_channel *channel
      = h1_pool_take (pool, request->peer, request->idle_max_ms);
  bool kept = channel != NULL;
  struct h1_call *call;

  if (!kept)
    channel = h1_pool_connect (pool, request);
  if (channel == NULL)
    return NULL;
  call = g_new0 (struct h1_call, 1);
  call->channel = channel;
  call->events = *events;
  call->arg = arg;
  call->text = h1_request_text (request);
  call->match_name = g_strdup (request->match_name);
  call->match_value = g_strdup (request->match_value);
  call->head_request = g_str_equal (request->head->method, "HEAD");
  channel->call = call;
  if (kept)
    h1_channel_send (channel);
  return call;
}

/* Give CALL up without a report and close its connection, which stops the
   work of most endpoints.  */
void
h1_call_cancel (struct h1_call *call)
{
  struct h1_channel *channel = call->channel;

  if (channel->link != NULL)
    h1_link_close (channel->link);
  channel->link = NULL;
  /* The parser may be running, so the channel is freed from the loop.  */
  channel->call = NULL;
  channel->cancelled = true;
  tm_after (channel->pool->tm, &channel->timer, 0, h1_channel_expired,
            channel);
  h1_call_free (call);
}

/* Let the answer be read on, or leave it in the connection while a slow caller
   takes what it has.  */
void
h1_call_read (struct h1_call *call, bool enabled)
{
  if (call->channel->link != NULL)
    h1_link_read (call->channel->link, enabled);
}

/* Return whether any byte of the request may have reached the endpoint.  */
bool
h1_call_sent (const struct h1_call *call)
{
  return call->sent;
}
