#ifndef COWSLIP_PSN_H
#define COWSLIP_PSN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tm.h"

/* Detects poison requests: requests that crash the engines that run them,
   identified by fingerprint.  */
struct psn_table;

/* Crashes after which a request is refused.  */
#define PSN_CRASHES_MAX 2
/* A suspicion lapses this long after the last crash.  */
#define PSN_EXPIRY_S 600

enum psn_verdict
{
  PSN_CLEAR,
  PSN_SUSPECT, /* does not share an endpoint with another suspect */
  PSN_POISON   /* refused */
};

/* One attempt in flight, embedded in its owner and initialized to zero.  */
struct psn_run
{
  uint64_t fingerprint;
  struct psn_endpoint *endpoint;
  struct psn_run *next;
  struct psn_run **link;
  uint64_t started_us;
};

/* Called when a suspicion changes.  CRASHES is 0 if it was cleared.  */
typedef void (*psn_changed) (void *arg, uint64_t fingerprint,
                             uint32_t crashes);

struct psn_table *psn_new (struct tm_service *tm, psn_changed changed,
                           void *arg);
void psn_free (struct psn_table *table);
enum psn_verdict psn_check (struct psn_table *table, uint64_t fingerprint);
uint32_t psn_crashes (struct psn_table *table, uint64_t fingerprint);
void psn_begin (struct psn_table *table, struct psn_run *run,
                uint64_t fingerprint, const char *address);
void psn_end (struct psn_table *table, struct psn_run *run, bool complete);
void psn_connection_lost (struct psn_table *table, const struct psn_run *run);
uint32_t psn_suspects_at (struct psn_table *table, const char *address);
void psn_merge (struct psn_table *table, uint64_t fingerprint,
                uint32_t crashes, uint32_t age_ms);
void psn_foreach (const struct psn_table *table,
                  void (*each) (void *arg, uint64_t fingerprint,
                                uint32_t crashes, uint32_t age_ms),
                  void *arg);

#endif
