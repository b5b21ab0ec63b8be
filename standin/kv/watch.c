#include <string.h>

#include "gateway.h"

#define KVG_WATCH_CHECK_INTERVAL_US STAND_US_PER_S
/* A watch is closed when its client lags behind by more than this.  */
#define KVG_WATCH_PENDING_MAX_BYTES (32U << 20)

static void
kvg_watch_free (struct kvg_watch *watch)
{
  tm_cancel (watch->gateway->host.tm, &watch->check);
  g_hash_table_remove (watch->gateway->watches, watch);
  kvg_range_clear (&watch->range);
  g_free (watch);
}

static void
kvg_watch_disconnected (void *arg)
{
  kvg_watch_free (arg);
}

static void
kvg_watch_close (struct kvg_watch *watch)
{
  struct http_exchange *exchange = watch->exchange;

  kvg_watch_free (watch);
  http_on_disconnect (exchange, NULL, NULL);
  http_stream_end (exchange, false);
}

/* Close the watch if its client has disconnected or does not read.  A closed
   connection is detected only by polling, because the server does not read
   from it during a response.  */
static void
kvg_watch_check (void *arg)
{
  struct kvg_watch *watch = arg;

  if (http_peer_closed (watch->exchange)
      || http_stream_pending_bytes (watch->exchange)
             > KVG_WATCH_PENDING_MAX_BYTES)
    {
      kvg_watch_close (watch);
      return;
    }
  tm_after (watch->gateway->host.tm, &watch->check,
            KVG_WATCH_CHECK_INTERVAL_US, kvg_watch_check, watch);
}

static void
kvg_watch_write (struct kvg_watch *watch, struct json_object *result)
{
  struct json_object *line = json_object_new_object ();
  size_t bytes;
  const char *text;

  json_object_object_add (line, "result", result);
  text = json_object_to_json_string_length (line, JSON_C_TO_STRING_PLAIN,
                                            &bytes);
  http_stream_write (watch->exchange, text, bytes);
  http_stream_write (watch->exchange, "\n", 1);
  json_object_put (line);
}

static struct json_object *
kvg_watch_result (struct kvg_watch *watch)
{
  struct json_object *result = json_object_new_object ();

  json_object_object_add (result, "header", kvg_header (watch->gateway));
  return result;
}

/* Return EVENT in the format of etcd's gateway, which omits fields with their
   default value; the default type of an event is PUT.  */
static struct json_object *
kvg_event_json (const struct kvs_event *event)
{
  struct json_object *json = json_object_new_object ();

  if (event->deleted)
    stand_add_string (json, "type", "DELETE");
  json_object_object_add (json, "kv", kvg_entry_json (&event->entry));
  return json;
}

static void
kvg_watch_send (struct kvg_watch *watch, uint64_t first)
{
  struct kvs_store *store = watch->gateway->store;
  struct json_object *events = json_object_new_array ();
  struct json_object *result;

  for (uint64_t i = first; i < kvs_event_end (store); i++)
    {
      const struct kvs_event *event = kvs_event (store, i);

      if (kvs_in_range (&watch->range, event->entry.key))
        json_object_array_add (events, kvg_event_json (event));
    }
  if (json_object_array_length (events) == 0)
    {
      json_object_put (events);
      return;
    }
  result = kvg_watch_result (watch);
  json_object_object_add (result, "events", events);
  kvg_watch_write (watch, result);
}

/* Send the events from index FIRST on to all watches.  */
void
kvg_watch_notify (void *arg, uint64_t first)
{
  struct kvg *gateway = arg;
  GList *watches = g_hash_table_get_keys (gateway->watches);

  for (GList *l = watches; l != NULL; l = l->next)
    if (g_hash_table_contains (gateway->watches, l->data))
      kvg_watch_send (l->data, first);
  g_list_free (watches);
}

/* Close all watch streams.  */
void
kvg_watch_close_all (struct kvg *gateway)
{
  GList *watches = g_hash_table_get_keys (gateway->watches);

  for (GList *l = watches; l != NULL; l = l->next)
    if (g_hash_table_contains (gateway->watches, l->data))
      kvg_watch_close (l->data);
  g_list_free (watches);
}

static void
kvg_watch_cancel_compacted (struct kvg_watch *watch)
{
  struct json_object *result = kvg_watch_result (watch);

  json_object_object_add (result, "canceled", json_object_new_boolean (1));
  kvg_add_int64 (result, "compact_revision",
                 kvs_compacted_revision (watch->gateway->store) + 1);
  kvg_watch_write (watch, result);
}

/* Handle a watch REQUEST: respond with a stream of the events since its
   start_revision, if given, and of all later ones.  */
void
kvg_watch_open (struct kvg *gateway, struct http_exchange *exchange,
                struct json_object *request)
{
  struct json_object *create
      = kvg_get_field (request, "create_request", "createRequest");
  struct kvg_watch *watch = g_new0 (struct kvg_watch, 1);
  struct json_object *created;
  int64_t start;

  if (create == NULL || !kvg_parse_range (create, &watch->range))
    {
      kvg_range_clear (&watch->range);
      g_free (watch);
      kvg_error (exchange, 400, 3, "etcdserver: key is not provided");
      return;
    }
  start = json_object_get_int64 (
      kvg_get_field (create, "start_revision", "startRevision"));
  watch->gateway = gateway;
  watch->exchange = exchange;
  g_hash_table_add (gateway->watches, watch);
  if (g_hash_table_size (gateway->watches) > gateway->watches_peak)
    gateway->watches_peak = g_hash_table_size (gateway->watches);
  http_on_disconnect (exchange, kvg_watch_disconnected, watch);
  http_stream_start (exchange, 200, "application/json");
  created = kvg_watch_result (watch);
  json_object_object_add (created, "created", json_object_new_boolean (1));
  kvg_watch_write (watch, created);
  tm_after (gateway->host.tm, &watch->check, KVG_WATCH_CHECK_INTERVAL_US,
            kvg_watch_check, watch);
  if (start > 0 && start <= kvs_compacted_revision (gateway->store))
    kvg_watch_cancel_compacted (watch);
  else if (start > 0)
    kvg_watch_send (watch, kvs_event_from (gateway->store, start));
}
