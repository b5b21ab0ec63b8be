#ifndef REGRESS_CLM_SIM_H
#define REGRESS_CLM_SIM_H

#include <stdint.h>

/* Simulates non-repeatable calls from a seed: instances in two zones, callers
   that retry at other instances, a service that records its runs, and faults
   on all paths between them.  */

struct clms_result
{
  uint32_t calls;
  uint32_t runs;
  uint32_t repeats;    /* responses after the first one of a key */
  uint32_t not_run;    /* refusals with "not run" */
  uint32_t unknown;    /* refusals with outcome_unknown */
  uint32_t crashes;    /* of instances */
  uint32_t violations; /* of the invariants that are checked */
  char first[160];     /* the first violation */
};

struct clms_result clms_run (uint64_t seed);

#endif
