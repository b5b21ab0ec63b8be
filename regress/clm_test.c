#include <inttypes.h>
#include <stdio.h>

#include "clm_sim.h"
#include "unit.h"

#define SEEDS 1000

/* Guards against duplicate runs, false "not run" responses, different
   responses for one key and calls that do not end.  The simulation crashes
   owners and claim keepers, loses and delays replies, cuts off the key-value
   service for all or for some instances, and lets callers retry at other
   instances.  */
static void
test_seeds (void)
{
  struct clms_result sum = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct clms_result one = clms_run (seed);

      if (one.violations > 0)
        printf ("seed %" PRIu64 ": %s\n", seed, one.first);
      sum.violations += one.violations;
      sum.calls += one.calls;
      sum.runs += one.runs;
      sum.repeats += one.repeats;
      sum.not_run += one.not_run;
      sum.unknown += one.unknown;
      sum.crashes += one.crashes;
    }
  printf ("%u seeds: %u calls, %u runs, %u repeated, %u not run, "
          "%u unknown, %u crashes, %u violations\n",
          SEEDS, sum.calls, sum.runs, sum.repeats, sum.not_run, sum.unknown,
          sum.crashes, sum.violations);
  CU_ASSERT_EQUAL (sum.violations, 0);
  /* The seeds must cover the interesting cases.  */
  CU_ASSERT (sum.runs > SEEDS && sum.repeats > SEEDS);
  CU_ASSERT (sum.not_run > SEEDS && sum.unknown > SEEDS);
  CU_ASSERT (sum.crashes > SEEDS);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "seeds", test_seeds }, { NULL, NULL } };

  return unit_main ("clm", tests);
}
