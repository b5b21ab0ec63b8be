#include <stdio.h>

#include "res_sim_impl.h"

/* The engines of the simulation: their resident models and how they execute
   orders.  */

#define RSM_ADAPTER_MS 10
#define RSM_UNLOAD_MS  20

static void
rsm_incoming_clear (gpointer data)
{
  struct rsm_incoming *incoming = data;

  g_free (incoming->model);
  g_free (incoming->adapter);
}

static uint32_t
rsm_adapters (const struct rsm_engine *engine)
{
  uint32_t count = engine->incoming->len;

  for (guint i = 0; i < engine->resident.models->len; i++)
    count
        += ((struct flt_model *)g_ptr_array_index (engine->resident.models, i))
               ->adapters->len;
  return count;
}

static uint32_t
rsm_used_mb (struct rsm *sim, const struct rsm_engine *engine)
{
  uint32_t used_mb = rsm_adapters (engine) * RSM_ADAPTER_MB;

  for (guint i = 0; i < engine->resident.models->len; i++)
    {
      const struct flt_model *model
          = g_ptr_array_index (engine->resident.models, i);

      used_mb += rte_model (sim->service, model->name)->weights_mb;
    }
  if (engine->busy && engine->kind == PRT_LOAD)
    used_mb += rte_model (sim->service, engine->model)->weights_mb;
  return used_mb;
}

/* Complete the loads and unloads of ENGINE that are due.  */
static void
rsm_complete_due (struct rsm *sim, struct rsm_engine *engine)
{
  for (guint i = engine->incoming->len; i-- > 0;)
    {
      struct rsm_incoming *incoming
          = &g_array_index (engine->incoming, struct rsm_incoming, i);
      struct flt_model *model;

      if (incoming->end_us > rsm_now (sim))
        continue;
      model = flt_weights_find (&engine->resident, incoming->model);
      if (model != NULL)
        g_ptr_array_add (model->adapters, g_strdup (incoming->adapter));
      g_array_remove_index (engine->incoming, i);
    }
  if (!engine->busy || engine->end_us > rsm_now (sim))
    return;
  engine->busy = false;
  if (engine->kind == PRT_UNLOAD)
    flt_weights_drop (&engine->resident, engine->model);
  else
    {
      flt_weights_add (&engine->resident, engine->model, 1);
      rsm_add_disk_copy (engine, engine->model);
      if (!flt_list_has (engine->resident.in_memory, engine->model))
        g_ptr_array_add (engine->resident.in_memory, g_strdup (engine->model));
    }
}

static void
rsm_crash (struct rsm *sim, struct rsm_engine *engine, const char *what)
{
  sim->over_capacity++;
  printf ("%" G_GUINT64_FORMAT " ms: %s lacks capacity for %s\n",
          rsm_now (sim) / RSM_US_PER_MS, engine->name, what);
  rsm_restart (sim, engine);
}

static enum prt_order_result
rsm_accept_model (struct rsm *sim, struct rsm_engine *engine,
                  const struct rsm_message *order)
{
  const struct rte_model *spec = rte_model (sim->service, order->model);
  uint64_t now_us = rsm_now (sim);
  uint32_t duration_ms = RSM_UNLOAD_MS;

  if ((flt_weights_find (&engine->resident, order->model) != NULL)
      == (order->kind == PRT_LOAD))
    return PRT_COMPLETED;
  if (order->kind == PRT_LOAD)
    {
      if (rsm_used_mb (sim, engine) + spec->weights_mb
          > sim->service->weights_mb)
        {
          rsm_crash (sim, engine, order->model);
          return PRT_NO_RESPONSE;
        }
      duration_ms = flt_list_has (engine->resident.in_memory, order->model)
                        ? RSM_MEMORY_MS
                    : flt_list_has (engine->resident.on_disk, order->model)
                        ? RSM_DISK_MS
                        : RSM_STORE_MS;
      sim->loads++;
      if (duration_ms == RSM_STORE_MS)
        g_array_append_val (sim->store_loads, now_us);
    }
  else
    sim->unloads++;
  engine->orders++;
  engine->busy = true;
  engine->kind = order->kind;
  g_free (engine->model);
  engine->model = g_strdup (order->model);
  if (duration_ms == RSM_STORE_MS)
    duration_ms *= sim->store_slowdown;
  engine->end_us = now_us + duration_ms * RSM_US_PER_MS;
  return PRT_ACCEPTED;
}

static enum prt_order_result
rsm_accept_adapter (struct rsm *sim, struct rsm_engine *engine,
                    const struct rsm_message *order)
{
  struct flt_model *model = flt_weights_find (&engine->resident, order->model);
  struct rsm_incoming incoming
      = { g_strdup (order->model), g_strdup (order->adapter),
          rsm_now (sim) + RSM_ADAPTER_MS * RSM_US_PER_MS };

  if (model != NULL && order->kind == PRT_LOAD
      && !flt_model_has (model, order->adapter))
    {
      if (rsm_adapters (engine) >= sim->service->adapter_slots)
        {
          rsm_crash (sim, engine, order->adapter);
          return PRT_NO_RESPONSE;
        }
      engine->orders++;
      g_array_append_val (engine->incoming, incoming);
      return PRT_ACCEPTED;
    }
  g_free (incoming.model);
  g_free (incoming.adapter);
  if (model == NULL)
    return PRT_REFUSED;
  if (order->kind == PRT_LOAD)
    return PRT_COMPLETED;
  for (guint i = 0; i < model->adapters->len; i++)
    if (g_str_equal (g_ptr_array_index (model->adapters, i), order->adapter))
      {
        g_ptr_array_remove_index (model->adapters, i);
        break;
      }
  engine->orders++;
  return PRT_COMPLETED;
}

/* Execute ORDER at ENGINE and return the result that ENGINE replies.  */
enum prt_order_result
rsm_accept (struct rsm *sim, struct rsm_engine *engine,
            const struct rsm_message *order)
{
  rsm_complete_due (sim, engine);
  if (engine->started_ms != order->started_ms)
    return PRT_REFUSED;
  if (engine->busy || engine->orders != order->orders)
    return PRT_BUSY;
  return order->adapter == NULL ? rsm_accept_model (sim, engine, order)
                                : rsm_accept_adapter (sim, engine, order);
}

static void
rsm_copy_names (GPtrArray *to, const GPtrArray *from)
{
  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (to, g_strdup (g_ptr_array_index (from, i)));
}

/* Store the state of ENGINE in WEIGHTS, which must be initialized.  */
void
rsm_fill_report (struct rsm *sim, struct rsm_engine *engine,
                 struct flt_weights *weights)
{
  rsm_complete_due (sim, engine);
  flt_weights_copy_models (weights, &engine->resident);
  rsm_copy_names (weights->in_memory, engine->resident.in_memory);
  rsm_copy_names (weights->on_disk, engine->resident.on_disk);
  for (guint i = 0; i < engine->incoming->len; i++)
    {
      const struct rsm_incoming *incoming
          = &g_array_index (engine->incoming, struct rsm_incoming, i);

      g_ptr_array_add (
          weights->incoming,
          g_strconcat (incoming->model, "/", incoming->adapter, NULL));
    }
  weights->orders = engine->orders;
  weights->busy = engine->busy;
}

/* Free the struct rsm_engine at DATA.  */
void
rsm_engine_free (gpointer data)
{
  struct rsm_engine *engine = data;

  g_array_free (engine->incoming, TRUE);
  flt_weights_clear (&engine->resident);
  g_free (engine->name);
  g_free (engine->zone);
  g_free (engine->model);
  g_free (engine);
}

/* Add an empty engine.  */
struct rsm_engine *
rsm_add_engine (struct rsm *sim, const char *name, const char *zone)
{
  struct rsm_engine *engine = g_new0 (struct rsm_engine, 1);

  engine->name = g_strdup (name);
  engine->zone = g_strdup (zone);
  engine->started_ms = 1;
  engine->incoming = g_array_new (FALSE, FALSE, sizeof (struct rsm_incoming));
  g_array_set_clear_func (engine->incoming, rsm_incoming_clear);
  flt_weights_init (&engine->resident);
  g_ptr_array_add (sim->engines, engine);
  return engine;
}

/* Return the engine called NAME, or NULL.  */
struct rsm_engine *
rsm_find_engine (struct rsm *sim, const char *name)
{
  for (guint i = 0; i < sim->engines->len; i++)
    {
      struct rsm_engine *engine = g_ptr_array_index (sim->engines, i);

      if (g_str_equal (engine->name, name))
        return engine;
    }
  return NULL;
}

/* Put MODEL into the memory and onto the disk of ENGINE without a load.  */
void
rsm_set_loaded (struct rsm_engine *engine, const char *model)
{
  flt_weights_add (&engine->resident, model, 1);
  rsm_add_disk_copy (engine, model);
}

/* Put a copy of MODEL onto the disk of ENGINE.  */
void
rsm_add_disk_copy (struct rsm_engine *engine, const char *model)
{
  if (!flt_list_has (engine->resident.on_disk, model))
    g_ptr_array_add (engine->resident.on_disk, g_strdup (model));
}

/* Restart ENGINE, which loses everything but the copies on its disk.  */
void
rsm_restart (struct rsm *sim, struct rsm_engine *engine)
{
  engine->started_ms = rsm_now (sim) / RSM_US_PER_MS + 2;
  engine->orders = 0;
  engine->busy = false;
  flt_weights_drop_models (&engine->resident);
  g_ptr_array_set_size (engine->resident.in_memory, 0);
  g_array_set_size (engine->incoming, 0);
  rsm_announce (sim, engine);
}

/* Return whether an engine can run requests for MODEL with ADAPTER, which may
   be NULL.  */
bool
rsm_is_available (struct rsm *sim, const char *model, const char *adapter)
{
  for (guint i = 0; i < sim->engines->len; i++)
    {
      struct rsm_engine *engine = g_ptr_array_index (sim->engines, i);
      const struct flt_model *resident;

      rsm_complete_due (sim, engine);
      resident = flt_weights_find (&engine->resident, model);
      if (resident != NULL
          && (adapter == NULL || flt_model_has (resident, adapter)))
        return true;
    }
  return false;
}
