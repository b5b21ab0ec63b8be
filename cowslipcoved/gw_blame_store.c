#include <string.h>

#include "blm_record.h"
#include "gw_impl.h"
#include "lg.h"

/* Keeps a record of each blocked trait in the store, so that an instance that
   starts, or was cut off, knows what the others have learned, and all of them
   after they were killed together.  The leader writes and removes the records
   until they agree with what it knows.  */

#define GW_SAVE_INTERVAL_MS 1000
/* The store allows 32 entries in one transaction.  */
#define GW_SAVE_OPS_MAX 32
/* Records at most, and when no more are written for whole requests.  There may
   be as many of those as a service with a single endpoint that crashes by
   itself gets requests.  */
#define GW_RECORDS_MAX       128
#define GW_WHOLE_RECORDS_MAX 64

static const char gw_blame_infix[] = "blocked/";

static char *
gw_blame_key (uint64_t trait)
{
  return g_strdup_printf ("%s%s%016" G_GINT64_MODIFIER "x", ldr_key_prefix (),
                          gw_blame_infix, trait);
}

/* Return whether KEY is that of a record, and store in TRAIT whose.  */
static bool
gw_blame_parse_key (const char *key, uint64_t *trait)
{
  const char *name = key + strlen (ldr_key_prefix ());
  char *end;

  if (!g_str_has_prefix (key, ldr_key_prefix ())
      || !g_str_has_prefix (name, gw_blame_infix))
    return false;
  name += strlen (gw_blame_infix);
  *trait = g_ascii_strtoull (name, &end, 16);
  return end != name && *end == '\0';
}

/* Return whether the store has a record of TRAIT.  */
bool
gw_blame_is_saved (const struct gw *gw, uint64_t trait)
{
  return g_hash_table_contains (gw->blame.saved, &trait);
}

/* The store has a record of TRAIT, written at REVISION.  */
static void
gw_blame_set_saved (struct gw *gw, uint64_t trait, int64_t revision)
{
  g_hash_table_replace (gw->blame.saved, g_memdup2 (&trait, sizeof trait),
                        g_memdup2 (&revision, sizeof revision));
}

static void
gw_blame_set_unsaved (struct gw *gw, uint64_t trait)
{
  g_hash_table_remove (gw->blame.saved, &trait);
}

static void
gw_blame_load (struct gw *gw, uint64_t trait, const char *value, size_t bytes,
               int64_t revision)
{
  uint64_t unix_ms = (uint64_t)g_get_real_time () / GW_US_PER_MS;
  GError *error = NULL;

  gw_blame_set_saved (gw, trait, revision);
  if (!blm_record_apply (gw->blame.table, trait, value, bytes, unix_ms,
                         &error))
    {
      lg_write (LG_TRAIT_RECORD_INVALID,
                "trait=%016" G_GINT64_MODIFIER "x error=\"%s\"", trait,
                error->message);
      g_error_free (error);
    }
  gw_blame_save_start (gw);
}

/* The record of TRAIT was removed: another instance knows that requests with
   it are answered.  */
static void
gw_blame_unload (struct gw *gw, uint64_t trait)
{
  gw_blame_set_unsaved (gw, trait);
  (void)blm_clear (gw->blame.table, trait, 0);
}

/* The store has lost the record of TRAIT, which is written again.  */
static void
gw_blame_record_lost (struct gw *gw, uint64_t trait)
{
  gw_blame_set_unsaved (gw, trait);
  gw_blame_save_start (gw);
}

/* A key of the store has changed.  The relay reports keys that the store has
   lost as removed.  */
void
gw_blame_key_changed (void *arg, const struct kv_change *change)
{
  struct gw *gw = arg;
  const int64_t *saved;
  uint64_t trait;

  if (!gw_blame_parse_key (change->key, &trait))
    return;
  if (change->value != NULL)
    gw_blame_load (gw, trait, change->value, change->value_bytes,
                   change->revision);
  else
    {
      saved = g_hash_table_lookup (gw->blame.saved, &trait);
      if (saved != NULL
          && kv_revision_era (change->revision) > kv_revision_era (*saved))
        gw_blame_record_lost (gw, trait);
      else
        gw_blame_unload (gw, trait);
    }
}

static bool
gw_blame_list_has (const struct kv_pair *pairs, size_t count, uint64_t trait)
{
  uint64_t other;

  for (size_t i = 0; i < count; i++)
    if (gw_blame_parse_key (pairs[i].key, &other) && other == trait)
      return true;
  return false;
}

/* Return whether the store has lost changes between REVISION and the list of
   all keys in PAIRS.  It always has some keys unless all were lost.  */
static bool
gw_blame_has_lost (const struct kv_pair *pairs, size_t count, int64_t revision)
{
  for (size_t i = 0; i < count; i++)
    if (kv_revision_era (pairs[i].revision) > kv_revision_era (revision))
      return true;
  return count == 0;
}

/* Handle that the record of TRAIT, written at REVISION, is not in the list
   PAIRS.  */
static void
gw_blame_missing (struct gw *gw, uint64_t trait, int64_t revision,
                  const struct kv_pair *pairs, size_t count)
{
  if (gw_blame_has_lost (pairs, count, revision))
    gw_blame_record_lost (gw, trait);
  else
    gw_blame_unload (gw, trait);
}

/* All keys of the store were read: PAIRS.  */
void
gw_blame_keys_read (void *arg, const struct kv_pair *pairs, size_t count)
{
  struct gw *gw = arg;
  GList *saved = g_hash_table_get_keys (gw->blame.saved);
  uint64_t trait;

  for (const GList *item = saved; item != NULL; item = item->next)
    {
      const int64_t *revision
          = g_hash_table_lookup (gw->blame.saved, item->data);

      trait = *(const uint64_t *)item->data;
      if (!gw_blame_list_has (pairs, count, trait))
        gw_blame_missing (gw, trait, *revision, pairs, count);
    }
  g_list_free (saved);
  for (size_t i = 0; i < count; i++)
    if (gw_blame_parse_key (pairs[i].key, &trait))
      gw_blame_load (gw, trait, pairs[i].value, pairs[i].value_bytes,
                     pairs[i].revision);
}

/* What one transaction writes and removes.  */
struct gw_blame_changes
{
  struct gw *gw;
  struct kv_op ops[GW_SAVE_OPS_MAX];
  uint64_t traits[GW_SAVE_OPS_MAX];
  size_t count;
};

static void
gw_blame_changes_free (struct gw_blame_changes *changes)
{
  for (size_t i = 0; i < changes->count; i++)
    {
      g_free ((char *)changes->ops[i].key);
      g_free ((char *)changes->ops[i].value);
    }
  g_free (changes);
}

static void
gw_blame_saved (void *arg, const struct kv_result *result)
{
  struct gw_blame_changes *changes = arg;
  struct gw *gw = changes->gw;

  gw->blame.saving = false;
  for (size_t i = 0; result->outcome == KV_OK && i < changes->count; i++)
    if (changes->ops[i].kind == KV_PUT)
      gw_blame_set_saved (gw, changes->traits[i], result->revision);
    else
      gw_blame_set_unsaved (gw, changes->traits[i]);
  lg_write (LG_TRAITS_SAVED, "changes=%zu outcome=%d records=%u",
            changes->count, result->outcome,
            g_hash_table_size (gw->blame.saved));
  gw_blame_changes_free (changes);
}

static void
gw_blame_append (struct gw_blame_changes *changes, uint64_t trait, char *value)
{
  struct kv_op *op = &changes->ops[changes->count];

  *op = (struct kv_op){ .kind = value == NULL ? KV_DELETE : KV_PUT,
                        .key = gw_blame_key (trait),
                        .value = value,
                        .value_bytes = value == NULL ? 0 : strlen (value) };
  changes->traits[changes->count++] = trait;
}

/* Collect in CHANGES what makes the records agree with the blocked traits.  */
static void
gw_blame_collect (struct gw_blame_changes *changes)
{
  const struct gw *gw = changes->gw;
  uint64_t unix_ms = (uint64_t)g_get_real_time () / GW_US_PER_MS;
  uint32_t records = g_hash_table_size (gw->blame.saved);
  GHashTableIter iter;
  gpointer key;

  for (uint32_t i = 0; i < blm_blocked_count (gw->blame.table)
                       && changes->count < GW_SAVE_OPS_MAX;
       i++)
    {
      bool whole;
      uint64_t trait = blm_blocked_trait (gw->blame.table, i, &whole);

      if (records + changes->count
          >= (whole ? GW_WHOLE_RECORDS_MAX : GW_RECORDS_MAX))
        break;
      if (!gw_blame_is_saved (gw, trait))
        gw_blame_append (changes, trait,
                         blm_record_encode (gw->blame.table, trait, unix_ms));
    }
  g_hash_table_iter_init (&iter, gw->blame.saved);
  while (changes->count < GW_SAVE_OPS_MAX
         && g_hash_table_iter_next (&iter, &key, NULL))
    if (!blm_is_blocked (gw->blame.table, *(const uint64_t *)key))
      gw_blame_append (changes, *(const uint64_t *)key, NULL);
}

static void
gw_blame_save (struct gw *gw)
{
  struct gw_blame_changes *changes;
  struct kv_txn txn;

  /* A leader that was paused may know less than its successor.  */
  if (gw->blame.saving || !ldr_is_confirmed (gw->ldr))
    return;
  changes = g_new0 (struct gw_blame_changes, 1);
  changes->gw = gw;
  gw_blame_collect (changes);
  if (changes->count == 0)
    {
      gw_blame_changes_free (changes);
      return;
    }
  txn = (struct kv_txn){ .then_ops = changes->ops,
                         .then_count = changes->count };
  gw->blame.saving = true;
  kv_txn (&gw->kv, &txn, gw_blame_saved, changes);
}

/* Tell the other instances and the store what they lack, as long as a trait is
   blocked or recorded.  */
static void
gw_blame_save_tick (void *arg)
{
  struct gw *gw = arg;

  blm_expire (gw->blame.table);
  gw_blame_tell_unsaved (gw);
  gw_blame_save (gw);
  if (blm_blocked_count (gw->blame.table) > 0
      || g_hash_table_size (gw->blame.saved) > 0)
    tm_after (gw->tm, &gw->blame.save_timer,
              GW_SAVE_INTERVAL_MS * GW_US_PER_MS, gw_blame_save_tick, gw);
}

/* A trait or a record has changed: compare them soon, and then at
   intervals.  */
void
gw_blame_save_start (struct gw *gw)
{
  tm_after (gw->tm, &gw->blame.save_timer, 0, gw_blame_save_tick, gw);
}
