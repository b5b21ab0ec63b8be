#include "plc_adapter.h"

#define PLC_ASK_MS 200
/* The view that shows the quiescing replica goes out before the question.  */
#define PLC_FIRST_ASK_MS 10
/* A member that is unreachable for so long has lost its record, or serves
   nothing that an unload could cut off.  */
#define PLC_MISSING_MS     10000
#define PLC_USE_REPORTS_MS 2000

/* Begin to empty SLOT because of REASON.  */
void
plc_quiesce_begin (struct plc *plc, struct plc_slot *slot,
                   enum plc_quiesce_reason reason)
{
  slot->state = PLC_QUIESCING;
  slot->reason = reason;
  slot->next_ask_us = plc_now (plc) + PLC_FIRST_ASK_MS * PLC_US_PER_MS;
  g_hash_table_remove_all (slot->quiet);
  plc_adapters_ask_again (slot);
}

static bool
plc_must_answer (const struct plc *plc, const struct plc_peer *peer)
{
  if (peer->reachable)
    return true;
  return peer->recorded
         && plc_now (plc) < peer->missed_us + PLC_MISSING_MS * PLC_US_PER_MS;
}

/* Ask the members that are not in QUIET whether they use the model or adapter
   NAME on ENGINE, if ASK.  Return whether all have confirmed that they do not;
   with no member known nothing is confirmed.  */
bool
plc_members_quiet (struct plc *plc, GHashTable *quiet, const char *name,
                   const struct plc_engine *engine, bool ask)
{
  GHashTableIter iter;
  gpointer value;
  bool confirmed = g_hash_table_size (plc->peers) > 0;

  g_hash_table_iter_init (&iter, plc->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct plc_peer *peer = value;

      if (!plc_must_answer (plc, peer)
          || g_hash_table_contains (quiet, peer->instance))
        continue;
      confirmed = false;
      if (ask)
        plc->callbacks.ask_quiesce (plc->arg, peer->instance, name,
                                    engine->address);
    }
  return confirmed;
}

/* Requests for an adapter use the replica of its model, so both must be out of
   use.  */
static bool
plc_is_confirmed (struct plc *plc, const struct plc_slot *slot, bool ask)
{
  bool adapters = plc_adapters_quiet (plc, slot, ask);

  return plc_members_quiet (plc, slot->quiet, slot->model->name, slot->engine,
                            ask)
         && adapters;
}

static void
plc_run_quiescing (struct plc *plc, struct plc_slot *slot)
{
  bool ask = plc_now (plc) >= slot->next_ask_us;

  if (slot->reason == PLC_IDLE && slot->model->waiting > 0)
    {
      slot->state = PLC_LOADED;
      return;
    }
  if (ask)
    slot->next_ask_us = plc_now (plc) + PLC_ASK_MS * PLC_US_PER_MS;
  if (!plc_is_confirmed (plc, slot, ask) || !slot->engine->sealed
      || !plc_send (plc, slot->engine, PLC_UNLOAD, slot))
    return;
  slot->state = PLC_UNLOADING;
  plc_note_event (plc, PLC_NOTE_UNLOAD, slot->engine, slot->model->name);
}

/* Ask members about quiescing replicas and unload those that nobody uses.  */
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

/* INSTANCE answered the question about MODEL on ENDPOINT.  */
void
plc_quiesced (struct plc *plc, const char *instance, const char *model,
              const char *endpoint, bool accepted, uint32_t in_flight)
{
  struct plc_engine *engine = g_hash_table_lookup (plc->engines, endpoint);
  struct plc_slot *slot = engine == NULL ? NULL : plc_slot_on (engine, model);

  if (engine != NULL && accepted && in_flight == 0)
    plc_adapter_quiesced (plc, engine, instance, model);
  if (slot == NULL || slot->state != PLC_QUIESCING || !accepted
      || in_flight > 0)
    return;
  g_hash_table_add (slot->quiet, g_strdup (instance));
  plc_wake (plc);
}

static bool
plc_is_outdated (const struct plc_slot *slot)
{
  return slot->model->planned
         && g_strcmp0 (slot->version, slot->model->version) != 0;
}

/* Return how long SLOT stays loaded without use, in microseconds.  Shorter
   than two reports of use would unload replicas that are in use.  */
static uint64_t
plc_keep_us (const struct plc *plc, const struct plc_slot *slot)
{
  const struct plc_model *model = slot->model;
  uint64_t load_us = plc_estimate_us (&plc->estimate, plc_slot_tier (slot),
                                      model->bytes, plc_now (plc));
  uint32_t min_ms = MAX (model->keep_alive_min_ms, PLC_USE_REPORTS_MS);

  return plc_gaps_keep_alive_us (&model->gaps, load_us,
                                 MIN (min_ms, model->keep_alive_max_ms),
                                 model->keep_alive_max_ms);
}

/* Begin to empty replicas that are not used any more, misplaced or of another
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
      if (plc_slot_misplaced (slot) || plc_is_outdated (slot))
        plc_quiesce_begin (plc, slot, PLC_MISPLACED);
      else if (model->waiting == 0
               && now_us >= model->last_used_us + plc_keep_us (plc, slot))
        plc_quiesce_begin (plc, slot, PLC_IDLE);
    }
}
