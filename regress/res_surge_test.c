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

static const struct rsm_sizes sizes = { ENGINES, MODELS, COLD_FIRST };
static struct rsm *sim;

static void
add_demand (uint32_t model, uint32_t arrivals, uint32_t waiting)
{
  struct res_demand demand = { .name = rsm_model_name (model),
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

      if (flt_weights_find (&engine->resident, rsm_model_name (model)) != NULL)
        count++;
    }
  return count;
}

static void
test_surge (void)
{
  sim = rsm_new_large (&sizes);
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
