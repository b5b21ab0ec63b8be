#include "rly_impl.h"

/* The changes that wait to be relayed or applied, the newest of each key.  */

/* Limits on the changes that are kept.  At 96 KB per batch the relay of the
   bytes takes 13 s.  */
#define RLY_CHANGES_MAX       2048
#define RLY_CHANGES_MAX_BYTES (4U << 20)

static void
rly_change_free (gpointer data)
{
  struct rly_change *change = data;

  g_free (change->key);
  g_string_free (change->value, TRUE);
  g_free (change);
}

/* Return an empty list.  */
struct rly_changes *
rly_changes_new (void)
{
  struct rly_changes *changes = g_new0 (struct rly_changes, 1);

  g_queue_init (&changes->list);
  changes->links = g_hash_table_new (g_str_hash, g_str_equal);
  return changes;
}

/* Remove all changes.  */
void
rly_changes_clear (struct rly_changes *changes)
{
  g_hash_table_remove_all (changes->links);
  g_queue_clear_full (&changes->list, rly_change_free);
  changes->bytes = 0;
}

/* Free CHANGES.  */
void
rly_changes_free (struct rly_changes *changes)
{
  rly_changes_clear (changes);
  g_hash_table_destroy (changes->links);
  g_free (changes);
}

static void
rly_changes_drop (struct rly_changes *changes, GList *link)
{
  struct rly_change *change = link->data;

  changes->bytes -= change->value->len;
  g_hash_table_remove (changes->links, change->key);
  g_queue_delete_link (&changes->list, link);
  rly_change_free (change);
}

/* Remove the first COUNT changes.  */
void
rly_changes_drop_first (struct rly_changes *changes, size_t count)
{
  while (count-- > 0)
    rly_changes_drop (changes, changes->list.head);
}

/* Add a change to CHANGES, instead of an earlier one of the same key.  The
   first ones yield to it, which the digest shows.  */
void
rly_changes_keep (struct rly_changes *changes, const char *key,
                  enum rly_kind kind, int64_t revision, const char *value,
                  size_t bytes)
{
  struct rly_change *change = g_new0 (struct rly_change, 1);
  GList *earlier = g_hash_table_lookup (changes->links, key);

  change->key = g_strdup (key);
  change->kind = kind;
  change->revision = revision;
  change->value = g_string_new_len (value, (gssize)bytes);
  if (earlier != NULL)
    rly_changes_drop (changes, earlier);
  g_queue_push_tail (&changes->list, change);
  g_hash_table_insert (changes->links, change->key,
                       g_queue_peek_tail_link (&changes->list));
  changes->bytes += bytes;
  while (changes->list.length > RLY_CHANGES_MAX
         || changes->bytes > RLY_CHANGES_MAX_BYTES)
    rly_changes_drop (changes, changes->list.head);
}
