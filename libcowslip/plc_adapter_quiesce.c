#include "plc_adapter.h"

#define PLC_ADAPTER_QUIESCE_INTERVAL_MS 100
/* Gives the view that shows the adapter as quiescing time to arrive before the
   first quiesce request.  */
#define PLC_ADAPTER_QUIESCE_DELAY_MS 5

/* Begin to quiesce COPY.  */
void
plc_copy_quiesce (const struct plc *plc, struct plc_adapter_copy *copy)
{
  copy->state = PLC_QUIESCING;
  copy->next_quiesce_us
      = plc_now (plc) + PLC_ADAPTER_QUIESCE_DELAY_MS * PLC_US_PER_MS;
  g_hash_table_remove_all (copy->quiesced);
}

static bool
plc_copy_is_quiesced (struct plc *plc, struct plc_adapter_copy *copy,
                      bool send_requests)
{
  return plc_members_quiesced (plc, copy->quiesced, copy->adapter->name,
                               copy->engine, send_requests);
}

static void
plc_run_copy (struct plc *plc, struct plc_adapter_copy *copy)
{
  const struct plc_slot *slot
      = plc_engine_find_slot (copy->engine, copy->model->name);
  bool outdated = plc_copy_is_outdated (copy);
  bool send_requests;

  if (copy->state == PLC_LOADED && outdated)
    plc_copy_quiesce (plc, copy);
  if (copy->state != PLC_QUIESCING)
    return;
  if (!outdated && copy->adapter->demand.waiting > 0)
    {
      copy->state = PLC_LOADED;
      return;
    }
  /* Unloading the replica unloads its adapters too.  */
  if (slot != NULL && slot->state != PLC_LOADED)
    return;
  send_requests = plc_now (plc) >= copy->next_quiesce_us;
  if (send_requests)
    copy->next_quiesce_us
        = plc_now (plc) + PLC_ADAPTER_QUIESCE_INTERVAL_MS * PLC_US_PER_MS;
  if (!plc_copy_is_quiesced (plc, copy, send_requests)
      || plc_now (plc) < copy->engine->next_adapter_order_us
      || !plc_copy_send_order (plc, copy, PLC_ADAPTER_UNLOAD))
    return;
  copy->state = PLC_UNLOADING;
  plc_emit_event (plc, PLC_EVENT_ADAPTER_UNLOAD, copy->engine,
                  copy->adapter->name);
}

/* Quiesce outdated adapters, and unload those that all members have confirmed
   not to use.  */
void
plc_run_copies (struct plc *plc)
{
  for (guint i = 0; i < plc->copies->len; i++)
    plc_run_copy (plc, g_ptr_array_index (plc->copies, i));
}

/* Discard the confirmations for adapters on SLOT, which begins to quiesce:
   they can be out of date.  */
void
plc_adapters_reset_quiesce (const struct plc_slot *slot)
{
  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);

      if (copy->model == slot->model)
        g_hash_table_remove_all (copy->quiesced);
    }
}

/* Return whether no adapter on the replica of SLOT is in use or being loaded
   or unloaded.  If SEND_REQUESTS, send quiesce requests to the members that
   have not confirmed it.  */
bool
plc_adapters_quiesced (struct plc *plc, const struct plc_slot *slot,
                       bool send_requests)
{
  bool quiesced = true;

  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);

      if (copy->model != slot->model)
        continue;
      if (copy->order_id != 0 || plc_now (plc) < copy->order_expires_us
          || !plc_copy_is_quiesced (plc, copy, send_requests))
        quiesced = false;
    }
  return quiesced;
}

/* Record that INSTANCE has no requests in flight for ADAPTER on ENGINE.  */
void
plc_adapter_quiesce_reply (struct plc *plc, const struct plc_engine *engine,
                           const char *instance, const char *adapter)
{
  const struct plc_adapter_copy *copy = plc_engine_find_copy (engine, adapter);
  const struct plc_slot *slot
      = copy == NULL ? NULL : plc_engine_find_slot (engine, copy->model->name);

  if (copy == NULL
      || (copy->state != PLC_QUIESCING
          && (slot == NULL || slot->state != PLC_QUIESCING)))
    return;
  g_hash_table_add (copy->quiesced, g_strdup (instance));
  plc_schedule_run (plc);
}

static enum vw_state
plc_copy_view_state (const struct plc *plc,
                     const struct plc_adapter_copy *copy)
{
  const struct plc_slot *slot
      = plc_engine_find_slot (copy->engine, copy->model->name);

  if (copy->state == PLC_DOUBTFUL || slot == NULL)
    return VW_DOUBTFUL;
  if (plc_view_state (plc, slot) != VW_READY)
    return VW_QUIESCING;
  if (copy->state == PLC_LOADED)
    return VW_READY;
  return copy->state == PLC_LOADING ? VW_LOADING : VW_QUIESCING;
}

/* Return whether ADAPTER is needed but has no copy, and none can be loaded on
   the loaded replicas of its model because no order may be sent.  */
static bool
plc_adapter_is_blocked (struct plc *plc, const struct plc_adapter *adapter)
{
  bool blocked = false;
  uint64_t fence;

  if (!adapter->planned || adapter->demand.waiting == 0
      || adapter->copies->len > 0)
    return false;
  for (guint i = 0; i < adapter->model->slots->len; i++)
    {
      const struct plc_slot *slot
          = g_ptr_array_index (adapter->model->slots, i);

      if (slot->state != PLC_LOADED)
        continue;
      if (plc->callbacks.may_order (plc->arg, slot->engine->checks_fencing,
                                    &fence))
        return false;
      blocked = true;
    }
  return blocked;
}

/* Add the adapters to VIEW.  */
void
plc_view_add_adapters (struct plc *plc, struct vw_view *view)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < plc->copies->len; i++)
    {
      const struct plc_adapter_copy *copy = g_ptr_array_index (plc->copies, i);

      (void)vw_add (view, copy->adapter->name, copy->engine->address,
                    plc_copy_view_state (plc, copy), 0);
    }
  g_hash_table_iter_init (&iter, plc->adapters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct plc_adapter *adapter = value;

      if (plc_adapter_is_blocked (plc, adapter))
        (void)vw_add (view, adapter->name, "", VW_BLOCKED, 0);
    }
}
