#include <string.h>

#include <xxhash.h>

#include "engine.h"

#define ENG_PREFIX_BYTES     256U
#define ENG_PREFIXES_MAX     512U
#define ENG_CACHE_EVENTS_MAX 4096U
#define ENG_PERCENT_MAX      100U

/* A change of the prefix cache, reported with a delay.  */
struct eng_cache_event
{
  uint64_t sequence;
  uint64_t visible_us;
  uint64_t prefix;
  bool stored;
};

/* Assign a sequence number to a cache event and queue it, or drop it at
   random to simulate loss.  */
static void
eng_cache_event_add (struct engine *engine, uint64_t prefix, bool stored)
{
  struct eng_cache_event *event;

  engine->cache_sequence++;
  if (gsl_rng_uniform_int (engine->rng, ENG_PERCENT_MAX)
      < engine->options->cache_gap_percent)
    return;
  event = g_new0 (struct eng_cache_event, 1);
  event->sequence = engine->cache_sequence;
  event->visible_us
      = stand_now_us ()
        + (uint64_t)engine->options->cache_lag_ms * STAND_US_PER_MS;
  event->prefix = prefix;
  event->stored = stored;
  g_queue_push_tail (&engine->cache_events, event);
  if (engine->cache_events.length > ENG_CACHE_EVENTS_MAX)
    g_free (g_queue_pop_head (&engine->cache_events));
}

static void
eng_prefix_evict (struct engine *engine)
{
  uint64_t *oldest = g_queue_pop_head (&engine->prefix_order);

  eng_cache_event_add (engine, *oldest, false);
  g_hash_table_remove (engine->prefixes, oldest);
}

/* Add the prompt prefix of REQUEST to the cache.  Return whether it was cached
   already.  */
bool
eng_prefix_use (struct engine *engine, const struct eng_request *request)
{
  size_t bytes = strnlen (request->prompt, ENG_PREFIX_BYTES);
  uint64_t prefix = XXH64 (request->prompt, bytes,
                           XXH64 (request->name, strlen (request->name), 0));
  uint64_t *key;

  if (g_hash_table_contains (engine->prefixes, &prefix))
    return true;
  key = g_new (uint64_t, 1);
  *key = prefix;
  g_hash_table_add (engine->prefixes, key);
  g_queue_push_tail (&engine->prefix_order, key);
  eng_cache_event_add (engine, prefix, true);
  if (engine->prefix_order.length > ENG_PREFIXES_MAX)
    eng_prefix_evict (engine);
  return false;
}

static struct json_object *
eng_cache_event_json (const struct eng_cache_event *event)
{
  struct json_object *json = json_object_new_object ();
  char hex[17];

  (void)g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x",
                    event->prefix);
  stand_add_int (json, "sequence", (int64_t)event->sequence);
  stand_add_string (json, "kind", event->stored ? "stored" : "evicted");
  stand_add_string (json, "prefix", hex);
  return json;
}

/* Handle GET /admin/cache_events.  */
void
eng_cache_events_serve (struct engine *engine, struct http_exchange *exchange)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  uint64_t after = stand_query_uint (exchange, "after");
  uint64_t next = after;
  uint64_t now_us = stand_now_us ();

  for (const GList *l = engine->cache_events.head; l != NULL; l = l->next)
    {
      const struct eng_cache_event *event = l->data;

      if (event->sequence <= after || event->visible_us > now_us)
        continue;
      json_object_array_add (list, eng_cache_event_json (event));
      next = event->sequence;
    }
  json_object_object_add (body, "events", list);
  stand_add_int (body, "next", (int64_t)next);
  stand_reply (exchange, 200, body);
}
