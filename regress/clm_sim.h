#ifndef REGRESS_CLM_SIM_H
#define REGRESS_CLM_SIM_H

#include <stdint.h>

/* A seeded run of calls that may not be repeated: several instances in two
   zones, callers that repeat their calls elsewhere, a service that records
   what it ran, and faults everywhere in between.  */

struct clms_result
{
  uint32_t calls;
  uint32_t runs;
  uint32_t repeats;    /* answers beyond the first of a key */
  uint32_t not_run;    /* refusals that say "not run" */
  uint32_t unknown;    /* refusals with outcome_unknown */
  uint32_t crashes;    /* of instances */
  uint32_t violations; /* of the rules that the checker knows */
  char first[160];     /* the first violation */
};

struct clms_result clms_run (uint64_t seed);

#endif
