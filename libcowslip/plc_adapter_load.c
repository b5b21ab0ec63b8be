#include "plc_adapter.h"

/* Instances report usage once a second, so an adapter may be in use for this
   long after the last report.  */
#define PLC_ADAPTER_IN_USE_MS 1500
/* If requests still wait this long after a copy was loaded, its engine has no
   capacity for them.  */
#define PLC_ADAPTER_SATURATED_MS 500

static gint
plc_compare_adapters (gconstpointer a, gconstpointer b)
{
  const struct plc_adapter *const *x = a;
  const struct plc_adapter *const *y = b;
  const struct plc_demand_total *m = &(*x)->demand;
  const struct plc_demand_total *n = &(*y)->demand;

  if (m->priority != n->priority)
    return m->priority > n->priority ? -1 : 1;
  return (m->earliest_us > n->earliest_us) - (m->earliest_us < n->earliest_us);
}

static gint
plc_compare_copies (gconstpointer a, gconstpointer b)
{
  const struct plc_adapter_copy *const *x = a;
  const struct plc_adapter_copy *const *y = b;
  uint64_t p = (*x)->adapter->last_used_us;
  uint64_t q = (*y)->adapter->last_used_us;

  return (p > q) - (p < q);
}

/* Return how many more copies ADAPTER needs to meet its demand.  */
static uint32_t
plc_adapter_missing_copies (const struct plc_adapter *adapter)
{
  uint32_t batch = adapter->model->batch;
  uint32_t missing = (adapter->demand.waiting + batch - 1) / batch;

  for (guint i = 0; i < adapter->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (adapter->copies, i);
      const struct plc_slot *slot
          = plc_engine_find_slot (copy->engine, copy->model->name);
      bool saturated
          = adapter->demand.reported_us
            > copy->loaded_us + PLC_ADAPTER_SATURATED_MS * PLC_US_PER_MS;

      if (missing > 0 && slot != NULL && slot->state == PLC_LOADED
          && !plc_copy_is_outdated (copy)
          && (copy->state == PLC_LOADING
              || (copy->state == PLC_LOADED && !saturated)))
        missing--;
    }
  return missing;
}

static uint64_t
plc_slot_free_bytes (const struct plc_slot *slot)
{
  uint64_t used = plc_slot_adapter_bytes (slot);
  uint64_t reserved = MIN (slot->adapter_bytes, slot->model->adapter_bytes);

  return reserved > used ? reserved - used : 0;
}

static bool
plc_slot_accepts (const struct plc *plc, const struct plc_slot *slot,
                  const struct plc_adapter *adapter)
{
  return slot->state == PLC_LOADED && slot->engine->sealed
         && !plc_slot_is_misplaced (slot)
         && plc_now (plc) >= slot->engine->next_adapter_order_us
         && plc_engine_find_copy (slot->engine, adapter->name) == NULL;
}

static uint32_t
plc_adapter_loaded_copies (const struct plc_adapter *adapter)
{
  uint32_t loaded = 0;

  for (guint i = 0; i < adapter->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (adapter->copies, i);

      loaded += copy->state == PLC_LOADED;
    }
  return loaded;
}

/* Return whether COPY may be evicted: no request waits for its adapter, and it
   has not been used recently or, for an URGENT load, another engine has it
   loaded too.  */
static bool
plc_copy_is_evictable (const struct plc *plc,
                       const struct plc_adapter_copy *copy, bool urgent)
{
  const struct plc_adapter *adapter = copy->adapter;

  if (copy->state != PLC_LOADED || adapter->demand.waiting > 0)
    return false;
  return plc_now (plc)
             >= adapter->last_used_us + PLC_ADAPTER_IN_USE_MS * PLC_US_PER_MS
         || (urgent && plc_adapter_loaded_copies (adapter) > 1);
}

static GPtrArray *
plc_adapter_victims (const struct plc *plc, const struct plc_slot *slot,
                     bool urgent)
{
  GPtrArray *victims = g_ptr_array_new ();

  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);

      if (copy->model == slot->model
          && plc_copy_is_evictable (plc, copy, urgent))
        g_ptr_array_add (victims, copy);
    }
  g_ptr_array_sort (victims, plc_compare_copies);
  return victims;
}

/* Return whether SLOT will have enough memory for ADAPTER after evictions, and
   if so quiesce the least recently used copies.  URGENT is as for
   plc_copy_is_evictable.  */
static bool
plc_adapter_evict (struct plc *plc, const struct plc_slot *slot,
                   const struct plc_adapter *adapter, bool urgent)
{
  uint64_t free_bytes = plc_slot_free_bytes (slot);
  GPtrArray *victims = plc_adapter_victims (plc, slot, urgent);
  guint count = 0;

  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);

      if (copy->model == slot->model
          && (copy->state == PLC_QUIESCING || copy->state == PLC_UNLOADING))
        free_bytes += copy->bytes;
    }
  for (; free_bytes < adapter->bytes && count < victims->len; count++)
    free_bytes
        += ((struct plc_adapter_copy *)g_ptr_array_index (victims, count))
               ->bytes;
  for (guint i = 0; free_bytes >= adapter->bytes && i < count; i++)
    plc_copy_quiesce (plc, g_ptr_array_index (victims, i));
  g_ptr_array_unref (victims);
  return free_bytes >= adapter->bytes;
}

static void
plc_adapter_start_load (struct plc *plc, struct plc_adapter *adapter,
                        const struct plc_slot *slot)
{
  struct plc_adapter_copy *copy
      = plc_copy_new (plc, adapter, slot->engine, slot->model);

  copy->version = g_strdup (adapter->version);
  if (!plc_copy_send_order (plc, copy, PLC_ADAPTER_LOAD))
    {
      plc_copy_remove (plc, copy);
      return;
    }
  copy->state = PLC_LOADING;
  copy->loading = true;
  plc_emit_event (plc, PLC_EVENT_ADAPTER_LOAD, slot->engine, adapter->name);
}

static bool
plc_adapter_evict_any (struct plc *plc, const struct plc_adapter *adapter,
                       GHashTable *reserved_slots, bool urgent)
{
  const GPtrArray *slots = adapter->model->slots;

  for (guint i = 0; i < slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (slots, i);

      if (!plc_slot_accepts (plc, slot, adapter)
          || g_hash_table_contains (reserved_slots, slot)
          || !plc_adapter_evict (plc, slot, adapter, urgent))
        continue;
      g_hash_table_add (reserved_slots, slot);
      return true;
    }
  return false;
}

/* Load ADAPTER on the replica with the most free adapter memory, or begin
   evictions on one.  RESERVED_SLOTS are those on which an adapter of higher
   precedence waits for memory.  */
static void
plc_adapter_place (struct plc *plc, struct plc_adapter *adapter,
                   GHashTable *reserved_slots)
{
  const GPtrArray *slots = adapter->model->slots;
  struct plc_slot *best = NULL;

  for (guint i = 0; i < slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (slots, i);

      if (plc_slot_accepts (plc, slot, adapter)
          && !g_hash_table_contains (reserved_slots, slot)
          && plc_slot_free_bytes (slot) >= adapter->bytes
          && (best == NULL
              || plc_slot_free_bytes (slot) > plc_slot_free_bytes (best)))
        best = slot;
    }
  if (best != NULL)
    {
      plc_adapter_start_load (plc, adapter, best);
      return;
    }
  if (!plc_adapter_evict_any (plc, adapter, reserved_slots, false)
      && plc_adapter_loaded_copies (adapter) == 0)
    (void)plc_adapter_evict_any (plc, adapter, reserved_slots, true);
}

static GPtrArray *
plc_adapters_to_load (struct plc *plc)
{
  GPtrArray *desired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plc->adapters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct plc_adapter *adapter = value;

      adapter->demand = plc_compute_demand (plc, adapter->demand_by_instance);
      if (adapter->planned && plc_now (plc) < adapter->demand.latest_us
          && plc_adapter_missing_copies (adapter) > 0)
        g_ptr_array_add (desired, adapter);
    }
  g_ptr_array_sort (desired, plc_compare_adapters);
  return desired;
}

/* Unload quiescing adapters, and load those that requests wait for, the most
   urgent first.  An earlier controller may have loads in flight on engines
   that are not sealed yet, so no load starts before all are sealed or its
   orders have expired.  */
void
plc_run_adapters (struct plc *plc)
{
  GPtrArray *desired = plc_adapters_to_load (plc);
  GHashTable *reserved_slots = g_hash_table_new (NULL, NULL);

  plc_run_copies (plc);
  for (guint i = 0; plc_discovery_complete (plc) && i < desired->len; i++)
    {
      struct plc_adapter *adapter = g_ptr_array_index (desired, i);

      for (uint32_t n = plc_adapter_missing_copies (adapter);
           n > 0 && plc_adapter_loads_in_flight (plc) < plc->adapter_loads_max;
           n--)
        plc_adapter_place (plc, adapter, reserved_slots);
    }
  g_hash_table_destroy (reserved_slots);
  g_ptr_array_unref (desired);
}
