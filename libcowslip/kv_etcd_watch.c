#include "kv_etcd_impl.h"

/* A stream without a first message by then is reopened, because a connection
   that is neither accepted nor refused takes minutes to fail.  */
#define KV_ETCD_OPEN_TIMEOUT_US 5000000

/* Limit on an incomplete message; values hold up to 1 MB, and base64 adds a
   third.  */
#define KV_ETCD_MESSAGE_MAX_BYTES (8U << 20)

struct kv_etcd_watch
{
  struct kv_etcd *kv;
  char *prefix;
  char *body;
  int64_t next_revision; /* 0: not known yet */
  kv_changed changed;
  kv_watch_ended ended;
  void *arg;
  struct http_call *stream;
  struct json_tokener *tokener;
  size_t message_bytes; /* received so far of an incomplete message */
  struct kv_backoff backoff;
  struct tm_timer retry;
  bool in_callback; /* the owner may stop the watch from a callback */
  bool stopped;
};

static void kv_etcd_watch_open (void *arg);

/* Free a watch and cancel its stream.  */
void
kv_etcd_watch_free (void *arg)
{
  struct kv_etcd_watch *watch = arg;

  if (watch->stream != NULL)
    http_cancel (watch->stream);
  tm_cancel (watch->kv->tm, &watch->retry);
  json_tokener_free (watch->tokener);
  g_free (watch->prefix);
  g_free (watch->body);
  g_free (watch);
}

static void
kv_etcd_watch_close (struct kv_etcd_watch *watch)
{
  if (watch->stream != NULL)
    http_cancel (watch->stream);
  watch->stream = NULL;
}

/* Reopen the stream from the next revision after a delay.  */
static void
kv_etcd_watch_reopen (struct kv_etcd_watch *watch)
{
  kv_etcd_watch_close (watch);
  tm_after (watch->kv->tm, &watch->retry,
            kv_backoff_next_us (&watch->backoff, watch->kv->random),
            kv_etcd_watch_open, watch);
}

/* The service no longer has the changes that follow, for example after a
   compaction; the owner must read the current state.  */
static void
kv_etcd_watch_end (struct kv_etcd_watch *watch)
{
  kv_etcd_watch_close (watch);
  watch->stopped = true;
  watch->ended (watch->arg);
}

/* Report EVENT unless its revision was reported before.  Return its
   revision.  */
static int64_t
kv_etcd_watch_event (struct kv_etcd_watch *watch, struct json_object *event)
{
  struct kv_pair pair = { 0 };
  struct kv_change change;
  bool deleted;

  if (!kv_etcd_decode_event (event, &pair, &deleted))
    return 0;
  change = (struct kv_change){ .key = pair.key,
                               .value = deleted ? NULL : pair.value,
                               .value_bytes = pair.value_bytes,
                               .revision = pair.revision };
  if (pair.revision >= watch->next_revision)
    watch->changed (watch->arg, &change);
  g_free (pair.key);
  g_free (pair.value);
  return pair.revision;
}

/* The revision in the header may be ahead of the events while the service
   catches up, so progress is tracked by the events only.  */
static void
kv_etcd_watch_events (struct kv_etcd_watch *watch, struct json_object *list)
{
  int64_t last = watch->next_revision - 1;

  for (size_t i = 0; i < json_object_array_length (list) && !watch->stopped;
       i++)
    {
      int64_t revision
          = kv_etcd_watch_event (watch, json_object_array_get_idx (list, i));

      last = MAX (last, revision);
    }
  watch->next_revision = last + 1;
}

/* Process a complete message.  Return false if the stream must be
   reopened.  */
static bool
kv_etcd_watch_message (struct kv_etcd_watch *watch,
                       struct json_object *message)
{
  struct json_object *result;
  struct json_object *item;
  int64_t revision = 0;

  if (!json_object_object_get_ex (message, "result", &result)
      || !json_object_object_get_ex (result, "header", &item)
      || !kv_etcd_number (item, "revision", &revision))
    return false;
  /* A service that lost its history restarts its revisions.  */
  if (json_object_object_get_ex (result, "canceled", &item)
      || revision + 1 < watch->next_revision)
    {
      kv_etcd_watch_end (watch);
      return true;
    }
  kv_backoff_reset (&watch->backoff);
  tm_cancel (watch->kv->tm, &watch->retry);
  if (watch->next_revision == 0)
    watch->next_revision = revision + 1;
  if (json_object_object_get_ex (result, "events", &item)
      && json_object_is_type (item, json_type_array))
    kv_etcd_watch_events (watch, item);
  return true;
}

/* Parse DATA and process the messages that it completes.  Return false if the
   stream must be reopened.  */
static bool
kv_etcd_watch_parse (struct kv_etcd_watch *watch, const char *data,
                     size_t bytes)
{
  while (bytes > 0 && !watch->stopped)
    {
      struct json_object *message
          = json_tokener_parse_ex (watch->tokener, data, (int)bytes);
      size_t used = json_tokener_get_parse_end (watch->tokener);
      bool ok;

      if (message == NULL)
        {
          watch->message_bytes += bytes;
          return json_tokener_get_error (watch->tokener)
                     == json_tokener_continue
                 && watch->message_bytes <= KV_ETCD_MESSAGE_MAX_BYTES;
        }
      ok = kv_etcd_watch_message (watch, message);
      json_object_put (message);
      if (!ok)
        return false;
      watch->message_bytes = 0;
      data += used;
      bytes -= used;
    }
  return true;
}

static void
kv_etcd_watch_head (void *arg, uint16_t status, const char *content_type)
{
  struct kv_etcd_watch *watch = arg;

  (void)content_type;
  if (status != 200)
    kv_etcd_watch_reopen (watch);
}

static void
kv_etcd_watch_body (void *arg, const char *data, size_t bytes)
{
  struct kv_etcd_watch *watch = arg;

  watch->in_callback = true;
  if (!kv_etcd_watch_parse (watch, data, bytes))
    kv_etcd_watch_reopen (watch);
  watch->in_callback = false;
  if (watch->stopped)
    g_ptr_array_remove_fast (watch->kv->watches, watch);
}

static void
kv_etcd_watch_done (void *arg, enum http_outcome outcome, bool sent)
{
  struct kv_etcd_watch *watch = arg;

  (void)outcome;
  (void)sent;
  watch->stream = NULL;
  kv_etcd_watch_reopen (watch);
}

static void
kv_etcd_watch_open_timed_out (void *arg)
{
  kv_etcd_watch_reopen (arg);
}

static void
kv_etcd_watch_open (void *arg)
{
  static const struct http_handlers handlers
      = { kv_etcd_watch_head, kv_etcd_watch_body, kv_etcd_watch_done };
  struct kv_etcd_watch *watch = arg;
  struct json_object *body
      = kv_etcd_encode_watch (watch->prefix, watch->next_revision);
  struct http_request request;

  g_free (watch->body);
  watch->body = g_strdup (
      json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN));
  json_object_put (body);
  json_tokener_reset (watch->tokener);
  watch->message_bytes = 0;
  kv_etcd_request (watch->kv, KV_ETCD_WATCH, watch->body, &request);
  watch->stream = http_start (watch->kv->client, &request, &handlers, watch);
  tm_after (watch->kv->tm, &watch->retry, KV_ETCD_OPEN_TIMEOUT_US,
            kv_etcd_watch_open_timed_out, watch);
}

/* Report changes of keys that start with PREFIX from FROM_REVISION on, or
   from the current revision if that is 0.  The watch reconnects and resumes
   after the last reported change.  When the service no
   longer has the changes that follow, ENDED is called and the watch is
   freed.  */
void *
kv_etcd_watch_start (void *context, const char *prefix, int64_t from_revision,
                     kv_changed changed, kv_watch_ended ended, void *arg)
{
  struct kv_etcd *kv = context;
  struct kv_etcd_watch *watch = g_new0 (struct kv_etcd_watch, 1);

  watch->kv = kv;
  watch->prefix = g_strdup (prefix);
  watch->next_revision = from_revision;
  watch->changed = changed;
  watch->ended = ended;
  watch->arg = arg;
  watch->tokener = json_tokener_new ();
  g_ptr_array_add (kv->watches, watch);
  kv_etcd_watch_open (watch);
  return watch;
}

/* Stop the watch without further callbacks.  Allowed from a callback.  */
void
kv_etcd_watch_stop (void *context, void *arg)
{
  struct kv_etcd *kv = context;
  struct kv_etcd_watch *watch = arg;

  watch->stopped = true;
  if (!watch->in_callback)
    {
      g_ptr_array_remove_fast (kv->watches, watch);
      return;
    }
  kv_etcd_watch_close (watch);
}

/* Reopen the streams of all watches, because their connections may be
   dead.  */
void
kv_etcd_watches_reopen (struct kv_etcd *kv)
{
  for (guint i = 0; i < kv->watches->len; i++)
    {
      struct kv_etcd_watch *watch = g_ptr_array_index (kv->watches, i);

      if (watch->stream != NULL && !watch->in_callback)
        kv_etcd_watch_reopen (watch);
    }
}
