#include "vw.h"

/* A change of the expected time by at most this, or by at most a tenth of the
   remaining time, is not sent.  */
#define VW_READY_TOLERANCE_US  200000
#define VW_READY_TOLERANCE_DIV 10

static void
vw_replica_free (gpointer data)
{
  struct vw_replica *replica = data;

  g_free (replica->model);
  g_free (replica->endpoint);
  g_free (replica);
}

/* Return an empty view of ZONE by the controller with fencing number FENCE. */
struct vw_view *
vw_new (const char *zone, uint64_t fence, uint64_t sequence)
{
  struct vw_view *view = g_new0 (struct vw_view, 1);

  view->zone = g_strdup (zone);
  view->fence = fence;
  view->sequence = sequence;
  view->replicas = g_ptr_array_new_with_free_func (vw_replica_free);
  return view;
}

/* Add a replica of MODEL on ENDPOINT to VIEW and return it.  READY_US is on
   the local clock; it is the expected time of readiness for VW_LOADING, and
   the earliest possible one for VW_COLD.  */
struct vw_replica *
vw_add (struct vw_view *view, const char *model, const char *endpoint,
        enum vw_state state, uint64_t ready_us)
{
  struct vw_replica *replica = g_new0 (struct vw_replica, 1);

  replica->model = g_strdup (model);
  replica->endpoint = g_strdup (endpoint);
  replica->state = state;
  replica->ready_us = ready_us;
  g_ptr_array_add (view->replicas, replica);
  return replica;
}

/* Free VIEW and its replicas.  */
void
vw_free (struct vw_view *view)
{
  if (view == NULL)
    return;
  g_free (view->zone);
  g_ptr_array_free (view->replicas, TRUE);
  g_free (view);
}

/* Return whether VIEW is newer than OTHER, which may be NULL.  */
bool
vw_is_newer (const struct vw_view *view, const struct vw_view *other)
{
  if (other == NULL)
    return true;
  if (view->fence != other->fence)
    return view->fence > other->fence;
  return view->sequence > other->sequence;
}

static bool
vw_ready_is_equivalent (uint64_t a_us, uint64_t b_us, uint64_t now_us)
{
  uint64_t later_us = MAX (a_us, b_us);
  uint64_t remaining_us = later_us > now_us ? later_us - now_us : 0;

  if ((a_us == 0) != (b_us == 0))
    return false;
  return later_us - MIN (a_us, b_us)
         <= MAX (VW_READY_TOLERANCE_US, remaining_us / VW_READY_TOLERANCE_DIV);
}

/* Return whether X and Y, both replicas of one model or adapter on one
   endpoint, differ so little at NOW_US that no update needs to be sent.  */
bool
vw_is_equivalent (const struct vw_replica *x, const struct vw_replica *y,
                  uint64_t now_us)
{
  return x->state == y->state
         && vw_ready_is_equivalent (x->ready_us, y->ready_us, now_us);
}

/* Return whether a member with VIEW (may be NULL) can assure the controller
   with FENCE that it no longer uses MODEL on ENDPOINT.  It cannot with a view
   in which the replica is ready, as that view could be applied again; nor with
   one older than SEQUENCE, in which the controller stopped the use of the
   replica: it may contain an earlier quiescence that ends in a view still on
   its way.  */
bool
vw_is_quiesced (const struct vw_view *view, uint64_t fence, uint64_t sequence,
                const char *model, const char *endpoint)
{
  if (view == NULL || view->fence != fence || view->sequence < sequence)
    return false;
  for (guint i = 0; i < view->replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (view->replicas, i);

      if (r->state == VW_READY && g_str_equal (r->model, model)
          && g_str_equal (r->endpoint, endpoint))
        return false;
    }
  return true;
}

/* Return a new string that identifies REPLICA by model and endpoint.  */
char *
vw_key (const struct vw_replica *replica)
{
  return g_strconcat (replica->model, "\n", replica->endpoint, NULL);
}

/* Return the name of STATE in status output.  */
const char *
vw_state_text (enum vw_state state)
{
  static const char *const texts[]
      = { "cold", "loading", "ready", "quiescing", "doubtful", "blocked" };

  return texts[state];
}
