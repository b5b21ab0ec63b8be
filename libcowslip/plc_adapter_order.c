#include "plc_adapter.h"

#define PLC_ADAPTER_RETRY_MS 200

/* Send an order of KIND for COPY.  Return whether it was sent; without control
   of the zone it is not.  Orders for several adapters of an engine may be in
   flight at once, concurrently with one for a model.  */
bool
plc_copy_send_order (struct plc *plc, struct plc_adapter_copy *copy,
                     enum plc_order_kind kind)
{
  const struct plc_engine *engine = copy->engine;
  struct plc_order order = { .kind = kind,
                             .endpoint = engine->address,
                             .model = copy->model->name,
                             .adapter = copy->adapter->name,
                             .version = copy->version,
                             .bytes = copy->bytes };

  if (!engine->sealed || copy->order_id != 0
      || plc_now (plc) < copy->order_expires_us
      || !plc->callbacks.may_order (plc->arg, engine->checks_fencing,
                                    &order.fence)
      || order.fence != plc->fence)
    return false;
  order.id = ++plc->next_id;
  copy->order_id = order.id;
  copy->order_kind = kind;
  copy->order_sent_us = plc_now (plc);
  g_hash_table_insert (plc->adapter_orders, &copy->order_id, copy);
  plc->callbacks.order (plc->arg, &order);
  return true;
}

static const struct plc_reported_adapter *
plc_find_adapter (const struct plc_engine_state *state, const char *name)
{
  for (uint32_t i = 0; i < state->adapter_count; i++)
    if (g_str_equal (state->adapters[i].name, name))
      return &state->adapters[i];
  return NULL;
}

static void
plc_copy_apply (struct plc *plc, struct plc_adapter_copy *copy,
                const struct plc_reported_adapter *reported)
{
  enum plc_slot_state before = copy->state;

  if (reported->version != NULL)
    {
      g_free (copy->version);
      copy->version = g_strdup (reported->version);
    }
  copy->loading = reported->state == PLC_LOADING;
  if (reported->state != PLC_LOADED)
    {
      copy->state = reported->state;
      return;
    }
  /* A new controller does not know when the adapter was last used.  */
  copy->adapter->last_used_us
      = MAX (copy->adapter->last_used_us, plc->started_us);
  if (before == PLC_LOADED || before == PLC_QUIESCING)
    return;
  copy->state = PLC_LOADED;
  copy->loaded_us = plc_now (plc);
}

/* Handle an order for COPY that was not carried out: delay further adapter
   orders to its engine.  Other engines may load the adapter meanwhile.  */
static void
plc_copy_order_failed (struct plc *plc, struct plc_adapter_copy *copy)
{
  struct plc_engine *engine = copy->engine;
  uint32_t delay_ms = PLC_ADAPTER_RETRY_MS
                      << MIN (engine->adapter_failures, 5);

  engine->adapter_failures++;
  engine->next_adapter_order_us = plc_now (plc) + delay_ms * PLC_US_PER_MS;
  engine->next_read_us = plc_now (plc);
  if (copy->order_kind == PLC_ADAPTER_UNLOAD)
    {
      copy->state = PLC_QUIESCING;
      return;
    }
  plc_emit_event (plc, PLC_EVENT_ADAPTER_LOAD_FAILED, engine,
                  copy->adapter->name);
  plc_copy_remove (plc, copy);
}

static void
plc_copy_order_completed (struct plc *plc, struct plc_adapter_copy *copy,
                          const struct plc_engine_state *state)
{
  struct plc_engine *engine = copy->engine;
  const struct plc_reported_adapter *reported
      = plc_find_adapter (state, copy->adapter->name);

  /* A restarted engine has lost its adapters, possibly including this one.  */
  if (state->incarnation != engine->incarnation)
    {
      copy->state = PLC_DOUBTFUL;
      engine->sealed = false;
      engine->next_read_us = plc_now (plc);
      return;
    }
  engine->adapter_failures = 0;
  if (copy->order_kind == PLC_ADAPTER_UNLOAD)
    {
      engine->adapters_stale_id = plc->next_id;
      plc_copy_remove (plc, copy);
    }
  else if (reported == NULL)
    plc_copy_order_failed (plc, copy);
  else
    plc_copy_apply (plc, copy, reported);
}

/* Handle the end of the adapter order ID with OUTCOME, as in plc_order_done.
   STATE is used for the adapter of the order only: for others it may be older
   than the orders in flight.  */
void
plc_adapter_order_done (struct plc *plc, uint64_t id, enum plc_outcome outcome,
                        const struct plc_engine_state *state)
{
  struct plc_adapter_copy *copy
      = g_hash_table_lookup (plc->adapter_orders, &id);
  struct plc_engine *engine;

  if (copy == NULL)
    return;
  engine = copy->engine;
  g_hash_table_remove (plc->adapter_orders, &id);
  copy->order_id = 0;
  copy->stale_id = plc->next_id;
  if (outcome == PLC_COMPLETED)
    plc_copy_order_completed (plc, copy, state);
  else if (outcome == PLC_NO_RESPONSE)
    {
      copy->state = PLC_DOUBTFUL;
      copy->order_expires_us = copy->order_sent_us + PLC_ORDER_MAX_US;
      engine->next_read_us
          = MIN (engine->next_read_us, copy->order_expires_us);
      plc_emit_event (plc, PLC_EVENT_DOUBTFUL, engine, copy->adapter->name);
    }
  else
    plc_copy_order_failed (plc, copy);
  if (outcome == PLC_STALE)
    engine->sealed = false;
  plc_schedule_run (plc);
}

/* Return whether the state being applied to ENGINE is newer than the last
   order for COPY.  */
static bool
plc_state_is_current (const struct plc_engine *engine,
                      const struct plc_adapter_copy *copy)
{
  return copy->order_id == 0 && engine->state_order_id > copy->stale_id
         && engine->order_sent_us >= copy->order_expires_us;
}

/* Update the copies on ENGINE from its STATE.  An unload by an earlier
   controller may still be in flight to an engine that is not sealed, so the
   state is ignored until such an order has expired.  */
void
plc_adapters_apply_state (struct plc *plc, struct plc_engine *engine,
                          const struct plc_engine_state *state)
{
  if (!engine->sealed
      && engine->order_sent_us < plc->started_us + PLC_ORDER_MAX_US)
    return;
  for (guint i = engine->copies->len; i > 0; i--)
    {
      struct plc_adapter_copy *copy
          = g_ptr_array_index (engine->copies, i - 1);
      const struct plc_reported_adapter *reported
          = plc_find_adapter (state, copy->adapter->name);

      if (!plc_state_is_current (engine, copy))
        continue;
      if (reported != NULL)
        plc_copy_apply (plc, copy, reported);
      else
        plc_copy_remove (plc, copy);
    }
  for (uint32_t i = 0; engine->state_order_id > engine->adapters_stale_id
                       && i < state->adapter_count;
       i++)
    {
      const struct plc_reported_adapter *reported = &state->adapters[i];

      if (plc_engine_find_copy (engine, reported->name) == NULL)
        plc_copy_apply (
            plc,
            plc_copy_new (plc, plc_adapter_get (plc, reported->name), engine,
                          plc_model_get (plc, reported->model)),
            reported);
    }
}

/* Mark the copies on ENGINE as doubtful, because its state cannot be read.  */
void
plc_adapters_set_doubtful (struct plc_engine *engine)
{
  for (guint i = 0; i < engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy = g_ptr_array_index (engine->copies, i);

      if (copy->order_id == 0)
        copy->state = PLC_DOUBTFUL;
    }
}

/* Remove the copies on ENGINE, which has terminated.  */
void
plc_adapters_remove_all (struct plc *plc, struct plc_engine *engine)
{
  while (engine->copies->len > 0)
    plc_copy_remove (plc, g_ptr_array_index (engine->copies, 0));
}
