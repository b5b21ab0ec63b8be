#ifndef COWSLIP_MEM_REGISTER_H
#define COWSLIP_MEM_REGISTER_H

/* Keeps the record of this instance in the key-value service under a lease and
   reads the records of the other instances.  */

#include <gsl/gsl_rng.h>

#include "kv.h"
#include "mem.h"

struct mem_register;

struct mem_register_callbacks
{
  /* RECORDS (struct mem_member) are all records of ZONE, or of all zones if it
     is NULL.  */
  void (*records) (void *arg, const char *zone, const GPtrArray *records);
  /* A call to the key-value service succeeded or failed.  */
  void (*reachable) (void *arg, bool reachable);
  /* Return whether this instance is to read the records of all zones.  */
  bool (*reads_all_zones) (void *arg);
};

struct mem_register *
mem_register_new (struct tm_service *tm, const struct kv_store *kv,
                  gsl_rng *random, const char *environment,
                  const struct mem_member *self,
                  const struct mem_register_callbacks *callbacks, void *arg);
void mem_register_free (struct mem_register *reg);

#endif
