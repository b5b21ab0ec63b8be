#include "plc_adapter.h"

#define PLC_QUIESCE_INTERVAL_MS 200
/* Gives the view that shows the replica as quiescing time to arrive before the
   first quiesce request.  */
#define PLC_QUIESCE_DELAY_MS 10
/* A member that has been unreachable for this long has lost its membership
   record or serves no requests that an unload could interrupt.  */
#define PLC_MEMBER_EXPIRY_MS  10000
#define PLC_KEEP_ALIVE_MIN_MS 2000

/* Begin to quiesce SLOT because of REASON.  */
void
plc_quiesce_begin (struct plc *plc, struct plc_slot *slot,
                   enum plc_quiesce_reason reason)
{
  slot->state = PLC_QUIESCING;
  slot->reason = reason;
  slot->next_quiesce_us = plc_now (plc) + PLC_QUIESCE_DELAY_MS * PLC_US_PER_MS;
  g_hash_table_remove_all (slot->quiesced);
  plc_adapters_reset_quiesce (slot);
}

static bool
plc_must_confirm (const struct plc *plc, const struct plc_peer *peer)
{
  if (peer->reachable)
    return true;
  return peer->recorded
         && plc_now (plc)
                < peer->unreachable_us + PLC_MEMBER_EXPIRY_MS * PLC_US_PER_MS;
}

/* Return whether all members have confirmed that they do not use the model or
   adapter NAME on ENGINE; false without members.  QUIESCED holds the members
   that have confirmed it.  If SEND_REQUESTS, send a quiesce request to the
   others.  */
bool
plc_members_quiesced (struct plc *plc, GHashTable *quiesced, const char *name,
                      const struct plc_engine *engine, bool send_requests)
{
  GHashTableIter iter;
  gpointer value;
  bool confirmed = g_hash_table_size (plc->peers) > 0;

  g_hash_table_iter_init (&iter, plc->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct plc_peer *peer = value;

      if (!plc_must_confirm (plc, peer)
          || g_hash_table_contains (quiesced, peer->instance))
        continue;
      confirmed = false;
      if (send_requests)
        plc->callbacks.request_quiesce (plc->arg, peer->instance, name,
                                        engine->address);
    }
  return confirmed;
}

/* Requests for an adapter use the replica of its model, so members must
   confirm both.  */
static bool
plc_slot_is_quiesced (struct plc *plc, const struct plc_slot *slot,
                      bool send_requests)
{
  bool adapters = plc_adapters_quiesced (plc, slot, send_requests);

  return plc_members_quiesced (plc, slot->quiesced, slot->model->name,
                               slot->engine, send_requests)
         && adapters;
}

static void
plc_run_quiescing (struct plc *plc, struct plc_slot *slot)
{
  bool send_requests = plc_now (plc) >= slot->next_quiesce_us;

  if (slot->reason == PLC_QUIESCE_IDLE && slot->model->waiting > 0)
    {
      slot->state = PLC_LOADED;
      return;
    }
  if (send_requests)
    slot->next_quiesce_us
        = plc_now (plc) + PLC_QUIESCE_INTERVAL_MS * PLC_US_PER_MS;
  if (!plc_slot_is_quiesced (plc, slot, send_requests) || !slot->engine->sealed
      || !plc_send_order (plc, slot->engine, PLC_UNLOAD, slot))
    return;
  slot->state = PLC_UNLOADING;
  plc_emit_event (plc, PLC_EVENT_UNLOAD, slot->engine, slot->model->name);
}

/* Send quiesce requests for quiescing replicas, and unload those that all
   members have confirmed.  */
void
plc_run_quiesce (struct plc *plc)
{
  for (guint i = 0; i < plc->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      if (slot->state == PLC_QUIESCING)
        plc_run_quiescing (plc, slot);
    }
}

/* Handle the reply of INSTANCE to a quiesce request for MODEL on ENDPOINT.  It
   confirms only if it ACCEPTED and has no requests IN_FLIGHT.  */
void
plc_quiesce_reply (struct plc *plc, const char *instance, const char *model,
                   const char *endpoint, bool accepted, uint32_t in_flight)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);
  struct plc_slot *slot
      = engine == NULL ? NULL : plc_engine_find_slot (engine, model);

  if (engine != NULL && accepted && in_flight == 0)
    plc_adapter_quiesce_reply (plc, engine, instance, model);
  if (slot == NULL || slot->state != PLC_QUIESCING || !accepted
      || in_flight > 0)
    return;
  g_hash_table_add (slot->quiesced, g_strdup (instance));
  plc_schedule_run (plc);
}

static bool
plc_is_outdated (const struct plc_slot *slot)
{
  return slot->model->planned
         && g_strcmp0 (slot->version, slot->model->version) != 0;
}

/* Return how long SLOT stays loaded without use, in microseconds.  Less than
   the interval of two usage reports would unload replicas in use.  */
static uint64_t
plc_keep_alive_us (const struct plc *plc, const struct plc_slot *slot)
{
  const struct plc_model *model = slot->model;
  uint64_t load_us = plc_estimate_us (&plc->estimate, plc_slot_tier (slot),
                                      model->bytes, plc_now (plc));
  uint32_t min_ms = MAX (model->keep_alive_min_ms, PLC_KEEP_ALIVE_MIN_MS);

  return plc_gaps_keep_alive_us (&model->gaps, load_us,
                                 MIN (min_ms, model->keep_alive_max_ms),
                                 model->keep_alive_max_ms);
}

/* Begin to quiesce replicas that are idle, misplaced or of an outdated
   version.  */
void
plc_run_idle (struct plc *plc)
{
  uint64_t now_us = plc_now (plc);

  for (guint i = 0; i < plc->slots->len; i++)
    {
      struct plc_slot *slot = g_ptr_array_index (plc->slots, i);
      const struct plc_model *model = slot->model;

      if (slot->state != PLC_LOADED)
        continue;
      if (plc_slot_is_misplaced (slot) || plc_is_outdated (slot))
        plc_quiesce_begin (plc, slot, PLC_QUIESCE_MISPLACED);
      else if (model->waiting == 0
               && now_us
                      >= model->last_used_us + plc_keep_alive_us (plc, slot))
        plc_quiesce_begin (plc, slot, PLC_QUIESCE_IDLE);
    }
}
