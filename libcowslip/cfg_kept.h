#ifndef COWSLIP_CFG_KEPT_H
#define COWSLIP_CFG_KEPT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* The history entries of the latest generations without a gap, kept to answer
   peers that are a few generations behind.  */
struct cfg_kept;

#define CFG_KEPT_MAX_ENTRIES 64
#define CFG_KEPT_MAX_BYTES   1000000
/* A longer entry is not kept; a patch is at most half of it.  */
#define CFG_KEPT_ENTRY_MAX_BYTES 131072

/* One history entry as it stands in the key-value service.  */
struct cfg_entry
{
  const char *value;
  size_t bytes;
};

struct cfg_kept *cfg_kept_new (void);
void cfg_kept_free (struct cfg_kept *kept);
void cfg_kept_clear (struct cfg_kept *kept);
void cfg_kept_add (struct cfg_kept *kept, uint64_t generation,
                   const char *base, const struct cfg_entry *entry);
GArray *cfg_kept_since (const struct cfg_kept *kept, uint64_t generation,
                        const char *digest);

#endif
