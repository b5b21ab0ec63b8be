#ifndef REGRESS_CFG_ZONE_H
#define REGRESS_CFG_ZONE_H

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "fake_kv.h"

/* Simulates a zone whose instances fetch the configuration from each other. */

#define CFG_ZONE_NODES_MAX    33
#define CFG_ZONE_WATCHERS     2
#define CFG_ZONE_HEARTBEAT_US 1000000
#define CFG_ZONE_CHANGE_US    500000 /* until a change is committed */

/* One instance with its configuration and traffic counter.  */
struct cfg_node
{
  struct cfg_zone *zone;
  struct cfg_state *cfg;
  struct tm_timer heartbeat_timer;
  char address[16];
  char *text;
  uint64_t sent_bytes;
  uint32_t fetches_in_flight;
  const char *last_fetch_address;
};

struct cfg_zone
{
  struct tm_service *tm;
  struct fake_kv *fake;
  struct kv_store kv;
  gsl_rng *random;
  struct cfg_node nodes[CFG_ZONE_NODES_MAX];
  uint32_t count;
  uint32_t fetches_in_flight_max; /* of any instance */
  uint32_t refused;
  uint64_t generation;
  bool full_documents; /* peers never reply with patches */
  bool damaged;        /* peers reply with truncated entries */
  bool closing;
  uint64_t round_trip_us;
  uint64_t read_bytes; /* values received from the key-value service */
};

void cfg_zone_open (struct cfg_zone *zone, uint32_t count, bool prefer);
void cfg_zone_close (struct cfg_zone *zone);
void cfg_zone_run (struct cfg_zone *zone, uint64_t duration_us);
void cfg_zone_change (struct cfg_zone *zone, const char *text);
void cfg_zone_stop_heartbeats (struct cfg_zone *zone);
void cfg_zone_heartbeat (void *arg);
bool cfg_zone_is_converged (const struct cfg_zone *zone, const char *text);

#endif
