
#include "cfg_impl.h"
#include "cfg_record.h"
#include "chg.h"

/* Poll intervals of a watcher, of another instance, and of an instance without
   a document.  Polls find changes that a broken watch, or the loss of both
   watchers, would hide.  */
#define CFG_WATCHER_POLL_US (30 * CFG_US_PER_S)
#define CFG_OTHER_POLL_US   (300 * CFG_US_PER_S)
#define CFG_INITIAL_POLL_US (2 * CFG_US_PER_S)

static void cfg_poll (void *arg);

static uint64_t
cfg_jitter (struct cfg_state *cfg, uint64_t interval_us)
{
  return interval_us / 2
         + (uint64_t)(gsl_rng_uniform (cfg->random) * (double)interval_us);
}

static void
cfg_accept_value (struct cfg_state *cfg, const char *value, size_t bytes)
{
  struct cfg_document document = { .digest = "", .text = "" };
  struct json_object *record = cfg_record_parse (value, bytes, &document);

  if (record != NULL)
    cfg_accept (cfg, &document);
  else
    cfg->callbacks->ignored (cfg->arg, &document, true);
  json_object_put (record);
}

/* Read the whole document, after the read in progress if there is one: that
   one may have started before the change that requires this one.  */
static void
cfg_request_read (struct cfg_state *cfg)
{
  if (cfg->reading)
    cfg->reread = true;
  else
    cfg_read (cfg);
}

/* A history entry was written, with the document in the same transaction.  */
static void
cfg_watch_event (void *arg, const struct kv_change *change)
{
  struct cfg_state *cfg = arg;
  struct cfg_entry entry = { change->value, change->value_bytes };

  if (change->value == NULL)
    return;
  if (cfg_apply_entries (cfg, &entry, 1))
    cfg->revision = change->revision;
  else
    cfg_request_read (cfg);
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
cfg_schedule_poll (struct cfg_state *cfg)
{
  uint64_t interval_us = cfg->generation == 0 ? CFG_INITIAL_POLL_US
                         : cfg->watching      ? CFG_WATCHER_POLL_US
                                              : CFG_OTHER_POLL_US;

  tm_after (cfg->tm, &cfg->poll, cfg_jitter (cfg, interval_us), cfg_poll, cfg);
}

/* Watch the history from the revision after REVISION.  */
static void
cfg_watch_from (struct cfg_state *cfg, int64_t revision)
{
  if (cfg->watching && cfg->watch == NULL)
    cfg->watch = cfg->kv.methods->watch (cfg->kv.context, cfg->history_prefix,
                                         revision + 1, cfg_watch_event,
                                         cfg_watch_ended, cfg);
}

/* Return whether the key-value service has answered.  If not, schedule another
   read with backoff.  */
static bool
cfg_check_result (struct cfg_state *cfg, const struct kv_result *result)
{
  cfg->reading = false;
  if (result->outcome == KV_OK || result->outcome == KV_CONFLICT)
    {
      kv_backoff_reset (&cfg->backoff);
      return true;
    }
  cfg->reread = false;
  tm_after (cfg->tm, &cfg->poll,
            kv_backoff_next_us (&cfg->backoff, cfg->random), cfg_read, cfg);
  return false;
}

static void
cfg_read_done (void *arg, const struct kv_result *result)
{
  struct cfg_state *cfg = arg;

  if (!cfg_check_result (cfg, result))
    {
      cfg_source_done (cfg);
      return;
    }
  if (result->pair_count > 0)
    {
      cfg->revision = result->pairs[0].revision;
      cfg_accept_value (cfg, result->pairs[0].value,
                        result->pairs[0].value_bytes);
    }
  cfg_source_done (cfg);
  cfg_watch_from (cfg, result->revision);
  cfg_schedule_poll (cfg);
  if (cfg->reread)
    cfg_read (cfg);
}

/* Read the whole document, unless a read is in progress.  */
void
cfg_read (void *arg)
{
  struct cfg_state *cfg = arg;

  if (cfg->reading)
    return;
  cfg->reading = true;
  cfg->reread = false;
  kv_get (&cfg->kv, cfg->key, cfg_read_done, cfg);
}

/* Apply PAIR, the last of the history entries that the poll returned.  Return
   whether another poll is to continue from there.  */
static bool
cfg_apply_poll_entry (struct cfg_state *cfg, const struct kv_pair *pair)
{
  struct cfg_entry entry = { pair->value, pair->value_bytes };

  if (pair->revision == cfg->revision || !cfg_apply_entries (cfg, &entry, 1))
    return false;
  cfg->revision = pair->revision;
  return true;
}

static void
cfg_poll_done (void *arg, const struct kv_result *result)
{
  struct cfg_state *cfg = arg;

  if (!cfg_check_result (cfg, result))
    return;
  if (!cfg->reread && result->outcome == KV_OK)
    {
      cfg_watch_from (cfg, result->revision);
      cfg_schedule_poll (cfg);
    }
  else if (!cfg->reread && result->pair_count > 0
           && cfg_apply_poll_entry (cfg,
                                    &result->pairs[result->pair_count - 1]))
    cfg_poll (cfg);
  else
    cfg_read (cfg);
}

/* Check whether the document is still the one last processed.  If it is not,
   the history entry of the generation in force, written in the same
   transaction, may show that this generation was installed from a peer, and
   the next entry may update it.  Otherwise the whole document is read.  At the
   target size, reading the whole document every 30 s would take half of the
   traffic allowed to an instance.  */
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

/* Start or stop watching the key-value service.  */
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
