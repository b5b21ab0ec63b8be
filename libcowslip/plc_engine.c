#include "plc_adapter.h"

/* An engine on which nothing changes is read this seldom, and all of them
   together at most ten times a second: at 292 engines a read each 10 s cost
   the controller 13 KB/s.  */
#define PLC_SETTLED_READ_MS  10000
#define PLC_SETTLED_EACH_MS  100
#define PLC_BUSY_READ_MS     200
#define PLC_LOAD_READ_MIN_MS 50
#define PLC_LATE_PART        16
#define PLC_RETRY_MS         500
#define PLC_RETRY_MAX_MS     4000
#define PLC_FAILURES_MAX     3

/* Send an order of KIND for SLOT (NULL for a seal or a read) to ENGINE.
   Return whether it was sent; without authority nothing is.  */
bool
plc_send (struct plc *plc, struct plc_engine *engine, enum plc_order_kind kind,
          struct plc_slot *slot)
{
  struct plc_order order = { .kind = kind, .endpoint = engine->address };

  if (engine->order_id != 0 || plc_now (plc) < engine->clear_us)
    return false;
  if (kind != PLC_STATE
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
  return plc_adapters_unknown (engine);
}

/* Return the time until the load of SLOT is worth a look, in microseconds: its
   expected end, or a part of the time that it has taken if that has passed.
   A store slot is idle between the end of a load and the read that shows it.
 */
static uint64_t
plc_load_look_us (const struct plc *plc, const struct plc_slot *slot)
{
  uint64_t now_us = plc_now (plc);
  uint64_t delay_us = slot->ready_us > now_us + PLC_US_PER_MS
                          ? slot->ready_us - now_us
                          : (now_us - slot->since_us) / PLC_LATE_PART;

  return MAX (delay_us, PLC_LOAD_READ_MIN_MS * PLC_US_PER_MS);
}

static void
plc_read_after (struct plc *plc, struct plc_engine *engine)
{
  uint32_t settled_ms
      = MAX (PLC_SETTLED_READ_MS, plc->sorted->len * PLC_SETTLED_EACH_MS);
  uint64_t delay_us
      = (plc_engine_is_busy (engine) ? PLC_BUSY_READ_MS : settled_ms)
        * PLC_US_PER_MS;

  for (guint i = 0; i < engine->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (slot->state == PLC_LOADING && slot->since_us != 0)
        delay_us = MIN (delay_us, plc_load_look_us (plc, slot));
    }
  engine->next_read_us = plc_now (plc) + delay_us;
}

/* The state of ENGINE cannot be read: after some failures all its slots are in
   doubt.  */
static void
plc_engine_failed (struct plc *plc, struct plc_engine *engine)
{
  uint32_t delay_ms
      = MIN (PLC_RETRY_MS << MIN (engine->failures, 4), PLC_RETRY_MAX_MS);

  engine->failures++;
  engine->next_read_us = plc_now (plc) + delay_ms * PLC_US_PER_MS;
  if (engine->failures < PLC_FAILURES_MAX && !engine->gone)
    return;
  if (engine->sealed)
    plc_note_event (plc, PLC_NOTE_DOUBTFUL, engine, NULL);
  engine->sealed = false;
  for (guint i = 0; i < engine->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (engine->slots, i);

      if (slot->state != PLC_COLD)
        slot->state = PLC_DOUBTFUL;
    }
  plc_adapters_doubt (engine);
}

static void
plc_load_failed (struct plc *plc, struct plc_slot *slot)
{
  uint32_t delay_ms = 1000U << MIN (slot->failures, 5);

  slot->failures++;
  slot->not_before_us = plc_now (plc) + delay_ms * PLC_US_PER_MS;
  slot->since_us = 0;
  plc_slot_cool (slot);
  plc_note_event (plc, PLC_NOTE_LOAD_FAILED, slot->engine, slot->model->name);
}

static void
plc_apply_loaded (struct plc *plc, struct plc_slot *slot)
{
  if (slot->state == PLC_LOADING && slot->since_us != 0)
    plc_estimate_learn (&plc->estimate, slot->tier, slot->model->bytes,
                        plc_now (plc) - slot->since_us, plc_now (plc));
  /* A new controller does not know when the replica was used last.  */
  slot->model->last_used_us = MAX (slot->model->last_used_us, plc->started_us);
  slot->since_us = 0;
  slot->failures = 0;
  if (slot->adapter_bytes == 0)
    slot->adapter_bytes = slot->model->adapter_bytes;
  if (slot->state != PLC_QUIESCING)
    slot->state = PLC_LOADED;
}

static void
plc_apply_loading (struct plc *plc, struct plc_slot *slot,
                   const struct plc_reported *reported)
{
  uint64_t now_us = plc_now (plc);

  slot->state = PLC_LOADING;
  slot->tier = reported->tier;
  if (slot->since_us == 0)
    slot->since_us = now_us;
  if (reported->ready_in_ms > 0)
    slot->ready_us = now_us + reported->ready_in_ms * PLC_US_PER_MS;
  else if (slot->ready_us < now_us)
    slot->ready_us = now_us + (now_us - slot->since_us) / 8;
}

static void
plc_apply_reported (struct plc *plc, struct plc_slot *slot,
                    const struct plc_reported *reported)
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

static const struct plc_reported *
plc_find_reported (const struct plc_state *state, const char *model)
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

  slot->since_us = 0;
  if (!slot->pinned)
    plc_slot_remove (plc, slot);
  else if (was_loading)
    plc_load_failed (plc, slot);
  else
    plc_slot_cool (slot);
}

static void
plc_apply_cached (struct plc_engine *engine, const struct plc_state *state)
{
  g_hash_table_remove_all (engine->cached);
  for (uint32_t i = 0; i < state->cached_count; i++)
    {
      struct plc_cached_copy *copy = g_new0 (struct plc_cached_copy, 1);

      copy->version = g_strdup (state->cached[i].version);
      copy->tier = state->cached[i].tier;
      g_hash_table_replace (engine->cached, g_strdup (state->cached[i].name),
                            copy);
    }
}

static void
plc_apply (struct plc *plc, struct plc_engine *engine,
           const struct plc_state *state)
{
  engine->reported_memory_bytes = state->memory_bytes;
  engine->says_leaving = state->leaving;
  engine->departed = false;
  plc_apply_cached (engine, state);
  for (guint i = engine->slots->len; i > 0; i--)
    {
      struct plc_slot *slot = g_ptr_array_index (engine->slots, i - 1);
      const struct plc_reported *reported
          = plc_find_reported (state, slot->model->name);

      if (reported != NULL)
        plc_apply_reported (plc, slot, reported);
      else
        plc_apply_absent (plc, slot);
    }
  for (uint32_t i = 0; i < state->model_count; i++)
    if (plc_slot_on (engine, state->models[i].name) == NULL)
      {
        struct plc_model *model = plc_model_get (plc, state->models[i].name);

        plc_note_event (plc, PLC_NOTE_UNPINNED, engine, model->name);
        plc_apply_reported (plc, plc_slot_new (plc, model, 0, engine, false),
                            &state->models[i]);
      }
  plc_adapters_apply (plc, engine, state);
}

static void
plc_answered_with_state (struct plc *plc, struct plc_engine *engine,
                         const struct plc_state *state)
{
  engine->failures = 0;
  if (engine->order_kind == PLC_SEAL)
    {
      if (!engine->sealed)
        plc_note_event (plc, PLC_NOTE_SEALED, engine, NULL);
      engine->sealed = true;
    }
  else if (engine->incarnation != state->incarnation)
    /* A restarted engine has forgotten the fencing number.  */
    engine->sealed = false;
  engine->incarnation = state->incarnation;
  plc_apply (plc, engine, state);
  plc_read_after (plc, engine);
  if (!engine->sealed)
    engine->next_read_us
        = MIN (engine->next_read_us,
               plc_now (plc) + PLC_BUSY_READ_MS * PLC_US_PER_MS);
}

/* An order to ENGINE may still take effect: its slot is in doubt until the
   state is read when no order can be under way any more.  */
static void
plc_unanswered (struct plc *plc, struct plc_engine *engine,
                struct plc_slot *slot)
{
  if (slot == NULL)
    {
      plc_engine_failed (plc, engine);
      return;
    }
  slot->state = PLC_DOUBTFUL;
  engine->clear_us = engine->order_sent_us + PLC_ORDER_MAX_US;
  engine->next_read_us = engine->clear_us;
  plc_note_event (plc, PLC_NOTE_DOUBTFUL, engine, slot->model->name);
}

static void
plc_not_done (struct plc *plc, struct plc_engine *engine,
              struct plc_slot *slot, bool sent)
{
  if (slot != NULL && engine->order_kind == PLC_LOAD)
    plc_load_failed (plc, slot);
  else if (slot != NULL)
    slot->state = PLC_DOUBTFUL;
  if (slot == NULL || !sent)
    plc_engine_failed (plc, engine);
  else
    engine->next_read_us = plc_now (plc) + PLC_BUSY_READ_MS * PLC_US_PER_MS;
}

static struct plc_engine *
plc_engine_of_order (const struct plc *plc, uint64_t id)
{
  for (guint i = 0; i < plc->sorted->len; i++)
    {
      struct plc_engine *engine = g_ptr_array_index (plc->sorted, i);

      if (engine->order_id == id)
        return engine;
    }
  return NULL;
}

/* The order ID ended with OUTCOME; STATE is given for PLC_ANSWERED.  Not to be
   called from within the order callback.  Answers to orders of an earlier
   authority are ignored.  */
void
plc_answered (struct plc *plc, uint64_t id, enum plc_outcome outcome,
              const struct plc_state *state)
{
  struct plc_engine *engine = id == 0 ? NULL : plc_engine_of_order (plc, id);
  struct plc_slot *slot;

  if (engine == NULL)
    {
      plc_adapter_answered (plc, id, outcome, state);
      return;
    }
  slot = engine->order_slot;
  engine->answered_id = id;
  engine->order_id = 0;
  engine->order_slot = NULL;
  if (outcome == PLC_ANSWERED)
    plc_answered_with_state (plc, engine, state);
  else if (outcome == PLC_NO_ANSWER)
    plc_unanswered (plc, engine, slot);
  else
    plc_not_done (plc, engine, slot, outcome != PLC_NOT_SENT);
  if (outcome == PLC_STALE)
    engine->sealed = false;
  plc_wake (plc);
}

static void
plc_check_departed (struct plc *plc, struct plc_engine *engine)
{
  if (!engine->gone)
    engine->departed = false;
  if (engine->departed || !engine->gone || engine->sealed
      || engine->failures == 0 || engine->order_id != 0
      || plc_adapters_ordered (engine)
      || plc_now (plc) < engine->gone_us + PLC_ORDER_MAX_US
      || plc_now (plc) < engine->clear_us)
    return;
  engine->departed = true;
  plc_adapters_drop (plc, engine);
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
  plc_check_departed (plc, engine);
  may_order
      = plc->callbacks.may_order (plc->arg, engine->checks_fencing, &fence);
  /* Without the right to order somebody else may order, so the engine is
     sealed again before the next order.  */
  if (!may_order)
    engine->sealed = false;
  if (plc_now (plc) < engine->next_read_us)
    return;
  (void)plc_send (plc, engine,
                  engine->sealed || !may_order ? PLC_STATE : PLC_SEAL, NULL);
}

/* Seal engines and read their state where it is due.  */
void
plc_run_engines (struct plc *plc)
{
  for (guint i = 0; plc->running && i < plc->sorted->len; i++)
    plc_run_engine (plc, g_ptr_array_index (plc->sorted, i));
}
