#ifndef COWSLIP_CFG_CACHE_H
#define COWSLIP_CFG_CACHE_H

/* Caches the history entries of the latest consecutive generations, to serve
   peers that are a few generations behind.  */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct cfg_cache;

#define CFG_CACHE_MAX_ENTRIES 64
#define CFG_CACHE_MAX_BYTES   1000000
/* Longer entries are not cached.  A patch is at most half of this.  */
#define CFG_CACHE_ENTRY_MAX_BYTES 131072

/* One history entry, as stored in the key-value service.  */
struct cfg_entry
{
  const char *value;
  size_t bytes;
};

struct cfg_cache *cfg_cache_new (void);
void cfg_cache_free (struct cfg_cache *cache);
void cfg_cache_clear (struct cfg_cache *cache);
void cfg_cache_add (struct cfg_cache *cache, uint64_t generation,
                    const char *base, const struct cfg_entry *entry);
GArray *cfg_cache_since (const struct cfg_cache *cache, uint64_t generation,
                         const char *digest);

#endif
