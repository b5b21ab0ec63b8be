#ifndef COWSLIP_MEM_H
#define COWSLIP_MEM_H

/* Tracks the instances of an environment: their identity, reachability and
   configuration generation, from heartbeats and from their records in the
   key-value service.  */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tm.h"

/* Heartbeats are sent every second within a zone and every 2 s between zones.
   A member is unreachable after three missed heartbeats.  */
#define MEM_HEARTBEAT_US      1000000
#define MEM_ZONE_HEARTBEAT_US 2000000
#define MEM_SUSPECT_US        3000000
#define MEM_ZONE_SUSPECT_US   7000000

/* The state of one instance as known locally.  */
struct mem_member
{
  char *instance;
  char *zone;
  char *rpc_address;
  char *http_address;
  uint32_t number;
  uint64_t incarnation;
  uint64_t generation;   /* of its configuration */
  uint64_t last_seen_us; /* last heartbeat or reply; 0: none yet */
  bool recorded;         /* has a record in the key-value service */
  bool reachable;        /* seen within the suspicion time-out */
  bool draining;
};

struct mem_table;

struct mem_callbacks
{
  /* The set of members or the state of a member has changed.  */
  void (*changed) (void *arg);
  /* MEMBER became reachable or unreachable.  */
  void (*reachability_changed) (void *arg, const struct mem_member *member);
  /* The first heartbeat of this incarnation of MEMBER arrived.  Sending one
     back at once makes this instance known to it without delay.  */
  void (*peer_discovered) (void *arg, const struct mem_member *member);
};

struct mem_table *mem_table_new (struct tm_service *tm,
                                 const struct mem_member *self,
                                 const struct mem_callbacks *callbacks,
                                 void *arg);
void mem_table_free (struct mem_table *table);
void mem_set_self (struct mem_table *table, uint64_t generation,
                   bool draining);
bool mem_receive_heartbeat (struct mem_table *table,
                            const struct mem_member *sender);
bool mem_receive_delta_heartbeat (struct mem_table *table,
                                  const char *instance, uint64_t incarnation,
                                  uint64_t generation, bool draining);
void mem_receive_reply (struct mem_table *table, const char *instance,
                        uint64_t incarnation, uint64_t generation);
void mem_apply_records (struct mem_table *table, const char *zone,
                        const GPtrArray *records);
bool mem_is_among_lowest (const struct mem_table *table, uint32_t count);
const struct mem_member *mem_zone_contact (struct mem_table *table,
                                           const char *zone);
const struct mem_member *mem_report_reader (const struct mem_table *table,
                                            const char *endpoint);
GPtrArray *mem_other_zones (const struct mem_table *table);
bool mem_has_address (const struct mem_table *table, const char *rpc_address);

const struct mem_member *mem_self (const struct mem_table *table);
const GPtrArray *mem_members (const struct mem_table *table);
const struct mem_member *mem_find (const struct mem_table *table,
                                   const char *instance);
const struct mem_member *mem_lowest (const struct mem_table *table);

#endif
