#include "plc_private.h"

#define PLC_DISCOVERY_MAX_MS 2000
#define PLC_SAVE_RETRY_MS    1000

/* Return whether all planned engines have been sealed since this instance
   gained control, or the time allowed for that has passed.  Before that, new
   pins could be assigned to unreachable engines.  */
bool
plc_discovery_complete (const struct plc *plc)
{
  if (plc_now (plc) >= plc->started_us + PLC_DISCOVERY_MAX_MS * PLC_US_PER_MS)
    return true;
  for (guint i = 0; i < plc->engines_by_address->len; i++)
    {
      const struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);

      if (engine->planned && !engine->sealed)
        return false;
    }
  return true;
}

static uint64_t
plc_pinned_bytes (const struct plc *plc, const struct plc_engine *engine,
                  const GPtrArray *new_pins)
{
  uint64_t bytes = 0;

  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      bytes += plc_replica_bytes (slot->model);
    }
  for (guint i = 0; new_pins != NULL && i < new_pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (new_pins, i);
      const struct plc_model *model
          = g_hash_table_lookup (plc->models, pin->model);

      if (g_str_equal (pin->endpoint, engine->address))
        bytes += plc_replica_bytes (model);
    }
  return bytes;
}

static bool
plc_has_pin (const struct plc_engine *engine, const struct plc_model *model,
             const GPtrArray *new_pins)
{
  for (guint i = 0; i < new_pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (new_pins, i);

      if (g_str_equal (pin->model, model->name)
          && g_str_equal (pin->endpoint, engine->address))
        return true;
    }
  return plc_engine_find_slot (engine, model->name) != NULL;
}

/* Return the engine for a new pin of MODEL, or NULL: among those without a
   slot of MODEL, the one with the least pinned memory, preferably sealed.
   NEW_PINS are those already chosen for this table.  */
static struct plc_engine *
plc_choose_engine (const struct plc *plc, const struct plc_model *model,
                   const GPtrArray *new_pins)
{
  struct plc_engine *best = NULL;
  uint64_t best_bytes = 0;

  for (guint i = 0; i < plc->engines_by_address->len; i++)
    {
      struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);
      uint64_t bytes;

      if (!plc_engine_is_usable (engine)
          || !g_str_equal (engine->pool, model->pool)
          || plc_engine_memory_bytes (engine) < plc_replica_bytes (model)
          || plc_has_pin (engine, model, new_pins))
        continue;
      bytes = plc_pinned_bytes (plc, engine, new_pins);
      if (best == NULL || (engine->sealed && !best->sealed)
          || (engine->sealed == best->sealed && bytes < best_bytes))
        {
          best = engine;
          best_bytes = bytes;
        }
    }
  return best;
}

static struct plc_slot *
plc_model_find_slot (const struct plc_model *model, uint32_t number)
{
  for (guint i = 0; i < model->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (model->slots, i);

      if (slot->pinned && slot->number == number)
        return slot;
    }
  return NULL;
}

/* Add the pin of SLOT to PINS and, if it moves, to ADDED.  Return whether the
   pin is moved or dropped.  */
static bool
plc_update_pin (struct plc *plc, struct plc_slot *slot, GPtrArray *pins,
                GPtrArray *added)
{
  const struct plc_model *model = slot->model;
  bool vacant = !plc_slot_is_occupied (slot);

  if (vacant && (!model->planned || slot->number >= model->budget))
    return true;
  if (vacant && plc_slot_is_misplaced (slot))
    slot->target = plc_choose_engine (plc, model, added);
  else if (!vacant
           || (slot->target != NULL
               && plc_has_pin (slot->target, model, added)))
    slot->target = NULL;
  if (slot->target == NULL)
    {
      plc_pins_add (pins, model->name, slot->number, slot->engine->address);
      return false;
    }
  plc_pins_add (pins, model->name, slot->number, slot->target->address);
  plc_pins_add (added, model->name, slot->number, slot->target->address);
  return true;
}

static bool
plc_add_missing_pins (struct plc *plc, GPtrArray *pins, GPtrArray *added)
{
  GHashTableIter iter;
  gpointer value;
  bool changed = false;

  g_hash_table_iter_init (&iter, plc->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct plc_model *model = value;

      for (uint32_t i = 0; model->planned && i < model->budget; i++)
        {
          const struct plc_engine *engine;

          if (plc_model_find_slot (model, i) != NULL)
            continue;
          engine = plc_choose_engine (plc, model, added);
          if (engine == NULL)
            break;
          plc_pins_add (pins, model->name, i, engine->address);
          plc_pins_add (added, model->name, i, engine->address);
          changed = true;
        }
    }
  return changed;
}

/* Store a new table of pins if slots have to be added, removed or moved.  */
void
plc_run_pins (struct plc *plc)
{
  GPtrArray *pins;
  GPtrArray *added;
  bool changed = false;

  if (plc->saving || plc_now (plc) < plc->next_save_us
      || !plc_discovery_complete (plc))
    return;
  pins = plc_pins_new ();
  added = plc_pins_new ();
  for (guint i = 0; i < plc->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      if (slot->pinned && plc_update_pin (plc, slot, pins, added))
        changed = true;
    }
  if (plc_add_missing_pins (plc, pins, added))
    changed = true;
  g_ptr_array_unref (added);
  if (!changed)
    {
      g_ptr_array_unref (pins);
      return;
    }
  plc->saving = true;
  plc->saving_pins = pins;
  plc->callbacks.save (plc->arg, pins);
}

static void
plc_apply_pin (struct plc *plc, const struct plc_pin *pin)
{
  struct plc_model *model = plc_model_get (plc, pin->model);
  struct plc_engine *engine = plc_engine_get (plc, pin->endpoint);
  struct plc_slot *slot = plc_model_find_slot (model, pin->slot);
  struct plc_slot *existing = plc_engine_find_slot (engine, pin->model);

  if (slot != NULL && slot->engine == engine)
    return;
  if (existing != NULL && !existing->pinned)
    {
      if (slot != NULL)
        plc_slot_remove (plc, slot);
      existing->pinned = true;
      existing->number = pin->slot;
    }
  else if (slot != NULL)
    plc_slot_attach (slot, engine);
  else
    (void)plc_slot_new (plc, model, pin->slot, engine, true);
}

static bool
plc_pins_contain (const GPtrArray *pins, const struct plc_slot *slot)
{
  for (guint i = 0; i < pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (pins, i);

      if (pin->slot == slot->number
          && g_str_equal (pin->model, slot->model->name))
        return true;
    }
  return false;
}

/* Handle the result of the save callback: apply the pins if SAVED, else retry
   later.  */
void
plc_save_done (struct plc *plc, bool saved)
{
  GPtrArray *pins = plc->saving_pins;

  if (pins == NULL)
    return;
  plc->saving_pins = NULL;
  plc->saving = false;
  if (saved)
    {
      for (guint i = plc->slots->len; i > 0; i--)
        {
          struct plc_slot *slot = g_ptr_array_index (plc->slots, i - 1);

          if (slot->pinned && !plc_pins_contain (pins, slot))
            plc_slot_remove (plc, slot);
        }
      for (guint i = 0; i < pins->len; i++)
        plc_apply_pin (plc, g_ptr_array_index (pins, i));
    }
  else
    plc->next_save_us = plc_now (plc) + PLC_SAVE_RETRY_MS * PLC_US_PER_MS;
  for (guint i = 0; i < plc->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      slot->target = NULL;
    }
  g_ptr_array_unref (pins);
  plc_schedule_run (plc);
}
