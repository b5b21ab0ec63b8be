#ifndef COWSLIP_MEM_H
#define COWSLIP_MEM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

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

const struct mem_member *mem_self (const struct mem_table *table);
const GPtrArray *mem_members (const struct mem_table *table);
const struct mem_member *mem_find (const struct mem_table *table,
                                   const char *instance);
/* The live member of the own zone with the lowest number that is not
   draining; this instance counts.  */
const struct mem_member *mem_lowest (const struct mem_table *table);

#endif
