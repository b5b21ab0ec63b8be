#ifndef COWSLIP_MEM_H
#define COWSLIP_MEM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "tm.h"

/* Heartbeats go out every second in a zone and every 2 s between zones; three
   missed ones make a member unreachable.  */
#define MEM_HEARTBEAT_US      1000000
#define MEM_ZONE_HEARTBEAT_US 2000000
#define MEM_SUSPECT_US        3000000
#define MEM_ZONE_SUSPECT_US   7000000

/* One instance of this environment as this instance knows it.  */
struct mem_member
{
  char *instance;
  char *zone;
  char *rpc_address;
  char *http_address;
  uint32_t number;
  uint64_t incarnation;
  uint64_t generation; /* configuration in force there */
  uint64_t heard_us;   /* last heartbeat; 0: never */
  bool recorded;       /* has a live record in the key-value service */
  bool reachable;      /* heard within the suspicion time */
  bool draining;
};

struct mem_table;

struct mem_callbacks
{
  /* The set of members or what is known of one of them has changed.  */
  void (*changed) (void *arg);
  /* MEMBER became reachable or unreachable.  */
  void (*reach) (void *arg, const struct mem_member *member);
  /* MEMBER was heard for the first time in this incarnation; a heartbeat sent
     back at once lets it know this instance, too.  */
  void (*greet) (void *arg, const struct mem_member *member);
};

struct mem_table *mem_table_new (struct tm_service *tm,
                                 const struct mem_member *self,
                                 const struct mem_callbacks *callbacks,
                                 void *arg);
void mem_table_free (struct mem_table *table);
void mem_set_self (struct mem_table *table, uint64_t generation,
                   bool draining);
bool mem_heard (struct mem_table *table, const struct mem_member *heard);
bool mem_heard_again (struct mem_table *table, const char *instance,
                      uint64_t incarnation, uint64_t generation,
                      bool draining);
void mem_answered (struct mem_table *table, const char *instance,
                   uint64_t incarnation, uint64_t generation);
void mem_recorded (struct mem_table *table, const char *zone,
                   const GPtrArray *records);
bool mem_among_lowest (const struct mem_table *table, uint32_t count);
const struct mem_member *mem_contact (struct mem_table *table,
                                      const char *zone);
const struct mem_member *mem_reader_of (const struct mem_table *table,
                                        const char *endpoint);
GPtrArray *mem_other_zones (const struct mem_table *table);
bool mem_address_known (const struct mem_table *table,
                        const char *rpc_address);

const struct mem_member *mem_self (const struct mem_table *table);
const GPtrArray *mem_members (const struct mem_table *table);
const struct mem_member *mem_find (const struct mem_table *table,
                                   const char *instance);
/* The live member of the own zone with the lowest number that is not
   draining; this instance counts.  */
const struct mem_member *mem_lowest (const struct mem_table *table);

#endif
