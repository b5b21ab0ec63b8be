#include <string.h>

#include "cfg_cache.h"

struct cfg_cache_entry
{
  uint64_t generation;
  char *base; /* digest of the previous generation */
  char *value;
  size_t bytes;
};

struct cfg_cache
{
  GQueue entries; /* struct cfg_cache_entry, oldest first */
  size_t bytes;
};

struct cfg_cache *
cfg_cache_new (void)
{
  return g_new0 (struct cfg_cache, 1);
}

static void
cfg_cache_evict (struct cfg_cache *cache)
{
  struct cfg_cache_entry *entry = g_queue_pop_head (&cache->entries);

  cache->bytes -= entry->bytes;
  g_free (entry->base);
  g_free (entry->value);
  g_free (entry);
}

void
cfg_cache_clear (struct cfg_cache *cache)
{
  while (cache->entries.length > 0)
    cfg_cache_evict (cache);
}

void
cfg_cache_free (struct cfg_cache *cache)
{
  cfg_cache_clear (cache);
  g_free (cache);
}

/* Add ENTRY, which leads from the text with the digest BASE to GENERATION.
   Entries before a gap cannot be used and are evicted, as are the oldest
   beyond the limits.  */
void
cfg_cache_add (struct cfg_cache *cache, uint64_t generation, const char *base,
               const struct cfg_entry *entry)
{
  const struct cfg_cache_entry *last = g_queue_peek_tail (&cache->entries);
  struct cfg_cache_entry *added;

  if ((last != NULL && last->generation + 1 != generation)
      || entry->bytes > CFG_CACHE_ENTRY_MAX_BYTES)
    cfg_cache_clear (cache);
  if (entry->bytes > CFG_CACHE_ENTRY_MAX_BYTES)
    return;
  added = g_new (struct cfg_cache_entry, 1);
  added->generation = generation;
  added->base = g_strdup (base);
  added->value = g_memdup2 (entry->value, entry->bytes);
  added->bytes = entry->bytes;
  g_queue_push_tail (&cache->entries, added);
  cache->bytes += added->bytes;
  while (cache->entries.length > CFG_CACHE_MAX_ENTRIES
         || cache->bytes > CFG_CACHE_MAX_BYTES)
    cfg_cache_evict (cache);
}

/* Return the entries (struct cfg_entry) that lead from GENERATION with DIGEST
   to the latest, oldest first, or NULL if CACHE does not hold them all.  The
   caller frees the array.  The bytes of the entries are valid until CACHE
   changes.  */
GArray *
cfg_cache_since (const struct cfg_cache *cache, uint64_t generation,
                 const char *digest)
{
  const GList *link = cache->entries.head;
  const struct cfg_cache_entry *entry;
  GArray *found;

  while (link != NULL
         && ((const struct cfg_cache_entry *)link->data)->generation
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
