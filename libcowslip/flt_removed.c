#include "flt_impl.h"
#include "kv.h"

/* Remembers endpoints whose entries were removed.  When the store comes back
   from an older copy, it lists them again, though their processes have left
   and may go on to accept requests.  */

/* Removals are remembered for this long.  */
#define FLT_REMOVAL_TTL_MS 60000
/* A listed entry is withheld for this long unless it changes, and longer if
   the process was known to leave.  That of a process that is gone expires
   before.  */
#define FLT_WITHHELD_MS 5000

struct flt_removal
{
  uint64_t started_ms; /* of the process */
  bool leaving;        /* it was known to leave */
  int64_t revision;    /* of the store when its entry was missing */
  uint64_t removed_us;
  struct flt_entry *withheld; /* listed since the removal, or NULL */
  uint64_t withheld_us;       /* when WITHHELD was first listed */
};

static void
flt_removal_free (gpointer data)
{
  struct flt_removal *removal = data;

  flt_entry_free (removal->withheld);
  g_free (removal);
}

/* Return an empty table of removals.  */
GHashTable *
flt_removals_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                flt_removal_free);
}

/* Record that the entry of ENDPOINT was removed before REVISION.  */
void
flt_removal_add (struct flt_fleet *fleet, const struct flt_endpoint *endpoint,
                 int64_t revision)
{
  const struct flt_entry *entry = &endpoint->entry;
  struct flt_removal *removal = g_new0 (struct flt_removal, 1);

  removal->started_ms = entry->started_ms;
  removal->leaving = entry->leaving;
  removal->revision = revision;
  removal->removed_us = tm_now_us (fleet->tm);
  g_hash_table_replace (fleet->removals, g_strdup (entry->id), removal);
}

/* Forget the removal of the entry of ID.  */
void
flt_removal_forget (struct flt_fleet *fleet, const char *id)
{
  g_hash_table_remove (fleet->removals, id);
}

/* Return whether ENTRY may be older than what was known at KNOWN_REVISION: the
   store has lost changes since, and lists ENTRY but has not reported it as a
   change.  */
bool
flt_may_be_older (const struct flt_fleet *fleet, const struct flt_entry *entry,
                  int64_t known_revision)
{
  if (kv_revision_era (entry->revision) <= kv_revision_era (known_revision))
    return false;
  return kv_revision_era (fleet->list_revision)
             != kv_revision_era (entry->revision)
         || entry->revision <= fleet->list_revision;
}

/* If ENTRY may be from before its removal, keep it instead of any withheld
   before and return true.  */
bool
flt_removal_withhold (struct flt_fleet *fleet, struct flt_entry *entry)
{
  struct flt_removal *removal
      = g_hash_table_lookup (fleet->removals, entry->id);

  if (removal == NULL || entry->started_ms > removal->started_ms
      || !flt_may_be_older (fleet, entry, removal->revision))
    return false;
  if (removal->withheld_us == 0)
    removal->withheld_us = tm_now_us (fleet->tm);
  flt_entry_free (removal->withheld);
  removal->withheld = entry;
  return true;
}

static void
flt_removal_drop_entry (struct flt_removal *removal)
{
  flt_entry_free (removal->withheld);
  removal->withheld = NULL;
}

/* The entry of ID was removed again before REVISION.  */
void
flt_removal_repeat (struct flt_fleet *fleet, const char *id, int64_t revision)
{
  struct flt_removal *removal = g_hash_table_lookup (fleet->removals, id);

  if (removal == NULL)
    return;
  flt_removal_drop_entry (removal);
  removal->withheld_us = 0;
  removal->revision = MAX (removal->revision, revision);
}

/* Begin a list of entries: drop those that are withheld.  */
void
flt_removals_list_begin (struct flt_fleet *fleet)
{
  GHashTableIter iter;
  gpointer removal;

  g_hash_table_iter_init (&iter, fleet->removals);
  while (g_hash_table_iter_next (&iter, NULL, &removal))
    flt_removal_drop_entry (removal);
}

/* End the list.  */
void
flt_removals_list_end (struct flt_fleet *fleet)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->removals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct flt_removal *removal = value;

      if (removal->withheld != NULL)
        continue;
      removal->withheld_us = 0;
      removal->revision = fleet->list_revision;
    }
}

/* Forget old removals.  Return an entry that was withheld for long enough,
   which the caller owns, or NULL if there is none.  */
struct flt_entry *
flt_removals_sweep (struct flt_fleet *fleet)
{
  uint64_t now_us = tm_now_us (fleet->tm);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->removals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct flt_removal *removal = value;
      struct flt_entry *entry = removal->withheld;
      bool usable = entry != NULL && !removal->leaving
                    && now_us - removal->withheld_us
                           >= FLT_WITHHELD_MS * FLT_US_PER_MS;

      if (!usable
          && now_us - removal->removed_us < FLT_REMOVAL_TTL_MS * FLT_US_PER_MS)
        continue;
      removal->withheld = NULL;
      g_hash_table_iter_remove (&iter);
      if (entry != NULL)
        return entry;
    }
  return NULL;
}
