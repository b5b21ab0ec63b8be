#include "plc_adapter.h"

#define PLC_ADAPTER_ASK_MS 100
/* The view that shows the quiescing adapter goes out before the question.  */
#define PLC_ADAPTER_FIRST_ASK_MS 5

/* Begin to take COPY out of use.  */
void
plc_copy_quiesce (const struct plc *plc, struct plc_adapter_copy *copy)
{
  copy->state = PLC_QUIESCING;
  copy->next_ask_us = plc_now (plc) + PLC_ADAPTER_FIRST_ASK_MS * PLC_US_PER_MS;
  g_hash_table_remove_all (copy->quiet);
}

static bool
plc_copy_is_quiet (struct plc *plc, struct plc_adapter_copy *copy, bool ask)
{
  return plc_members_quiet (plc, copy->quiet, copy->adapter->name,
                            copy->engine, ask);
}

static void
plc_run_copy (struct plc *plc, struct plc_adapter_copy *copy)
{
  const struct plc_slot *slot = plc_slot_on (copy->engine, copy->model->name);
  bool outdated = plc_copy_is_outdated (copy);
  bool ask;

  if (copy->state == PLC_LOADED && outdated)
    plc_copy_quiesce (plc, copy);
  if (copy->state != PLC_QUIESCING)
    return;
  if (!outdated && copy->adapter->need.waiting > 0)
    {
      copy->state = PLC_LOADED;
      return;
    }
  /* An unload of the replica takes its adapters along.  */
  if (slot != NULL && slot->state != PLC_LOADED)
    return;
  ask = plc_now (plc) >= copy->next_ask_us;
  if (ask)
    copy->next_ask_us = plc_now (plc) + PLC_ADAPTER_ASK_MS * PLC_US_PER_MS;
  if (!plc_copy_is_quiet (plc, copy, ask)
      || plc_now (plc) < copy->engine->adapter_not_before_us
      || !plc_copy_send (plc, copy, PLC_ADAPTER_UNLOAD))
    return;
  copy->state = PLC_UNLOADING;
  plc_note_event (plc, PLC_NOTE_ADAPTER_UNLOAD, copy->engine,
                  copy->adapter->name);
}

/* Take outdated adapters out of use, and unload those that no member uses any
   more.  */
void
plc_run_copies (struct plc *plc)
{
  for (guint i = 0; i < plc->copies->len; i++)
    plc_run_copy (plc, g_ptr_array_index (plc->copies, i));
}

/* SLOT begins to quiesce, so earlier answers about its adapters no longer
   count.  */
void
plc_adapters_ask_again (const struct plc_slot *slot)
{
  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);

      if (copy->model == slot->model)
        g_hash_table_remove_all (copy->quiet);
    }
}

/* Return whether no adapter on the replica of SLOT is in use or being loaded
   or unloaded; if ASK, ask the members that have not confirmed it.  */
bool
plc_adapters_quiet (struct plc *plc, const struct plc_slot *slot, bool ask)
{
  bool quiet = true;

  for (guint i = 0; i < slot->engine->copies->len; i++)
    {
      struct plc_adapter_copy *copy
          = g_ptr_array_index (slot->engine->copies, i);

      if (copy->model != slot->model)
        continue;
      if (copy->order_id != 0 || plc_now (plc) < copy->clear_us
          || !plc_copy_is_quiet (plc, copy, ask))
        quiet = false;
    }
  return quiet;
}

/* INSTANCE has nothing in flight for ADAPTER on ENGINE.  */
void
plc_adapter_quiesced (struct plc *plc, const struct plc_engine *engine,
                      const char *instance, const char *adapter)
{
  const struct plc_adapter_copy *copy = plc_copy_on (engine, adapter);
  const struct plc_slot *slot
      = copy == NULL ? NULL : plc_slot_on (engine, copy->model->name);

  if (copy == NULL
      || (copy->state != PLC_QUIESCING
          && (slot == NULL || slot->state != PLC_QUIESCING)))
    return;
  g_hash_table_add (copy->quiet, g_strdup (instance));
  plc_wake (plc);
}

static enum vw_state
plc_copy_view_state (const struct plc *plc,
                     const struct plc_adapter_copy *copy)
{
  const struct plc_slot *slot = plc_slot_on (copy->engine, copy->model->name);

  if (copy->state == PLC_DOUBTFUL || slot == NULL)
    return VW_DOUBTFUL;
  if (plc_view_state (plc, slot) != VW_READY)
    return VW_QUIESCING;
  if (copy->state == PLC_LOADED)
    return VW_READY;
  return copy->state == PLC_LOADING ? VW_LOADING : VW_QUIESCING;
}

/* Return whether ADAPTER has no copy and none can be loaded, though its model
   is, because no order may be sent.  */
static bool
plc_adapter_is_blocked (struct plc *plc, const struct plc_adapter *adapter)
{
  bool blocked = false;
  uint64_t fence;

  if (!adapter->planned || adapter->need.waiting == 0
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
plc_view_adapters (struct plc *plc, struct vw_view *view)
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
