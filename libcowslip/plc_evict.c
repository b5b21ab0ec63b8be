#include "plc_private.h"

/* Instances report usage once a second; a model that two consecutive reports
   omit is not in use.  */
#define PLC_MODEL_UNUSED_MS 2000

/* Return whether SLOT may be evicted for a replica of FOR_MODEL.  A model in
   use is evicted only for one with higher usage: when demand exceeds the
   memory, models that evict each other spend their time loading.  */
static bool
plc_is_evictable (const struct plc *plc, const struct plc_slot *slot,
                  const struct plc_model *for_model)
{
  const struct plc_model *model = slot->model;
  uint64_t unused_us = plc_now (plc) - model->last_used_us;

  return slot->state == PLC_LOADED && model->waiting == 0
         && unused_us >= model->keep_alive_min_ms * PLC_US_PER_MS
         && (unused_us >= PLC_MODEL_UNUSED_MS * PLC_US_PER_MS
             || plc_model_usage (plc, model)
                    < plc_model_usage (plc, for_model));
}

static gint
plc_compare_last_used (gconstpointer a, gconstpointer b)
{
  const struct plc_slot *const *x = a;
  const struct plc_slot *const *y = b;
  uint64_t p = (*x)->model->last_used_us;
  uint64_t q = (*y)->model->last_used_us;

  return (p > q) - (p < q);
}

/* Quiesce the least recently used replicas of ENGINE to free NEEDED_BYTES for
   a replica of FOR_MODEL.  Return false and quiesce none if all evictable
   replicas together do not free that much.  */
static bool
plc_evict (struct plc *plc, struct plc_engine *engine, uint64_t needed_bytes,
           const struct plc_model *for_model)
{
  GPtrArray *victims = g_ptr_array_new ();
  uint64_t freed = 0;
  bool enough;

  for (guint i = 0; i < engine->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (plc_is_evictable (plc, slot, for_model))
        g_ptr_array_add (victims, slot);
    }
  g_ptr_array_sort (victims, plc_compare_last_used);
  for (guint i = 0; i < victims->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (victims, i);

      if (freed >= needed_bytes)
        g_ptr_array_set_size (victims, (gint)i);
      else
        freed += slot->bytes;
    }
  enough = freed >= needed_bytes;
  for (guint i = 0; enough && i < victims->len; i++)
    plc_quiesce_begin (plc, g_ptr_array_index (victims, i), PLC_QUIESCE_EVICT);
  g_ptr_array_unref (victims);
  return enough;
}

/* Choose as the target of SLOT, which is cold, an engine that has enough free
   memory now.  */
static void
plc_choose_target (struct plc *plc, struct plc_slot *slot)
{
  if (plc->saving)
    return;
  for (guint i = 0; i < plc->engines_by_address->len; i++)
    {
      struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);

      if (engine->sealed && plc_engine_is_usable (engine)
          && g_str_equal (engine->pool, slot->model->pool)
          && plc_engine_find_slot (engine, slot->model->name) == NULL
          && plc_engine_used_bytes (engine) + plc_replica_bytes (slot->model)
                 <= plc_engine_memory_bytes (engine))
        {
          slot->target = engine;
          return;
        }
    }
}

/* Return whether the engine of SLOT has enough free memory for it; if not,
   begin to evict other replicas or choose another engine.  */
bool
plc_ensure_memory (struct plc *plc, struct plc_slot *slot)
{
  struct plc_engine *engine = slot->engine;
  uint64_t size = plc_engine_memory_bytes (engine);
  uint64_t total
      = plc_engine_used_bytes (engine) + plc_replica_bytes (slot->model);
  uint64_t releasing = 0;

  if (total <= size)
    return true;
  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *other = g_ptr_array_index (engine->slots, i);

      if (other->state == PLC_QUIESCING || other->state == PLC_UNLOADING)
        releasing += other->bytes;
    }
  if (total > size + releasing
      && !plc_evict (plc, engine, total - size - releasing, slot->model))
    plc_choose_target (plc, slot);
  return false;
}
