#include <stdlib.h>
#include <time.h>

#include "res_sim.h"
#include "unit.h"

/* The cost of a step of the leader in large fleets.  */

#define STEPS   100
#define STEP_MS 50
#define ROUNDS  3
/* The approximate slowdown by the sanitizers.  */
#ifdef __SANITIZE_ADDRESS__
#define SANITIZER_SLOWDOWN 8
#else
#define SANITIZER_SLOWDOWN 1
#endif

struct fleet
{
  struct rsm_sizes sizes;
  uint32_t requested; /* models for which requests wait */
  uint64_t step_max_us;
};

/* The processor time budget of the control is 2.5% of a core, and 5% for the
   leader of hundreds of engines; a step runs every 50 ms.  */
static const struct fleet tens = { { 60, 320, 320 }, 40, 1250 };
static const struct fleet hundreds = { { 256, 1375, 1375 }, 80, 2500 };

static struct rsm *sim;

static void
demand (uint32_t first, uint32_t count, uint32_t arrivals, uint32_t waiting)
{
  for (uint32_t i = first; i < first + count; i++)
    {
      struct res_demand model_demand = { .name = rsm_model_name (i),
                                         .arrivals = arrivals,
                                         .waiting = waiting };

      res_demand_add (sim->res, "i1", &model_demand);
    }
}

/* Return the mean processor time of a step over STEPS, in microseconds.  */
static uint64_t
step_cost_us (const struct fleet *fleet)
{
  clock_t total = 0;

  sim = rsm_new_large (&fleet->sizes);
  for (uint32_t i = 0; i < STEPS; i++)
    {
      clock_t start;

      res_demand_begin (sim->res, "i1");
      demand (0, fleet->sizes.engines * RSM_LARGE_LOADED, 1, 0);
      demand (fleet->sizes.engines * RSM_LARGE_LOADED + i, fleet->requested, 1,
              1);
      start = clock ();
      res_step (sim->res);
      total += clock () - start;
      rsm_advance (sim, STEP_MS);
    }
  rsm_free (sim);
  return (uint64_t)total / (CLOCKS_PER_SEC / 1000000) / STEPS;
}

/* Guards against a leader on an instance of 0.1 cores that spends all of its
   time comparing engines and models, so that replacing a model takes 5 s
   instead of 1 s.  The minimum of three rounds counts, because other programs
   disturb the measurement.  */
static void
run_fleet (const struct fleet *fleet)
{
  uint64_t min_us = UINT64_MAX;

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint64_t us = step_cost_us (fleet);

      min_us = MIN (min_us, us);
    }
  if (getenv ("RES_COST") != NULL)
    printf (" %" G_GUINT64_FORMAT " us a step ", min_us);
  CU_ASSERT_TRUE (min_us <= fleet->step_max_us * SANITIZER_SLOWDOWN);
}

static void
test_tens (void)
{
  run_fleet (&tens);
}

static void
test_hundreds (void)
{
  run_fleet (&hundreds);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "cost of a step with tens of engines", test_tens },
          { "cost of a step with hundreds of engines", test_hundreds },
          { NULL, NULL } };

  return unit_main ("res_large", tests);
}
