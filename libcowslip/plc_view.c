#include "plc_adapter.h"

#define PLC_FIRST_VIEW_MS 2000

/* Return the state of SLOT that the view shows to instances.  */
enum vw_state
plc_view_state (const struct plc *plc, const struct plc_slot *slot)
{
  uint64_t fence;

  switch (slot->state)
    {
    case PLC_LOADED:
      return plc_slot_is_misplaced (slot) ? VW_QUIESCING : VW_READY;
    case PLC_LOADING:
      return VW_LOADING;
    case PLC_QUIESCING:
    case PLC_UNLOADING:
      return VW_QUIESCING;
    case PLC_DOUBTFUL:
      return VW_DOUBTFUL;
    default:
      break;
    }
  if (plc_slot_is_misplaced (slot))
    return VW_BLOCKED;
  /* After a change of controller, requests wait until orders are allowed.  */
  if (!plc->callbacks.may_order (plc->arg, slot->engine->checks_fencing,
                                 &fence))
    return plc->callbacks.may_order_later (plc->arg,
                                           slot->engine->checks_fencing)
               ? VW_DOUBTFUL
               : VW_BLOCKED;
  return slot->engine->sealed ? VW_COLD : VW_DOUBTFUL;
}

static uint64_t
plc_view_ready_us (const struct plc *plc, const struct plc_slot *slot)
{
  if (slot->state == PLC_LOADING)
    return slot->ready_us;
  /* Without demand the estimate would be out of date when it is needed.  */
  if (slot->state != PLC_COLD || slot->model->waiting == 0)
    return 0;
  return plc_now (plc)
         + plc_estimate_us (&plc->estimate, plc_slot_tier (slot),
                            slot->model->bytes, plc_now (plc));
}

static struct vw_view *
plc_build_view (struct plc *plc)
{
  struct vw_view *view = vw_new (plc->zone, plc->fence, plc->sequence + 1);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < plc->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      (void)vw_add (view, slot->model->name, slot->engine->address,
                    plc_view_state (plc, slot), plc_view_ready_us (plc, slot));
    }
  g_hash_table_iter_init (&iter, plc->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct plc_model *model = value;

      if (model->planned && model->budget > 0 && model->slots->len == 0)
        (void)vw_add (view, model->name, "", VW_BLOCKED, 0);
    }
  plc_view_add_adapters (plc, view);
  return view;
}

static bool
plc_replicas_equal (const struct vw_replica *x, const struct vw_replica *y,
                    uint64_t now_us)
{
  return g_str_equal (x->model, y->model)
         && g_str_equal (x->endpoint, y->endpoint)
         && vw_is_equivalent (x, y, now_us);
}

static bool
plc_views_equal (const struct vw_view *a, const struct vw_view *b,
                 uint64_t now_us)
{
  if (a == NULL || a->replicas->len != b->replicas->len)
    return false;
  for (guint i = 0; i < a->replicas->len; i++)
    if (!plc_replicas_equal (g_ptr_array_index (a->replicas, i),
                             g_ptr_array_index (b->replicas, i), now_us))
      return false;
  return true;
}

/* Return whether a view can be pushed.  Before the first responses of the
   engines, a view would show loaded replicas as doubtful, and instances would
   stop using them.  */
static bool
plc_view_is_due (const struct plc *plc)
{
  uint64_t first_us = plc->started_us + PLC_FIRST_VIEW_MS * PLC_US_PER_MS;

  if (plc->view != NULL || plc_now (plc) >= first_us)
    return true;
  for (guint i = 0; i < plc->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (plc->slots, i);

      if (slot->state == PLC_DOUBTFUL)
        return false;
    }
  return true;
}

/* Push a new view if it differs from the last one.  */
void
plc_run_view (struct plc *plc)
{
  struct vw_view *view;

  if (!plc_view_is_due (plc))
    return;
  view = plc_build_view (plc);
  if (plc_views_equal (plc->view, view, plc_now (plc)))
    {
      vw_free (view);
      return;
    }
  vw_free (plc->view);
  plc->view = view;
  plc->sequence++;
  plc->callbacks.view (plc->arg, view);
}

/* Return the name of STATE in status output.  */
const char *
plc_slot_state_text (enum plc_slot_state state)
{
  static const char *const texts[]
      = { "cold", "loading", "loaded", "quiescing", "unloading", "doubtful" };

  return texts[state];
}

/* Fill in STATUS with the current counts of PLC.  */
void
plc_status (const struct plc *plc, struct plc_status *status)
{
  *status = (struct plc_status){ .waiting_loads = plc->waiting_loads,
                                 .store_in_use = plc_store_in_use (plc),
                                 .store_slots = plc->weight_fetches_max,
                                 .adapters = plc_adapters_loaded (plc),
                                 .adapter_loads
                                 = plc_adapter_loads_in_flight (plc) };
  for (guint i = 0; i < plc->engines_by_address->len; i++)
    {
      const struct plc_engine *engine
          = g_ptr_array_index (plc->engines_by_address, i);

      status->engines += engine->planned;
      status->sealed += engine->sealed;
    }
}

/* Call VISIT with ARG for every slot of PLC.  */
void
plc_foreach_slot (const struct plc *plc, plc_slot_visitor visit, void *arg)
{
  for (guint i = 0; i < plc->slots->len; i++)
    {
      const struct plc_slot *slot = g_ptr_array_index (plc->slots, i);
      struct plc_slot_status status
          = { .model = slot->model->name,
              .endpoint = slot->engine->address,
              .slot = slot->number,
              .pinned = slot->pinned,
              .occupied = plc_slot_is_occupied (slot),
              .state = slot->state,
              .bytes = slot->bytes };

      visit (arg, &status);
    }
}
