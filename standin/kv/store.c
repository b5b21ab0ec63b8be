#include <string.h>

#include "store.h"

/* Limits of the event history; older events are compacted.  */
#define KVS_EVENTS_MAX       20000U
#define KVS_EVENTS_MAX_BYTES (64U << 20)

struct kvs_store
{
  GTree *entries;
  GQueue events; /* struct kvs_event */
  uint64_t first_event;
  uint64_t committed_events;
  size_t event_bytes;
  int64_t revision;
  int64_t compacted;
  kvs_commit_cb committed;
  void *arg;
};

struct kvs_match
{
  const struct kvs_range *range;
  int64_t lease;
  GPtrArray *keys;
};

static void
kvs_entry_clear (struct kvs_entry *entry)
{
  g_free (entry->key);
  if (entry->value != NULL)
    g_bytes_unref (entry->value);
}

static void
kvs_entry_free (gpointer entry)
{
  kvs_entry_clear (entry);
  g_free (entry);
}

static gint
kvs_compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  return strcmp (a, b);
}

/* Return an empty store at revision 1 that calls COMMITTED with ARG after each
   commit.  */
struct kvs_store *
kvs_new (kvs_commit_cb committed, void *arg)
{
  struct kvs_store *store = g_new0 (struct kvs_store, 1);

  store->entries = g_tree_new_full (kvs_compare, NULL, NULL, kvs_entry_free);
  g_queue_init (&store->events);
  store->revision = 1;
  store->committed = committed;
  store->arg = arg;
  return store;
}

/* Return the revision of the last commit.  */
int64_t
kvs_revision (const struct kvs_store *store)
{
  return store->revision;
}

/* Return the revision that the uncommitted changes will have, or that of the
   last commit if there are none.  */
int64_t
kvs_pending_revision (const struct kvs_store *store)
{
  return store->revision
         + (kvs_event_end (store) > store->committed_events ? 1 : 0);
}

/* Return the entry of KEY, or NULL.  */
const struct kvs_entry *
kvs_get (const struct kvs_store *store, const char *key)
{
  return g_tree_lookup (store->entries, key);
}

/* Return whether KEY is in RANGE.  */
bool
kvs_in_range (const struct kvs_range *range, const char *key)
{
  if (range->end_bytes == 0)
    return strcmp (key, range->key) == 0;
  if (strcmp (key, range->key) < 0)
    return false;
  return (range->end_bytes == 1 && range->end[0] == '\0')
         || strcmp (key, range->end) < 0;
}

/* Call VISIT with ARG for each entry in RANGE in ascending order of keys.
   Return the number of entries.  */
uint32_t
kvs_foreach (const struct kvs_store *store, const struct kvs_range *range,
             kvs_visitor visit, void *arg)
{
  GTreeNode *node = g_tree_lower_bound (store->entries, range->key);
  uint32_t count = 0;

  for (; node != NULL && kvs_in_range (range, g_tree_node_key (node));
       node = g_tree_node_next (node))
    {
      visit (arg, g_tree_node_value (node));
      count++;
    }
  return count;
}

static void
kvs_compact (struct kvs_store *store)
{
  while (store->events.length > KVS_EVENTS_MAX
         || store->event_bytes > KVS_EVENTS_MAX_BYTES)
    {
      struct kvs_event *event = g_queue_pop_head (&store->events);

      store->compacted = event->entry.mod_revision;
      store->event_bytes -= g_bytes_get_size (event->entry.value);
      store->first_event++;
      kvs_entry_free (event);
    }
}

static void
kvs_event_add (struct kvs_store *store, const struct kvs_entry *entry,
               bool deleted)
{
  struct kvs_event *event = g_new0 (struct kvs_event, 1);

  event->entry = *entry;
  event->entry.key = g_strdup (entry->key);
  event->entry.value
      = deleted ? g_bytes_new (NULL, 0) : g_bytes_ref (entry->value);
  event->deleted = deleted;
  store->event_bytes += g_bytes_get_size (event->entry.value);
  g_queue_push_tail (&store->events, event);
}

/* Set KEY to VALUE and attach it to LEASE (0: none), in the revision that
   kvs_commit completes.  */
void
kvs_put (struct kvs_store *store, const char *key, GBytes *value,
         int64_t lease)
{
  const struct kvs_entry *old = kvs_get (store, key);
  struct kvs_entry *entry = g_new0 (struct kvs_entry, 1);

  entry->key = g_strdup (key);
  entry->value = g_bytes_ref (value);
  entry->mod_revision = store->revision + 1;
  entry->create_revision
      = old == NULL ? entry->mod_revision : old->create_revision;
  entry->version = old == NULL ? 1 : old->version + 1;
  entry->lease = lease;
  g_tree_replace (store->entries, entry->key, entry);
  kvs_event_add (store, entry, false);
}

static void
kvs_collect (void *arg, const struct kvs_entry *entry)
{
  struct kvs_match *match = arg;

  if (match->lease == 0 || entry->lease == match->lease)
    g_ptr_array_add (match->keys, g_strdup (entry->key));
}

static uint32_t
kvs_delete_matches (struct kvs_store *store, struct kvs_match *match)
{
  uint32_t count;

  match->keys = g_ptr_array_new_with_free_func (g_free);
  kvs_foreach (store, match->range, kvs_collect, match);
  count = match->keys->len;
  for (guint i = 0; i < count; i++)
    {
      struct kvs_entry deletion = { .key = match->keys->pdata[i],
                                    .mod_revision = store->revision + 1 };

      kvs_event_add (store, &deletion, true);
      g_tree_remove (store->entries, deletion.key);
    }
  g_ptr_array_free (match->keys, TRUE);
  return count;
}

/* Delete the keys in RANGE, in the revision that kvs_commit completes.  Return
   the number of deleted keys.  */
uint32_t
kvs_delete (struct kvs_store *store, const struct kvs_range *range)
{
  struct kvs_match match = { .range = range };

  return kvs_delete_matches (store, &match);
}

/* Delete the keys attached to LEASE, as kvs_delete does.  Return the number of
   deleted keys.  */
uint32_t
kvs_delete_lease (struct kvs_store *store, int64_t lease)
{
  char from[] = "";
  char all[] = "";
  struct kvs_range range = { from, all, 1 };
  struct kvs_match match = { .range = &range, .lease = lease };

  return kvs_delete_matches (store, &match);
}

/* Commit the changes since the last commit, if any, as one revision.  */
void
kvs_commit (struct kvs_store *store)
{
  uint64_t first = store->committed_events;

  if (kvs_event_end (store) == first)
    return;
  store->revision++;
  store->committed_events = kvs_event_end (store);
  store->committed (store->arg, first);
  kvs_compact (store);
}

/* Return the revision up to which events were compacted.  */
int64_t
kvs_compacted_revision (const struct kvs_store *store)
{
  return store->compacted;
}

/* Return the index of the next event to be added.  */
uint64_t
kvs_event_end (const struct kvs_store *store)
{
  return store->first_event + store->events.length;
}

/* Return the event with INDEX, which must not be compacted.  */
const struct kvs_event *
kvs_event (const struct kvs_store *store, uint64_t index)
{
  return g_queue_peek_nth ((GQueue *)&store->events,
                           (guint)(index - store->first_event));
}

/* Return the index of the first event whose revision is at least REVISION. */
uint64_t
kvs_event_from (const struct kvs_store *store, int64_t revision)
{
  uint64_t index = kvs_event_end (store);

  for (const GList *l = store->events.tail; l != NULL; l = l->prev)
    {
      const struct kvs_event *event = l->data;

      if (event->entry.mod_revision < revision)
        break;
      index--;
    }
  return index;
}
