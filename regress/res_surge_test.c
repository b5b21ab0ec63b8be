#include "res_sim.h"
#include "unit.h"

/* Demand moves to a model that one engine holds, in a fleet whose engines are
   mostly idle while requests wait for other models all the time.  From the
   logs of scale-1 of pokpok-return-large: 396 generations a second, of which
   one model got 19 a second within 2 s of a shift, with a median of 0.5 a
   second at each engine; 14% had their first event late and 12% a long pause,
   two thirds of them at a tenth of the engines.  */

#define ENGINES    60
#define MODELS     320
#define COPIES     20
#define LOADED     3
#define SLOTS      8
#define WEIGHTS_MB 230000
#define MODEL_MB   72700
#define REPORT_MS  500
#define BUSY_MODEL 0
/* Models from this one on have no copy outside the weight store, and requests
   wait for them all the time.  */
#define COLD_FIRST 300
/* Requests for the busy model in one report.  */
#define BUSY_ARRIVALS 10
/* A replica serves 2.5 requests a second without long pauses, so all engines
   with a copy on disk must load the model.  Demand moves again after 5 s.  */
#define BUSY_REPLICAS_MIN 4
#define REPLICATED_MAX_MS 4000

static struct rsm *sim;

static const char *
model_name (uint32_t model)
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
    rsm_add_model (sim, model_name (i), MODEL_MB, 0);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      char name[16];
      struct rsm_engine *engine;

      g_snprintf (name, sizeof name, "e%u", i);
      engine = rsm_add_engine (sim, name, "z1");
      for (uint32_t j = 0; j < LOADED; j++)
        rsm_set_loaded (engine, model_name (i * LOADED + j));
      for (uint32_t j = 0; j < COPIES; j++)
        rsm_add_disk_copy (engine, model_name ((i * COPIES + j) % COLD_FIRST));
      rsm_announce (sim, engine);
    }
  rsm_advance (sim, 1000);
}

static void
add_demand (uint32_t model, uint32_t arrivals, uint32_t waiting)
{
  struct res_demand demand = { .name = model_name (model),
                               .arrivals = arrivals,
                               .waiting = waiting };

  res_demand_add (sim->res, "i1", &demand);
}

static uint32_t
replicas (uint32_t model)
{
  uint32_t count = 0;

  for (guint i = 0; i < sim->engines->len; i++)
    {
      const struct rsm_engine *engine = g_ptr_array_index (sim->engines, i);

      if (flt_weights_find (&engine->resident, model_name (model)) != NULL)
        count++;
    }
  return count;
}

static void
test_surge (void)
{
  build ();
  for (uint32_t ms = 0; ms < REPLICATED_MAX_MS; ms += REPORT_MS)
    {
      res_demand_begin (sim->res, "i1");
      add_demand (BUSY_MODEL, BUSY_ARRIVALS, 0);
      for (uint32_t i = COLD_FIRST; i < MODELS; i++)
        add_demand (i, 0, 1);
      rsm_advance (sim, REPORT_MS);
    }
  CU_ASSERT_TRUE (replicas (BUSY_MODEL) >= BUSY_REPLICAS_MIN);
  rsm_free (sim);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "replicas follow a surge", test_surge }, { NULL, NULL } };

  return unit_main ("res_surge", tests);
}
