#include "plc_adapter.h"

/* Adapter loads take 5 to 14 ms.  If the engine does not respond, a load is
   assumed to have ended this long after its order can have arrived.  */
#define PLC_ADAPTER_LOAD_MAX_US (UINT64_C (2000) * PLC_US_PER_MS)

/* Return the adapter NAME, added as not planned if it is new.  */
struct plc_adapter *
plc_adapter_get (struct plc *plc, const char *name)
{
  struct plc_adapter *adapter = g_hash_table_lookup (plc->adapters, name);

  if (adapter != NULL)
    return adapter;
  adapter = g_new0 (struct plc_adapter, 1);
  adapter->name = g_strdup (name);
  adapter->demand_by_instance
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  adapter->copies = g_ptr_array_new ();
  g_hash_table_insert (plc->adapters, adapter->name, adapter);
  return adapter;
}

/* Free the adapter DATA.  */
void
plc_adapter_free (gpointer data)
{
  struct plc_adapter *adapter = data;

  g_hash_table_destroy (adapter->demand_by_instance);
  g_ptr_array_free (adapter->copies, TRUE);
  g_free (adapter->version);
  g_free (adapter->name);
  g_free (adapter);
}

/* Replace the planned adapters with the COUNT ADAPTERS, which are copied.  The
   plan with their models has to be set first.  At most LOADS_MAX adapter
   loads, but at least one, may be in flight in the zone.  */
void
plc_set_adapters (struct plc *plc, const struct plc_adapter_spec *adapters,
                  uint32_t count, uint32_t loads_max)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plc->adapters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct plc_adapter *)value)->planned = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct plc_adapter_spec *spec = &adapters[i];
      struct plc_adapter *adapter = plc_adapter_get (plc, spec->name);

      adapter->planned = true;
      adapter->model = plc_model_get (plc, spec->model);
      adapter->bytes = spec->bytes;
      g_free (adapter->version);
      adapter->version = g_strdup (spec->version);
    }
  plc->adapter_loads_max = MAX (loads_max, 1);
  plc_schedule_run (plc);
}

/* Add a copy of ADAPTER on the replica of MODEL on ENGINE.  The size of an
   adapter that is not in the plan is unknown, so it counts as all the memory
   that the replica reserves for adapters.  */
struct plc_adapter_copy *
plc_copy_new (struct plc *plc, struct plc_adapter *adapter,
              struct plc_engine *engine, struct plc_model *model)
{
  struct plc_adapter_copy *copy = g_new0 (struct plc_adapter_copy, 1);

  copy->adapter = adapter;
  copy->engine = engine;
  copy->model = model;
  copy->state = PLC_DOUBTFUL;
  copy->order_sent_us = plc_now (plc);
  copy->bytes = adapter->planned && adapter->model == model
                    ? adapter->bytes
                    : model->adapter_bytes;
  copy->quiesced
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (plc->copies, copy);
  g_ptr_array_add (engine->copies, copy);
  g_ptr_array_add (adapter->copies, copy);
  return copy;
}

/* Remove COPY from the tables and free it.  The result of its order in
   flight, if any, will be ignored.  */
void
plc_copy_remove (struct plc *plc, struct plc_adapter_copy *copy)
{
  if (copy->order_id != 0)
    g_hash_table_remove (plc->adapter_orders, &copy->order_id);
  g_ptr_array_remove (copy->engine->copies, copy);
  g_ptr_array_remove (copy->adapter->copies, copy);
  g_ptr_array_remove_fast (plc->copies, copy);
}

/* Free the copy DATA.  */
void
plc_copy_free (gpointer data)
{
  struct plc_adapter_copy *copy = data;

  g_free (copy->version);
  g_hash_table_destroy (copy->quiesced);
  g_free (copy);
}

/* Return the copy of ADAPTER on ENGINE, or NULL.  */
struct plc_adapter_copy *
plc_engine_find_copy (const struct plc_engine *engine, const char *adapter)
{
  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy = g_ptr_array_index (engine->copies, i);

      if (g_str_equal (copy->adapter->name, adapter))
        return copy;
    }
  return NULL;
}

/* Return whether COPY differs from the plan in model or version, or its
   adapter is not in the plan.  An engine that does not report the version is
   assumed to hold the planned one.  */
bool
plc_copy_is_outdated (const struct plc_adapter_copy *copy)
{
  const struct plc_adapter *adapter = copy->adapter;

  return !adapter->planned || adapter->model != copy->model
         || (copy->version != NULL
             && g_strcmp0 (copy->version, adapter->version) != 0);
}

/* Return the memory that adapters use or may use on the replica of SLOT, in
   bytes.  */
uint64_t
plc_slot_adapter_bytes (const struct plc_slot *slot)
{
  const struct plc_engine *engine = slot->engine;
  uint64_t bytes = 0;

  for (guint i = 0; i < engine->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (engine->copies, i);

      if (copy->model == slot->model)
        bytes += copy->bytes;
    }
  return bytes;
}

/* Return how many adapter loads are or may be in flight.  */
uint32_t
plc_adapter_loads_in_flight (const struct plc *plc)
{
  uint32_t loads = 0;

  for (guint i = 0; i < plc->copies->len; i++)
    {
      const struct plc_adapter_copy *copy = g_ptr_array_index (plc->copies, i);

      if (copy->loading
          && (copy->state != PLC_DOUBTFUL
              || plc_now (plc) < copy->order_sent_us + PLC_ORDER_MAX_US
                                     + PLC_ADAPTER_LOAD_MAX_US))
        loads++;
    }
  return loads;
}

/* Return how many adapters are loaded, counted once per engine.  */
uint32_t
plc_adapters_loaded (const struct plc *plc)
{
  uint32_t loaded = 0;

  for (guint i = 0; i < plc->copies->len; i++)
    {
      const struct plc_adapter_copy *copy = g_ptr_array_index (plc->copies, i);

      loaded += copy->state == PLC_LOADED;
    }
  return loaded;
}

/* Return whether no adapter order is in flight and no unconfirmed one can
   still take effect.  */
bool
plc_adapter_orders_complete (const struct plc *plc)
{
  for (guint i = 0; i < plc->copies->len; i++)
    {
      const struct plc_adapter_copy *copy = g_ptr_array_index (plc->copies, i);

      if (copy->order_id != 0 || plc_now (plc) < copy->order_expires_us)
        return false;
    }
  return true;
}

/* Return whether ENGINE has copies whose state has to be read.  */
bool
plc_adapters_need_read (const struct plc_engine *engine)
{
  for (guint i = 0; i < engine->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (engine->copies, i);

      if (copy->order_id == 0
          && (copy->state == PLC_LOADING || copy->state == PLC_UNLOADING
              || copy->state == PLC_DOUBTFUL))
        return true;
    }
  return false;
}

/* Return whether an adapter order to ENGINE is in flight.  */
bool
plc_adapter_order_pending (const struct plc_engine *engine)
{
  for (guint i = 0; i < engine->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (engine->copies, i);

      if (copy->order_id != 0)
        return true;
    }
  return false;
}
