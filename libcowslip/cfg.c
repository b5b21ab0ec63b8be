#include <string.h>

#include "cfg_impl.h"
#include "chg.h"

/* At start the highest generation among the replies of all sources is
   installed.  Sources that have not answered by then are not waited for.  */
#define CFG_START_TIMEOUT_US (3 * CFG_US_PER_S)
/* Fetches from peers are delayed by a random part of this time, so that peers
   that fetched early can serve later ones and relieve the watchers.  */
#define CFG_FETCH_SPREAD_US CFG_US_PER_S
/* Delay before a refused generation is fetched again.  */
#define CFG_REFUSED_RETRY_US (5 * CFG_US_PER_S)

/* Return the state for ENVIRONMENT, with no document in force.  CALLBACKS must
   stay valid and are called with ARG.  */
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
  cfg->history_cache = cfg_cache_new ();
  cfg->callbacks = callbacks;
  cfg->arg = arg;
  cfg->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cfg->watchers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cfg->peer_generations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return cfg;
}

static void
cfg_candidate_clear (struct cfg_candidate *candidate)
{
  g_free (candidate->digest);
  g_free (candidate->text);
  memset (candidate, 0, sizeof *candidate);
}

/* Free CFG.  No pending call to the key-value service may complete
   afterwards.  */
void
cfg_free (struct cfg_state *cfg)
{
  if (cfg == NULL)
    return;
  if (cfg->watch != NULL)
    cfg->kv.methods->unwatch (cfg->kv.context, cfg->watch);
  tm_cancel (cfg->tm, &cfg->start_timeout);
  tm_cancel (cfg->tm, &cfg->fetch_delay);
  tm_cancel (cfg->tm, &cfg->poll);
  cfg_candidate_clear (&cfg->best);
  g_hash_table_destroy (cfg->peers);
  g_hash_table_destroy (cfg->peer_generations);
  g_hash_table_destroy (cfg->watchers);
  cfg_cache_free (cfg->history_cache);
  g_free (cfg->fetch_address);
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

/* Return the generation that a peer's patches must start from and set DIGEST
   to its digest.  Return 0 if the whole document is needed.  */
uint64_t
cfg_fetch_base (const struct cfg_state *cfg, const char **digest)
{
  bool full = cfg->starting || cfg->needs_full || cfg->generation == 0;

  *digest = full ? "" : cfg->digest;
  return full ? 0 : cfg->generation;
}

/* Return the history entries (struct cfg_entry) that lead from GENERATION with
   DIGEST to the generation in force, or NULL if they are not all cached or are
   no shorter than the document.  The caller frees the array, but not the bytes
   of the entries.  */
GArray *
cfg_patches_since (const struct cfg_state *cfg, uint64_t generation,
                   const char *digest)
{
  GArray *entries = cfg_cache_since (cfg->history_cache, generation, digest);
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

/* Install DOCUMENT if it is newer than the one in force.  Return whether it
   was installed.  */
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
  cfg->needs_full = false;
  return true;
}

static void
cfg_offer_candidate (struct cfg_state *cfg,
                     const struct cfg_document *document)
{
  if (document->generation <= cfg->best.generation)
    return;
  cfg_candidate_clear (&cfg->best);
  cfg->best.generation = document->generation;
  cfg->best.digest = g_strdup (document->digest);
  cfg->best.text = g_strndup (document->text, document->bytes);
  cfg->best.bytes = document->bytes;
}

/* Process DOCUMENT from any source, NULL if the source has none.  During the
   start only the newest is remembered.  */
void
cfg_accept (struct cfg_state *cfg, const struct cfg_document *document)
{
  if (document == NULL || document->generation == 0)
    return;
  if (cfg->starting)
    cfg_offer_candidate (cfg, document);
  else if (cfg_install (cfg, document))
    /* The cached entries do not lead to this generation.  */
    cfg_cache_clear (cfg->history_cache);
}

static void
cfg_start_finish (void *arg)
{
  struct cfg_state *cfg = arg;
  struct cfg_candidate best = cfg->best;
  struct cfg_document document
      = { best.generation, best.digest, best.text, best.bytes };

  tm_cancel (cfg->tm, &cfg->start_timeout);
  cfg->starting = false;
  memset (&cfg->best, 0, sizeof cfg->best);
  cfg_accept (cfg, &document);
  cfg_candidate_clear (&best);
}

/* A source queried at start has answered or failed.  */
void
cfg_source_done (struct cfg_state *cfg)
{
  if (cfg->starting && --cfg->pending_sources == 0)
    cfg_start_finish (cfg);
}

static void
cfg_fetch_from_peers (struct cfg_state *cfg)
{
  GHashTableIter iter;
  void *address;

  g_hash_table_iter_init (&iter, cfg->peers);
  while (g_hash_table_iter_next (&iter, &address, NULL))
    cfg->callbacks->fetch (cfg->arg, address);
}

/* Query the key-value service and the peers at the COUNT addresses in PEERS
   for the document, and install the highest generation among the replies.  */
void
cfg_start (struct cfg_state *cfg, const char *const *peers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    g_hash_table_add (cfg->peers, g_strdup (peers[i]));
  cfg->starting = true;
  cfg->pending_sources = 1 + g_hash_table_size (cfg->peers);
  tm_after (cfg->tm, &cfg->start_timeout, CFG_START_TIMEOUT_US,
            cfg_start_finish, cfg);
  cfg_read (cfg);
  cfg_fetch_from_peers (cfg);
}

/* Set the COUNT ADDRESSES of the instances in the zone that watch the
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
cfg_should_fetch (const struct cfg_state *cfg, uint64_t generation)
{
  if (generation <= cfg->generation)
    return false;
  return generation != cfg->refused_generation
         || tm_now_us (cfg->tm) - cfg->refused_us >= CFG_REFUSED_RETRY_US;
}

/* Return a random peer among those with the newest generation.  A watcher is
   chosen only if no other peer has it, because the two watchers serve the
   whole zone.  */
static const char *
cfg_best_peer (struct cfg_state *cfg)
{
  const char *best = NULL;
  uint64_t newest = 0;
  bool best_watches = false;
  uint32_t ties = 0;
  GHashTableIter iter;
  void *address;
  void *seen;

  g_hash_table_iter_init (&iter, cfg->peer_generations);
  while (g_hash_table_iter_next (&iter, &address, &seen))
    {
      uint64_t generation = *(uint64_t *)seen;
      bool watches = g_hash_table_contains (cfg->watchers, address);

      if (!cfg_should_fetch (cfg, generation) || generation < newest
          || (generation == newest && watches && !best_watches))
        continue;
      if (generation > newest || (best_watches && !watches))
        ties = 0;
      ties++;
      newest = generation;
      best_watches = watches;
      if (gsl_rng_uniform (cfg->random) * ties < 1)
        best = address;
    }
  return best;
}

static void
cfg_fetch_start (void *arg)
{
  struct cfg_state *cfg = arg;
  const char *address = cfg_best_peer (cfg);

  if (address == NULL || cfg->fetch_address != NULL)
    return;
  cfg->fetch_address = g_strdup (address);
  cfg->callbacks->fetch (cfg->arg, cfg->fetch_address);
}

/* Record that the peer at ADDRESS has GENERATION in force, and schedule a
   fetch if it is newer than the local one.  */
void
cfg_update_peer (struct cfg_state *cfg, const char *address,
                 uint64_t generation)
{
  if (generation <= cfg->generation)
    {
      g_hash_table_remove (cfg->peer_generations, address);
      return;
    }
  g_hash_table_replace (cfg->peer_generations, g_strdup (address),
                        g_memdup2 (&generation, sizeof generation));
  if (cfg->starting || cfg->fetch_address != NULL
      || tm_pending (&cfg->fetch_delay) || !cfg_should_fetch (cfg, generation))
    return;
  tm_after (cfg->tm, &cfg->fetch_delay,
            (uint64_t)(gsl_rng_uniform (cfg->random) * CFG_FETCH_SPREAD_US),
            cfg_fetch_start, cfg);
}

/* The fetch from ADDRESS has ended.  Return whether a heartbeat triggered it,
   rather than the start.  */
static bool
cfg_fetch_end (struct cfg_state *cfg, const char *address)
{
  if (cfg->fetch_address == NULL || strcmp (cfg->fetch_address, address) != 0)
    return false;
  g_hash_table_remove (cfg->peer_generations, address);
  g_clear_pointer (&cfg->fetch_address, g_free);
  return true;
}

/* Process the reply of the peer at ADDRESS.  DOCUMENT is NULL if the fetch
   failed; it is retried only after the peer's next heartbeat.  */
void
cfg_fetch_done (struct cfg_state *cfg, const char *address,
                const struct cfg_document *document)
{
  bool by_heartbeat = cfg_fetch_end (cfg, address);

  cfg_accept (cfg, document);
  if (!by_heartbeat && g_hash_table_contains (cfg->peers, address))
    cfg_source_done (cfg);
}

/* Process the COUNT history entries in the reply of the peer at ADDRESS.  If
   they do not apply, the next fetch requests the whole document.  */
void
cfg_fetch_done_patches (struct cfg_state *cfg, const char *address,
                        const struct cfg_entry *entries, size_t count)
{
  bool by_heartbeat = cfg_fetch_end (cfg, address);

  if (!cfg_apply_entries (cfg, entries, count))
    cfg->needs_full = true;
  if (!by_heartbeat && g_hash_table_contains (cfg->peers, address))
    cfg_source_done (cfg);
}
