#ifndef COWSLIP_CFG_H
#define COWSLIP_CFG_H

/* Distributes an environment's document: reads it from the key-value service
   and from peers, and installs newer generations.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "cfg_cache.h"
#include "kv.h"
#include "tm.h"

/* Decides which source to read, when, and whether to install the result.  The
   generation in force never decreases.  */
struct cfg_state;

/* One generation of the document.  */
struct cfg_document
{
  uint64_t generation;
  const char *digest;
  const char *text;
  size_t bytes;
};

struct cfg_callbacks
{
  /* Put DOCUMENT in force.  Return false if its text does not match its digest
     or is not a valid document.  */
  bool (*install) (void *arg, const struct cfg_document *document);
  /* Request from the peer at ADDRESS the patches since cfg_fetch_base, or the
     whole document.  A call of cfg_fetch_done or cfg_fetch_done_patches must
     follow.  */
  void (*fetch) (void *arg, const char *address);
  /* DOCUMENT was not installed because it is older than the one in force, or
     because it was refused.  */
  void (*ignored) (void *arg, const struct cfg_document *document,
                   bool refused);
};

struct cfg_state *cfg_new (struct tm_service *tm, const struct kv_store *kv,
                           gsl_rng *random, const char *environment,
                           const struct cfg_callbacks *callbacks, void *arg);
void cfg_free (struct cfg_state *cfg);
void cfg_start (struct cfg_state *cfg, const char *const *peers, size_t count);
void cfg_set_watching (struct cfg_state *cfg, bool watching);
void cfg_set_watchers (struct cfg_state *cfg, const char *const *addresses,
                       size_t count);
void cfg_update_peer (struct cfg_state *cfg, const char *address,
                      uint64_t generation);
void cfg_fetch_done (struct cfg_state *cfg, const char *address,
                     const struct cfg_document *document);
void cfg_fetch_done_patches (struct cfg_state *cfg, const char *address,
                             const struct cfg_entry *entries, size_t count);
uint64_t cfg_fetch_base (const struct cfg_state *cfg, const char **digest);
GArray *cfg_patches_since (const struct cfg_state *cfg, uint64_t generation,
                           const char *digest);
uint64_t cfg_generation (const struct cfg_state *cfg);

#endif
