#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapter_sim.h"
#include "unit.h"

#define SEEDS       200
#define FAULTY_MS   30000
#define RECOVERY_MS 15000

/* Add requests for a few names at a time.  Their adapters need more than the
   reserved memory, so that they evict each other, and models are loaded and
   unloaded.  */
static void
add_request (struct as_sim *sim)
{
  uint32_t phase = (uint32_t)(sim->now_us / (3000 * AS_US_PER_MS));
  uint32_t name = (phase * 5 + as_random_below (sim, 7)) % AS_NAMES;

  if (as_random_below (sim, 6) == 0)
    as_request (sim, as_random_below (sim, AS_MEMBERS), name);
}

static void
inject_faults (struct as_sim *sim)
{
  struct as_engine *engine = &sim->engines[as_random_below (sim, AS_ENGINES)];

  if (as_random_below (sim, 4000) == 0)
    as_take_over (sim);
  if (!engine->alive && as_random_below (sim, 1000) == 0)
    engine->alive = true;
  else if (as_random_below (sim, 5000) == 0)
    as_engine_crash (sim, (uint32_t)(engine - sim->engines),
                     as_random_below (sim, 2) == 0);
}

/* Return the number of names for which no request was served after the faults
   ended.  */
static uint32_t
count_starved (struct as_sim *sim)
{
  uint32_t count = 0;

  sim->faulty = false;
  for (uint32_t i = 0; i < AS_ENGINES; i++)
    sim->engines[i].alive = true;
  as_advance (sim, 5000);
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    {
      memset (sim->members[i].waiting, 0, sizeof sim->members[i].waiting);
      memset (sim->members[i].served, 0, sizeof sim->members[i].served);
    }
  for (uint32_t ms = 0; ms < RECOVERY_MS && sim->violation[0] == '\0'; ms++)
    {
      add_request (sim);
      as_advance (sim, 1);
    }
  for (uint32_t n = 0; n < AS_NAMES; n++)
    count += sim->members[0].served[n] + sim->members[1].served[n] == 0;
  return count;
}

static bool
run_seed (uint64_t seed, uint32_t *loads, uint32_t *unloads)
{
  struct as_sim *sim = as_new (seed);
  uint32_t unserved;
  bool passed;

  sim->faulty = true;
  sim->verbose = getenv ("SIM_VERBOSE") != NULL;
  for (uint32_t ms = 0; ms < FAULTY_MS && sim->violation[0] == '\0'; ms++)
    {
      add_request (sim);
      inject_faults (sim);
      as_advance (sim, 1);
    }
  unserved = count_starved (sim);
  *loads += sim->adapter_loads;
  *unloads += sim->adapter_unloads;
  passed = sim->violation[0] == '\0' && unserved == 0;
  if (!passed)
    printf ("seed %lu: %s; %u of %u names not served after the faults\n",
            (unsigned long)seed, sim->violation, unserved, AS_NAMES);
  as_free (sim);
  return passed;
}

/* Guards against adapters that use more memory than their replica reserves,
   more loads in flight than the zone's limit, requests that are interrupted by
   an unload or sent after it, and adapters that are never loaded again, with
   lost replies, delayed orders, reordered replies, crashes and changes of the
   controller.  */
static void
test_seeds (void)
{
  const char *only = getenv ("SIM_SEED");
  uint64_t first = only == NULL ? 1 : strtoull (only, NULL, 10);
  uint64_t last = only == NULL ? SEEDS : first;
  uint32_t failed = 0;
  uint32_t loads = 0;
  uint32_t unloads = 0;

  for (uint64_t seed = first; seed <= last; seed++)
    failed += !run_seed (seed, &loads, &unloads);
  printf ("%u loads and %u unloads of adapters, %u seeds failed\n", loads,
          unloads, failed);
  CU_ASSERT_EQUAL (failed, 0);
  CU_ASSERT_TRUE (loads > 0);
  CU_ASSERT_TRUE (unloads > 0);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "seeds", test_seeds }, { NULL, NULL } };

  return unit_main ("plc_adapter", tests);
}
