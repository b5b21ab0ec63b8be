#include <stdlib.h>
#include <time.h>

#include "res_sim.h"
#include "unit.h"

/* The leader of an installation of 60 engines and 320 models.  */

#define ENGINES    60
#define MODELS     320
#define COPIES     20
#define HELD       3
#define COLD       40
#define SLOTS      8
#define WEIGHTS_MB 230000
#define MODEL_MB   72700
#define STEPS      100
#define STEP_MS    50
#define ROUNDS     3
/* Control may take 2.5% of a core (the target of the letter); a step is due
   every 50 ms.  */
#define STEP_MAX_US 1250
/* The sanitizers slow the program down by about this much.  */
#ifdef __SANITIZE_ADDRESS__
#define SLOWDOWN 8
#else
#define SLOWDOWN 1
#endif

static struct rsm *sim;

static const char *
name_of (uint32_t model)
{
  static char name[16];

  g_snprintf (name, sizeof name, "m%u", model);
  return name;
}

static void
build (void)
{
  sim = rsm_new (1, WEIGHTS_MB, SLOTS);
  for (uint32_t i = 0; i < MODELS; i++)
    rsm_add_model (sim, name_of (i), MODEL_MB, 0);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      char name[16];
      struct rsm_engine *engine;

      g_snprintf (name, sizeof name, "e%u", i);
      engine = rsm_add_engine (sim, name, "z1");
      for (uint32_t j = 0; j < HELD; j++)
        rsm_hold (engine, name_of (i * HELD + j));
      for (uint32_t j = 0; j < COPIES; j++)
        rsm_copy (engine, name_of ((i * COPIES + j) % MODELS));
      rsm_announce (sim, engine);
    }
  rsm_advance (sim, 1000);
}

static void
demand (uint32_t first, uint32_t count, uint32_t arrivals, uint32_t waiting)
{
  for (uint32_t i = first; i < first + count; i++)
    {
      struct res_demand wish
          = { .name = name_of (i), .arrivals = arrivals, .waiting = waiting };

      res_demand_add (sim->res, "i1", &wish);
    }
}

/* Return the processor time of a step in microseconds, mean of STEPS.  */
static uint64_t
cost_us (void)
{
  clock_t spent = 0;

  build ();
  for (uint32_t i = 0; i < STEPS; i++)
    {
      clock_t start;

      res_demand_begin (sim->res, "i1");
      demand (0, ENGINES * HELD, 1, 0);
      demand (ENGINES * HELD + i, COLD, 1, 1);
      start = clock ();
      res_step (sim->res);
      spent += clock () - start;
      rsm_advance (sim, STEP_MS);
    }
  rsm_free (sim);
  return (uint64_t)spent / (CLOCKS_PER_SEC / 1000000) / STEPS;
}

/* Guards against a leader on an instance of 0.1 cores that spends all of its
   time on comparing engines and models, so that a swap takes 5 s instead of 1
   (worth 0.375 on quiet-1 of the grown site).  The least of three rounds
   counts, because other programs take the processor's caches.  */
static void
test_step_cost (void)
{
  uint64_t least_us = UINT64_MAX;

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      uint64_t us = cost_us ();

      least_us = MIN (least_us, us);
    }
  if (getenv ("RES_COST") != NULL)
    printf (" %" G_GUINT64_FORMAT " us a step ", least_us);
  CU_ASSERT_TRUE (least_us <= STEP_MAX_US * SLOWDOWN);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "cost of a step", test_step_cost }, { NULL, NULL } };

  return unit_main ("res_large", tests);
}
