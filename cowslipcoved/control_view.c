#include "control_impl.h"
#include "peers.h"

/* Leaves time to repeat a lost update within 2 s.  */
#define CONTROL_UPDATE_TIMEOUT_MS 1000

/* Make VIEW, which is newer than the current one, the current view and take
   ownership of it.  */
static void
control_install_view (struct cd_control *control, struct vw_view *view)
{
  vw_free (control->view);
  control->view = view;
  cd_publish (control->daemon, CD_VIEW, view);
}

/* Apply UPDATE, sent by HOLDER, if it is newer than the current view and the
   current view is not older than its base.  */
void
control_apply_update (struct cd_control *control,
                      const struct vw_update *update, const char *holder)
{
  struct vw_view *view;

  own_observe_fence (control->own, update->view->fence, holder);
  if (!g_str_equal (update->view->zone, control->daemon->settings->zone))
    return;
  view = vw_apply (control->view, update);
  if (view != NULL)
    control_install_view (control, view);
}

static void
control_update_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct control_call *call = arg;
  const cs_view_reply *reply = result;

  if (call->control != NULL && outcome == RPC_OK)
    vwp_push_done (call->control->pushes, call->instance, call->id, true,
                   reply->fence, reply->sequence);
  else if (call->control != NULL)
    vwp_push_done (call->control->pushes, call->instance, call->id, false, 0,
                   0);
  control_call_free (call);
}

static u_int
control_ready_ms (uint64_t ready_us, uint64_t now_us)
{
  uint64_t wait_us = ready_us > now_us ? ready_us - now_us : 0;

  return ready_us == 0
             ? 0
             : (u_int)MIN (wait_us / CONTROL_US_PER_MS + 1, UINT32_MAX);
}

/* Return the message for UPDATE, which must outlive it; the caller frees the
   lists of replicas and removals.  Times are relative to NOW_US.  */
cs_view
control_encode_update (const struct vw_update *update, uint64_t now_us)
{
  const GPtrArray *replicas = update->view->replicas;
  cs_view out = { .zone = update->view->zone,
                  .fence = update->view->fence,
                  .base = update->base,
                  .sequence = update->view->sequence };

  out.replicas.replicas_len = MIN (replicas->len, COWSLIP_LIST_MAX);
  out.replicas.replicas_val = g_new0 (cs_replica, replicas->len + 1);
  for (guint i = 0; i < out.replicas.replicas_len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (replicas, i);

      out.replicas.replicas_val[i]
          = (cs_replica){ .model = r->model,
                          .endpoint = r->endpoint,
                          .state = r->state,
                          .ready_ms = control_ready_ms (r->ready_us, now_us) };
    }
  out.removed.removed_len = MIN (update->removed->len, COWSLIP_LIST_MAX);
  out.removed.removed_val = g_new0 (cs_removed, update->removed->len + 1);
  for (guint i = 0; i < out.removed.removed_len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (update->removed, i);

      out.removed.removed_val[i] = (cs_removed){ r->model, r->endpoint };
    }
  return out;
}

/* Return the update in the message IN, received at NOW_US; the caller frees
   it.  */
struct vw_update *
control_decode_update (const cs_view *in, uint64_t now_us)
{
  struct vw_update *update
      = vw_update_new (in->zone, in->fence, in->base, in->sequence);

  for (u_int i = 0; i < in->replicas.replicas_len; i++)
    {
      const cs_replica *r = &in->replicas.replicas_val[i];

      if (r->state <= VW_BLOCKED)
        (void)vw_add (
            update->view, r->model, r->endpoint, (enum vw_state)r->state,
            r->ready_ms == 0 ? 0 : now_us + r->ready_ms * CONTROL_US_PER_MS);
    }
  for (u_int i = 0; i < in->removed.removed_len; i++)
    vw_update_remove (update, in->removed.removed_val[i].model,
                      in->removed.removed_val[i].endpoint);
  return update;
}

/* Send UPDATE to INSTANCE with the identifier ID.  Return false if the
   instance is not a known member.  */
bool
control_send_update (void *arg, const char *instance,
                     const struct vw_update *update, uint64_t id)
{
  struct cd_control *control = arg;
  const struct mem_member *member = control_member (control, instance);
  cs_view view
      = control_encode_update (update, tm_now_us (control->daemon->tm));
  struct rpc_call send = { .procedure = COWSLIP_VIEW,
                           .encode_args = (xdrproc_t)xdr_cs_view,
                           .args = &view,
                           .decode_result = (xdrproc_t)xdr_cs_view_reply,
                           .result_bytes = sizeof (cs_view_reply),
                           .timeout_ms = CONTROL_UPDATE_TIMEOUT_MS };
  struct control_call *call;

  if (member != NULL)
    {
      call = control_call_new (control);
      call->instance = g_strdup (instance);
      call->id = id;
      send.address = member->rpc_address;
      rpc_send (control->daemon->rpc, &send, control_update_done, call);
    }
  g_free (view.replicas.replicas_val);
  g_free (view.removed.removed_val);
  return member != NULL;
}

/* Apply a new VIEW from placement to this instance and send it to the
   members.  */
void
control_apply_view (void *arg, const struct vw_view *view)
{
  struct cd_control *control = arg;
  struct vw_update *all
      = vw_update_new (view->zone, view->fence, 0, view->sequence);

  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);

      (void)vw_add (all->view, r->model, r->endpoint, r->state, r->ready_us);
    }
  control_apply_update (control, all, control->daemon->settings->instance);
  vw_update_free (all);
  vwp_set_view (control->pushes, view);
}
