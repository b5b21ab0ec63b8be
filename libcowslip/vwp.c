#include "vwp.h"
#include "vwp_log.h"

/* Push state of one member.  */
struct vwp_peer
{
  char *instance;
  uint64_t incarnation;
  bool listed;
  bool reachable;
  uint64_t fence; /* of the member's view; 0: none or unknown */
  uint64_t sequence;
  uint64_t id; /* of the push in progress; 0: none */
  uint64_t sent_us;
  uint64_t answered_us;
  bool failed; /* the last push failed or was not applied */
};

struct vwp
{
  struct tm_service *tm;
  struct vwp_callbacks callbacks;
  void *arg;
  struct vwp_log *log;
  GHashTable *peers;        /* instance -> struct vwp_peer */
  uint64_t urgent_sequence; /* of the newest change that is not batched */
  uint64_t last_id;
  struct tm_timer timer;
};

static void
vwp_peer_free (gpointer data)
{
  struct vwp_peer *peer = data;

  g_free (peer->instance);
  g_free (peer);
}

/* Return a new object without a view or members.  */
struct vwp *
vwp_new (struct tm_service *tm, const struct vwp_callbacks *callbacks,
         void *arg)
{
  struct vwp *vwp = g_new0 (struct vwp, 1);

  vwp->tm = tm;
  vwp->callbacks = *callbacks;
  vwp->arg = arg;
  vwp->log = vwp_log_new (VWP_REMOVED_MAX);
  vwp->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, vwp_peer_free);
  return vwp;
}

/* Free VWP; vwp_push_done must not be called after that.  */
void
vwp_free (struct vwp *vwp)
{
  tm_cancel (vwp->tm, &vwp->timer);
  vwp_log_free (vwp->log);
  g_hash_table_destroy (vwp->peers);
  g_free (vwp);
}

static bool
vwp_is_current (const struct vwp *vwp, const struct vwp_peer *peer)
{
  uint64_t fence = vwp_log_fence (vwp->log);

  return peer->fence > fence
         || (peer->fence == fence
             && peer->sequence >= vwp_log_sequence (vwp->log));
}

static bool
vwp_is_urgent (const struct vwp *vwp, const struct vwp_peer *peer)
{
  return peer->fence != vwp_log_fence (vwp->log)
         || peer->sequence < vwp->urgent_sequence;
}

/* Return when PEER is due for a push; UINT64_MAX: not before its state
   changes.  */
static uint64_t
vwp_due_us (const struct vwp *vwp, const struct vwp_peer *peer)
{
  if (!peer->reachable || peer->id != 0)
    return UINT64_MAX;
  if (peer->failed)
    return peer->answered_us + VWP_RETRY_US;
  /* The member may have lost its view after its last answer.  */
  if (vwp_is_current (vwp, peer))
    return peer->sent_us + VWP_REFRESH_US;
  if (vwp_is_urgent (vwp, peer))
    return 0;
  return peer->sent_us + VWP_PUSH_INTERVAL_US;
}

static void
vwp_send (struct vwp *vwp, struct vwp_peer *peer)
{
  uint64_t fence = vwp_log_fence (vwp->log);
  uint64_t sequence = vwp_log_sequence (vwp->log);
  struct vw_update *update;

  /* An up-to-date member, or one with a view of a later controller, is sent an
     empty update that only announces this view.  */
  if (vwp_is_current (vwp, peer))
    update = vwp_log_since (vwp->log, fence, sequence);
  else
    update = vwp_log_since (vwp->log, peer->fence, peer->sequence);
  peer->id = ++vwp->last_id;
  peer->sent_us = tm_now_us (vwp->tm);
  if (!vwp->callbacks.send (vwp->arg, peer->instance, update, peer->id))
    {
      peer->id = 0;
      peer->answered_us = peer->sent_us;
      peer->failed = true;
    }
  vw_update_free (update);
}

static void
vwp_send_due (void *arg)
{
  struct vwp *vwp = arg;
  uint64_t now_us = tm_now_us (vwp->tm);
  uint64_t next_us = UINT64_MAX;
  GHashTableIter iter;
  gpointer value;

  if (vwp_log_fence (vwp->log) == 0)
    return;
  g_hash_table_iter_init (&iter, vwp->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (vwp_due_us (vwp, value) <= now_us)
        vwp_send (vwp, value);
      next_us = MIN (next_us, vwp_due_us (vwp, value));
    }
  if (next_us != UINT64_MAX)
    tm_after (vwp->tm, &vwp->timer, next_us - now_us, vwp_send_due, vwp);
}

static void
vwp_schedule (struct vwp *vwp)
{
  tm_after (vwp->tm, &vwp->timer, 0, vwp_send_due, vwp);
}

static void
vwp_list_member (struct vwp *vwp, const struct vwp_member *member)
{
  struct vwp_peer *peer = g_hash_table_lookup (vwp->peers, member->instance);

  if (peer != NULL && peer->incarnation != member->incarnation)
    {
      g_hash_table_remove (vwp->peers, member->instance);
      peer = NULL;
    }
  if (peer == NULL)
    {
      peer = g_new0 (struct vwp_peer, 1);
      peer->instance = g_strdup (member->instance);
      peer->incarnation = member->incarnation;
      g_hash_table_insert (vwp->peers, peer->instance, peer);
    }
  peer->listed = true;
  peer->reachable = member->reachable;
}

/* Set the COUNT other MEMBERS of the zone.  A restarted member has no
   view.  */
void
vwp_set_members (struct vwp *vwp, const struct vwp_member *members,
                 uint32_t count)
{
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < count; i++)
    vwp_list_member (vwp, &members[i]);
  g_hash_table_iter_init (&iter, vwp->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct vwp_peer *peer = value;

      if (!peer->listed)
        g_hash_table_iter_remove (&iter);
      else
        peer->listed = false;
    }
  vwp_schedule (vwp);
}

/* Set the view to push.  VIEW must be newer than the last one.  */
void
vwp_set_view (struct vwp *vwp, const struct vw_view *view)
{
  if (view->fence != vwp_log_fence (vwp->log))
    vwp->urgent_sequence = 0;
  if (vwp_log_update (vwp->log, view, tm_now_us (vwp->tm)))
    vwp->urgent_sequence = view->sequence;
  vwp_schedule (vwp);
}

/* Stop pushing until the next vwp_set_view: this instance is no longer the
   controller.  */
void
vwp_stop (struct vwp *vwp)
{
  tm_cancel (vwp->tm, &vwp->timer);
  vwp_log_clear (vwp->log);
}

/* Process the result of the push ID to INSTANCE; if OK, the member now has the
   view (FENCE, SEQUENCE).  A member without the base of the push has an older
   view, which is the base of the next push.  */
void
vwp_push_done (struct vwp *vwp, const char *instance, uint64_t id, bool ok,
               uint64_t fence, uint64_t sequence)
{
  struct vwp_peer *peer = g_hash_table_lookup (vwp->peers, instance);
  bool view_changed;

  if (peer == NULL || peer->id != id)
    return;
  view_changed = ok && (fence != peer->fence || sequence != peer->sequence);
  peer->id = 0;
  peer->answered_us = tm_now_us (vwp->tm);
  if (ok)
    {
      peer->fence = fence;
      peer->sequence = sequence;
    }
  peer->failed = !ok || (!view_changed && !vwp_is_current (vwp, peer));
  vwp_schedule (vwp);
}

/* Return the sequence of the view in which MODEL on ENDPOINT last changed, or
   of the newest view if that is unknown.  */
uint64_t
vwp_changed_sequence (const struct vwp *vwp, const char *model,
                      const char *endpoint)
{
  return vwp_log_changed_sequence (vwp->log, model, endpoint);
}
