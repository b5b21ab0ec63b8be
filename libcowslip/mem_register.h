#ifndef COWSLIP_MEM_REGISTER_H
#define COWSLIP_MEM_REGISTER_H

#include <gsl/gsl_rng.h>

#include "kv.h"
#include "mem.h"

/* Keeps this instance's record in the key-value service under a lease, and
   reads the records of the others.  */
struct mem_register;

struct mem_register_callbacks
{
  /* RECORDS (struct mem_member) are all records of ZONE, of all zones if NULL.
   */
  void (*records) (void *arg, const char *zone, const GPtrArray *records);
  /* The key-value service answers, or does not.  */
  void (*reachable) (void *arg, bool reachable);
  /* Return whether the records of all zones are wanted.  */
  bool (*wants_all) (void *arg);
};

struct mem_register *
mem_register_new (struct tm_service *tm, const struct kv_store *kv,
                  gsl_rng *random, const char *environment,
                  const struct mem_member *self,
                  const struct mem_register_callbacks *callbacks, void *arg);
void mem_register_free (struct mem_register *reg);

#endif
