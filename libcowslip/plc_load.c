#include "plc_private.h"

/* Instances report usage once a second, so a model may be in use for this long
   after its last reported request.  */
#define PLC_MODEL_IN_USE_MS 2000

/* A slot considered for a load.  */
struct plc_candidate
{
  struct plc_slot *slot;
  enum plc_tier tier;
  uint64_t free_bytes;
};

/* Return the fastest tier from which the engine of SLOT can load its model. */
enum plc_tier
plc_slot_tier (const struct plc_slot *slot)
{
  const struct plc_cache_entry *entry
      = g_hash_table_lookup (slot->engine->cached, slot->model->name);

  if (entry == NULL || g_strcmp0 (entry->version, slot->model->version) != 0)
    return PLC_REMOTE;
  return entry->tier;
}

static bool
plc_is_loadable (const struct plc *plc, const struct plc_slot *slot)
{
  return slot->state == PLC_COLD && slot->engine->sealed
         && !plc_slot_is_misplaced (slot) && slot->target == NULL
         && plc_now (plc) >= slot->next_load_us;
}

static gint
plc_compare_slots (gconstpointer a, gconstpointer b)
{
  const struct plc_candidate *x = a;
  const struct plc_candidate *y = b;

  if (x->slot->engine->slow != y->slot->engine->slow)
    return x->slot->engine->slow ? 1 : -1;
  if (x->tier != y->tier)
    return x->tier < y->tier ? -1 : 1;
  return (x->free_bytes < y->free_bytes) - (x->free_bytes > y->free_bytes);
}

static gint
plc_compare_loads (gconstpointer a, gconstpointer b)
{
  const struct plc_candidate *x = a;
  const struct plc_candidate *y = b;
  const struct plc_model *m = x->slot->model;
  const struct plc_model *n = y->slot->model;

  if (m->priority != n->priority)
    return m->priority > n->priority ? -1 : 1;
  if (m->earliest_us != n->earliest_us)
    return m->earliest_us < n->earliest_us ? -1 : 1;
  return plc_compare_slots (a, b);
}

/* Return whether MODEL is in use and has replicas on slow engines only.  No
   requests wait, so there is no demand for another replica, but the router has
   no faster engine to choose.  */
static bool
plc_only_slow_replicas (const struct plc *plc, const struct plc_model *model)
{
  bool slow = false;

  if (plc_now (plc)
      >= model->last_used_us + PLC_MODEL_IN_USE_MS * PLC_US_PER_MS)
    return false;
  for (guint i = 0; i < model->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (model->slots, i);

      if (slot->state != PLC_LOADED && slot->state != PLC_LOADING)
        continue;
      if (!slot->engine->slow)
        return false;
      slow = true;
    }
  return slow;
}

static uint32_t
plc_desired_replicas (const struct plc *plc, const struct plc_model *model)
{
  uint32_t desired = (model->waiting + model->batch - 1) / model->batch;

  if (plc_only_slow_replicas (plc, model))
    desired = MAX (desired, plc_model_replicas (plc, model) + 1);
  return MIN (desired, model->budget);
}

/* Add to LOADS the slots of MODEL that are needed to meet its demand.  */
static void
plc_add_loads (struct plc *plc, struct plc_model *model, GArray *loads)
{
  uint32_t desired = plc_desired_replicas (plc, model);
  GArray *slots = g_array_new (FALSE, FALSE, sizeof (struct plc_candidate));

  for (guint i = 0; i < model->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (model->slots, i);
      struct plc_candidate candidate = { slot, plc_slot_tier (slot), 0 };
      uint64_t used = plc_engine_used_bytes (slot->engine);
      uint64_t size = plc_engine_memory_bytes (slot->engine);

      candidate.free_bytes = size > used ? size - used : 0;
      if (desired > 0
          && (slot->state == PLC_LOADED || slot->state == PLC_LOADING))
        desired--;
      if (plc_is_loadable (plc, slot)
          && (model->waiting > 0 || !slot->engine->slow))
        g_array_append_val (slots, candidate);
    }
  g_array_sort (slots, plc_compare_slots);
  g_array_append_vals (loads, slots->data, MIN (desired, slots->len));
  g_array_free (slots, TRUE);
}

static uint64_t
plc_load_time_us (const struct plc *plc, const struct plc_candidate *load)
{
  return plc_estimate_us (&plc->estimate, load->tier, load->slot->model->bytes,
                          plc_now (plc));
}

static void
plc_start_load (struct plc *plc, const struct plc_candidate *load)
{
  struct plc_slot *slot = load->slot;

  if (!plc_send_order (plc, slot->engine, PLC_LOAD, slot))
    return;
  slot->state = PLC_LOADING;
  slot->bytes = plc_replica_bytes (slot->model);
  slot->adapter_bytes = slot->model->adapter_bytes;
  slot->tier = load->tier;
  slot->load_started_us = plc_now (plc);
  slot->ready_us = plc_now (plc) + plc_load_time_us (plc, load);
  plc_emit_event (plc, PLC_EVENT_LOAD, slot->engine, slot->model->name);
}

/* Start LOAD if its requests can be served in time, the budget and the weight
   store limit permit it, and its engine has memory for it.  RESERVED_ENGINES
   are the engines on which a load of higher precedence waits for memory.  */
static void
plc_try_load (struct plc *plc, const struct plc_candidate *load,
              GHashTable *reserved_engines)
{
  struct plc_slot *slot = load->slot;
  struct plc_model *model = slot->model;

  if (g_hash_table_contains (reserved_engines, slot->engine)
      || (model->waiting > 0
          && plc_now (plc) + plc_load_time_us (plc, load) > model->latest_us)
      || plc_model_replicas (plc, model) >= model->budget
      || (load->tier == PLC_REMOTE
          && plc_store_in_use (plc) >= plc->weight_fetches_max))
    return;
  if (plc_ensure_memory (plc, slot))
    plc_start_load (plc, load);
  else
    g_hash_table_add (reserved_engines, slot->engine);
}

/* Start the pending loads that are possible now, the most urgent first.  */
void
plc_run_loads (struct plc *plc)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (struct plc_candidate));
  GHashTable *reserved_engines = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plc->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      plc_model_update_demand (plc, value);
      plc_add_loads (plc, value, loads);
    }
  g_array_sort (loads, plc_compare_loads);
  plc->waiting_loads = loads->len;
  for (guint i = 0; i < loads->len; i++)
    plc_try_load (plc, &g_array_index (loads, struct plc_candidate, i),
                  reserved_engines);
  g_hash_table_destroy (reserved_engines);
  g_array_free (loads, TRUE);
}
