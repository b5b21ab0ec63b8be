#ifndef REGRESS_PF_STORE_FIXTURE_H
#define REGRESS_PF_STORE_FIXTURE_H

#include "pf.h"
#include "tm_uv.h"
#include "unit.h"
#include "wire.h"

/* A client of the platform's key-value store and a store with scripted
   responses.  */

/* One response of the store.  If STATUS is 0, the connection is closed without
   a response; if it is PFS_NO_RESPONSE, nothing is sent.  */
struct pfs_response
{
  int status;
  const char *body;
  const char *era; /* NULL: none */
};

#define PFS_NO_RESPONSE (-1)

/* Results of the calls and events of the watch since the responses were
   set.  */
struct pfs_observed
{
  uint32_t done;
  enum kv_outcome outcome;
  int64_t revision;
  int64_t lease;
  size_t pairs;
  char first[64];
  uint32_t changes;
  uint32_t ended;
};

extern uv_loop_t *pfs_loop;
extern struct tm_uv pfs_clock;
extern struct wire_endpoint *pfs_peer;
extern struct kv_store pfs_kv;
extern struct pfs_observed pfs_observed;

void pfs_set_responses (const struct pfs_response *responses, size_t count);
void pfs_run_until (const uint32_t *count, uint32_t expected);
void pfs_on_done (void *arg, const struct kv_result *result);
void pfs_on_lease (void *arg, enum kv_outcome outcome, int64_t lease);
void pfs_on_change (void *arg, const struct kv_change *change);
void pfs_on_ended (void *arg);

#endif
