#include "plc_adapter.h"

#define PLC_TICK_MS 100

static void
plc_peer_free (gpointer data)
{
  struct plc_peer *peer = data;

  g_free (peer->instance);
  g_free (peer);
}

/* Return a placement for ZONE without authority, plan or members.  */
struct plc *
plc_new (struct tm_service *tm, const char *zone,
         const struct plc_callbacks *callbacks, void *arg)
{
  struct plc *plc = g_new0 (struct plc, 1);

  plc->tm = tm;
  plc->zone = g_strdup (zone);
  plc->callbacks = *callbacks;
  plc->arg = arg;
  plc->weight_loads = 1;
  plc->slots = g_ptr_array_new_with_free_func (plc_slot_free);
  plc->models
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, plc_model_free);
  plc->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, plc_engine_free);
  plc->sorted = g_ptr_array_new ();
  plc->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, plc_peer_free);
  plc->adapter_loads = 1;
  plc->copies = g_ptr_array_new_with_free_func (plc_copy_free);
  plc->adapters = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         plc_adapter_free);
  plc->adapter_orders = g_hash_table_new (g_int64_hash, g_int64_equal);
  return plc;
}

/* Free PLC.  Answers to its orders must not be passed on any more.  */
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
  g_ptr_array_free (plc->sorted, TRUE);
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

/* Decide soon.  Events that come together lead to one decision.  */
void
plc_wake (struct plc *plc)
{
  if (plc->running)
    tm_after (plc->tm, &plc->timer, 0, plc_run, plc);
}

/* Tell the owner about an event of ENGINE and MODEL (may be NULL).  */
void
plc_note_event (struct plc *plc, enum plc_note note,
                const struct plc_engine *engine, const char *model)
{
  plc->callbacks.note (plc->arg, note, engine->address, model);
}

static void
plc_forget_authority (struct plc *plc)
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
      engine->clear_us = 0;
      engine->next_read_us = 0;
      engine->failures = 0;
      engine->adapter_failures = 0;
      engine->adapter_not_before_us = 0;
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

/* Begin to decide with authority FENCE over PINS.  Nothing is known of any
   engine until it is sealed.  Without CERTAIN, PINS may be out of date, so an
   engine that is not sealed may hold a replica of any model.  */
void
plc_start (struct plc *plc, uint64_t fence, const GPtrArray *pins,
           bool certain)
{
  plc_forget_authority (plc);
  plc->running = true;
  plc->fence = fence;
  plc->certain = certain;
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
  plc_wake (plc);
}

/* Authority has ended: send no more orders and forget the slots.  */
void
plc_stop (struct plc *plc)
{
  plc->running = false;
  tm_cancel (plc->tm, &plc->timer);
  plc_forget_authority (plc);
}

/* Send no new orders from now on, because control is handed over.  */
void
plc_pause (struct plc *plc)
{
  plc->paused = true;
}

/* Return whether no order is under way and no unanswered one can still take
   effect.  */
bool
plc_is_quiet (const struct plc *plc)
{
  for (guint i = 0; i < plc->sorted->len; i++)
    {
      const struct plc_engine *engine = g_ptr_array_index (plc->sorted, i);

      if (engine->order_id != 0 || plc_now (plc) < engine->clear_us)
        return false;
    }
  return plc_adapters_settled (plc);
}

/* Replace the members of the zone.  One that is not named any more is
   remembered until it has been missing long enough.  */
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
        peer->missed_us = 0;
      else if (peer->missed_us == 0)
        peer->missed_us = plc_now (plc);
    }
  plc_wake (plc);
}

/* ENDPOINT is leaving, or back in service.  */
void
plc_set_leaving (struct plc *plc, const char *endpoint, bool leaving)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);

  if (engine == NULL || engine->leaving == leaving)
    return;
  engine->leaving = leaving;
  plc_wake (plc);
}

/* ENDPOINT is much slower than its pool, or not any more.  */
void
plc_set_slow (struct plc *plc, const char *endpoint, bool slow)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);

  if (engine == NULL || engine->slow == slow)
    return;
  engine->slow = slow;
  plc_wake (plc);
}

/* The instance list does not name ENDPOINT, or names it again.  Whether it is
   really gone is checked by reading its state.  */
void
plc_set_gone (struct plc *plc, const char *endpoint, bool gone)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);

  if (engine == NULL || engine->gone == gone)
    return;
  engine->gone = gone;
  engine->gone_us = plc_now (plc);
  engine->next_read_us = 0;
  plc_wake (plc);
}
