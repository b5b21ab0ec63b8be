#include "plc_private.h"

/* Use is reported once a second; a model that was missing in two reports is
   not in use.  */
#define PLC_UNUSED_MS 2000

/* Return whether SLOT may be emptied for a replica of FOR_MODEL.  A model in
   use gives way only to one that is used more: while demand exceeds the
   memory, models that displace each other are loading instead of serving.  */
static bool
plc_is_evictable (const struct plc *plc, const struct plc_slot *slot,
                  const struct plc_model *for_model)
{
  const struct plc_model *model = slot->model;
  uint64_t unused_us = plc_now (plc) - model->last_used_us;

  return slot->state == PLC_LOADED && model->waiting == 0
         && unused_us >= model->keep_alive_min_ms * PLC_US_PER_MS
         && (unused_us >= PLC_UNUSED_MS * PLC_US_PER_MS
             || plc_model_use (plc, model) < plc_model_use (plc, for_model));
}

static gint
plc_compare_use (gconstpointer a, gconstpointer b)
{
  const struct plc_slot *const *x = a;
  const struct plc_slot *const *y = b;
  uint64_t p = (*x)->model->last_used_us;
  uint64_t q = (*y)->model->last_used_us;

  return (p > q) - (p < q);
}

/* Empty the replicas of ENGINE that were not used for longest until NEED bytes
   more will be free for a replica of FOR_MODEL.  Return false and empty none
   if that is not enough.  */
static bool
plc_evict (struct plc *plc, struct plc_engine *engine, uint64_t need,
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
  g_ptr_array_sort (victims, plc_compare_use);
  for (guint i = 0; i < victims->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (victims, i);

      if (freed >= need)
        g_ptr_array_set_size (victims, (gint)i);
      else
        freed += slot->bytes;
    }
  enough = freed >= need;
  for (guint i = 0; enough && i < victims->len; i++)
    plc_quiesce_begin (plc, g_ptr_array_index (victims, i), PLC_NEEDED);
  g_ptr_array_unref (victims);
  return enough;
}

/* Let SLOT, which is empty, move to an engine that has room for it now.  */
static void
plc_seek_room (struct plc *plc, struct plc_slot *slot)
{
  if (plc->saving)
    return;
  for (guint i = 0; i < plc->sorted->len; i++)
    {
      struct plc_engine *engine = g_ptr_array_index (plc->sorted, i);

      if (engine->sealed && plc_engine_is_usable (engine)
          && g_str_equal (engine->pool, slot->model->pool)
          && plc_slot_on (engine, slot->model->name) == NULL
          && plc_engine_used (engine) + plc_model_need (slot->model)
                 <= plc_engine_size (engine))
        {
          slot->target = engine;
          return;
        }
    }
}

/* Return whether the engine of SLOT has room for it now; if not, begin to make
   room.  */
bool
plc_make_room (struct plc *plc, struct plc_slot *slot)
{
  struct plc_engine *engine = slot->engine;
  uint64_t size = plc_engine_size (engine);
  uint64_t total = plc_engine_used (engine) + plc_model_need (slot->model);
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
    plc_seek_room (plc, slot);
  return false;
}
