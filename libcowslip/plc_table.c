#include <string.h>

#include "plc_private.h"

static void
plc_cache_entry_free (gpointer data)
{
  struct plc_cache_entry *entry = data;

  g_free (entry->version);
  g_free (entry);
}

static gint
plc_compare_engines (gconstpointer a, gconstpointer b)
{
  const struct plc_engine *const *x = a;
  const struct plc_engine *const *y = b;

  return strcmp ((*x)->address, (*y)->address);
}

/* Return the engine at ADDRESS, added if it is new.  Until the environment
   document names it, it is assumed to have no memory and not to check fencing
   numbers.  */
struct plc_engine *
plc_engine_get (struct plc *plc, const char *address)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, address);

  if (engine != NULL)
    return engine;
  engine = g_new0 (struct plc_engine, 1);
  engine->address = g_strdup (address);
  engine->pool = g_strdup ("");
  engine->cached = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          plc_cache_entry_free);
  engine->slots = g_ptr_array_new ();
  engine->copies = g_ptr_array_new ();
  g_hash_table_insert (plc->engines, engine->address, engine);
  g_ptr_array_add (plc->engines_by_address, engine);
  g_ptr_array_sort (plc->engines_by_address, plc_compare_engines);
  return engine;
}

/* Free the engine DATA.  */
void
plc_engine_free (gpointer data)
{
  struct plc_engine *engine = data;

  g_free (engine->address);
  g_free (engine->pool);
  g_hash_table_destroy (engine->cached);
  g_ptr_array_free (engine->slots, TRUE);
  g_ptr_array_free (engine->copies, TRUE);
  g_free (engine);
}

/* Return the model NAME, added with a budget of 0 if it is new.  */
struct plc_model *
plc_model_get (struct plc *plc, const char *name)
{
  struct plc_model *model = g_hash_table_lookup (plc->models, name);

  if (model != NULL)
    return model;
  model = g_new0 (struct plc_model, 1);
  model->name = g_strdup (name);
  model->version = g_strdup ("");
  model->pool = g_strdup ("");
  model->batch = 1;
  model->slots = g_ptr_array_new ();
  model->demand_by_instance
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (plc->models, model->name, model);
  return model;
}

/* Free the model DATA.  */
void
plc_model_free (gpointer data)
{
  struct plc_model *model = data;

  g_free (model->name);
  g_free (model->version);
  g_free (model->pool);
  g_ptr_array_free (model->slots, TRUE);
  g_hash_table_destroy (model->demand_by_instance);
  g_free (model);
}

/* Add slot NUMBER of MODEL on ENGINE, cold.  A slot that is not PINNED
   represents a replica that the engine reports but no pin permits.  */
struct plc_slot *
plc_slot_new (struct plc *plc, struct plc_model *model, uint32_t number,
              struct plc_engine *engine, bool pinned)
{
  struct plc_slot *slot = g_new0 (struct plc_slot, 1);

  slot->model = model;
  slot->number = number;
  slot->pinned = pinned;
  slot->tier = PLC_REMOTE;
  slot->quiesced
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (plc->slots, slot);
  g_ptr_array_add (model->slots, slot);
  plc_slot_attach (slot, engine);
  return slot;
}

/* Free the slot DATA.  */
void
plc_slot_free (gpointer data)
{
  struct plc_slot *slot = data;

  g_free (slot->version);
  g_hash_table_destroy (slot->quiesced);
  g_free (slot);
}

/* Move SLOT to ENGINE in the tables.  */
void
plc_slot_attach (struct plc_slot *slot, struct plc_engine *engine)
{
  if (slot->engine != NULL)
    g_ptr_array_remove (slot->engine->slots, slot);
  slot->engine = engine;
  g_ptr_array_add (engine->slots, slot);
}

/* Remove SLOT from the tables and free it.  */
void
plc_slot_remove (struct plc *plc, struct plc_slot *slot)
{
  if (slot->engine->order_slot == slot)
    slot->engine->order_slot = NULL;
  g_ptr_array_remove (slot->engine->slots, slot);
  g_ptr_array_remove (slot->model->slots, slot);
  g_ptr_array_remove (plc->slots, slot);
}

/* Mark SLOT as cold: it no longer holds a replica.  */
void
plc_slot_clear (struct plc_slot *slot)
{
  slot->state = PLC_COLD;
  slot->bytes = 0;
  slot->adapter_bytes = 0;
  g_free (slot->version);
  slot->version = NULL;
  g_hash_table_remove_all (slot->quiesced);
}

/* Return the slot of MODEL on ENGINE, or NULL.  */
struct plc_slot *
plc_engine_find_slot (const struct plc_engine *engine, const char *model)
{
  for (guint i = 0; i < engine->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (g_str_equal (slot->model->name, model))
        return slot;
    }
  return NULL;
}
