#include "plc_private.h"

/* Return whether SLOT counts as a replica and as used memory.  A slot on an
   engine that is not sealed may hold a replica, regardless of its last known
   state.  */
bool
plc_slot_is_occupied (const struct plc_slot *slot)
{
  const struct plc_engine *engine = slot->engine;

  return slot->state != PLC_COLD || (!engine->sealed && !engine->terminated);
}

/* Return whether ENGINE is in the environment document and is not leaving or
   terminated.  The instance list can be out of date, so an unlisted engine
   that is sealed is usable.  */
bool
plc_engine_is_usable (const struct plc_engine *engine)
{
  return engine->planned && !engine->leaving && !engine->reports_leaving
         && (!engine->unlisted || engine->sealed);
}

/* Return whether SLOT has to be unloaded and then moved or removed.  */
bool
plc_slot_is_misplaced (const struct plc_slot *slot)
{
  return !slot->pinned || !slot->model->planned
         || slot->number >= slot->model->budget
         || !plc_engine_is_usable (slot->engine)
         || !g_str_equal (slot->engine->pool, slot->model->pool);
}

/* Return the memory that a replica of MODEL needs, in bytes.  */
uint64_t
plc_replica_bytes (const struct plc_model *model)
{
  return model->bytes + model->adapter_bytes;
}

/* Return the memory of ENGINE in bytes.  */
uint64_t
plc_engine_memory_bytes (const struct plc_engine *engine)
{
  if (engine->reported_memory_bytes == 0)
    return engine->memory_bytes;
  return MIN (engine->memory_bytes, engine->reported_memory_bytes);
}

/* Return the memory of ENGINE that is or may be in use, in bytes.  */
uint64_t
plc_engine_used_bytes (const struct plc_engine *engine)
{
  uint64_t used = 0;

  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (plc_slot_is_occupied (slot))
        used += MAX (slot->bytes, plc_replica_bytes (slot->model));
    }
  return used;
}

/* Return how many replicas of MODEL exist or may exist in the zone.  */
uint32_t
plc_model_replicas (const struct plc *plc, const struct plc_model *model)
{
  uint32_t replicas = 0;

  for (guint i = 0; i < model->slots->len; i++)
    if (plc_slot_is_occupied (g_ptr_array_index (model->slots, i)))
      replicas++;
  for (guint i = 0; !plc->pins_current && i < plc->engines_by_address->len;
       i++)
    {
      const struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);

      if (!engine->sealed && !engine->terminated
          && g_str_equal (engine->pool, model->pool)
          && plc_engine_find_slot (engine, model->name) == NULL)
        replicas++;
    }
  return replicas;
}

/* Return how many weight store fetches are or may be in flight.  */
uint32_t
plc_store_in_use (const struct plc *plc)
{
  uint32_t fetches = 0;

  for (guint i = 0; i < plc->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      if (slot->tier == PLC_REMOTE && slot->load_started_us != 0
          && (slot->state == PLC_LOADING || slot->state == PLC_DOUBTFUL))
        fetches++;
    }
  return fetches;
}
