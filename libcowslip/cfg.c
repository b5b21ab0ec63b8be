#include <string.h>

#include "cfg_impl.h"
#include "chg.h"

/* At start the highest generation of all sources is taken; a source that has
   not answered by then is not waited for.  */
#define CFG_START_LIMIT_US (3 * CFG_US_PER_S)
/* Fetches from peers are spread over this time, so that peers which have just
   fetched share the load of the watchers.  */
#define CFG_FETCH_SPREAD_US CFG_US_PER_S
/* A refused document is not asked for again for this long.  */
#define CFG_REFUSED_HOLD_US (5 * CFG_US_PER_S)

/* Return the state of ENVIRONMENT's configuration; none is in force.
   CALLBACKS must stay valid and are called with ARG.  */
struct cfg_state *
cfg_new (struct tm_service *tm, const struct kv_store *kv, gsl_rng *random,
         const char *environment, const struct cfg_callbacks *callbacks,
         void *arg)
{
  struct cfg_state *cfg = g_new0 (struct cfg_state, 1);

  cfg->tm = tm;
  cfg->kv = *kv;
  cfg->random = random;
  cfg->environment = g_strdup (environment);
  cfg->key = chg_document_key (environment);
  cfg->history_prefix = chg_history_prefix (environment);
  cfg->kept = cfg_kept_new ();
  cfg->callbacks = callbacks;
  cfg->arg = arg;
  cfg->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cfg->watchers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cfg->offers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return cfg;
}

static void
cfg_drop_held (struct cfg_held *held)
{
  g_free (held->digest);
  g_free (held->text);
  memset (held, 0, sizeof *held);
}

/* Free CFG.  Calls to the key-value service must not be answered later.  */
void
cfg_free (struct cfg_state *cfg)
{
  if (cfg == NULL)
    return;
  if (cfg->watch != NULL)
    cfg->kv.methods->unwatch (cfg->kv.context, cfg->watch);
  tm_cancel (cfg->tm, &cfg->start_limit);
  tm_cancel (cfg->tm, &cfg->fetch_delay);
  tm_cancel (cfg->tm, &cfg->poll);
  cfg_drop_held (&cfg->best);
  g_hash_table_destroy (cfg->peers);
  g_hash_table_destroy (cfg->offers);
  g_hash_table_destroy (cfg->watchers);
  cfg_kept_free (cfg->kept);
  g_free (cfg->fetching);
  g_free (cfg->digest);
  g_free (cfg->text);
  g_free (cfg->environment);
  g_free (cfg->key);
  g_free (cfg->history_prefix);
  g_free (cfg);
}

/* Return the generation in force, 0 if there is none.  */
uint64_t
cfg_generation (const struct cfg_state *cfg)
{
  return cfg->generation;
}

/* Return the generation in force and set DIGEST to its digest, for a peer that
   is to answer with patches; 0 if the whole document is needed.  */
uint64_t
cfg_base (const struct cfg_state *cfg, const char **digest)
{
  bool whole = cfg->starting || cfg->want_whole || cfg->generation == 0;

  *digest = whole ? "" : cfg->digest;
  return whole ? 0 : cfg->generation;
}

/* Return the history entries, struct cfg_entry, that lead from GENERATION with
   DIGEST to the generation in force, or NULL if they are not known or are no
   shorter than the document.  Their bytes are borrowed; the array is to be
   freed.  */
GArray *
cfg_patches_since (const struct cfg_state *cfg, uint64_t generation,
                   const char *digest)
{
  GArray *entries = cfg_kept_since (cfg->kept, generation, digest);
  size_t bytes = 0;

  if (entries == NULL)
    return NULL;
  for (guint i = 0; i < entries->len; i++)
    bytes += g_array_index (entries, struct cfg_entry, i).bytes;
  if (bytes < cfg->bytes)
    return entries;
  g_array_free (entries, TRUE);
  return NULL;
}

/* Put DOCUMENT in force if it is newer than what is.  Return whether that was
   done.  */
bool
cfg_install (struct cfg_state *cfg, const struct cfg_document *document)
{
  if (document->generation <= cfg->generation)
    {
      if (document->generation < cfg->generation
          || strcmp (document->digest, cfg->digest) != 0)
        cfg->callbacks->ignored (cfg->arg, document,
                                 document->generation == cfg->generation);
      return false;
    }
  if (!cfg->callbacks->install (cfg->arg, document))
    {
      cfg->refused_generation = document->generation;
      cfg->refused_us = tm_now_us (cfg->tm);
      cfg->callbacks->ignored (cfg->arg, document, true);
      return false;
    }
  cfg->generation = document->generation;
  g_free (cfg->digest);
  cfg->digest = g_strdup (document->digest);
  g_free (cfg->text);
  cfg->text = g_memdup2 (document->text, document->bytes);
  cfg->bytes = document->bytes;
  cfg->want_whole = false;
  return true;
}

static void
cfg_hold (struct cfg_state *cfg, const struct cfg_document *document)
{
  if (document->generation <= cfg->best.generation)
    return;
  cfg_drop_held (&cfg->best);
  cfg->best.generation = document->generation;
  cfg->best.digest = g_strdup (document->digest);
  cfg->best.text = g_strndup (document->text, document->bytes);
  cfg->best.bytes = document->bytes;
}

/* Take in a document from any source; NULL if the source has none.  */
void
cfg_take (struct cfg_state *cfg, const struct cfg_document *document)
{
  if (document == NULL || document->generation == 0)
    return;
  if (cfg->starting)
    cfg_hold (cfg, document);
  else if (cfg_install (cfg, document))
    /* The entries that are kept do not lead to this generation.  */
    cfg_kept_clear (cfg->kept);
}

static void
cfg_start_over (void *arg)
{
  struct cfg_state *cfg = arg;
  struct cfg_held best = cfg->best;
  struct cfg_document document
      = { best.generation, best.digest, best.text, best.bytes };

  tm_cancel (cfg->tm, &cfg->start_limit);
  cfg->starting = false;
  memset (&cfg->best, 0, sizeof cfg->best);
  cfg_take (cfg, &document);
  cfg_drop_held (&best);
}

/* One of the sources that were asked at start has answered or failed.  */
void
cfg_source_answered (struct cfg_state *cfg)
{
  if (cfg->starting && --cfg->start_waits == 0)
    cfg_start_over (cfg);
}

static void
cfg_ask_peers (struct cfg_state *cfg)
{
  GHashTableIter iter;
  void *address;

  g_hash_table_iter_init (&iter, cfg->peers);
  while (g_hash_table_iter_next (&iter, &address, NULL))
    cfg->callbacks->fetch (cfg->arg, address);
}

/* Ask the key-value service and the COUNT addresses of PEERS for the document
   and install the highest generation among the answers.  */
void
cfg_start (struct cfg_state *cfg, const char *const *peers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (cfg->peers, g_strdup (peers[i]));
  cfg->starting = true;
  cfg->start_waits = 1 + g_hash_table_size (cfg->peers);
  tm_after (cfg->tm, &cfg->start_limit, CFG_START_LIMIT_US, cfg_start_over,
            cfg);
  cfg_read (cfg);
  cfg_ask_peers (cfg);
}

/* Name the COUNT ADDRESSES of the instances of the zone that watch the
   key-value service.  */
void
cfg_set_watchers (struct cfg_state *cfg, const char *const *addresses,
                  size_t count)
{
  g_hash_table_remove_all (cfg->watchers);
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (cfg->watchers, g_strdup (addresses[i]));
}

static bool
cfg_wants (const struct cfg_state *cfg, uint64_t generation)
{
  if (generation <= cfg->generation)
    return false;
  return generation != cfg->refused_generation
         || tm_now_us (cfg->tm) - cfg->refused_us >= CFG_REFUSED_HOLD_US;
}

/* Choose at random among the peers that show the newest generation, but ask a
   watcher only if no other peer has it: two watchers serve a whole zone.  */
static const char *
cfg_best_peer (struct cfg_state *cfg)
{
  const char *best = NULL;
  uint64_t newest = 0;
  bool best_watches = false;
  uint32_t equals = 0;
  GHashTableIter iter;
  void *address;
  void *seen;

  g_hash_table_iter_init (&iter, cfg->offers);
  while (g_hash_table_iter_next (&iter, &address, &seen))
    {
      uint64_t generation = *(uint64_t *)seen;
      bool watches = g_hash_table_contains (cfg->watchers, address);

      if (!cfg_wants (cfg, generation) || generation < newest
          || (generation == newest && watches && !best_watches))
        continue;
      if (generation > newest || (best_watches && !watches))
        equals = 0;
      equals++;
      newest = generation;
      best_watches = watches;
      if (gsl_rng_uniform (cfg->random) * equals < 1)
        best = address;
    }
  return best;
}

static void
cfg_fetch_now (void *arg)
{
  struct cfg_state *cfg = arg;
  const char *address = cfg_best_peer (cfg);

  if (address == NULL || cfg->fetching != NULL)
    return;
  cfg->fetching = g_strdup (address);
  cfg->callbacks->fetch (cfg->arg, cfg->fetching);
}

/* Note that the peer at ADDRESS has GENERATION in force.  */
void
cfg_seen (struct cfg_state *cfg, const char *address, uint64_t generation)
{
  if (generation <= cfg->generation)
    {
      g_hash_table_remove (cfg->offers, address);
      return;
    }
  g_hash_table_replace (cfg->offers, g_strdup (address),
                        g_memdup2 (&generation, sizeof generation));
  if (cfg->starting || cfg->fetching != NULL || tm_pending (&cfg->fetch_delay)
      || !cfg_wants (cfg, generation))
    return;
  tm_after (cfg->tm, &cfg->fetch_delay,
            (uint64_t)(gsl_rng_uniform (cfg->random) * CFG_FETCH_SPREAD_US),
            cfg_fetch_now, cfg);
}

/* The peer at ADDRESS has answered or failed.  Return whether it was asked
   because of its heartbeat, and not at start.  */
static bool
cfg_fetch_over (struct cfg_state *cfg, const char *address)
{
  if (cfg->fetching == NULL || strcmp (cfg->fetching, address) != 0)
    return false;
  g_hash_table_remove (cfg->offers, address);
  g_clear_pointer (&cfg->fetching, g_free);
  return true;
}

/* Take in what the peer at ADDRESS answered; NULL if it did not answer.  A
   peer that failed is asked again only when its next heartbeat is seen.  */
void
cfg_fetched (struct cfg_state *cfg, const char *address,
             const struct cfg_document *document)
{
  bool planned = cfg_fetch_over (cfg, address);

  cfg_take (cfg, document);
  if (!planned && g_hash_table_contains (cfg->peers, address))
    cfg_source_answered (cfg);
}

/* Take in the COUNT history entries that the peer at ADDRESS answered.  If
   they do not apply, the next peer is asked for the whole document.  */
void
cfg_fetched_patches (struct cfg_state *cfg, const char *address,
                     const struct cfg_entry *entries, size_t count)
{
  bool planned = cfg_fetch_over (cfg, address);

  if (!cfg_take_entries (cfg, entries, count))
    cfg->want_whole = true;
  if (!planned && g_hash_table_contains (cfg->peers, address))
    cfg_source_answered (cfg);
}
