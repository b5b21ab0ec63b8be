#include <stdlib.h>
#include <string.h>

#include "res_sim.h"
#include "unit.h"

/* Seeded scenarios with demand, lost and delayed orders, restarts and changes
   of the leader, checked against the platform's limits.  RES_SEED and
   RES_SEEDS set the first seed and the number of seeds.  */

#define ENGINES          6
#define MODELS           20
#define SCENARIO_MS      40000
#define TICK_MS          100
#define WEIGHTS_MB       230000
#define MODEL_MB         72700
#define SLOTS            8
#define ADAPTERS         16
#define LOADS_PER_S      3.1
#define WINDOW_US        UINT64_C (5000000)
#define RATE_TOLERANCE   1.1
#define RATE_BURST_LOADS 3
/* Requests of the long class wait 25 s; without faults a model must be
   available well before that.  */
#define WAIT_MAX_MS 15000

struct target
{
  char name[32];
  char model[32];
  const char *adapter;
  uint64_t waiting_since_ms; /* 0: no request waits */
  uint32_t arrivals;
};

struct scenario
{
  struct rsm *sim;
  struct target targets[MODELS + ADAPTERS];
  uint64_t now_ms;
  uint64_t max_wait_ms;
};

static void
build (struct scenario *scenario, uint64_t seed)
{
  scenario->sim = rsm_new (seed, WEIGHTS_MB, SLOTS);
  for (uint32_t i = 0; i < MODELS; i++)
    {
      struct target *target = &scenario->targets[i];

      g_snprintf (target->name, sizeof target->name, "m%u", i);
      g_snprintf (target->model, sizeof target->model, "m%u", i);
      rsm_add_model (scenario->sim, target->name, MODEL_MB,
                     i == 0 ? ADAPTERS : 0);
    }
  for (uint32_t i = 0; i < ADAPTERS; i++)
    {
      struct target *target = &scenario->targets[MODELS + i];

      g_snprintf (target->name, sizeof target->name, "m0/a%u", i + 1);
      g_snprintf (target->model, sizeof target->model, "m0");
      target->adapter = strchr (target->name, '/') + 1;
    }
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      char name[16];
      struct rsm_engine *engine;

      g_snprintf (name, sizeof name, "e%u", i + 1);
      engine = rsm_add_engine (scenario->sim, name, i % 2 == 0 ? "z1" : "z2");
      for (uint32_t j = 0; j < 3; j++)
        rsm_set_loaded (engine, scenario->targets[i * 3 + j].name);
      rsm_announce (scenario->sim, engine);
    }
}

static void
add_arrival (struct scenario *scenario)
{
  gsl_rng *random = scenario->sim->random;
  uint32_t index
      = gsl_rng_uniform_int (random, 3) == 0
            ? (uint32_t)gsl_rng_uniform_int (random, MODELS + ADAPTERS)
            : (uint32_t)gsl_rng_uniform_int (random, 2);
  struct target *target = &scenario->targets[index];

  target->arrivals++;
  if (target->waiting_since_ms == 0)
    target->waiting_since_ms = scenario->now_ms;
}

static void
report_demand (struct scenario *scenario)
{
  res_demand_begin (scenario->sim->res, "i1");
  for (uint32_t i = 0; i < MODELS + ADAPTERS; i++)
    {
      struct target *target = &scenario->targets[i];
      bool served
          = rsm_is_available (scenario->sim, target->model, target->adapter);
      struct res_demand demand
          = { .name = target->name, .arrivals = target->arrivals };

      if (target->waiting_since_ms != 0 && served)
        {
          scenario->max_wait_ms
              = MAX (scenario->max_wait_ms,
                     scenario->now_ms - target->waiting_since_ms);
          target->waiting_since_ms = 0;
        }
      demand.active = served && target->arrivals > 0 ? 1 : 0;
      demand.waiting = target->waiting_since_ms != 0;
      demand.oldest_ms
          = target->waiting_since_ms == 0
                ? 0
                : (uint32_t)(scenario->now_ms - target->waiting_since_ms);
      target->arrivals = 0;
      if (demand.arrivals + demand.active + demand.waiting > 0)
        res_demand_add (scenario->sim->res, "i1", &demand);
    }
}

static void
inject_faults (struct scenario *scenario)
{
  struct rsm *sim = scenario->sim;

  if (gsl_rng_uniform_int (sim->random, 60) == 0)
    rsm_take_over (sim);
  if (gsl_rng_uniform_int (sim->random, 100) == 0)
    rsm_restart (
        sim, g_ptr_array_index (sim->engines,
                                gsl_rng_uniform_int (sim->random, ENGINES)));
}

/* Return the maximum number of loads from the weight store in WINDOW_US.  */
static uint32_t
max_window_loads (const struct rsm *sim)
{
  uint32_t max_count = 0;

  for (guint i = 0; i < sim->store_loads->len; i++)
    {
      uint64_t begin = g_array_index (sim->store_loads, uint64_t, i);
      uint32_t count = 0;

      for (guint j = i; j < sim->store_loads->len
                        && g_array_index (sim->store_loads, uint64_t, j)
                               < begin + WINDOW_US;
           j++)
        count++;
      max_count = MAX (max_count, count);
    }
  return max_count;
}

static void
run_scenario (struct scenario *scenario, bool faulty)
{
  scenario->sim->faults
      = faulty ? (struct rsm_faults){ 10, 20 } : (struct rsm_faults){ 0, 0 };
  rsm_advance (scenario->sim, 1000);
  for (scenario->now_ms = 1; scenario->now_ms < SCENARIO_MS;
       scenario->now_ms += TICK_MS)
    {
      add_arrival (scenario);
      report_demand (scenario);
      if (faulty)
        inject_faults (scenario);
      rsm_advance (scenario->sim, TICK_MS);
    }
}

static uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);

  return text == NULL ? fallback : strtoull (text, NULL, 10);
}

static void
run_seeds (bool faulty, uint32_t store_slowdown)
{
  uint64_t first = env_number ("RES_SEED", 1);
  uint64_t seeds = env_number ("RES_SEEDS", 40);

  for (uint64_t seed = first; seed < first + seeds; seed++)
    {
      struct scenario scenario = { 0 };
      uint32_t window_loads;

      build (&scenario, seed);
      scenario.sim->store_slowdown = store_slowdown;
      run_scenario (&scenario, faulty);
      window_loads = max_window_loads (scenario.sim);
      if (scenario.sim->over_capacity > 0
          || window_loads > LOADS_PER_S * 5 * RATE_TOLERANCE + RATE_BURST_LOADS
          || (!faulty && store_slowdown == 1
              && scenario.max_wait_ms > WAIT_MAX_MS))
        {
          printf ("\nseed %" G_GUINT64_FORMAT ": %u over capacity, %u loads "
                  "in a window, longest wait %" G_GUINT64_FORMAT " ms\n",
                  seed, scenario.sim->over_capacity, window_loads,
                  scenario.max_wait_ms);
          CU_FAIL ("seed");
        }
      rsm_free (scenario.sim);
    }
}

/* Guards against models that are never loaded, and against a higher rate of
   loads from the weight store than it allows.  */
static void
test_no_faults (void)
{
  run_seeds (false, 1);
}

/* Guards against orders that exceed the capacity of an engine: by a leader
   that does not know the orders of its predecessor, by orders that are
   executed late, and by stale entries.  */
static void
test_faults (void)
{
  run_seeds (true, 1);
}

/* Guards against orders beyond the capacity of an engine whose load takes very
   long: when the weight store was slow, 4 loads took over 30 s each, and the
   engine got further orders.  */
static void
test_slow_store (void)
{
  run_seeds (false, 6);
  run_seeds (true, 6);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "no faults", test_no_faults },
                                            { "faults", test_faults },
                                            { "slow store", test_slow_store },
                                            { NULL, NULL } };

  return unit_main ("res", tests);
}
