#include <string.h>

#include <glib.h>

#include "cfg.h"
#include "cfg_record.h"
#include "kv_backoff.h"

#define CFG_US_PER_S 1000000
/* At start the highest generation of all sources is taken; a source that has
   not answered by then is not waited for.  */
#define CFG_START_LIMIT_US (3 * CFG_US_PER_S)
/* Fetches from peers are spread over this time, so that peers which have just
   fetched share the load of the watchers.  */
#define CFG_FETCH_SPREAD_US CFG_US_PER_S
/* A refused document is not asked for again for this long.  */
#define CFG_REFUSED_HOLD_US (5 * CFG_US_PER_S)
/* Reads that find what a dead watch or two cut-off watchers have missed.  */
#define CFG_WATCHER_POLL_US (30 * CFG_US_PER_S)
#define CFG_OTHER_POLL_US   (300 * CFG_US_PER_S)
#define CFG_NONE_POLL_US    (2 * CFG_US_PER_S)

/* A document that came before the start was over.  */
struct cfg_held
{
  uint64_t generation;
  char *digest;
  char *text;
  size_t bytes;
};

struct cfg_state
{
  struct tm_service *tm;
  struct kv_store kv;
  gsl_rng *random;
  char *key;
  const struct cfg_callbacks *callbacks;
  void *arg;
  uint64_t generation; /* in force; 0: none */
  char *digest;
  bool starting;
  uint32_t start_waits; /* sources that have not answered yet */
  struct cfg_held best; /* while starting */
  GHashTable *peers;    /* addresses of the settings' peers */
  GHashTable *offers;   /* address -> generation seen there */
  char *fetching;       /* address; NULL: none */
  uint64_t refused_generation;
  uint64_t refused_us;
  bool reading;
  bool watching;
  void *watch;
  struct kv_backoff backoff;
  struct tm_timer start_limit;
  struct tm_timer fetch_delay;
  struct tm_timer poll;
};

static void cfg_read (void *arg);

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
  cfg->key = g_strdup_printf ("cowslip/%s/document", environment);
  cfg->callbacks = callbacks;
  cfg->arg = arg;
  cfg->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
  g_free (cfg->fetching);
  g_free (cfg->digest);
  g_free (cfg->key);
  g_free (cfg);
}

/* Return the generation in force, 0 if there is none.  */
uint64_t
cfg_generation (const struct cfg_state *cfg)
{
  return cfg->generation;
}

static uint64_t
cfg_spread (struct cfg_state *cfg, uint64_t around_us)
{
  return around_us / 2
         + (uint64_t)(gsl_rng_uniform (cfg->random) * (double)around_us);
}

static void
cfg_install (struct cfg_state *cfg, const struct cfg_document *document)
{
  if (document->generation <= cfg->generation)
    {
      if (document->generation < cfg->generation
          || strcmp (document->digest, cfg->digest) != 0)
        cfg->callbacks->ignored (cfg->arg, document,
                                 document->generation == cfg->generation);
      return;
    }
  if (!cfg->callbacks->install (cfg->arg, document))
    {
      cfg->refused_generation = document->generation;
      cfg->refused_us = tm_now_us (cfg->tm);
      cfg->callbacks->ignored (cfg->arg, document, true);
      return;
    }
  cfg->generation = document->generation;
  g_free (cfg->digest);
  cfg->digest = g_strdup (document->digest);
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
static void
cfg_take (struct cfg_state *cfg, const struct cfg_document *document)
{
  if (document == NULL || document->generation == 0)
    return;
  if (cfg->starting)
    cfg_hold (cfg, document);
  else
    cfg_install (cfg, document);
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

static void
cfg_source_answered (struct cfg_state *cfg)
{
  if (cfg->starting && --cfg->start_waits == 0)
    cfg_start_over (cfg);
}

static void
cfg_value (struct cfg_state *cfg, const char *value, size_t bytes)
{
  struct cfg_document document = { .digest = "", .text = "" };
  struct json_object *record = cfg_record_parse (value, bytes, &document);

  if (record != NULL)
    cfg_take (cfg, &document);
  else
    cfg->callbacks->ignored (cfg->arg, &document, true);
  json_object_put (record);
}

static void
cfg_changed (void *arg, const struct kv_change *change)
{
  struct cfg_state *cfg = arg;

  if (change->value != NULL && strcmp (change->key, cfg->key) == 0)
    cfg_value (cfg, change->value, change->value_bytes);
}

static void
cfg_watch_ended (void *arg)
{
  struct cfg_state *cfg = arg;

  cfg->watch = NULL;
  tm_after (cfg->tm, &cfg->poll,
            kv_backoff_next_us (&cfg->backoff, cfg->random), cfg_read, cfg);
}

static void
cfg_plan_poll (struct cfg_state *cfg)
{
  uint64_t around_us = cfg->generation == 0 ? CFG_NONE_POLL_US
                       : cfg->watching      ? CFG_WATCHER_POLL_US
                                            : CFG_OTHER_POLL_US;

  tm_after (cfg->tm, &cfg->poll, cfg_spread (cfg, around_us), cfg_read, cfg);
}

static void
cfg_read_done (void *arg, const struct kv_result *result)
{
  struct cfg_state *cfg = arg;

  cfg->reading = false;
  if (result->outcome != KV_OK)
    {
      cfg_source_answered (cfg);
      tm_after (cfg->tm, &cfg->poll,
                kv_backoff_next_us (&cfg->backoff, cfg->random), cfg_read,
                cfg);
      return;
    }
  kv_backoff_reset (&cfg->backoff);
  if (result->pair_count > 0)
    cfg_value (cfg, result->pairs[0].value, result->pairs[0].value_bytes);
  cfg_source_answered (cfg);
  if (cfg->watching && cfg->watch == NULL)
    cfg->watch = cfg->kv.methods->watch (cfg->kv.context, cfg->key,
                                         result->revision + 1, cfg_changed,
                                         cfg_watch_ended, cfg);
  cfg_plan_poll (cfg);
}

static void
cfg_read (void *arg)
{
  struct cfg_state *cfg = arg;

  if (cfg->reading)
    return;
  cfg->reading = true;
  kv_get (&cfg->kv, cfg->key, cfg_read_done, cfg);
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

/* Watch the key-value service, or stop it.  */
void
cfg_set_watching (struct cfg_state *cfg, bool watching)
{
  if (cfg->watching == watching)
    return;
  cfg->watching = watching;
  if (watching)
    {
      cfg_read (cfg);
      return;
    }
  if (cfg->watch != NULL)
    cfg->kv.methods->unwatch (cfg->kv.context, cfg->watch);
  cfg->watch = NULL;
}

static bool
cfg_wants (const struct cfg_state *cfg, uint64_t generation)
{
  if (generation <= cfg->generation)
    return false;
  return generation != cfg->refused_generation
         || tm_now_us (cfg->tm) - cfg->refused_us >= CFG_REFUSED_HOLD_US;
}

/* Choose at random among the peers that show the newest generation.  */
static const char *
cfg_best_peer (struct cfg_state *cfg)
{
  const char *best = NULL;
  uint64_t newest = 0;
  uint32_t equals = 0;
  GHashTableIter iter;
  void *address;
  void *seen;

  g_hash_table_iter_init (&iter, cfg->offers);
  while (g_hash_table_iter_next (&iter, &address, &seen))
    {
      uint64_t generation = *(uint64_t *)seen;

      if (!cfg_wants (cfg, generation) || generation < newest)
        continue;
      equals = generation > newest ? 1 : equals + 1;
      newest = generation;
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

/* Take in what the peer at ADDRESS answered; NULL if it did not answer.  A
   peer that failed is asked again only when its next heartbeat is seen.  */
void
cfg_fetched (struct cfg_state *cfg, const char *address,
             const struct cfg_document *document)
{
  bool planned = cfg->fetching != NULL && strcmp (cfg->fetching, address) == 0;

  if (planned)
    {
      g_clear_pointer (&cfg->fetching, g_free);
      g_hash_table_remove (cfg->offers, address);
    }
  cfg_take (cfg, document);
  if (!planned && g_hash_table_contains (cfg->peers, address))
    cfg_source_answered (cfg);
}
