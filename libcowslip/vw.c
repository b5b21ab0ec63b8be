#include "vw.h"

/* An expected time that moves by less than this, or by less than a tenth of
   the time that remains, is not worth a message.  */
#define VW_READY_SLACK_US  200000
#define VW_READY_SLACK_DIV 10

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
   the reader's clock and only used for VW_LOADING.  */
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

/* Return whether VIEW replaces THAN, which may be NULL.  */
bool
vw_newer (const struct vw_view *view, const struct vw_view *than)
{
  if (than == NULL)
    return true;
  if (view->fence != than->fence)
    return view->fence > than->fence;
  return view->sequence > than->sequence;
}

static bool
vw_ready_same (uint64_t a_us, uint64_t b_us, uint64_t now_us)
{
  uint64_t late_us = MAX (a_us, b_us);
  uint64_t left_us = late_us > now_us ? late_us - now_us : 0;

  if ((a_us == 0) != (b_us == 0))
    return false;
  return late_us - MIN (a_us, b_us)
         <= MAX (VW_READY_SLACK_US, left_us / VW_READY_SLACK_DIV);
}

/* Return whether instances need not be told of the difference between X and
   Y, both replicas of one model or adapter on one endpoint, at NOW_US.  */
bool
vw_same (const struct vw_replica *x, const struct vw_replica *y,
         uint64_t now_us)
{
  return x->state == y->state
         && vw_ready_same (x->ready_us, y->ready_us, now_us);
}

/* Return whether a member that holds VIEW (may be NULL) can promise the
   controller with FENCE not to use MODEL on ENDPOINT any more.  A view in
   which it is ready could be put in force again.  One from before SEQUENCE, in
   which the controller took the replica out of use, may show an earlier
   quiescence that ends in a view under way.  */
bool
vw_is_quiet (const struct vw_view *view, uint64_t fence, uint64_t sequence,
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

/* Return a new string that names the model and endpoint of REPLICA.  */
char *
vw_key (const struct vw_replica *replica)
{
  return g_strconcat (replica->model, "\n", replica->endpoint, NULL);
}

/* Return the name of STATE in operators' output.  */
const char *
vw_state_text (enum vw_state state)
{
  static const char *const texts[]
      = { "cold", "loading", "ready", "quiescing", "doubtful", "blocked" };

  return texts[state];
}
