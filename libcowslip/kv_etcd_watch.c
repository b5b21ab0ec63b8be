#include "kv_etcd_impl.h"

/* A stream that has not begun by then is opened anew, because a connection
   that is neither accepted nor refused takes minutes to fail.  */
#define KV_ETCD_OPEN_LIMIT_US 5000000

/* Longest message without an end; values hold up to 1 MB and grow by a third
   in base64.  */
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
  size_t message_bytes; /* of the message that is not whole yet */
  struct kv_backoff backoff;
  struct tm_timer retry;
  bool in_report; /* the owner may stop the watch from within a report */
  bool stopped;
};

static void kv_etcd_watch_open (void *arg);

/* Free a watch; its stream is cancelled.  */
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

/* Go on from the next revision after a delay.  */
static void
kv_etcd_watch_reopen (struct kv_etcd_watch *watch)
{
  kv_etcd_watch_close (watch);
  tm_after (watch->kv->tm, &watch->retry,
            kv_backoff_next_us (&watch->backoff, watch->kv->random),
            kv_etcd_watch_open, watch);
}

/* The service no longer has the changes that follow; only the owner can read
   what it missed.  */
static void
kv_etcd_watch_end (struct kv_etcd_watch *watch)
{
  kv_etcd_watch_close (watch);
  watch->stopped = true;
  watch->ended (watch->arg);
}

/* Report EVENT unless it was reported before, and return its revision.  */
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

/* The header of a message may be ahead of its events while the service catches
   up, so only the events say how far the watch has come.  */
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

/* Take in one whole message.  Return false if the stream must be opened
   anew.  */
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
  /* A service that lost its history counts revisions anew.  */
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

/* Parse DATA and handle the messages that it completes.  */
static bool
kv_etcd_watch_parse (struct kv_etcd_watch *watch, const char *data,
                     size_t bytes)
{
  while (bytes > 0 && !watch->stopped)
    {
      struct json_object *message
          = json_tokener_parse_ex (watch->tokener, data, (int)bytes);
      size_t used = json_tokener_get_parse_end (watch->tokener);
      bool good;

      if (message == NULL)
        {
          watch->message_bytes += bytes;
          return json_tokener_get_error (watch->tokener)
                     == json_tokener_continue
                 && watch->message_bytes <= KV_ETCD_MESSAGE_MAX_BYTES;
        }
      good = kv_etcd_watch_message (watch, message);
      json_object_put (message);
      if (!good)
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

  watch->in_report = true;
  if (!kv_etcd_watch_parse (watch, data, bytes))
    kv_etcd_watch_reopen (watch);
  watch->in_report = false;
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
kv_etcd_watch_late (void *arg)
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
  tm_after (watch->kv->tm, &watch->retry, KV_ETCD_OPEN_LIMIT_US,
            kv_etcd_watch_late, watch);
}

/* Report changes of keys that start with PREFIX from FROM_REVISION on, or from
   now on if that is 0.  The watch reconnects by itself and goes on after the
   last change; ENDED is called, and the watch is gone, when the service no
   longer has the changes that follow.  */
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

/* End the watch without further reports.  Allowed from within a report.  */
void
kv_etcd_watch_stop (void *context, void *arg)
{
  struct kv_etcd *kv = context;
  struct kv_etcd_watch *watch = arg;

  watch->stopped = true;
  if (!watch->in_report)
    {
      g_ptr_array_remove_fast (kv->watches, watch);
      return;
    }
  kv_etcd_watch_close (watch);
}

/* Open all watches anew, because their connections may be dead.  */
void
kv_etcd_watches_suspect (struct kv_etcd *kv)
{
  for (guint i = 0; i < kv->watches->len; i++)
    {
      struct kv_etcd_watch *watch = g_ptr_array_index (kv->watches, i);

      if (watch->stream != NULL && !watch->in_report)
        kv_etcd_watch_reopen (watch);
    }
}
