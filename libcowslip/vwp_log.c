#include "vwp_log.h"

struct vwp_entry
{
  char *key;
  struct vw_replica replica;
  uint64_t changed_sequence;
  uint64_t seen_sequence; /* of the newest view with this replica */
  bool removed;
  GList link;
};

struct vwp_log
{
  char *zone; /* NULL: no view yet */
  uint64_t fence;
  uint64_t sequence;           /* of the newest view that contains a change */
  uint64_t seen_sequence;      /* of the newest view */
  uint64_t truncated_sequence; /* removals up to this one were discarded */
  uint32_t removed_max;
  bool has_change;     /* the view being added contains a change */
  GHashTable *entries; /* key -> struct vwp_entry */
  GQueue live;         /* least recently changed first */
  GQueue removed;      /* oldest first */
};

static void
vwp_entry_free (gpointer data)
{
  struct vwp_entry *entry = data;

  g_free (entry->key);
  g_free (entry->replica.model);
  g_free (entry->replica.endpoint);
  g_free (entry);
}

/* Return an empty log that keeps up to REMOVED_MAX removals.  */
struct vwp_log *
vwp_log_new (uint32_t removed_max)
{
  struct vwp_log *log = g_new0 (struct vwp_log, 1);

  log->removed_max = removed_max;
  log->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, vwp_entry_free);
  g_queue_init (&log->live);
  g_queue_init (&log->removed);
  return log;
}

/* Discard the view.  */
void
vwp_log_clear (struct vwp_log *log)
{
  g_queue_init (&log->live);
  g_queue_init (&log->removed);
  g_hash_table_remove_all (log->entries);
  g_free (log->zone);
  log->zone = NULL;
  log->fence = 0;
  log->sequence = 0;
  log->truncated_sequence = 0;
}

/* Free LOG.  */
void
vwp_log_free (struct vwp_log *log)
{
  vwp_log_clear (log);
  g_hash_table_destroy (log->entries);
  g_free (log);
}

static void
vwp_log_mark_changed (struct vwp_log *log, struct vwp_entry *entry,
                      bool removed)
{
  if (entry->changed_sequence > 0)
    g_queue_unlink (entry->removed ? &log->removed : &log->live, &entry->link);
  log->has_change = true;
  entry->removed = removed;
  entry->changed_sequence = log->sequence;
  g_queue_push_tail_link (removed ? &log->removed : &log->live, &entry->link);
}

static struct vwp_entry *
vwp_log_entry (struct vwp_log *log, const struct vw_replica *replica)
{
  char *key = vw_key (replica);
  struct vwp_entry *entry = g_hash_table_lookup (log->entries, key);

  if (entry != NULL)
    {
      g_free (key);
      return entry;
    }
  entry = g_new0 (struct vwp_entry, 1);
  entry->key = key;
  entry->replica = *replica;
  entry->replica.model = g_strdup (replica->model);
  entry->replica.endpoint = g_strdup (replica->endpoint);
  entry->link.data = entry;
  g_hash_table_insert (log->entries, key, entry);
  return entry;
}

/* Add REPLICA of a new view.  Return whether queued requests or an unload
   depend on the change.  */
static bool
vwp_log_add_replica (struct vwp_log *log, const struct vw_replica *replica,
                     uint64_t now_us)
{
  struct vwp_entry *entry = vwp_log_entry (log, replica);
  bool is_new = entry->changed_sequence == 0 || entry->removed;
  bool state_changed = is_new || entry->replica.state != replica->state;

  entry->seen_sequence = log->seen_sequence;
  if (!is_new && vw_is_equivalent (&entry->replica, replica, now_us))
    return false;
  entry->replica.state = replica->state;
  entry->replica.ready_us = replica->ready_us;
  vwp_log_mark_changed (log, entry, false);
  return state_changed
         && (replica->state == VW_READY || replica->state == VW_QUIESCING);
}

static bool
vwp_log_remove_unseen (struct vwp_log *log)
{
  GHashTableIter iter;
  gpointer value;
  bool urgent = false;

  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct vwp_entry *entry = value;

      if (entry->removed || entry->seen_sequence == log->seen_sequence)
        continue;
      urgent = urgent || entry->replica.state == VW_READY;
      vwp_log_mark_changed (log, entry, true);
    }
  while (log->removed.length > log->removed_max)
    {
      const struct vwp_entry *oldest = log->removed.head->data;

      log->truncated_sequence = oldest->changed_sequence;
      (void)g_queue_pop_head_link (&log->removed);
      g_hash_table_remove (log->entries, oldest->key);
    }
  return urgent;
}

/* Add VIEW, which must be newer than the last one.  Return whether a replica
   became ready or unusable.  */
bool
vwp_log_update (struct vwp_log *log, const struct vw_view *view,
                uint64_t now_us)
{
  bool urgent = false;
  uint64_t before;

  if (log->fence != view->fence)
    vwp_log_clear (log);
  before = log->sequence;
  if (log->zone == NULL)
    log->zone = g_strdup (view->zone);
  log->fence = view->fence;
  log->sequence = view->sequence;
  log->seen_sequence = view->sequence;
  log->has_change = false;
  for (guint i = 0; i < view->replicas->len; i++)
    if (vwp_log_add_replica (log, g_ptr_array_index (view->replicas, i),
                             now_us))
      urgent = true;
  urgent = vwp_log_remove_unseen (log) || urgent;
  if (!log->has_change && before > 0)
    log->sequence = before;
  return urgent;
}

/* Return the fencing number of the newest view; 0: none.  */
uint64_t
vwp_log_fence (const struct vwp_log *log)
{
  return log->fence;
}

/* Return the sequence of the newest view that contains a change.  */
uint64_t
vwp_log_sequence (const struct vwp_log *log)
{
  return log->sequence;
}

/* Return the sequence of the view in which MODEL on ENDPOINT last changed, or
   of the newest view if that is unknown.  */
uint64_t
vwp_log_changed_sequence (const struct vwp_log *log, const char *model,
                          const char *endpoint)
{
  struct vw_replica replica
      = { .model = (char *)model, .endpoint = (char *)endpoint };
  char *key = vw_key (&replica);
  const struct vwp_entry *entry = g_hash_table_lookup (log->entries, key);

  g_free (key);
  return entry == NULL ? log->sequence : entry->changed_sequence;
}

static guint
vwp_log_count (const GQueue *queue, uint64_t base)
{
  guint count = 0;

  for (const GList *i = queue->tail; i != NULL; i = i->prev)
    {
      if (((const struct vwp_entry *)i->data)->changed_sequence <= base)
        break;
      count++;
    }
  return count;
}

/* Return the base of an update for a member with the view (FENCE, SEQUENCE);
   0: a full view, which is smaller if there are more changes than replicas. */
static uint64_t
vwp_log_base (const struct vwp_log *log, uint64_t fence, uint64_t sequence)
{
  if (fence != log->fence || sequence < log->truncated_sequence)
    return 0;
  if (vwp_log_count (&log->live, sequence)
          + vwp_log_count (&log->removed, sequence)
      > log->live.length)
    return 0;
  return sequence;
}

/* Return a new update for a member with the view (FENCE, SEQUENCE); the caller
   frees it.  */
struct vw_update *
vwp_log_since (const struct vwp_log *log, uint64_t fence, uint64_t sequence)
{
  uint64_t base = vwp_log_base (log, fence, sequence);
  struct vw_update *update
      = vw_update_new (log->zone, log->fence, base, log->sequence);

  for (const GList *i = log->live.tail; i != NULL; i = i->prev)
    {
      const struct vwp_entry *entry = i->data;
      const struct vw_replica *r = &entry->replica;

      if (entry->changed_sequence <= base)
        break;
      (void)vw_add (update->view, r->model, r->endpoint, r->state,
                    r->ready_us);
    }
  for (const GList *i = log->removed.tail; base > 0 && i != NULL; i = i->prev)
    {
      const struct vwp_entry *entry = i->data;

      if (entry->changed_sequence <= base)
        break;
      vw_update_remove (update, entry->replica.model, entry->replica.endpoint);
    }
  return update;
}
