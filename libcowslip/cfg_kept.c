#include <string.h>

#include "cfg_kept.h"

struct cfg_kept_entry
{
  uint64_t generation;
  char *base; /* digest of the generation before */
  char *value;
  size_t bytes;
};

struct cfg_kept
{
  GQueue entries; /* struct cfg_kept_entry, oldest first */
  size_t bytes;
};

/* Return an empty store.  */
struct cfg_kept *
cfg_kept_new (void)
{
  return g_new0 (struct cfg_kept, 1);
}

static void
cfg_kept_drop (struct cfg_kept *kept)
{
  struct cfg_kept_entry *entry = g_queue_pop_head (&kept->entries);

  kept->bytes -= entry->bytes;
  g_free (entry->base);
  g_free (entry->value);
  g_free (entry);
}

/* Forget all entries.  */
void
cfg_kept_clear (struct cfg_kept *kept)
{
  while (kept->entries.length > 0)
    cfg_kept_drop (kept);
}

/* Free KEPT with its entries.  */
void
cfg_kept_free (struct cfg_kept *kept)
{
  cfg_kept_clear (kept);
  g_free (kept);
}

/* Keep ENTRY, which leads from the text with the digest BASE to GENERATION.
   Entries before a gap are of no use and are forgotten, as are the oldest
   beyond the limits.  */
void
cfg_kept_add (struct cfg_kept *kept, uint64_t generation, const char *base,
              const struct cfg_entry *entry)
{
  const struct cfg_kept_entry *last = g_queue_peek_tail (&kept->entries);
  struct cfg_kept_entry *added;

  if ((last != NULL && last->generation + 1 != generation)
      || entry->bytes > CFG_KEPT_ENTRY_MAX_BYTES)
    cfg_kept_clear (kept);
  if (entry->bytes > CFG_KEPT_ENTRY_MAX_BYTES)
    return;
  added = g_new (struct cfg_kept_entry, 1);
  added->generation = generation;
  added->base = g_strdup (base);
  added->value = g_memdup2 (entry->value, entry->bytes);
  added->bytes = entry->bytes;
  g_queue_push_tail (&kept->entries, added);
  kept->bytes += added->bytes;
  while (kept->entries.length > CFG_KEPT_MAX_ENTRIES
         || kept->bytes > CFG_KEPT_MAX_BYTES)
    cfg_kept_drop (kept);
}

/* Return the entries, struct cfg_entry, that lead from GENERATION with DIGEST
   to the latest, oldest first.  Their bytes are borrowed until KEPT changes;
   the array is to be freed.  Return NULL if KEPT does not hold them all.  */
GArray *
cfg_kept_since (const struct cfg_kept *kept, uint64_t generation,
                const char *digest)
{
  const GList *link = kept->entries.head;
  const struct cfg_kept_entry *entry;
  GArray *found;

  while (link != NULL
         && ((const struct cfg_kept_entry *)link->data)->generation
                <= generation)
    link = link->next;
  if (link == NULL)
    return NULL;
  entry = link->data;
  if (entry->generation != generation + 1 || strcmp (entry->base, digest) != 0)
    return NULL;
  found = g_array_new (FALSE, FALSE, sizeof (struct cfg_entry));
  for (; link != NULL; link = link->next)
    {
      struct cfg_entry item;

      entry = link->data;
      item.value = entry->value;
      item.bytes = entry->bytes;
      g_array_append_val (found, item);
    }
  return found;
}
