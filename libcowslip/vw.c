#include "vw.h"

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

/* Return the name of STATE in operators' output.  */
const char *
vw_state_text (enum vw_state state)
{
  static const char *const texts[]
      = { "cold", "loading", "ready", "quiescing", "doubtful", "blocked" };

  return texts[state];
}
