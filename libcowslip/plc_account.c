#include "plc_private.h"

/* Return whether SLOT counts as a replica and as used memory.  A slot on an
   engine that is not sealed may hold a replica, whatever was last seen.  */
bool
plc_slot_counts (const struct plc_slot *slot)
{
  const struct plc_engine *engine = slot->engine;

  return slot->state != PLC_COLD || (!engine->sealed && !engine->departed);
}

/* Return whether ENGINE is in the document and stays.  The instance list lags,
   so an engine that answers is not gone.  */
bool
plc_engine_is_usable (const struct plc_engine *engine)
{
  return engine->planned && !engine->leaving && !engine->says_leaving
         && (!engine->gone || engine->sealed);
}

/* Return whether SLOT has to be emptied and moved or removed.  */
bool
plc_slot_misplaced (const struct plc_slot *slot)
{
  return !slot->pinned || !slot->model->planned
         || slot->number >= slot->model->budget
         || !plc_engine_is_usable (slot->engine)
         || !g_str_equal (slot->engine->pool, slot->model->pool);
}

/* Return the memory that a replica of MODEL needs, in bytes.  */
uint64_t
plc_model_need (const struct plc_model *model)
{
  return model->bytes + model->adapter_bytes;
}

/* Return the memory of ENGINE in bytes.  */
uint64_t
plc_engine_size (const struct plc_engine *engine)
{
  if (engine->reported_memory_bytes == 0)
    return engine->memory_bytes;
  return MIN (engine->memory_bytes, engine->reported_memory_bytes);
}

/* Return the memory of ENGINE that is used or may be, in bytes.  */
uint64_t
plc_engine_used (const struct plc_engine *engine)
{
  uint64_t used = 0;

  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (plc_slot_counts (slot))
        used += MAX (slot->bytes, plc_model_need (slot->model));
    }
  return used;
}

/* Return how many replicas of MODEL there are or may be in the zone.  */
uint32_t
plc_model_replicas (const struct plc *plc, const struct plc_model *model)
{
  uint32_t replicas = 0;

  for (guint i = 0; i < model->slots->len; i++)
    if (plc_slot_counts (g_ptr_array_index (model->slots, i)))
      replicas++;
  for (guint i = 0; !plc->certain && i < plc->sorted->len; i++)
    {
      const struct plc_engine *engine = g_ptr_array_index (plc->sorted, i);

      if (!engine->sealed && !engine->departed
          && g_str_equal (engine->pool, model->pool)
          && plc_slot_on (engine, model->name) == NULL)
        replicas++;
    }
  return replicas;
}

/* Return how many weight store fetches are or may be under way.  */
uint32_t
plc_store_in_use (const struct plc *plc)
{
  uint32_t fetches = 0;

  for (guint i = 0; i < plc->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      if (slot->tier == PLC_REMOTE && slot->since_us != 0
          && (slot->state == PLC_LOADING || slot->state == PLC_DOUBTFUL))
        fetches++;
    }
  return fetches;
}
