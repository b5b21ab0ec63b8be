#ifndef REGRESS_CFG_ZONE_H
#define REGRESS_CFG_ZONE_H

#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "fake_kv.h"

#define CFG_ZONE_NODES_MAX 33
#define CFG_ZONE_WATCHERS  2
#define CFG_ZONE_BEAT_US   1000000
#define CFG_ZONE_CHANGE_US 500000 /* until a change is read back */

/* One instance: its configuration and what it has sent.  */
struct cfg_node
{
  struct cfg_zone *zone;
  struct cfg_state *cfg;
  struct tm_timer beat;
  char address[16];
  char *text;
  uint64_t sent_bytes;
  uint32_t asking;   /* fetches under way */
  const char *asked; /* the last address */
};

/* A zone whose instances fetch from each other.  */
struct cfg_zone
{
  struct tm_service *tm;
  struct fake_kv *fake;
  struct kv_store kv;
  gsl_rng *random;
  struct cfg_node nodes[CFG_ZONE_NODES_MAX];
  uint32_t count;
  uint32_t asking_max;
  uint32_t refused;
  uint64_t generation;
  bool whole;   /* peers answer with whole documents only */
  bool damaged; /* peers answer with entries that are cut off */
  bool closing;
  uint64_t round_trip_us;
  uint64_t read_bytes; /* of values that the service answered */
};

void cfg_zone_open (struct cfg_zone *zone, uint32_t count, bool prefer);
void cfg_zone_close (struct cfg_zone *zone);
void cfg_zone_pass (struct cfg_zone *zone, uint64_t duration_us);
void cfg_zone_change (struct cfg_zone *zone, const char *text);
void cfg_zone_stop_beats (struct cfg_zone *zone);
void cfg_zone_beat (void *arg);
bool cfg_zone_all_have (const struct cfg_zone *zone, const char *text);

#endif
