#include "control_impl.h"
#include "peers.h"

#define CONTROL_PUSH_RETRY_MS 500

/* The newest view that a member has confirmed.  */
struct control_push
{
  uint64_t incarnation;
  uint64_t fence;
  uint64_t sequence;
  bool under_way;
};

/* Take VIEW, which HOLDER pushed, if it is newer than the one known; VIEW is
   owned by this function.  */
void
control_take_view (struct cd_control *control, struct vw_view *view,
                   const char *holder)
{
  own_saw_fence (control->own, view->fence, holder);
  if (!g_str_equal (view->zone, control->daemon->settings->zone)
      || !vw_newer (view, control->view))
    {
      vw_free (view);
      return;
    }
  vw_free (control->view);
  control->view = view;
  cd_publish (control->daemon, CD_VIEW, view);
}

static void
control_pushed (void *arg, enum rpc_outcome outcome, void *result)
{
  struct control_call *call = arg;
  struct cd_control *control = call->control;
  struct control_push *push;

  (void)result;
  push = control == NULL
             ? NULL
             : g_hash_table_lookup (control->pushed, call->instance);
  if (push != NULL)
    {
      push->under_way = false;
      if (outcome == RPC_OK)
        {
          push->fence = call->fence;
          push->sequence = call->sequence;
        }
    }
  control_call_free (call);
}

static cs_view
control_encode (const struct cd_control *control, cs_replica *replicas)
{
  const struct vw_view *view = control->view;
  uint64_t now_us = tm_now_us (control->daemon->tm);
  cs_view out = { .zone = view->zone,
                  .fence = view->fence,
                  .sequence = view->sequence };

  out.replicas.replicas_len = MIN (view->replicas->len, COWSLIP_LIST_MAX);
  out.replicas.replicas_val = replicas;
  for (guint i = 0; i < out.replicas.replicas_len; i++)
    {
      const struct vw_replica *replica = g_ptr_array_index (view->replicas, i);
      uint64_t wait_us
          = replica->ready_us > now_us ? replica->ready_us - now_us : 0;

      replicas[i]
          = (cs_replica){ .model = replica->model,
                          .endpoint = replica->endpoint,
                          .state = replica->state,
                          .ready_ms
                          = replica->ready_us == 0
                                ? 0
                                : (u_int)MIN (wait_us / CONTROL_US_PER_MS + 1,
                                              UINT32_MAX) };
    }
  return out;
}

static void
control_push (struct cd_control *control, const struct mem_member *member,
              cs_view *view)
{
  struct control_push *push
      = g_hash_table_lookup (control->pushed, member->instance);
  struct rpc_call send = { .address = member->rpc_address,
                           .procedure = COWSLIP_VIEW,
                           .encode_args = (xdrproc_t)xdr_cs_view,
                           .args = view,
                           .decode_result = control_xdr_nothing,
                           .timeout_ms = CONTROL_RPC_MS };
  struct control_call *call;

  if (push == NULL)
    {
      push = g_new0 (struct control_push, 1);
      g_hash_table_insert (control->pushed, g_strdup (member->instance), push);
    }
  if (push->incarnation != member->incarnation)
    *push = (struct control_push){ .incarnation = member->incarnation };
  if (push->under_way
      || (push->fence == view->fence && push->sequence == view->sequence))
    return;
  push->under_way = true;
  call = control_call_new (control);
  call->instance = g_strdup (member->instance);
  call->fence = view->fence;
  call->sequence = view->sequence;
  rpc_send (control->daemon->rpc, &send, control_pushed, call);
}

static void
control_push_again (void *arg)
{
  control_push_views (arg);
}

/* Push the own view to all reachable members of the zone that have not
   confirmed it, and look again later.  */
void
control_push_views (struct cd_control *control)
{
  const struct mem_table *table = cd_members (control->daemon);
  const struct set_settings *settings = control->daemon->settings;
  cs_replica *replicas;
  cs_view view;

  tm_after (control->daemon->tm, &control->retry,
            CONTROL_PUSH_RETRY_MS * CONTROL_US_PER_MS, control_push_again,
            control);
  if (table == NULL || control->view == NULL || !own_is_holder (control->own))
    return;
  replicas = g_new0 (cs_replica, control->view->replicas->len + 1);
  view = control_encode (control, replicas);
  for (guint i = 0; i < mem_members (table)->len; i++)
    {
      const struct mem_member *member
          = g_ptr_array_index (mem_members (table), i);

      if (member->reachable && g_str_equal (member->zone, settings->zone)
          && !g_str_equal (member->instance, settings->instance))
        control_push (control, member, &view);
    }
  g_free (replicas);
}

/* Placement has made VIEW: use it here and push it.  */
void
control_view (void *arg, const struct vw_view *view)
{
  struct cd_control *control = arg;
  struct vw_view *copy = vw_new (view->zone, view->fence, view->sequence);

  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);

      (void)vw_add (copy, r->model, r->endpoint, r->state, r->ready_us);
    }
  control_take_view (control, copy, control->daemon->settings->instance);
  control_push_views (control);
}
