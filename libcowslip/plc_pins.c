#include "plc_private.h"

#define PLC_SETTLE_MS     2000
#define PLC_SAVE_RETRY_MS 1000

/* Return whether enough engines were read since the authority began: all that
   answer.  Pins that are chosen before would go to engines that do not.  */
bool
plc_is_settled (const struct plc *plc)
{
  if (plc_now (plc) >= plc->started_us + PLC_SETTLE_MS * PLC_US_PER_MS)
    return true;
  for (guint i = 0; i < plc->sorted->len; i++)
    {
      const struct plc_engine *engine = g_ptr_array_index (plc->sorted, i);

      if (engine->planned && !engine->sealed)
        return false;
    }
  return true;
}

static uint64_t
plc_pinned_bytes (const struct plc *plc, const struct plc_engine *engine,
                  const GPtrArray *extra)
{
  uint64_t bytes = 0;

  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      bytes += plc_model_need (slot->model);
    }
  for (guint i = 0; extra != NULL && i < extra->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (extra, i);
      const struct plc_model *model
          = g_hash_table_lookup (plc->models, pin->model);

      if (g_str_equal (pin->endpoint, engine->address))
        bytes += plc_model_need (model);
    }
  return bytes;
}

static bool
plc_is_taken (const struct plc_engine *engine, const struct plc_model *model,
              const GPtrArray *extra)
{
  for (guint i = 0; i < extra->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (extra, i);

      if (g_str_equal (pin->model, model->name)
          && g_str_equal (pin->endpoint, engine->address))
        return true;
    }
  return plc_slot_on (engine, model->name) != NULL;
}

/* Return the engine for a new pin of MODEL, or NULL: of those that hold no
   slot of MODEL the one with the least pinned memory, sealed ones first.
   EXTRA holds the pins that were chosen before in this table.  */
static struct plc_engine *
plc_choose_engine (const struct plc *plc, const struct plc_model *model,
                   const GPtrArray *extra)
{
  struct plc_engine *best = NULL;
  uint64_t best_bytes = 0;

  for (guint i = 0; i < plc->sorted->len; i++)
    {
      struct plc_engine *engine = g_ptr_array_index (plc->sorted, i);
      uint64_t bytes;

      if (!plc_engine_is_usable (engine)
          || !g_str_equal (engine->pool, model->pool)
          || plc_engine_size (engine) < plc_model_need (model)
          || plc_is_taken (engine, model, extra))
        continue;
      bytes = plc_pinned_bytes (plc, engine, extra);
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
plc_find_slot (const struct plc_model *model, uint32_t number)
{
  for (guint i = 0; i < model->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (model->slots, i);

      if (slot->pinned && slot->number == number)
        return slot;
    }
  return NULL;
}

/* Add to PINS where SLOT is pinned next; to ADDED what is new.  Return whether
   that is a change.  */
static bool
plc_next_pin (struct plc *plc, struct plc_slot *slot, GPtrArray *pins,
              GPtrArray *added)
{
  const struct plc_model *model = slot->model;
  bool empty = !plc_slot_counts (slot);

  if (empty && (!model->planned || slot->number >= model->budget))
    return true;
  if (empty && plc_slot_misplaced (slot))
    slot->target = plc_choose_engine (plc, model, added);
  else if (!empty
           || (slot->target != NULL
               && plc_is_taken (slot->target, model, added)))
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
plc_new_pins (struct plc *plc, GPtrArray *pins, GPtrArray *added)
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

          if (plc_find_slot (model, i) != NULL)
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

/* Write a new table of pins if slots are missing, superfluous or to be
   moved.  */
void
plc_run_pins (struct plc *plc)
{
  GPtrArray *pins;
  GPtrArray *added;
  bool changed = false;

  if (plc->saving || plc_now (plc) < plc->next_save_us
      || !plc_is_settled (plc))
    return;
  pins = plc_pins_new ();
  added = plc_pins_new ();
  for (guint i = 0; i < plc->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      if (slot->pinned && plc_next_pin (plc, slot, pins, added))
        changed = true;
    }
  if (plc_new_pins (plc, pins, added))
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
plc_put_pin (struct plc *plc, const struct plc_pin *pin)
{
  struct plc_model *model = plc_model_get (plc, pin->model);
  struct plc_engine *engine = plc_engine_get (plc, pin->endpoint);
  struct plc_slot *slot = plc_find_slot (model, pin->slot);
  struct plc_slot *there = plc_slot_on (engine, pin->model);

  if (slot != NULL && slot->engine == engine)
    return;
  if (there != NULL && !there->pinned)
    {
      if (slot != NULL)
        plc_slot_remove (plc, slot);
      there->pinned = true;
      there->number = pin->slot;
    }
  else if (slot != NULL)
    plc_slot_attach (slot, engine);
  else
    (void)plc_slot_new (plc, model, pin->slot, engine, true);
}

static bool
plc_is_in (const GPtrArray *pins, const struct plc_slot *slot)
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

/* The pins that were given to the save callback are in force, or not.  */
void
plc_saved (struct plc *plc, bool saved)
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

          if (slot->pinned && !plc_is_in (pins, slot))
            plc_slot_remove (plc, slot);
        }
      for (guint i = 0; i < pins->len; i++)
        plc_put_pin (plc, g_ptr_array_index (pins, i));
    }
  else
    plc->next_save_us = plc_now (plc) + PLC_SAVE_RETRY_MS * PLC_US_PER_MS;
  for (guint i = 0; i < plc->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      slot->target = NULL;
    }
  g_ptr_array_unref (pins);
  plc_wake (plc);
}
