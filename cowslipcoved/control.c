#include "control_impl.h"
#include "lg.h"
#include "peers.h"

#define CONTROL_HAND_OVER_POLL_MS 50

static void
control_gained (void *arg, uint64_t fence, const GPtrArray *pins, bool certain)
{
  struct cd_control *control = arg;

  lg_write (LG_CONTROL_GAINED, "fence %" G_GUINT64_FORMAT ", %u slots%s",
            fence, pins->len, certain ? "" : ", during an outage");
  ctr_add (control->daemon->counters, "control_gained", 1);
  plc_start (control->plc, fence, pins, certain);
}

static void
control_lost (void *arg)
{
  struct cd_control *control = arg;

  lg_write (LG_CONTROL_LOST, "highest fence %" G_GUINT64_FORMAT,
            own_fence (control->own));
  ctr_add (control->daemon->counters, "control_lost", 1);
  vwp_stop (control->pushes);
  plc_stop (control->plc);
}

static bool
control_may_order (void *arg, bool checks_fencing, uint64_t *fence)
{
  const struct cd_control *control = arg;

  return own_may_order (control->own, checks_fencing, fence);
}

static bool
control_may_order_later (void *arg, bool checks_fencing)
{
  const struct cd_control *control = arg;

  return own_may_order_later (control->own, checks_fencing);
}

static void
control_save_done (void *arg, bool saved)
{
  const struct cd_control *control = arg;

  plc_save_done (control->plc, saved);
}

static void
control_save (void *arg, const GPtrArray *pins)
{
  struct cd_control *control = arg;

  own_save_pins (control->own, pins, control_save_done, control);
}

static void
control_on_event (void *arg, enum plc_event note, const char *endpoint,
                  const char *model)
{
  static const struct
  {
    enum lg_event event;
    const char *counter;
  } notes[]
      = { [PLC_EVENT_SEALED] = { LG_ENGINE_SEALED, "engines_sealed" },
          [PLC_EVENT_DOUBTFUL] = { LG_ENGINE_DOUBTFUL, "engines_doubtful" },
          [PLC_EVENT_LOAD] = { LG_LOAD_ORDERED, "loads_ordered" },
          [PLC_EVENT_LOAD_FAILED] = { LG_LOAD_FAILED, "loads_failed" },
          [PLC_EVENT_UNLOAD] = { LG_UNLOAD_ORDERED, "unloads_ordered" },
          [PLC_EVENT_UNPINNED] = { LG_REPLICA_UNPINNED, "replicas_unpinned" },
          [PLC_EVENT_ADAPTER_LOAD]
          = { LG_ADAPTER_LOAD_ORDERED, "adapter_loads_ordered" },
          [PLC_EVENT_ADAPTER_LOAD_FAILED]
          = { LG_ADAPTER_LOAD_FAILED, "adapter_loads_failed" },
          [PLC_EVENT_ADAPTER_UNLOAD]
          = { LG_ADAPTER_UNLOAD_ORDERED, "adapter_unloads_ordered" } };
  struct cd_control *control = arg;

  lg_write (notes[note].event, "engine %s%s%s", endpoint,
            model == NULL ? "" : ", model ", model == NULL ? "" : model);
  ctr_add (control->daemon->counters, notes[note].counter, 1);
}

static void
control_on_leaving (void *arg, const void *what)
{
  struct cd_control *control = arg;
  const struct cd_leaving *leaving = what;

  plc_set_leaving (control->plc, leaving->endpoint, leaving->leaving);
}

/* Return the context of a new call in progress.  It is freed by
   control_call_free, or with CONTROL if the call has not ended by then.  */
struct control_call *
control_call_new (struct cd_control *control)
{
  struct control_call *call = g_new0 (struct control_call, 1);

  call->control = control;
  g_hash_table_add (control->calls, call);
  return call;
}

/* Free CALL, which has ended.  */
void
control_call_free (struct control_call *call)
{
  if (call->control != NULL)
    {
      g_hash_table_remove (call->control->calls, call);
      tm_cancel (call->control->daemon->tm, &call->timer);
    }
  g_free (call->instance);
  g_free (call->model);
  g_free (call->endpoint);
  g_free (call);
}

static struct own *
control_own_new (struct cd_control *control)
{
  static const struct own_callbacks callbacks
      = { control_gained, control_lost, control_request_promise };
  const struct set_settings *settings = control->daemon->settings;
  struct own_config config = { .kv = control->daemon->kv,
                               .tm = control->daemon->tm,
                               .environment = settings->environment,
                               .zone = settings->zone,
                               .instance = settings->instance,
                               .incarnation = control->daemon->incarnation,
                               .number = settings->member_number };

  return own_new (&config, &callbacks, control);
}

/* Join the election of the zone's controller and register its RPC procedures.
   The timer service, key-value store, RPC node and HTTP client of DAEMON must
   have been set up.  */
struct cd_control *
cd_control_new (struct cd_daemon *daemon)
{
  static const struct plc_callbacks callbacks
      = { control_may_order,       control_send_order, control_save,
          control_request_quiesce, control_apply_view, control_on_event,
          control_may_order_later };
  static const struct vwp_callbacks push_callbacks = { control_send_update };
  struct cd_control *control = g_new0 (struct cd_control, 1);

  control->daemon = daemon;
  control->pushes = vwp_new (daemon->tm, &push_callbacks, control);
  control->calls = g_hash_table_new (NULL, NULL);
  control->listed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  control->plc
      = plc_new (daemon->tm, daemon->settings->zone, &callbacks, control);
  control->own = control_own_new (control);
  control_register (control);
  cd_subscribe (daemon, CD_DOCUMENT, control_on_document, control);
  cd_subscribe (daemon, CD_MEMBERS, control_on_members, control);
  cd_subscribe (daemon, CD_LEAVING, control_on_leaving, control);
  if (cd_document (daemon) != NULL)
    control_on_document (control, cd_document (daemon));
  if (cd_members (daemon) != NULL)
    control_on_members (control, cd_members (daemon));
  control_list_start (control);
  return control;
}

/* Free CONTROL without handing over.  Calls in progress are ignored when they
   end.  */
void
cd_control_free (struct cd_control *control)
{
  GHashTableIter iter;
  gpointer call;

  if (control == NULL)
    return;
  tm_cancel (control->daemon->tm, &control->list_timer);
  tm_cancel (control->daemon->tm, &control->hand_over_timer);
  g_hash_table_iter_init (&iter, control->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      tm_cancel (control->daemon->tm, &((struct control_call *)call)->timer);
      ((struct control_call *)call)->control = NULL;
    }
  own_free (control->own);
  plc_free (control->plc);
  vwp_free (control->pushes);
  vw_free (control->view);
  g_hash_table_destroy (control->calls);
  g_hash_table_destroy (control->listed);
  g_free (control);
}

/* Report the demand of waiting requests to the zone's controller.  If the
   controller is unknown the report is dropped; the next report replaces
   it.  */
void
cd_control_report_demand (struct cd_daemon *daemon, const cs_demand *demands,
                          uint32_t count)
{
  struct cd_control *control = daemon->control;
  const char *holder = own_holder (control->own);

  if (own_is_holder (control->own))
    control_apply_demand (control, daemon->settings->instance, demands, count);
  else if (holder != NULL)
    control_send_demand (control, holder, demands, count);
}

/* Record in placement whether ENDPOINT is SLOW.  */
void
cd_control_set_slow (struct cd_daemon *daemon, const char *endpoint, bool slow)
{
  if (daemon->control != NULL)
    plc_set_slow (daemon->control->plc, endpoint, slow);
}

/* Return the latest view of this instance's zone, or NULL.  */
const struct vw_view *
cd_control_view (const struct cd_daemon *daemon)
{
  return daemon->control->view;
}

/* Return the instance that controls the zone, or NULL if it is unknown.  */
const char *
cd_control_holder (const struct cd_daemon *daemon)
{
  return own_holder (daemon->control->own);
}

/* Return the highest fencing number seen in the zone.  */
uint64_t
cd_control_fence (const struct cd_daemon *daemon)
{
  return own_fence (daemon->control->own);
}

static void
control_key_released (void *arg, bool done)
{
  struct cd_control *control = arg;

  lg_write (LG_CONTROL_HANDED_OVER, "%s",
            done ? "key released" : "nothing to release");
  control->hand_over_done (control->hand_over_arg);
}

static void
control_hand_over_poll (void *arg)
{
  struct cd_control *control = arg;

  if (plc_orders_complete (control->plc))
    own_hand_over (control->own, control_key_released, control);
  else
    tm_after (control->daemon->tm, &control->hand_over_timer,
              CONTROL_HAND_OVER_POLL_MS * CONTROL_US_PER_MS,
              control_hand_over_poll, control);
}

/* Relinquish control for good: send no more orders, wait until those in flight
   have completed (at most OWN_ORDER_MAX_MS), release the control key so that a
   successor need not wait for the lease to expire, and call DONE with ARG.  */
void
cd_control_hand_over (struct cd_daemon *daemon, void (*done) (void *arg),
                      void *arg)
{
  struct cd_control *control = daemon->control;

  control->hand_over_done = done;
  control->hand_over_arg = arg;
  plc_pause (control->plc);
  control_hand_over_poll (control);
}
