#include <stdio.h>
#include <stdlib.h>

#include "sim.h"
#include "unit.h"

#define SEEDS     200
#define FAULTY_MS 60000
#define CALM_MS   20000
#define ROUND_MS  200

static const struct sim_faults faulty = { 60, 60, 40 };
static const struct sim_faults mostly_late = { 30, 250, 30 };
static const struct sim_faults calm = { 0, 0, 0 };

/* Two models at a time are in demand, for TURN_MS, so that loads, unloads and
   evictions follow each other.  */
static void
demand_something (struct sim *sim, uint32_t turn_ms)
{
  uint32_t turn = (uint32_t)(sim->now_us / (turn_ms * SIM_US_PER_MS));
  uint32_t index = (turn * 2 + sim_pick (sim, 2)) % SIM_MODELS;

  sim_demand (sim, sim_pick (sim, SIM_INSTANCES), sim_plan.models[index].name,
              sim_pick (sim, 12), 60000);
}

static void
break_an_engine (struct sim *sim)
{
  uint32_t index = sim_pick (sim, SIM_ENGINES);
  struct sim_engine *engine = &sim->engines[index];
  uint32_t dice = sim_pick (sim, 4);

  if (!engine->alive)
    engine->alive = true;
  else if (dice == 0)
    sim_engine_crash (sim, index, true);
  else if (dice == 1)
    sim_engine_crash (sim, index, false);
  else
    engine->leaving = !engine->leaving;
}

/* Return an instance to be hit, mostly one that controls the zone.  */
static uint32_t
choose_instance (struct sim *sim)
{
  for (uint32_t i = 0; i < SIM_INSTANCES && sim_pick (sim, 3) > 0; i++)
    if (sim->instances[i].alive && own_is_holder (sim->instances[i].own))
      return i;
  return sim_pick (sim, SIM_INSTANCES);
}

static void
break_an_instance (struct sim *sim)
{
  uint32_t index = choose_instance (sim);
  struct sim_instance *instance = &sim->instances[index];
  uint32_t dice = sim_pick (sim, 8);

  if (!instance->alive)
    sim_start (sim, index);
  else if (instance->paused)
    instance->paused = false;
  else if (dice == 0)
    sim_kill (sim, index);
  else if (dice < 4)
    instance->paused = true;
  else
    instance->kv_cut = !instance->kv_cut;
}

/* Take the holder out of contact for about as long as its lease lives, so that
   it and a successor believe at the same time that they are in control.  */
static void
isolate_holder (struct sim *sim)
{
  struct sim_instance *instance = &sim->instances[choose_instance (sim)];
  uint32_t dice = sim_pick (sim, 8);

  if (!instance->alive)
    sim_start (sim, instance->index);
  if (instance->heals_us != 0)
    return;
  sim_log (sim, "%s %s", instance->name, dice < 3 ? "pauses" : "is cut off");
  instance->paused = dice < 3;
  instance->kv_cut = dice >= 3;
  instance->heals_us
      = sim->now_us + (4000 + sim_pick (sim, 8000)) * SIM_US_PER_MS;
  if (dice == 7)
    sim->kv_down = true;
}

static void
do_harm (struct sim *sim, bool isolate)
{
  if (isolate && sim_pick (sim, 15) == 0)
    isolate_holder (sim);
  if (isolate && sim_pick (sim, 25) == 0)
    sim->kv_down = false;
  if (isolate)
    return;
  if (sim_pick (sim, 10) == 0)
    break_an_instance (sim);
  if (sim_pick (sim, 25) == 0)
    break_an_engine (sim);
  if (sim_pick (sim, sim->kv_down ? 25 : 100) == 0)
    sim->kv_down = !sim->kv_down;
}

static void
repair (struct sim *sim)
{
  sim->faults = calm;
  sim->kv_down = false;
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    {
      sim->instances[i].paused = false;
      sim->instances[i].kv_cut = false;
      if (!sim->instances[i].alive)
        sim_start (sim, i);
    }
  for (uint32_t i = 0; i < SIM_ENGINES; i++)
    {
      sim->engines[i].alive = true;
      sim->engines[i].leaving = false;
    }
}

/* Return how many models were loaded in the calm time after the faults.  */
static uint32_t
recover (struct sim *sim)
{
  uint32_t seen = 0;
  uint32_t loaded = 0;

  repair (sim);
  for (uint32_t t = 0; t < CALM_MS; t += ROUND_MS)
    {
      demand_something (sim, 2000);
      sim_advance (sim, ROUND_MS);
      seen |= sim_loaded (sim);
    }
  for (; seen > 0; seen &= seen - 1)
    loaded++;
  return loaded;
}

static bool
run_seed (uint64_t seed, uint32_t *loads)
{
  bool isolate = seed % 2 == 1;
  struct sim *sim = sim_new (seed, isolate ? &mostly_late : &faulty);
  uint32_t recovered;
  bool good;

  sim->verbose = getenv ("SIM_VERBOSE") != NULL;
  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    sim_start (sim, i);
  for (uint32_t t = 0; t < FAULTY_MS && sim->violation[0] == '\0';
       t += ROUND_MS)
    {
      demand_something (sim, isolate ? 1000 : 2000);
      if (t > 5000)
        do_harm (sim, isolate);
      sim_advance (sim, ROUND_MS);
    }
  *loads += sim->loads;
  recovered = sim->violation[0] == '\0' ? recover (sim) : 0;
  good = sim->violation[0] == '\0' && recovered == SIM_MODELS;
  if (!good)
    printf ("seed %lu: %s; %u of %u models loaded after the faults\n",
            (unsigned long)seed, sim->violation, recovered, SIM_MODELS);
  sim_free (sim);
  return good;
}

/* Guards against more replicas than the budget and more memory than an engine
   has, under pauses longer than a lease, crashes, lost answers, late orders,
   outages of the key-value service and leaving engines; and against a
   protection that stops all loads for good.  */
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

/* Guards against a controller that stops ordering engines that check fencing
   numbers in the middle of an outage, because it does not note that the
   renewals of its lease fail.  */
static void
test_outage (void)
{
  struct sim *sim = sim_new (1, &calm);
  uint32_t without = 0;

  for (uint32_t i = 0; i < SIM_INSTANCES; i++)
    sim_start (sim, i);
  sim_advance (sim, CALM_MS);
  CU_ASSERT_TRUE (may_order (sim));
  sim->kv_down = true;
  for (uint32_t t = 0; t < FAULTY_MS; t += ROUND_MS)
    {
      sim_advance (sim, ROUND_MS);
      without += !may_order (sim);
    }
  CU_ASSERT_EQUAL (without, 0);
  sim_free (sim);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "seeds", test_seeds }, { "outage", test_outage }, { NULL, NULL } };

  return unit_main ("plc_zone", tests);
}
