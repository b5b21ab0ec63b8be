#ifndef COWSLIP_CFG_H
#define COWSLIP_CFG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "cfg_kept.h"
#include "kv.h"
#include "tm.h"

/* Distribution of the configuration: which source is asked, when, and whether
   what it offers may be installed.  The generation in force never
   decreases.  */
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
  /* Put DOCUMENT in force.  Return false if its text does not have its digest
     or is not a valid document.  */
  bool (*install) (void *arg, const struct cfg_document *document);
  /* Ask the peer at ADDRESS for what leads on from cfg_base; cfg_fetched or
     cfg_fetched_patches must follow.  */
  void (*fetch) (void *arg, const char *address);
  /* DOCUMENT is older than what is in force, or was refused.  */
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
void cfg_seen (struct cfg_state *cfg, const char *address,
               uint64_t generation);
void cfg_fetched (struct cfg_state *cfg, const char *address,
                  const struct cfg_document *document);
void cfg_fetched_patches (struct cfg_state *cfg, const char *address,
                          const struct cfg_entry *entries, size_t count);
uint64_t cfg_base (const struct cfg_state *cfg, const char **digest);
GArray *cfg_patches_since (const struct cfg_state *cfg, uint64_t generation,
                           const char *digest);
uint64_t cfg_generation (const struct cfg_state *cfg);

#endif
