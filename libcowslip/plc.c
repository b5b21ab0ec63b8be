#include "plc_adapter.h"

#define PLC_TICK_MS 100

static void
plc_peer_free (gpointer data)
{
  struct plc_peer *peer = data;

  g_free (peer->instance);
  g_free (peer);
}

/* Return a placement for ZONE that is not in control and has no plan or
   members yet.  */
struct plc *
plc_new (struct tm_service *tm, const char *zone,
         const struct plc_callbacks *callbacks, void *arg)
{
  struct plc *plc = g_new0 (struct plc, 1);

  plc->tm = tm;
  plc->zone = g_strdup (zone);
  plc->callbacks = *callbacks;
  plc->arg = arg;
  plc->weight_fetches_max = 1;
  plc->slots = g_ptr_array_new_with_free_func (plc_slot_free);
  plc->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, plc_model_free);
  plc->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, plc_engine_free);
  plc->engines_by_address = g_ptr_array_new ();
  plc->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, plc_peer_free);
  plc->adapter_loads_max = 1;
  plc->copies = g_ptr_array_new_with_free_func (plc_copy_free);
  plc->adapters = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         plc_adapter_free);
  plc->adapter_orders = g_hash_table_new (g_int64_hash, g_int64_equal);
  return plc;
}

/* Free PLC.  The owner must not call plc_order_done after this.  */
void
plc_free (struct plc *plc)
{
  if (plc == NULL)
    return;
  plc_stop (plc);
  g_ptr_array_free (plc->copies, TRUE);
  g_hash_table_destroy (plc->adapters);
  g_hash_table_destroy (plc->adapter_orders);
  g_ptr_array_free (plc->slots, TRUE);
  g_hash_table_destroy (plc->models);
  g_hash_table_destroy (plc->engines);
  g_ptr_array_free (plc->engines_by_address, TRUE);
  g_hash_table_destroy (plc->peers);
  g_free (plc->zone);
  g_free (plc);
}

static void
plc_run (void *arg)
{
  struct plc *plc = arg;

  tm_after (plc->tm, &plc->timer, PLC_TICK_MS * PLC_US_PER_MS, plc_run, plc);
  if (plc->running && !plc->paused)
    plc_run_engines (plc);
  if (plc->running && !plc->paused)
    plc_run_pins (plc);
  if (plc->running && !plc->paused)
    plc_run_idle (plc);
  if (plc->running && !plc->paused)
    plc_run_quiesce (plc);
  if (plc->running && !plc->paused)
    plc_run_loads (plc);
  if (plc->running && !plc->paused)
    plc_run_adapters (plc);
  if (plc->running)
    plc_run_view (plc);
}

/* Run a decision from the event loop.  Events that are handled in the same
   iteration cause one decision.  */
void
plc_schedule_run (struct plc *plc)
{
  if (plc->running)
    tm_after (plc->tm, &plc->timer, 0, plc_run, plc);
}

/* Report EVENT of ENGINE and MODEL, which may be NULL, to the owner.  */
void
plc_emit_event (struct plc *plc, enum plc_event event,
                const struct plc_engine *engine, const char *model)
{
  plc->callbacks.event (plc->arg, event, engine->address, model);
}

static void
plc_reset_control (struct plc *plc)
{
  GHashTableIter iter;
  gpointer value;

  while (plc->copies->len > 0)
    plc_copy_remove (plc, g_ptr_array_index (plc->copies, 0));
  while (plc->slots->len > 0)
    plc_slot_remove (plc, g_ptr_array_index (plc->slots, 0));
  g_hash_table_iter_init (&iter, plc->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct plc_engine *engine = value;

      engine->sealed = false;
      engine->order_id = 0;
      engine->order_slot = NULL;
      engine->order_expires_us = 0;
      engine->next_read_us = 0;
      engine->failures = 0;
      engine->adapter_failures = 0;
      engine->next_adapter_order_us = 0;
    }
  if (plc->saving_pins != NULL)
    g_ptr_array_unref (plc->saving_pins);
  plc->saving_pins = NULL;
  plc->saving = false;
  plc->next_save_us = 0;
  plc->waiting_loads = 0;
  vw_free (plc->view);
  plc->view = NULL;
}

/* Take control of the zone with fencing number FENCE and the slots in PINS.
   The state of an engine is unknown until it is sealed.  Unless PINS_CURRENT,
   PINS may be out of date, so an engine that is not sealed may hold a replica
   of any model.  */
void
plc_start (struct plc *plc, uint64_t fence, const GPtrArray *pins,
           bool pins_current)
{
  plc_reset_control (plc);
  plc->running = true;
  plc->fence = fence;
  plc->pins_current = pins_current;
  plc->started_us = plc_now (plc);
  plc->sequence = 0;
  for (guint i = 0; i < pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (pins, i);

      plc_slot_new (plc, plc_model_get (plc, pin->model), pin->slot,
                    plc_engine_get (plc, pin->endpoint), true)
          ->state
          = PLC_DOUBTFUL;
    }
  plc_schedule_run (plc);
}

/* Stop after the loss of control: send no more orders and drop all slots.  */
void
plc_stop (struct plc *plc)
{
  plc->running = false;
  tm_cancel (plc->tm, &plc->timer);
  plc_reset_control (plc);
}

/* Send no new orders from now on, in order to hand over control.  */
void
plc_pause (struct plc *plc)
{
  plc->paused = true;
}

/* Return whether no order is in flight and no unconfirmed one can still take
   effect.  */
bool
plc_orders_complete (const struct plc *plc)
{
  for (guint i = 0; i < plc->engines_by_address->len; i++)
    {
      const struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);

      if (engine->order_id != 0 || plc_now (plc) < engine->order_expires_us)
        return false;
    }
  return plc_adapter_orders_complete (plc);
}

/* Replace the members of the zone.  A member that is no longer listed stays in
   the table as unreachable.  */
void
plc_set_members (struct plc *plc, const struct plc_member *members,
                 uint32_t count)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, plc->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct plc_peer *peer = value;

      peer->recorded = false;
      peer->reachable = false;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      struct plc_peer *peer
          = g_hash_table_lookup (plc->peers, members[i].instance);

      if (peer == NULL)
        {
          peer = g_new0 (struct plc_peer, 1);
          peer->instance = g_strdup (members[i].instance);
          g_hash_table_insert (plc->peers, peer->instance, peer);
        }
      peer->recorded = members[i].recorded;
      peer->reachable = members[i].reachable;
    }
  g_hash_table_iter_init (&iter, plc->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct plc_peer *peer = value;

      if (peer->reachable)
        peer->unreachable_us = 0;
      else if (peer->unreachable_us == 0)
        peer->unreachable_us = plc_now (plc);
    }
  plc_schedule_run (plc);
}

/* Set whether ENDPOINT is leaving.  */
void
plc_set_leaving (struct plc *plc, const char *endpoint, bool leaving)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);

  if (engine == NULL || engine->leaving == leaving)
    return;
  engine->leaving = leaving;
  plc_schedule_run (plc);
}

/* Set whether ENDPOINT is much slower than the rest of its pool.  */
void
plc_set_slow (struct plc *plc, const char *endpoint, bool slow)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);

  if (engine == NULL || engine->slow == slow)
    return;
  engine->slow = slow;
  plc_schedule_run (plc);
}

/* Set whether ENDPOINT is missing from the instance list.  The list can be out
   of date, so the engine counts as terminated only when reading its state
   fails too.  */
void
plc_set_unlisted (struct plc *plc, const char *endpoint, bool unlisted)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);

  if (engine == NULL || engine->unlisted == unlisted)
    return;
  engine->unlisted = unlisted;
  engine->unlisted_us = plc_now (plc);
  engine->next_read_us = 0;
  plc_schedule_run (plc);
}
