#include "plc_adapter.h"

/* Engines with no change in progress are read at this interval, and all of
   them together at most ten times per second: with 292 engines, reading each
   every 10 s cost the controller 13 KB/s.  */
#define PLC_STABLE_READ_MS         10000
#define PLC_STABLE_READ_SPACING_MS 100
#define PLC_BUSY_READ_MS           200
#define PLC_LOAD_READ_MIN_MS       50
#define PLC_OVERDUE_READ_DIVISOR   16
#define PLC_RETRY_MS               500
#define PLC_RETRY_MAX_MS           4000
#define PLC_FAILURES_MAX           3

/* Send an order of KIND for SLOT (NULL for a seal or a read) to ENGINE.
   Return whether it was sent; only reads are sent without control of the zone.
   An engine has at most one such order in flight.  */
bool
plc_send_order (struct plc *plc, struct plc_engine *engine,
                enum plc_order_kind kind, struct plc_slot *slot)
{
  struct plc_order order = { .kind = kind, .endpoint = engine->address };

  if (engine->order_id != 0 || plc_now (plc) < engine->order_expires_us)
    return false;
  if (kind != PLC_READ_STATE
      && (!plc->callbacks.may_order (plc->arg, engine->checks_fencing,
                                     &order.fence)
          || order.fence != plc->fence))
    return false;
  order.id = ++plc->next_id;
  if (slot != NULL)
    {
      order.model = slot->model->name;
      order.version = slot->model->version;
      order.bytes = slot->model->bytes;
      order.adapter_bytes = slot->model->adapter_bytes;
    }
  engine->order_id = order.id;
  engine->order_kind = kind;
  engine->order_slot = slot;
  engine->order_sent_us = plc_now (plc);
  plc->callbacks.order (plc->arg, &order);
  return true;
}

static bool
plc_engine_is_busy (const struct plc_engine *engine)
{
  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (slot->state == PLC_LOADING || slot->state == PLC_UNLOADING
          || slot->state == PLC_DOUBTFUL)
        return true;
    }
  return plc_adapters_need_read (engine);
}

/* Return the delay before the load of SLOT is checked, in microseconds: the
   time until its expected end or, if the load is overdue, a fraction of its
   duration so far.  The weight store slot is reserved but idle from the end of
   the load until the read that reports it.  */
static uint64_t
plc_load_read_delay_us (const struct plc *plc, const struct plc_slot *slot)
{
  uint64_t now_us = plc_now (plc);
  uint64_t delay_us
      = slot->ready_us > now_us + PLC_US_PER_MS
            ? slot->ready_us - now_us
            : (now_us - slot->load_started_us) / PLC_OVERDUE_READ_DIVISOR;

  return MAX (delay_us, PLC_LOAD_READ_MIN_MS * PLC_US_PER_MS);
}

static void
plc_schedule_read (struct plc *plc, struct plc_engine *engine)
{
  uint32_t settled_ms
      = MAX (PLC_STABLE_READ_MS,
             plc->engines_by_address->len * PLC_STABLE_READ_SPACING_MS);
  uint64_t delay_us
      = (plc_engine_is_busy (engine) ? PLC_BUSY_READ_MS : settled_ms)
        * PLC_US_PER_MS;

  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (slot->state == PLC_LOADING && slot->load_started_us != 0)
        delay_us = MIN (delay_us, plc_load_read_delay_us (plc, slot));
    }
  engine->next_read_us = plc_now (plc) + delay_us;
}

/* Handle a failure to read the state of ENGINE.  After PLC_FAILURES_MAX
   consecutive failures, or at once if it is unlisted, its slots become
   doubtful.  */
static void
plc_engine_read_failed (struct plc *plc, struct plc_engine *engine)
{
  uint32_t delay_ms
      = MIN (PLC_RETRY_MS << MIN (engine->failures, 4), PLC_RETRY_MAX_MS);

  engine->failures++;
  engine->next_read_us = plc_now (plc) + delay_ms * PLC_US_PER_MS;
  if (engine->failures < PLC_FAILURES_MAX && !engine->unlisted)
    return;
  if (engine->sealed)
    plc_emit_event (plc, PLC_EVENT_DOUBTFUL, engine, NULL);
  engine->sealed = false;
  for (guint i = 0; i < engine->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (slot->state != PLC_COLD)
        slot->state = PLC_DOUBTFUL;
    }
  plc_adapters_set_doubtful (engine);
}

static void
plc_load_failed (struct plc *plc, struct plc_slot *slot)
{
  uint32_t delay_ms = 1000U << MIN (slot->failures, 5);

  slot->failures++;
  slot->next_load_us = plc_now (plc) + delay_ms * PLC_US_PER_MS;
  slot->load_started_us = 0;
  plc_slot_clear (slot);
  plc_emit_event (plc, PLC_EVENT_LOAD_FAILED, slot->engine, slot->model->name);
}

static void
plc_apply_loaded (struct plc *plc, struct plc_slot *slot)
{
  if (slot->state == PLC_LOADING && slot->load_started_us != 0)
    plc_estimate_update (&plc->estimate, slot->tier, slot->model->bytes,
                         plc_now (plc) - slot->load_started_us, plc_now (plc));
  /* A new controller does not know when the replica was last used.  */
  slot->model->last_used_us = MAX (slot->model->last_used_us, plc->started_us);
  slot->load_started_us = 0;
  slot->failures = 0;
  if (slot->adapter_bytes == 0)
    slot->adapter_bytes = slot->model->adapter_bytes;
  if (slot->state != PLC_QUIESCING)
    slot->state = PLC_LOADED;
}

static void
plc_apply_loading (struct plc *plc, struct plc_slot *slot,
                   const struct plc_reported_model *reported)
{
  uint64_t now_us = plc_now (plc);

  slot->state = PLC_LOADING;
  slot->tier = reported->tier;
  if (slot->load_started_us == 0)
    slot->load_started_us = now_us;
  if (reported->ready_in_ms > 0)
    slot->ready_us = now_us + reported->ready_in_ms * PLC_US_PER_MS;
  else if (slot->ready_us < now_us)
    slot->ready_us = now_us + (now_us - slot->load_started_us) / 8;
}

static void
plc_apply_reported (struct plc *plc, struct plc_slot *slot,
                    const struct plc_reported_model *reported)
{
  slot->bytes
      = MAX (slot->bytes, reported->bytes + slot->model->adapter_bytes);
  g_free (slot->version);
  slot->version = g_strdup (reported->version);
  if (reported->state == PLC_LOADED)
    plc_apply_loaded (plc, slot);
  else if (reported->state == PLC_LOADING)
    plc_apply_loading (plc, slot, reported);
  else
    slot->state = PLC_UNLOADING;
}

static const struct plc_reported_model *
plc_find_reported (const struct plc_engine_state *state, const char *model)
{
  for (uint32_t i = 0; i < state->model_count; i++)
    if (g_str_equal (state->models[i].name, model))
      return &state->models[i];
  return NULL;
}

static void
plc_apply_absent (struct plc *plc, struct plc_slot *slot)
{
  bool was_loading = slot->state == PLC_LOADING;

  slot->load_started_us = 0;
  if (!slot->pinned)
    plc_slot_remove (plc, slot);
  else if (was_loading)
    plc_load_failed (plc, slot);
  else
    plc_slot_clear (slot);
}

static void
plc_apply_cached (struct plc_engine *engine,
                  const struct plc_engine_state *state)
{
  g_hash_table_remove_all (engine->cached);
  for (uint32_t i = 0; i < state->cached_count; i++)
    {
      struct plc_cache_entry *entry = g_new0 (struct plc_cache_entry, 1);

      entry->version = g_strdup (state->cached[i].version);
      entry->tier = state->cached[i].tier;
      g_hash_table_replace (engine->cached, g_strdup (state->cached[i].name),
                            entry);
    }
}

static void
plc_apply_state (struct plc *plc, struct plc_engine *engine,
                 const struct plc_engine_state *state)
{
  engine->reported_memory_bytes = state->memory_bytes;
  engine->reports_leaving = state->leaving;
  engine->terminated = false;
  plc_apply_cached (engine, state);
  for (guint i = engine->slots->len; i > 0; i--)
    {
      struct plc_slot *slot = g_ptr_array_index (engine->slots, i - 1);
      const struct plc_reported_model *reported
          = plc_find_reported (state, slot->model->name);

      if (reported != NULL)
        plc_apply_reported (plc, slot, reported);
      else
        plc_apply_absent (plc, slot);
    }
  for (uint32_t i = 0; i < state->model_count; i++)
    if (plc_engine_find_slot (engine, state->models[i].name) == NULL)
      {
        struct plc_model *model = plc_model_get (plc, state->models[i].name);

        plc_emit_event (plc, PLC_EVENT_UNPINNED, engine, model->name);
        plc_apply_reported (plc, plc_slot_new (plc, model, 0, engine, false),
                            &state->models[i]);
      }
  plc_adapters_apply_state (plc, engine, state);
}

static void
plc_order_completed (struct plc *plc, struct plc_engine *engine,
                     const struct plc_engine_state *state)
{
  engine->failures = 0;
  if (engine->order_kind == PLC_SEAL)
    {
      if (!engine->sealed)
        plc_emit_event (plc, PLC_EVENT_SEALED, engine, NULL);
      engine->sealed = true;
    }
  else if (engine->incarnation != state->incarnation)
    /* A restarted engine has lost the fencing number.  */
    engine->sealed = false;
  engine->incarnation = state->incarnation;
  plc_apply_state (plc, engine, state);
  plc_schedule_read (plc, engine);
  if (!engine->sealed)
    engine->next_read_us
        = MIN (engine->next_read_us,
               plc_now (plc) + PLC_BUSY_READ_MS * PLC_US_PER_MS);
}

/* Handle an order to ENGINE that got no response and may still take effect.
   SLOT is doubtful until the state is read after the order has expired.  */
static void
plc_order_unconfirmed (struct plc *plc, struct plc_engine *engine,
                       struct plc_slot *slot)
{
  if (slot == NULL)
    {
      plc_engine_read_failed (plc, engine);
      return;
    }
  slot->state = PLC_DOUBTFUL;
  engine->order_expires_us = engine->order_sent_us + PLC_ORDER_MAX_US;
  engine->next_read_us = engine->order_expires_us;
  plc_emit_event (plc, PLC_EVENT_DOUBTFUL, engine, slot->model->name);
}

static void
plc_order_failed (struct plc *plc, struct plc_engine *engine,
                  struct plc_slot *slot, bool sent)
{
  if (slot != NULL && engine->order_kind == PLC_LOAD)
    plc_load_failed (plc, slot);
  else if (slot != NULL)
    slot->state = PLC_DOUBTFUL;
  if (slot == NULL || !sent)
    plc_engine_read_failed (plc, engine);
  else
    engine->next_read_us = plc_now (plc) + PLC_BUSY_READ_MS * PLC_US_PER_MS;
}

static struct plc_engine *
plc_find_engine_by_order (const struct plc *plc, uint64_t id)
{
  for (guint i = 0; i < plc->engines_by_address->len; i++)
    {
      struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);

      if (engine->order_id == id)
        return engine;
    }
  return NULL;
}

/* Handle the end of the order ID with OUTCOME; STATE is set for PLC_COMPLETED.
   Must not be called from within the order callback.  Orders sent before the
   last plc_start or plc_stop are ignored.  */
void
plc_order_done (struct plc *plc, uint64_t id, enum plc_outcome outcome,
                const struct plc_engine_state *state)
{
  struct plc_engine *engine
      = id == 0 ? NULL : plc_find_engine_by_order (plc, id);
  struct plc_slot *slot;

  if (engine == NULL)
    {
      plc_adapter_order_done (plc, id, outcome, state);
      return;
    }
  slot = engine->order_slot;
  engine->state_order_id = id;
  engine->order_id = 0;
  engine->order_slot = NULL;
  if (outcome == PLC_COMPLETED)
    plc_order_completed (plc, engine, state);
  else if (outcome == PLC_NO_RESPONSE)
    plc_order_unconfirmed (plc, engine, slot);
  else
    plc_order_failed (plc, engine, slot, outcome != PLC_NOT_SENT);
  if (outcome == PLC_STALE)
    engine->sealed = false;
  plc_schedule_run (plc);
}

static void
plc_check_terminated (struct plc *plc, struct plc_engine *engine)
{
  if (!engine->unlisted)
    engine->terminated = false;
  if (engine->terminated || !engine->unlisted || engine->sealed
      || engine->failures == 0 || engine->order_id != 0
      || plc_adapter_order_pending (engine)
      || plc_now (plc) < engine->unlisted_us + PLC_ORDER_MAX_US
      || plc_now (plc) < engine->order_expires_us)
    return;
  engine->terminated = true;
  plc_adapters_remove_all (plc, engine);
  for (guint i = engine->slots->len; i > 0; i--)
    plc_apply_absent (plc, g_ptr_array_index (engine->slots, i - 1));
}

static void
plc_run_engine (struct plc *plc, struct plc_engine *engine)
{
  uint64_t fence;
  bool may_order;

  if (!engine->planned && engine->slots->len == 0)
    return;
  plc_check_terminated (plc, engine);
  may_order
      = plc->callbacks.may_order (plc->arg, engine->checks_fencing, &fence);
  /* While this instance may not send orders, another controller may, so the
     engine has to be sealed again before the next order.  */
  if (!may_order)
    engine->sealed = false;
  if (plc_now (plc) < engine->next_read_us)
    return;
  (void)plc_send_order (
      plc, engine, engine->sealed || !may_order ? PLC_READ_STATE : PLC_SEAL,
      NULL);
}

/* Seal the engines, or read the state of those whose read is due.  */
void
plc_run_engines (struct plc *plc)
{
  for (guint i = 0; plc->running && i < plc->engines_by_address->len; i++)
    plc_run_engine (plc, g_ptr_array_index (plc->engines_by_address, i));
}
