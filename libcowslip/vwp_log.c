#include "vwp_log.h"

struct vwp_entry
{
  char *key;
  struct vw_replica replica;
  uint64_t changed; /* sequence */
  uint64_t seen;    /* newest view with this replica */
  bool removed;
  GList link;
};

struct vwp_log
{
  char *zone; /* NULL: no view yet */
  uint64_t fence;
  uint64_t sequence; /* of the newest view with a change */
  uint64_t seen;     /* of the newest view */
  uint64_t floor;    /* removals up to this sequence are forgotten */
  uint32_t removed_max;
  bool moved;          /* the view being taken has a change */
  GHashTable *entries; /* key -> struct vwp_entry */
  GQueue live;         /* longest unchanged first */
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

/* Return a log without a view that remembers REMOVED_MAX removals.  */
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

/* Forget the view.  */
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
  log->floor = 0;
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
vwp_log_move (struct vwp_log *log, struct vwp_entry *entry, bool removed)
{
  if (entry->changed > 0)
    g_queue_unlink (entry->removed ? &log->removed : &log->live, &entry->link);
  log->moved = true;
  entry->removed = removed;
  entry->changed = log->sequence;
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

/* Return whether waiting requests or an unload depend on the change.  */
static bool
vwp_log_put (struct vwp_log *log, const struct vw_replica *replica,
             uint64_t now_us)
{
  struct vwp_entry *entry = vwp_log_entry (log, replica);
  bool is_new = entry->changed == 0 || entry->removed;
  bool turned = is_new || entry->replica.state != replica->state;

  entry->seen = log->seen;
  if (!is_new && vw_same (&entry->replica, replica, now_us))
    return false;
  entry->replica.state = replica->state;
  entry->replica.ready_us = replica->ready_us;
  vwp_log_move (log, entry, false);
  return turned
         && (replica->state == VW_READY || replica->state == VW_QUIESCING);
}

static bool
vwp_log_sweep (struct vwp_log *log)
{
  GHashTableIter iter;
  gpointer value;
  bool urgent = false;

  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct vwp_entry *entry = value;

      if (entry->removed || entry->seen == log->seen)
        continue;
      urgent = urgent || entry->replica.state == VW_READY;
      vwp_log_move (log, entry, true);
    }
  while (log->removed.length > log->removed_max)
    {
      const struct vwp_entry *oldest = log->removed.head->data;

      log->floor = oldest->changed;
      (void)g_queue_pop_head_link (&log->removed);
      g_hash_table_remove (log->entries, oldest->key);
    }
  return urgent;
}

/* Take over VIEW, which is newer than the last one.  Return whether a replica
   became ready, or is no longer to be used.  */
bool
vwp_log_take (struct vwp_log *log, const struct vw_view *view, uint64_t now_us)
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
  log->seen = view->sequence;
  log->moved = false;
  for (guint i = 0; i < view->replicas->len; i++)
    if (vwp_log_put (log, g_ptr_array_index (view->replicas, i), now_us))
      urgent = true;
  urgent = vwp_log_sweep (log) || urgent;
  if (!log->moved && before > 0)
    log->sequence = before;
  return urgent;
}

/* Return the fencing number of the newest view; 0: there is none.  */
uint64_t
vwp_log_fence (const struct vwp_log *log)
{
  return log->fence;
}

/* Return the sequence of the newest view that members have to know.  */
uint64_t
vwp_log_sequence (const struct vwp_log *log)
{
  return log->sequence;
}

/* Return the sequence of the view in which MODEL on ENDPOINT last changed; the
   newest one if that is not known.  */
uint64_t
vwp_log_changed (const struct vwp_log *log, const char *model,
                 const char *endpoint)
{
  struct vw_replica replica
      = { .model = (char *)model, .endpoint = (char *)endpoint };
  char *key = vw_key (&replica);
  const struct vwp_entry *entry = g_hash_table_lookup (log->entries, key);

  g_free (key);
  return entry == NULL ? log->sequence : entry->changed;
}

static guint
vwp_log_count (const GQueue *queue, uint64_t base)
{
  guint count = 0;

  for (const GList *i = queue->tail; i != NULL; i = i->prev)
    {
      if (((const struct vwp_entry *)i->data)->changed <= base)
        break;
      count++;
    }
  return count;
}

/* Everything is cheaper than more changes than there are replicas.  */
static uint64_t
vwp_log_base (const struct vwp_log *log, uint64_t fence, uint64_t sequence)
{
  if (fence != log->fence || sequence < log->floor)
    return 0;
  if (vwp_log_count (&log->live, sequence)
          + vwp_log_count (&log->removed, sequence)
      > log->live.length)
    return 0;
  return sequence;
}

/* Return what a member that holds the view (FENCE, SEQUENCE) has to be told;
   the caller frees it.  */
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

      if (entry->changed <= base)
        break;
      (void)vw_add (update->view, r->model, r->endpoint, r->state,
                    r->ready_us);
    }
  for (const GList *i = log->removed.tail; base > 0 && i != NULL; i = i->prev)
    {
      const struct vwp_entry *entry = i->data;

      if (entry->changed <= base)
        break;
      vw_update_remove (update, entry->replica.model, entry->replica.endpoint);
    }
  return update;
}
