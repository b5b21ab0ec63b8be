#include "res_sim.h"
#include "unit.h"

/* The leader's decisions about an engine that wants no requests for some
   time.  */

#define SLOTS      8
#define WEIGHTS_MB 150000
#define MODEL_MB   72700
#define STEP_MS    100
#define SHORT_MS   1500
/* A load from the weight store takes 6 s.  */
#define LOADED_MS 9000
#define LONG_MS   60000
#define MS_PER_S  1000.0

static struct rsm *sim;
static struct rsm_engine *first;
static struct rsm_engine *second;

/* Build two engines.  The first one holds m0 and has m2 on its disk, the
   second one holds m1.  */
static void
build (void)
{
  static const char *const models[] = { "m0", "m1", "m2" };

  sim = rsm_new (1, WEIGHTS_MB, SLOTS);
  for (size_t i = 0; i < G_N_ELEMENTS (models); i++)
    rsm_add_model (sim, models[i], MODEL_MB, 0);
  first = rsm_add_engine (sim, "e1", "z1");
  second = rsm_add_engine (sim, "e2", "z1");
  rsm_set_loaded (first, "m0");
  rsm_add_disk_copy (first, "m2");
  rsm_set_loaded (second, "m1");
  rsm_announce (sim, first);
  rsm_announce (sim, second);
  sim->may_order = false;
  rsm_advance (sim, 1000);
  sim->may_order = true;
}

/* Let the first engine pause for PAUSE_MS, and advance by DURATION_MS while a
   request for MODEL waits.  */
static void
pause_first (uint32_t pause_ms, const char *model, uint32_t duration_ms)
{
  (void)flt_pause (sim->fleet, "e1", first->started_ms, pause_ms / MS_PER_S);
  for (uint32_t ms = 0; ms < duration_ms; ms += STEP_MS)
    {
      struct res_demand demand = { .name = model, .waiting = 1 };

      res_demand_begin (sim->res, "i1");
      res_demand_add (sim->res, "i1", &demand);
      rsm_advance (sim, STEP_MS);
    }
}

/* Guards against requests that wait in vain for a model on an engine which
   wants no requests for long, and against orders to that engine.  */
static void
test_long (void)
{
  uint64_t orders;

  build ();
  orders = first->orders;
  pause_first (LONG_MS, "m0", LOADED_MS);
  CU_ASSERT_PTR_NOT_NULL (flt_weights_find (&second->resident, "m0"));
  CU_ASSERT_EQUAL (first->orders, orders);
  rsm_free (sim);
}

/* Guards against loading a model again because the engine that holds it wants
   no requests for a moment.  */
static void
test_short (void)
{
  build ();
  pause_first (SHORT_MS, "m0", LOADED_MS);
  CU_ASSERT_PTR_NULL (flt_weights_find (&second->resident, "m0"));
  CU_ASSERT_EQUAL (sim->store_loads->len, 0);
  rsm_free (sim);
}

/* Guards against orders within a short pause, and against a load from the
   weight store where the pause and a load from the engine's disk are
   shorter.  */
static void
test_copy (void)
{
  uint64_t orders;

  build ();
  orders = first->orders;
  pause_first (SHORT_MS, "m2", SHORT_MS - STEP_MS);
  CU_ASSERT_EQUAL (first->orders, orders);
  pause_first (0, "m2", LOADED_MS);
  CU_ASSERT_PTR_NOT_NULL (flt_weights_find (&first->resident, "m2"));
  CU_ASSERT_EQUAL (sim->store_loads->len, 0);
  rsm_free (sim);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "long pause", test_long },
                                            { "short pause", test_short },
                                            { "copy on disk", test_copy },
                                            { NULL, NULL } };

  return unit_main ("res_pause", tests);
}
