#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "cfg_zone.h"
#include "chg.h"
#include "unit.h"

#define SEED          20261204
#define ROUND_TRIP_US 2000

struct fetch
{
  struct cfg_node *requester;
  struct cfg_node *source;
  uint64_t generation;
  char *digest;
  struct tm_timer timer;
};

/* A read whose reply size is counted.  */
struct counted_call
{
  struct cfg_zone *zone;
  kv_done done;
  void *arg;
};

static void
on_counted_reply (void *arg, const struct kv_result *result)
{
  struct counted_call *counted_call = arg;

  for (size_t i = 0; i < result->pair_count; i++)
    counted_call->zone->read_bytes += result->pairs[i].value_bytes;
  if (!counted_call->zone->closing)
    counted_call->done (counted_call->arg, result);
  g_free (counted_call);
}

static void
count_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct counted_call *counted_call = g_new (struct counted_call, 1);

  *counted_call = (struct counted_call){ context, done, arg };
  kv_txn (&counted_call->zone->kv, txn, on_counted_reply, counted_call);
}

static void *
count_watch (void *context, const char *prefix, int64_t from_revision,
             kv_changed changed, kv_watch_ended ended, void *arg)
{
  const struct kv_store *kv = &((struct cfg_zone *)context)->kv;

  return kv->methods->watch (kv->context, prefix, from_revision, changed,
                             ended, arg);
}

static void
count_unwatch (void *context, void *watch)
{
  const struct kv_store *kv = &((struct cfg_zone *)context)->kv;

  kv->methods->unwatch (kv->context, watch);
}

static bool
on_install (void *arg, const struct cfg_document *document)
{
  struct cfg_node *node = arg;
  char digest[PCH_DIGEST_CHARS + 1];

  pch_digest (document->text, document->bytes, digest);
  if (strcmp (digest, document->digest) != 0)
    return false;
  g_free (node->text);
  node->text = g_strndup (document->text, document->bytes);
  return true;
}

static void
on_ignored (void *arg, const struct cfg_document *document, bool refused)
{
  struct cfg_node *node = arg;

  (void)document;
  node->zone->refused += refused;
}

static void
fetch_reply_patches (struct fetch *fetch, GArray *entries)
{
  for (guint i = 0; i < entries->len; i++)
    {
      struct cfg_entry *entry = &g_array_index (entries, struct cfg_entry, i);

      entry->bytes -= fetch->source->zone->damaged;
      fetch->source->sent_bytes += entry->bytes;
    }
  cfg_fetch_done_patches (fetch->requester->cfg, fetch->source->address,
                          (const struct cfg_entry *)(void *)entries->data,
                          entries->len);
  g_array_free (entries, TRUE);
}

static void
fetch_reply (void *arg)
{
  struct fetch *fetch = arg;
  const struct cfg_node *source = fetch->source;
  GArray *entries = source->zone->full_documents
                        ? NULL
                        : cfg_patches_since (source->cfg, fetch->generation,
                                             fetch->digest);
  struct cfg_document document
      = { .generation = cfg_generation (source->cfg), .text = source->text };

  fetch->requester->fetches_in_flight--;
  if (entries != NULL)
    fetch_reply_patches (fetch, entries);
  else
    {
      char digest[PCH_DIGEST_CHARS + 1];

      document.bytes = strlen (source->text);
      pch_digest (source->text, document.bytes, digest);
      document.digest = digest;
      fetch->source->sent_bytes += document.bytes;
      cfg_fetch_done (fetch->requester->cfg, source->address, &document);
    }
  g_free (fetch->digest);
  g_free (fetch);
}

static void
on_fetch (void *arg, const char *address)
{
  struct cfg_node *node = arg;
  struct cfg_zone *zone = node->zone;
  struct fetch *fetch = g_new0 (struct fetch, 1);
  const char *digest;

  node->fetches_in_flight++;
  node->last_fetch_address = zone->nodes[strtoul (address, NULL, 10)].address;
  zone->fetches_in_flight_max
      = MAX (zone->fetches_in_flight_max, node->fetches_in_flight);
  fetch->requester = node;
  fetch->source = &zone->nodes[strtoul (address, NULL, 10)];
  fetch->generation = cfg_fetch_base (node->cfg, &digest);
  fetch->digest = g_strdup (digest);
  tm_after (zone->tm, &fetch->timer, zone->round_trip_us, fetch_reply, fetch);
}

/* Exchange heartbeats with the current generation between the instance ARG and
   all others, and repeat this after CFG_ZONE_HEARTBEAT_US.  */
void
cfg_zone_heartbeat (void *arg)
{
  struct cfg_node *node = arg;
  struct cfg_zone *zone = node->zone;

  for (uint32_t i = 0; i < zone->count; i++)
    if (&zone->nodes[i] != node)
      {
        cfg_update_peer (zone->nodes[i].cfg, node->address,
                         cfg_generation (node->cfg));
        cfg_update_peer (node->cfg, zone->nodes[i].address,
                         cfg_generation (zone->nodes[i].cfg));
      }
  tm_after (zone->tm, &node->heartbeat_timer, CFG_ZONE_HEARTBEAT_US,
            cfg_zone_heartbeat, node);
}

/* Advance the time in ZONE by DURATION_US.  */
void
cfg_zone_run (struct cfg_zone *zone, uint64_t duration_us)
{
  tm_advance (zone->tm, tm_now_us (zone->tm) + duration_us);
}

/* Start COUNT instances, the first CFG_ZONE_WATCHERS of which watch the
   key-value service.  If PREFER, the instances know the watchers and prefer
   other peers as sources.  */
void
cfg_zone_open (struct cfg_zone *zone, uint32_t count, bool prefer)
{
  static const struct cfg_callbacks callbacks
      = { on_install, on_fetch, on_ignored };
  static const struct kv_methods counting
      = { .txn = count_txn, .watch = count_watch, .unwatch = count_unwatch };
  static const char *const watchers[CFG_ZONE_WATCHERS] = { "0", "1" };
  struct kv_store store = { &counting, zone };

  memset (zone, 0, sizeof *zone);
  zone->tm = tm_new (0);
  zone->round_trip_us = ROUND_TRIP_US;
  zone->fake = fake_kv_new (zone->tm, 1000);
  zone->kv = fake_kv_store (zone->fake);
  zone->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (zone->random, SEED);
  zone->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct cfg_node *node = &zone->nodes[i];

      node->zone = zone;
      g_snprintf (node->address, sizeof node->address, "%u", i);
      node->cfg
          = cfg_new (zone->tm, &store, zone->random, "e", &callbacks, node);
      cfg_set_watchers (node->cfg, watchers, prefer ? CFG_ZONE_WATCHERS : 0);
      cfg_start (node->cfg, NULL, 0);
      cfg_set_watching (node->cfg, i < CFG_ZONE_WATCHERS);
      tm_after (zone->tm, &node->heartbeat_timer,
                CFG_ZONE_HEARTBEAT_US * i / count, cfg_zone_heartbeat, node);
    }
}

/* Stop the heartbeats in ZONE.  */
void
cfg_zone_stop_heartbeats (struct cfg_zone *zone)
{
  for (uint32_t i = 0; i < zone->count; i++)
    tm_cancel (zone->tm, &zone->nodes[i].heartbeat_timer);
}

/* Free ZONE after all pending calls have ended.  */
void
cfg_zone_close (struct cfg_zone *zone)
{
  cfg_zone_stop_heartbeats (zone);
  cfg_zone_run (zone, 2 * zone->round_trip_us + 2 * CFG_ZONE_HEARTBEAT_US);
  zone->closing = true;
  for (uint32_t i = 0; i < zone->count; i++)
    {
      cfg_free (zone->nodes[i].cfg);
      g_free (zone->nodes[i].text);
    }
  cfg_zone_run (zone, ROUND_TRIP_US);
  fake_kv_free (zone->fake);
  tm_free (zone->tm);
  gsl_rng_free (zone->random);
}

static void
on_changed (void *arg, enum chg_outcome outcome,
            const struct chg_record *record)
{
  (void)record;
  CU_ASSERT_EQUAL (outcome, CHG_ACCEPTED);
  ((struct cfg_zone *)arg)->generation++;
}

/* Commit TEXT as the next generation of the document.  */
void
cfg_zone_change (struct cfg_zone *zone, const char *text)
{
  char digest[PCH_DIGEST_CHARS + 1];
  struct chg_change change = { .environment = "e",
                               .base = zone->generation,
                               .digest = digest,
                               .author = "operator",
                               .comment = "",
                               .change_id = "0123456789abcdef",
                               .time_ms = 1790000000000,
                               .text = text };

  pch_digest (text, strlen (text), digest);
  chg_apply (&zone->kv, zone->tm, &change, on_changed, zone);
  cfg_zone_run (zone, CFG_ZONE_CHANGE_US);
}

/* Return whether TEXT is in force on every instance.  */
bool
cfg_zone_is_converged (const struct cfg_zone *zone, const char *text)
{
  for (uint32_t i = 0; i < zone->count; i++)
    if (g_strcmp0 (zone->nodes[i].text, text) != 0)
      return false;
  return true;
}
