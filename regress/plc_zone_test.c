#include <stdio.h>
#include <stdlib.h>

#include "sim.h"
#include "unit.h"

#define SEEDS       200
#define FAULTY_MS   60000
#define RECOVERY_MS 20000
#define ROUND_MS    200

static const struct sim_faults faulty = { 60, 60, 40 };
static const struct sim_faults mostly_delayed = { 30, 250, 30 };
static const struct sim_faults no_faults = { 0, 0, 0 };

/* Report demand for two models at a time, which change every PHASE_MS, to
   cause loads, unloads and evictions.  */
static void
report_random_demand (struct sim *sim, uint32_t phase_ms)
{
  uint32_t phase = (uint32_t)(sim->now_us / (phase_ms * SIM_US_PER_MS));
  uint32_t index = (phase * 2 + sim_random_below (sim, 2)) % SIM_MODELS;

  sim_demand (sim, sim_random_below (sim, SIM_INSTANCES),
              sim_plan.models[index].name, sim_random_below (sim, 12), 60000);
}

static void
fail_engine (struct sim *sim)
{
  uint32_t index = sim_random_below (sim, SIM_ENGINES);
  struct sim_engine *engine = &sim->engines[index];
  uint32_t draw = sim_random_below (sim, 4);

  if (!engine->alive)
    engine->alive = true;
  else if (draw == 0)
    sim_engine_crash (sim, index, true);
  else if (draw == 1)
    sim_engine_crash (sim, index, false);
  else
    engine->leaving = !engine->leaving;
}

/* Return the instance to fail, mostly one that controls the zone.  */
static uint32_t
choose_target (struct sim *sim)
{
  for (uint32_t i = 0; i < SIM_INSTANCES && sim_random_below (sim, 3) > 0; i++)
    if (sim->instances[i].alive && own_is_holder (sim->instances[i].own))
      return i;
  return sim_random_below (sim, SIM_INSTANCES);
}

static void
fail_instance (struct sim *sim)
{
  uint32_t index = choose_target (sim);
  struct sim_instance *instance = &sim->instances[index];
  uint32_t draw = sim_random_below (sim, 8);

  if (!instance->alive)
    sim_start (sim, index);
  else if (instance->paused)
    instance->paused = false;
  else if (draw == 0)
    sim_kill (sim, index);
  else if (draw < 4)
    instance->paused = true;
  else
    instance->kv_unreachable = !instance->kv_unreachable;
}

/* Pause or cut off the controller for about the duration of its lease, so that
   it and a successor both consider themselves in control.  */
static void
isolate_holder (struct sim *sim)
{
  struct sim_instance *instance = &sim->instances[choose_target (sim)];
  uint32_t draw = sim_random_below (sim, 8);

  if (!instance->alive)
    sim_start (sim, instance->index);
  if (instance->fault_end_us != 0)
    return;
  sim_log (sim, "%s %s", instance->name, draw < 3 ? "pauses" : "is cut off");
  instance->paused = draw < 3;
  instance->kv_unreachable = draw >= 3;
  instance->fault_end_us
      = sim->now_us + (4000 + sim_random_below (sim, 8000)) * SIM_US_PER_MS;
  if (draw == 7)
    sim->kv_down = true;
}

static void
inject_faults (struct sim *sim, bool isolate)
{
  if (isolate && sim_random_below (sim, 15) == 0)
    isolate_holder (sim);
  if (isolate && sim_random_below (sim, 25) == 0)
    sim->kv_down = false;
  if (isolate)
    return;
  if (sim_random_below (sim, 10) == 0)
    fail_instance (sim);
  if (sim_random_below (sim, 25) == 0)
    fail_engine (sim);
  if (sim_random_below (sim, sim->kv_down ? 25 : 100) == 0)
    sim->kv_down = !sim->kv_down;
}

static void
clear_faults (struct sim *sim)
{
  sim->faults = no_faults;
  sim->kv_down = false;
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    {
      sim->instances[i].paused = false;
      sim->instances[i].kv_unreachable = false;
      if (!sim->instances[i].alive)
        sim_start (sim, i);
    }
  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    {
      sim->engines[i].alive = true;
      sim->engines[i].leaving = false;
    }
}

/* Return how many models were loaded after the faults ended.  */
static uint32_t
recover (struct sim *sim)
{
  uint32_t loaded_once = 0;
  uint32_t loaded = 0;

  clear_faults (sim);
  for (uint32_t ms = 0; ms < RECOVERY_MS; ms += ROUND_MS)
    {
      report_random_demand (sim, 2000);
      sim_advance (sim, ROUND_MS);
      loaded_once |= sim_loaded (sim);
    }
  for (; loaded_once > 0; loaded_once &= loaded_once - 1)
    loaded++;
  return loaded;
}

static bool
run_seed (uint64_t seed, uint32_t *loads)
{
  bool isolate = seed % 2 == 1;
  struct sim *sim = sim_new (seed, isolate ? &mostly_delayed : &faulty);
  uint32_t recovered;
  bool passed;

  sim->verbose = getenv ("SIM_VERBOSE") != NULL;
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    sim_start (sim, i);
  for (uint32_t ms = 0; ms < FAULTY_MS && sim->violation[0] == '\0';
       ms += ROUND_MS)
    {
      report_random_demand (sim, isolate ? 1000 : 2000);
      if (ms > 5000)
        inject_faults (sim, isolate);
      sim_advance (sim, ROUND_MS);
    }
  *loads += sim->loads;
  recovered = sim->violation[0] == '\0' ? recover (sim) : 0;
  passed = sim->violation[0] == '\0' && recovered == SIM_MODELS;
  if (!passed)
    printf ("seed %lu: %s; %u of %u models loaded after the faults\n",
            (unsigned long)seed, sim->violation, recovered, SIM_MODELS);
  sim_free (sim);
  return passed;
}

/* Guards against more replicas than the budget and more memory than an engine
   has, with pauses longer than a lease, crashes, lost replies, delayed orders,
   outages of the key-value service and leaving engines; and against safety
   rules that block all loads for ever.  */
static void
test_seeds (void)
{
  const char *only = getenv ("SIM_SEED");
  uint64_t first = only == NULL ? 1 : strtoull (only, NULL, 10);
  uint64_t last = only == NULL ? SEEDS : first;
  uint32_t failed = 0;
  uint32_t loads = 0;

  for (uint64_t seed = first; seed <= last; seed++)
    failed += !run_seed (seed, &loads);
  printf ("%u loads under faults, %u seeds failed\n", loads, failed);
  CU_ASSERT_EQUAL (failed, 0);
  CU_ASSERT_TRUE (loads > 0);
}

static bool
may_order (const struct sim *sim)
{
  uint64_t fence;

  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    if (own_may_order (sim->instances[i].own, true, &fence))
      return true;
  return false;
}

/* Guards against a controller that stops sending orders to engines that check
   fencing numbers during an outage, because it misses that the renewals of its
   lease fail.  */
static void
test_outage (void)
{
  struct sim *sim = sim_new (1, &no_faults);
  uint32_t blocked = 0;

  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    sim_start (sim, i);
  sim_advance (sim, RECOVERY_MS);
  CU_ASSERT_TRUE (may_order (sim));
  sim->kv_down = true;
  for (uint32_t ms = 0; ms < FAULTY_MS; ms += ROUND_MS)
    {
      sim_advance (sim, ROUND_MS);
      blocked += !may_order (sim);
    }
  CU_ASSERT_EQUAL (blocked, 0);
  sim_free (sim);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "seeds", test_seeds }, { "outage", test_outage }, { NULL, NULL } };

  return unit_main ("plc_zone", tests);
}
