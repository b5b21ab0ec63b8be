#include "plc_private.h"

static void
plc_set_string (char **string, const char *new_string)
{
  if (g_strcmp0 (*string, new_string) == 0)
    return;
  g_free (*string);
  *string = g_strdup (new_string);
}

static void
plc_plan_model (struct plc *plc, const struct plc_model_spec *spec)
{
  struct plc_model *model = plc_model_get (plc, spec->name);

  model->planned = true;
  plc_set_string (&model->version, spec->version);
  plc_set_string (&model->pool, spec->pool);
  model->bytes = spec->bytes;
  model->adapter_bytes = spec->adapter_bytes;
  model->budget = spec->budget;
  model->batch = MAX (spec->batch, 1);
  model->keep_alive_min_ms = spec->keep_alive_min_ms;
  model->keep_alive_max_ms = spec->keep_alive_max_ms;
}

static void
plc_plan_engine (struct plc *plc, const struct plc_engine_spec *spec)
{
  struct plc_engine *engine = plc_engine_get (plc, spec->address);

  engine->planned = true;
  plc_set_string (&engine->pool, spec->pool);
  engine->memory_bytes = spec->memory_bytes;
  engine->checks_fencing = spec->checks_fencing;
}

/* Apply PLAN, which is copied.  Replicas of models and on engines that it no
   longer names are unloaded, and their pins are then removed.  */
void
plc_set_plan (struct plc *plc, const struct plc_plan *plan)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plc->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct plc_model *)value)->planned = false;
  for (guint i = 0; i < plc->engines_by_address->len; i++)
    {
      struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);

      engine->planned = false;
    }
  for (uint32_t i = 0; i < plan->model_count; i++)
    plc_plan_model (plc, &plan->models[i]);
  for (uint32_t i = 0; i < plan->engine_count; i++)
    plc_plan_engine (plc, &plan->engines[i]);
  plc->weight_fetches_max = MAX (plan->weight_fetches_max, 1);
  plc_schedule_run (plc);
}
