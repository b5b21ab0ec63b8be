#include "vw_update.h"

static void
vw_removed_free (gpointer data)
{
  struct vw_replica *removed = data;

  g_free (removed->model);
  g_free (removed->endpoint);
  g_free (removed);
}

/* Return an empty update from the view with sequence BASE (0: none) to the one
   with SEQUENCE.  */
struct vw_update *
vw_update_new (const char *zone, uint64_t fence, uint64_t base,
               uint64_t sequence)
{
  struct vw_update *update = g_new0 (struct vw_update, 1);

  update->base = base;
  update->view = vw_new (zone, fence, sequence);
  update->removed = g_ptr_array_new_with_free_func (vw_removed_free);
  return update;
}

/* Add the removal of MODEL on ENDPOINT to UPDATE.  */
void
vw_update_remove (struct vw_update *update, const char *model,
                  const char *endpoint)
{
  struct vw_replica *removed = g_new0 (struct vw_replica, 1);

  removed->model = g_strdup (model);
  removed->endpoint = g_strdup (endpoint);
  g_ptr_array_add (update->removed, removed);
}

/* Free UPDATE and its replicas.  */
void
vw_update_free (struct vw_update *update)
{
  if (update == NULL)
    return;
  vw_free (update->view);
  g_ptr_array_free (update->removed, TRUE);
  g_free (update);
}

static void
vw_copy (struct vw_view *view, const GPtrArray *replicas, GHashTable *replaced)
{
  for (guint i = 0; i < replicas->len; i++)
    {
      const struct vw_replica *r = g_ptr_array_index (replicas, i);
      char *key = vw_key (r);

      if (replaced == NULL || !g_hash_table_contains (replaced, key))
        (void)vw_add (view, r->model, r->endpoint, r->state, r->ready_us);
      g_free (key);
    }
}

static void
vw_add_keys (GHashTable *keys, const GPtrArray *replicas)
{
  for (guint i = 0; i < replicas->len; i++)
    g_hash_table_add (keys, vw_key (g_ptr_array_index (replicas, i)));
}

/* Return the view that results from applying UPDATE to CURRENT (may be NULL),
   or NULL if UPDATE is not newer or CURRENT is older than its base.  An update
   whose base is older than CURRENT also contains all changes since
   CURRENT.  */
struct vw_view *
vw_apply (const struct vw_view *current, const struct vw_update *update)
{
  const struct vw_view *to = update->view;
  struct vw_view *view;
  GHashTable *replaced;

  if (!vw_is_newer (to, current))
    return NULL;
  if (update->base > 0
      && (current == NULL || current->fence != to->fence
          || current->sequence < update->base))
    return NULL;
  view = vw_new (to->zone, to->fence, to->sequence);
  if (update->base > 0)
    {
      replaced = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      vw_add_keys (replaced, to->replicas);
      vw_add_keys (replaced, update->removed);
      vw_copy (view, current->replicas, replaced);
      g_hash_table_destroy (replaced);
    }
  vw_copy (view, to->replicas, NULL);
  return view;
}
