#include "res_sim.h"

/* Fleets with many engines and models.  */

#define RSM_LARGE_COPIES     20
#define RSM_LARGE_SLOTS      8
#define RSM_LARGE_WEIGHTS_MB 230000
#define RSM_LARGE_MODEL_MB   72700

/* Return the name of a model of a large fleet, valid until the next call.  */
const char *
rsm_model_name (uint32_t model)
{
  static char name[16];

  g_snprintf (name, sizeof name, "m%u", model);
  return name;
}

/* Return a fleet with SIZES whose engines have reported.  Engine I holds the
   models from 3 I on and has copies of 20 on its disk.  */
struct rsm *
rsm_new_large (const struct rsm_sizes *sizes)
{
  struct rsm *sim = rsm_new (1, RSM_LARGE_WEIGHTS_MB, RSM_LARGE_SLOTS);

  for (uint32_t i = 0; i < sizes->models; i++)
    rsm_add_model (sim, rsm_model_name (i), RSM_LARGE_MODEL_MB, 0);
  for (uint32_t i = 0; i < sizes->engines; i++)
    {
      char name[16];
      struct rsm_engine *engine;

      g_snprintf (name, sizeof name, "e%u", i);
      engine = rsm_add_engine (sim, name, "z1");
      for (uint32_t j = 0; j < RSM_LARGE_LOADED; j++)
        rsm_set_loaded (engine, rsm_model_name (i * RSM_LARGE_LOADED + j));
      for (uint32_t j = 0; j < RSM_LARGE_COPIES; j++)
        rsm_add_disk_copy (engine, rsm_model_name ((i * RSM_LARGE_COPIES + j)
                                                   % sizes->copied));
      rsm_announce (sim, engine);
    }
  rsm_advance (sim, 1000);
  return sim;
}
