#ifndef COWSLIP_CFG_IMPL_H
#define COWSLIP_CFG_IMPL_H

/* State and functions shared by the cfg*.c files only.  */

#include "cfg.h"
#include "kv_backoff.h"

#define CFG_US_PER_S 1000000

/* A document received during the start.  */
struct cfg_candidate
{
  uint64_t generation;
  char *digest;
  char *text;
  size_t bytes;
};

struct cfg_state
{
  struct tm_service *tm;
  struct kv_store kv;
  gsl_rng *random;
  char *environment;
  char *key;
  char *history_prefix;
  const struct cfg_callbacks *callbacks;
  void *arg;
  uint64_t generation; /* in force; 0: none */
  char *digest;
  char *text; /* base of the next patch */
  size_t bytes;
  struct cfg_cache *history_cache;
  bool needs_full; /* a peer's patches did not apply */
  bool starting;
  uint32_t pending_sources;     /* sources queried at start without a reply */
  struct cfg_candidate best;    /* newest so far, while starting */
  GHashTable *peers;            /* addresses of the peers in the settings */
  GHashTable *peer_generations; /* address -> newer generation (uint64_t) */
  GHashTable *watchers;         /* addresses of the instances in the
                                   zone that watch the service */
  char *fetch_address;          /* peer being fetched from; NULL: none */
  uint64_t refused_generation;
  uint64_t refused_us;
  int64_t revision; /* of the last document processed; 0: none */
  bool reading;
  bool reread; /* a change arrived during the read */
  bool watching;
  void *watch;
  struct kv_backoff backoff;
  struct tm_timer start_timeout;
  struct tm_timer fetch_delay;
  struct tm_timer poll;
};

bool cfg_install (struct cfg_state *cfg, const struct cfg_document *document);
void cfg_accept (struct cfg_state *cfg, const struct cfg_document *document);
bool cfg_apply_entries (struct cfg_state *cfg, const struct cfg_entry *entries,
                        size_t count);
void cfg_source_done (struct cfg_state *cfg);
void cfg_read (void *arg);

#endif
