#include <string.h>

#include "kv_backoff.h"
#include "peers_impl.h"
#include "psn.h"

/* Keeps the requests that are refused because they crash engines in the
   key-value service, so that they are known when all members of the zone have
   restarted.  Suspicions of one crash are not kept: they would cost a write
   for each request that ran beside the cause.  */

/* Records in one transaction, and waiting for one; the oldest yields.  */
#define CD_SUSPECT_OPS_MAX    32
#define CD_UNSAVED_MAX        1024
#define CD_HEXADECIMAL        16
#define CD_SUSPECT_VALUE      "{\"crashes\":" G_STRINGIFY (PSN_CRASHES_MAX) "}"
#define CD_SUSPECT_KEY_FORMAT "cowslip/%s/suspects/%s/"

struct cd_suspects_store
{
  struct cd_peers *peers;
  struct kv_backoff read_backoff;
  struct kv_backoff write_backoff;
  struct tm_timer read_timer;
  struct tm_timer write_timer;
  GArray *unsaved; /* uint64_t: fingerprints, the oldest first */
  guint writing;   /* of these, in the transaction in progress */
  bool busy;       /* a lease is requested or a transaction in progress */
};

static void cd_suspects_read (void *arg);
static void cd_suspects_write (void *arg);

static char *
cd_suspects_prefix (const struct cd_suspects_store *store)
{
  const struct set_settings *settings = store->peers->daemon->settings;

  return g_strdup_printf (CD_SUSPECT_KEY_FORMAT, settings->environment,
                          settings->zone);
}

/* Parse the fingerprint in KEY behind PREFIX_BYTES.  */
static bool
cd_suspect_parse_key (const char *key, size_t prefix_bytes,
                      uint64_t *fingerprint)
{
  char *end;

  if (strlen (key) <= prefix_bytes)
    return false;
  *fingerprint = g_ascii_strtoull (key + prefix_bytes, &end, CD_HEXADECIMAL);
  return *end == '\0';
}

/* Use the records in RESULT.  The time of the last crash is not kept, because
   clocks differ: a suspicion lapses at the latest 10 min after the read.  */
static void
cd_suspects_apply (struct cd_suspects_store *store,
                   const struct kv_result *result)
{
  struct cd_peers *peers = store->peers;
  char *prefix = cd_suspects_prefix (store);
  cs_suspects suspects;

  suspects.suspects.suspects_len = 0;
  suspects.suspects.suspects_val = g_new0 (cs_suspect, result->pair_count + 1);
  for (size_t i = 0; i < result->pair_count; i++)
    {
      cs_suspect *suspect
          = &suspects.suspects.suspects_val[suspects.suspects.suspects_len];

      if (!cd_suspect_parse_key (result->pairs[i].key, strlen (prefix),
                                 &suspect->fingerprint))
        continue;
      suspect->crashes = PSN_CRASHES_MAX;
      suspects.suspects.suspects_len++;
    }
  if (suspects.suspects.suspects_len > 0)
    {
      cd_suspects_keep (peers, &suspects);
      cd_publish (peers->daemon, CD_SUSPECTS, &suspects);
    }
  g_free (suspects.suspects.suspects_val);
  g_free (prefix);
}

static void
cd_suspects_read_done (void *arg, const struct kv_result *result)
{
  struct cd_suspects_store *store = arg;
  const struct cd_daemon *daemon = store->peers->daemon;

  if (result->outcome == KV_OK)
    cd_suspects_apply (store, result);
  else
    tm_after (daemon->tm, &store->read_timer,
              kv_backoff_next_us (&store->read_backoff, daemon->random),
              cd_suspects_read, store);
}

static void
cd_suspects_read (void *arg)
{
  struct cd_suspects_store *store = arg;
  char *prefix = cd_suspects_prefix (store);

  kv_get_prefix (&store->peers->daemon->kv, prefix, cd_suspects_read_done,
                 store);
  g_free (prefix);
}

static void
cd_suspects_write_later (struct cd_suspects_store *store)
{
  const struct cd_daemon *daemon = store->peers->daemon;

  store->busy = false;
  store->writing = 0;
  tm_after (daemon->tm, &store->write_timer,
            kv_backoff_next_us (&store->write_backoff, daemon->random),
            cd_suspects_write, store);
}

static void
cd_suspects_written (void *arg, const struct kv_result *result)
{
  struct cd_suspects_store *store = arg;

  if (result->outcome != KV_OK)
    {
      cd_suspects_write_later (store);
      return;
    }
  kv_backoff_reset (&store->write_backoff);
  g_array_remove_range (store->unsaved, 0, store->writing);
  store->busy = false;
  store->writing = 0;
  cd_suspects_write (store);
}

static void
cd_suspects_leased (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct cd_suspects_store *store = arg;
  struct kv_op ops[CD_SUSPECT_OPS_MAX];
  char *keys[CD_SUSPECT_OPS_MAX] = { NULL };
  struct kv_txn txn = { .then_ops = ops };
  char *prefix;

  if (outcome != KV_OK)
    {
      cd_suspects_write_later (store);
      return;
    }
  prefix = cd_suspects_prefix (store);
  store->writing = MIN (store->unsaved->len, CD_SUSPECT_OPS_MAX);
  for (guint i = 0; i < store->writing; i++)
    {
      keys[i] = g_strdup_printf ("%s%016" G_GINT64_MODIFIER "x", prefix,
                                 g_array_index (store->unsaved, uint64_t, i));
      ops[i] = (struct kv_op){ .kind = KV_PUT,
                               .key = keys[i],
                               .value = CD_SUSPECT_VALUE,
                               .value_bytes = strlen (CD_SUSPECT_VALUE),
                               .lease = lease };
    }
  txn.then_count = store->writing;
  kv_txn (&store->peers->daemon->kv, &txn, cd_suspects_written, store);
  for (guint i = 0; i < txn.then_count; i++)
    g_free (keys[i]);
  g_free (prefix);
}

static void
cd_suspects_write (void *arg)
{
  struct cd_suspects_store *store = arg;
  const struct kv_store *kv = &store->peers->daemon->kv;

  if (store->busy || store->unsaved->len == 0)
    return;
  store->busy = true;
  kv->methods->lease_grant (kv->context, PSN_EXPIRY_S, cd_suspects_leased,
                            store);
}

/* Keep those of SUSPECTS, which this instance has found, that are refused.  */
void
cd_suspects_save (struct cd_suspects_store *store, const cs_suspects *suspects)
{
  for (u_int i = 0; i < suspects->suspects.suspects_len; i++)
    {
      const cs_suspect *suspect = &suspects->suspects.suspects_val[i];

      if (suspect->crashes < PSN_CRASHES_MAX)
        continue;
      if (store->unsaved->len >= CD_UNSAVED_MAX && !store->busy)
        g_array_remove_index (store->unsaved, 0);
      if (store->unsaved->len < CD_UNSAVED_MAX)
        g_array_append_val (store->unsaved, suspect->fingerprint);
    }
  cd_suspects_write (store);
}

/* Read what was kept, as soon as the service answers.  */
struct cd_suspects_store *
cd_suspects_store_new (struct cd_peers *peers)
{
  struct cd_suspects_store *store = g_new0 (struct cd_suspects_store, 1);

  store->peers = peers;
  store->unsaved = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  cd_suspects_read (store);
  return store;
}

/* Free STORE.  */
void
cd_suspects_store_free (struct cd_suspects_store *store)
{
  const struct cd_daemon *daemon = store->peers->daemon;

  tm_cancel (daemon->tm, &store->read_timer);
  tm_cancel (daemon->tm, &store->write_timer);
  g_array_free (store->unsaved, TRUE);
  g_free (store);
}
