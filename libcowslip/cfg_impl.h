#ifndef COWSLIP_CFG_IMPL_H
#define COWSLIP_CFG_IMPL_H

#include "cfg.h"
#include "kv_backoff.h"

/* Shared by the parts of the configuration's distribution.  */

#define CFG_US_PER_S 1000000

/* A document that came before the start was over.  */
struct cfg_held
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
  struct cfg_kept *kept;
  bool want_whole; /* a peer's patches did not apply */
  bool starting;
  uint32_t start_waits; /* sources that have not answered yet */
  struct cfg_held best; /* while starting */
  GHashTable *peers;    /* addresses of the settings' peers */
  GHashTable *offers;   /* address -> generation seen there */
  GHashTable *watchers; /* addresses of the zone's watchers */
  char *fetching;       /* address; NULL: none */
  uint64_t refused_generation;
  uint64_t refused_us;
  int64_t revision; /* of the document that was last taken in; 0: none */
  bool reading;
  bool read_again; /* a change came while the document was being read */
  bool watching;
  void *watch;
  struct kv_backoff backoff;
  struct tm_timer start_limit;
  struct tm_timer fetch_delay;
  struct tm_timer poll;
};

bool cfg_install (struct cfg_state *cfg, const struct cfg_document *document);
void cfg_take (struct cfg_state *cfg, const struct cfg_document *document);
bool cfg_take_entries (struct cfg_state *cfg, const struct cfg_entry *entries,
                       size_t count);
void cfg_source_answered (struct cfg_state *cfg);
void cfg_read (void *arg);

#endif
