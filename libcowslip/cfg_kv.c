
#include "cfg_impl.h"
#include "cfg_record.h"
#include "chg.h"

/* Reads that find what a dead watch or two cut-off watchers have missed.  */
#define CFG_WATCHER_POLL_US (30 * CFG_US_PER_S)
#define CFG_OTHER_POLL_US   (300 * CFG_US_PER_S)
#define CFG_NONE_POLL_US    (2 * CFG_US_PER_S)

static void cfg_poll (void *arg);

static uint64_t
cfg_spread (struct cfg_state *cfg, uint64_t around_us)
{
  return around_us / 2
         + (uint64_t)(gsl_rng_uniform (cfg->random) * (double)around_us);
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

/* Read the whole document.  A read that is under way may have begun before the
   change that asks for this one.  */
static void
cfg_read_whole (struct cfg_state *cfg)
{
  if (cfg->reading)
    cfg->read_again = true;
  else
    cfg_read (cfg);
}

/* A history entry was written, and the document in the same transaction.  */
static void
cfg_changed (void *arg, const struct kv_change *change)
{
  struct cfg_state *cfg = arg;
  struct cfg_entry entry = { change->value, change->value_bytes };

  if (change->value == NULL)
    return;
  if (cfg_take_entries (cfg, &entry, 1))
    cfg->revision = change->revision;
  else
    cfg_read_whole (cfg);
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

  tm_after (cfg->tm, &cfg->poll, cfg_spread (cfg, around_us), cfg_poll, cfg);
}

/* Watch what is written after REVISION.  */
static void
cfg_watch_from (struct cfg_state *cfg, int64_t revision)
{
  if (cfg->watching && cfg->watch == NULL)
    cfg->watch = cfg->kv.methods->watch (cfg->kv.context, cfg->history_prefix,
                                         revision + 1, cfg_changed,
                                         cfg_watch_ended, cfg);
}

/* Return whether the service has answered; if not, another read follows.  */
static bool
cfg_answered (struct cfg_state *cfg, const struct kv_result *result)
{
  cfg->reading = false;
  if (result->outcome == KV_OK || result->outcome == KV_CONFLICT)
    {
      kv_backoff_reset (&cfg->backoff);
      return true;
    }
  cfg->read_again = false;
  tm_after (cfg->tm, &cfg->poll,
            kv_backoff_next_us (&cfg->backoff, cfg->random), cfg_read, cfg);
  return false;
}

static void
cfg_read_done (void *arg, const struct kv_result *result)
{
  struct cfg_state *cfg = arg;

  if (!cfg_answered (cfg, result))
    {
      cfg_source_answered (cfg);
      return;
    }
  if (result->pair_count > 0)
    {
      cfg->revision = result->pairs[0].revision;
      cfg_value (cfg, result->pairs[0].value, result->pairs[0].value_bytes);
    }
  cfg_source_answered (cfg);
  cfg_watch_from (cfg, result->revision);
  cfg_plan_poll (cfg);
  if (cfg->read_again)
    cfg_read (cfg);
}

/* Read the whole document, unless something is being read.  */
void
cfg_read (void *arg)
{
  struct cfg_state *cfg = arg;

  if (cfg->reading)
    return;
  cfg->reading = true;
  cfg->read_again = false;
  kv_get (&cfg->kv, cfg->key, cfg_read_done, cfg);
}

/* Learn from PAIR, the last history entry of those that the poll asked for.
   Return whether another poll goes on from there.  */
static bool
cfg_polled (struct cfg_state *cfg, const struct kv_pair *pair)
{
  struct cfg_entry entry = { pair->value, pair->value_bytes };

  if (pair->revision == cfg->revision || !cfg_take_entries (cfg, &entry, 1))
    return false;
  cfg->revision = pair->revision;
  return true;
}

static void
cfg_poll_done (void *arg, const struct kv_result *result)
{
  struct cfg_state *cfg = arg;

  if (!cfg_answered (cfg, result))
    return;
  if (!cfg->read_again && result->outcome == KV_OK)
    {
      cfg_watch_from (cfg, result->revision);
      cfg_plan_poll (cfg);
    }
  else if (!cfg->read_again && result->pair_count > 0
           && cfg_polled (cfg, &result->pairs[result->pair_count - 1]))
    cfg_poll (cfg);
  else
    cfg_read (cfg);
}

/* Ask whether the document is still the one that was last taken in.  If not,
   the entry of the generation in force, which was written with it, may show
   that it came from a peer, and the next entry may lead on; otherwise the
   whole document is read.  At the target size reading it every 30 s would be
   half of what an instance may send and receive.  */
static void
cfg_poll (void *arg)
{
  struct cfg_state *cfg = arg;
  char *current = chg_history_key (cfg->environment, cfg->generation);
  char *next = chg_history_key (cfg->environment, cfg->generation + 1);
  struct kv_compare compare = { cfg->key, cfg->revision };
  struct kv_op ops[2] = { { .kind = KV_GET, .key = current },
                          { .kind = KV_GET, .key = next } };
  struct kv_txn txn = {
    .compares = &compare, .compare_count = 1, .else_ops = ops, .else_count = 2
  };

  if (cfg->generation == 0)
    cfg_read (cfg);
  else if (!cfg->reading)
    {
      cfg->reading = true;
      kv_txn (&cfg->kv, &txn, cfg_poll_done, cfg);
    }
  g_free (current);
  g_free (next);
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
