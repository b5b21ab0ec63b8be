#include "plc_adapter.h"

/* Instances report once a second what they used, so an adapter may be in use
   for this long after the last report.  */
#define PLC_ADAPTER_REST_MS 1500
/* Requests that still wait this long after a copy was loaded find no room on
   its engine.  */
#define PLC_ADAPTER_FULL_MS 500

static gint
plc_compare_adapters (gconstpointer a, gconstpointer b)
{
  const struct plc_adapter *const *x = a;
  const struct plc_adapter *const *y = b;
  const struct plc_need *m = &(*x)->need;
  const struct plc_need *n = &(*y)->need;

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

/* Return how many more replicas of its model should load ADAPTER.  */
static uint32_t
plc_adapter_missing (const struct plc_adapter *adapter)
{
  uint32_t batch = adapter->model->batch;
  uint32_t missing = (adapter->need.waiting + batch - 1) / batch;

  for (guint i = 0; i < adapter->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (adapter->copies, i);
      const struct plc_slot *slot
          = plc_slot_on (copy->engine, copy->model->name);
      bool full = adapter->need.heard_us
                  > copy->loaded_us + PLC_ADAPTER_FULL_MS * PLC_US_PER_MS;

      if (missing > 0 && slot != NULL && slot->state == PLC_LOADED
          && !plc_copy_is_outdated (copy)
          && (copy->state == PLC_LOADING
              || (copy->state == PLC_LOADED && !full)))
        missing--;
    }
  return missing;
}

static uint64_t
plc_slot_room (const struct plc_slot *slot)
{
  uint64_t used = plc_slot_adapters (slot);
  uint64_t reserved = MIN (slot->adapter_bytes, slot->model->adapter_bytes);

  return reserved > used ? reserved - used : 0;
}

static bool
plc_slot_takes (const struct plc *plc, const struct plc_slot *slot,
                const struct plc_adapter *adapter)
{
  return slot->state == PLC_LOADED && slot->engine->sealed
         && !plc_slot_misplaced (slot)
         && plc_now (plc) >= slot->engine->adapter_not_before_us
         && plc_copy_on (slot->engine, adapter->name) == NULL;
}

static GPtrArray *
plc_adapter_victims (const struct plc *plc, const struct plc_slot *slot)
{
  GPtrArray *victims = g_ptr_array_new ();

  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);
      const struct plc_adapter *adapter = copy->adapter;

      if (copy->model == slot->model && copy->state == PLC_LOADED
          && adapter->need.waiting == 0
          && plc_now (plc) >= adapter->last_used_us
                                  + PLC_ADAPTER_REST_MS * PLC_US_PER_MS)
        g_ptr_array_add (victims, copy);
    }
  g_ptr_array_sort (victims, plc_compare_copies);
  return victims;
}

/* Return whether SLOT will have BYTES free once adapters that are not used are
   unloaded, and begin with those that were not used for longest.  */
static bool
plc_adapter_evict (struct plc *plc, const struct plc_slot *slot,
                   uint64_t bytes)
{
  uint64_t room = plc_slot_room (slot);
  GPtrArray *victims = plc_adapter_victims (plc, slot);
  guint count = 0;

  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      const struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);

      if (copy->model == slot->model
          && (copy->state == PLC_QUIESCING || copy->state == PLC_UNLOADING))
        room += copy->bytes;
    }
  for (; room < bytes && count < victims->len; count++)
    room += ((struct plc_adapter_copy *)g_ptr_array_index (victims, count))
                ->bytes;
  for (guint i = 0; room >= bytes && i < count; i++)
    plc_copy_quiesce (plc, g_ptr_array_index (victims, i));
  g_ptr_array_unref (victims);
  return room >= bytes;
}

static void
plc_adapter_start (struct plc *plc, struct plc_adapter *adapter,
                   const struct plc_slot *slot)
{
  struct plc_adapter_copy *copy
      = plc_copy_new (plc, adapter, slot->engine, slot->model);

  copy->version = g_strdup (adapter->version);
  if (!plc_copy_send (plc, copy, PLC_ADAPTER_LOAD))
    {
      plc_copy_remove (plc, copy);
      return;
    }
  copy->state = PLC_LOADING;
  copy->loading = true;
  plc_note_event (plc, PLC_NOTE_ADAPTER_LOAD, slot->engine, adapter->name);
}

/* Load ADAPTER on the replica with the most room, or make room on one.  HELD
   are the slots whose room an adapter that goes first waits for.  */
static void
plc_adapter_place (struct plc *plc, struct plc_adapter *adapter,
                   GHashTable *held)
{
  const GPtrArray *slots = adapter->model->slots;
  struct plc_slot *best = NULL;

  for (guint i = 0; i < slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (slots, i);

      if (plc_slot_takes (plc, slot, adapter)
          && !g_hash_table_contains (held, slot)
          && plc_slot_room (slot) >= adapter->bytes
          && (best == NULL || plc_slot_room (slot) > plc_slot_room (best)))
        best = slot;
    }
  if (best != NULL)
    {
      plc_adapter_start (plc, adapter, best);
      return;
    }
  for (guint i = 0; i < slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (slots, i);

      if (!plc_slot_takes (plc, slot, adapter)
          || g_hash_table_contains (held, slot)
          || !plc_adapter_evict (plc, slot, adapter->bytes))
        continue;
      g_hash_table_add (held, slot);
      return;
    }
}

static GPtrArray *
plc_adapters_wanted (struct plc *plc)
{
  GPtrArray *wanted = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plc->adapters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct plc_adapter *adapter = value;

      adapter->need = plc_sum_waits (plc, adapter->demands);
      if (adapter->planned && plc_now (plc) < adapter->need.latest_us
          && plc_adapter_missing (adapter) > 0)
        g_ptr_array_add (wanted, adapter);
    }
  g_ptr_array_sort (wanted, plc_compare_adapters);
  return wanted;
}

/* Unload adapters that are in the way, and load those that requests wait for,
   the most urgent first.  An earlier controller may have loads in flight on
   engines that are not sealed yet, so no load starts before these are sealed
   or its orders have ended.  */
void
plc_run_adapters (struct plc *plc)
{
  GPtrArray *wanted = plc_adapters_wanted (plc);
  GHashTable *held = g_hash_table_new (NULL, NULL);

  plc_run_copies (plc);
  for (guint i = 0; plc_is_settled (plc) && i < wanted->len; i++)
    {
      struct plc_adapter *adapter = g_ptr_array_index (wanted, i);

      for (uint32_t n = plc_adapter_missing (adapter);
           n > 0 && plc_adapter_loads (plc) < plc->adapter_loads; n--)
        plc_adapter_place (plc, adapter, held);
    }
  g_hash_table_destroy (held);
  g_ptr_array_unref (wanted);
}
