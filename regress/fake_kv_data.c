#include <string.h>

#include "fake_kv_data.h"

#define FAKE_US_PER_S 1000000
/* Revisions and leases hold the era above this many bits.  */
#define FAKE_NUMBER_BITS 40

struct fake_lease
{
  struct fake_data *data;
  struct tm_timer expiry;
  int64_t id;
  uint64_t ttl_us;
};

struct fake_copied_lease
{
  int64_t id;
  uint32_t ttl_s;
};

struct fake_watch
{
  char *prefix;
  kv_changed changed;
  kv_watch_ended on_ended; /* NULL: not called */
  void *arg;
  guint next; /* index in the log */
  bool ended;
};

static void
fake_pair_clear (void *data)
{
  struct kv_pair *pair = data;

  g_free (pair->key);
  g_free (pair->value);
}

static void
fake_pair_free (void *data)
{
  fake_pair_clear (data);
  g_free (data);
}

static void
fake_watch_free (void *data)
{
  struct fake_watch *watch = data;

  g_free (watch->prefix);
  g_free (watch);
}

static void
fake_lease_free (void *data)
{
  struct fake_lease *lease = data;

  tm_cancel (lease->data->tm, &lease->expiry);
  g_free (lease);
}

static int
fake_compare_keys (const void *a, const void *b, void *user_data)
{
  (void)user_data;
  return strcmp (a, b);
}

/* Make DATA an empty store whose leases expire on the timers of TM.  */
void
fake_data_init (struct fake_data *data, struct tm_service *tm)
{
  *data = (struct fake_data){ .tm = tm, .revision = 1, .next_lease = 1000 };
  data->pairs
      = g_tree_new_full (fake_compare_keys, NULL, NULL, fake_pair_free);
  data->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        fake_lease_free);
  data->log = g_ptr_array_new_with_free_func (fake_pair_free);
  data->watches = g_ptr_array_new_with_free_func (fake_watch_free);
}

/* Free the contents of DATA.  */
void
fake_data_clear (struct fake_data *data)
{
  tm_cancel (data->tm, &data->wakeup);
  if (data->copied_pairs != NULL)
    {
      g_array_free (data->copied_pairs, TRUE);
      g_array_free (data->copied_leases, TRUE);
    }
  g_ptr_array_free (data->watches, TRUE);
  g_ptr_array_free (data->log, TRUE);
  g_hash_table_destroy (data->leases);
  g_tree_destroy (data->pairs);
}

/* Return an empty array of struct kv_pair that owns its keys and values.  */
GArray *
fake_pairs_new (void)
{
  GArray *pairs = g_array_new (FALSE, TRUE, sizeof (struct kv_pair));

  g_array_set_clear_func (pairs, fake_pair_clear);
  return pairs;
}

static struct kv_pair
fake_pair_copy (const struct kv_pair *pair)
{
  struct kv_pair copy = *pair;

  copy.key = g_strdup (pair->key);
  copy.value = g_malloc0 (pair->value_bytes + 1);
  memcpy (copy.value, pair->value, pair->value_bytes);
  return copy;
}

/* Append the pair of KEY to FOUND or, if PREFIX, all pairs whose key starts
   with KEY.  */
void
fake_data_get (const struct fake_data *data, const char *key, bool prefix,
               GArray *found)
{
  for (GTreeNode *node = g_tree_lower_bound (data->pairs, key); node != NULL;
       node = g_tree_node_next (node))
    {
      const struct kv_pair *pair = g_tree_node_value (node);
      struct kv_pair copy;

      if (prefix ? !g_str_has_prefix (pair->key, key)
                 : strcmp (pair->key, key) != 0)
        return;
      copy = fake_pair_copy (pair);
      g_array_append_val (found, copy);
    }
}

static void
fake_log_append (struct fake_data *data, const struct kv_pair *pair)
{
  g_ptr_array_add (data->log, g_memdup2 (pair, sizeof *pair));
  fake_data_schedule_watches (data);
}

/* Execute the put OP at the current revision.  */
void
fake_data_put (struct fake_data *data, const struct kv_op *op)
{
  struct kv_pair pair = { .key = (char *)op->key,
                          .value = (char *)op->value,
                          .value_bytes = op->value_bytes,
                          .revision = data->revision,
                          .lease = op->lease };
  struct kv_pair stored = fake_pair_copy (&pair);
  struct kv_pair logged = fake_pair_copy (&pair);

  g_tree_replace (data->pairs, stored.key, g_memdup2 (&stored, sizeof stored));
  fake_log_append (data, &logged);
}

/* Delete KEY, if it exists, at the current revision.  */
void
fake_data_delete (struct fake_data *data, const char *key)
{
  struct kv_pair logged
      = { .key = g_strdup (key), .revision = data->revision };

  if (g_tree_remove (data->pairs, key))
    fake_log_append (data, &logged);
  else
    g_free (logged.key);
}

/* Return the revision of the last change of KEY, or 0 if it does not
   exist.  */
int64_t
fake_data_revision (const struct fake_data *data, const char *key)
{
  const struct kv_pair *pair = g_tree_lookup (data->pairs, key);

  return pair == NULL ? 0 : pair->revision;
}

/* Return whether all COMPARES (struct kv_compare) match.  */
bool
fake_data_compare (const struct fake_data *data, const GArray *compares)
{
  for (guint i = 0; i < compares->len; i++)
    {
      const struct kv_compare *c
          = &g_array_index (compares, struct kv_compare, i);

      if (fake_data_revision (data, c->key) != c->revision)
        return false;
    }
  return true;
}

/* Execute OPS (struct kv_op) and append the pairs that they read to FOUND.
   Return false without any effect if a put uses an expired lease.  */
bool
fake_data_execute (struct fake_data *data, const GArray *ops, GArray *found)
{
  bool writes = false;

  for (guint i = 0; i < ops->len; i++)
    {
      const struct kv_op *op = &g_array_index (ops, struct kv_op, i);

      writes = writes || op->kind == KV_PUT || op->kind == KV_DELETE;
      if (op->kind == KV_PUT && op->lease != 0
          && !g_hash_table_contains (data->leases, &op->lease))
        return false;
    }
  if (writes)
    data->revision++;
  for (guint i = 0; i < ops->len; i++)
    {
      const struct kv_op *op = &g_array_index (ops, struct kv_op, i);

      if (op->kind == KV_PUT)
        fake_data_put (data, op);
      else if (op->kind == KV_DELETE)
        fake_data_delete (data, op->key);
      else
        fake_data_get (data, op->key, op->kind == KV_GET_PREFIX, found);
    }
  return true;
}

/* Expire LEASE, if it exists, and delete its keys.  */
void
fake_data_expire (struct fake_data *data, int64_t lease)
{
  GArray *all;

  if (!g_hash_table_remove (data->leases, &lease))
    return;
  all = fake_pairs_new ();
  fake_data_get (data, "", true, all);
  data->revision++;
  for (guint i = 0; i < all->len; i++)
    if (g_array_index (all, struct kv_pair, i).lease == lease)
      fake_data_delete (data, g_array_index (all, struct kv_pair, i).key);
  g_array_free (all, TRUE);
}

static void
fake_lease_expired (void *arg)
{
  struct fake_lease *lease = arg;

  fake_data_expire (lease->data, lease->id);
}

/* Return the id of a new lease that expires after TTL_S seconds unless it is
   renewed.  */
int64_t
fake_data_grant (struct fake_data *data, uint32_t ttl_s)
{
  struct fake_lease *lease = g_new0 (struct fake_lease, 1);

  lease->data = data;
  lease->id = data->next_lease++;
  lease->ttl_us = (uint64_t)ttl_s * FAKE_US_PER_S;
  g_hash_table_insert (data->leases, &lease->id, lease);
  (void)fake_data_renew (data, lease->id);
  return lease->id;
}

/* Restart the expiry timer of lease ID.  Return whether the lease exists.  */
bool
fake_data_renew (struct fake_data *data, int64_t id)
{
  struct fake_lease *lease = g_hash_table_lookup (data->leases, &id);

  if (lease == NULL)
    return false;
  tm_after (data->tm, &lease->expiry, lease->ttl_us, fake_lease_expired,
            lease);
  return true;
}

static void
fake_watch_report (struct fake_data *data, struct fake_watch *watch)
{
  while (!watch->ended && watch->next < data->log->len)
    {
      const struct kv_pair *pair
          = g_ptr_array_index (data->log, watch->next++);
      struct kv_change change = { .key = pair->key,
                                  .value = pair->value,
                                  .value_bytes = pair->value_bytes,
                                  .revision = pair->revision };

      if (g_str_has_prefix (pair->key, watch->prefix))
        watch->changed (watch->arg, &change);
    }
}

static void
fake_watches_report (void *arg)
{
  struct fake_data *data = arg;

  for (guint i = 0; !data->paused && i < data->watches->len; i++)
    fake_watch_report (data, g_ptr_array_index (data->watches, i));
  for (guint i = data->watches->len; i > 0; i--)
    if (((struct fake_watch *)data->watches->pdata[i - 1])->ended)
      g_ptr_array_remove_index (data->watches, i - 1);
}

/* Schedule the watches to read the log when the timer service next
   advances.  */
void
fake_data_schedule_watches (struct fake_data *data)
{
  tm_after (data->tm, &data->wakeup, 0, fake_watches_report, data);
}

/* Report changes of keys that start with PREFIX to CHANGED, starting at
   FROM_REVISION or, if that is 0, with the next change.  */
void *
fake_data_watch (struct fake_data *data, const char *prefix,
                 int64_t from_revision, kv_changed changed,
                 kv_watch_ended ended, void *arg)
{
  struct fake_watch *watch = g_new0 (struct fake_watch, 1);

  watch->prefix = g_strdup (prefix);
  watch->changed = changed;
  watch->on_ended = ended;
  watch->arg = arg;
  watch->next = data->log->len;
  while (from_revision > 0 && watch->next > 0
         && ((struct kv_pair *)data->log->pdata[watch->next - 1])->revision
                >= from_revision)
    watch->next--;
  g_ptr_array_add (data->watches, watch);
  fake_data_schedule_watches (data);
  return watch;
}

/* Cancel WATCH.  It reports nothing more.  */
void
fake_data_unwatch (struct fake_data *data, void *watch)
{
  ((struct fake_watch *)watch)->ended = true;
  fake_data_schedule_watches (data);
}

/* Copy the keys, leases and counters for fake_data_restore.  */
void
fake_data_copy (struct fake_data *data)
{
  GHashTableIter iter;
  gpointer value;

  g_assert (data->copied_pairs == NULL);
  data->copied_pairs = fake_pairs_new ();
  fake_data_get (data, "", true, data->copied_pairs);
  data->copied_leases
      = g_array_new (FALSE, FALSE, sizeof (struct fake_copied_lease));
  g_hash_table_iter_init (&iter, data->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fake_lease *lease = value;
      struct fake_copied_lease copy
          = { lease->id, (uint32_t)(lease->ttl_us / FAKE_US_PER_S) };

      g_array_append_val (data->copied_leases, copy);
    }
  data->copied_revision = data->revision;
  data->copied_next_lease = data->next_lease;
}

/* Return NUMBER, a revision or lease of an earlier era, in the current one. */
static int64_t
fake_renumber (const struct fake_data *data, int64_t number)
{
  int64_t low = number & ((INT64_C (1) << FAKE_NUMBER_BITS) - 1);

  return low == 0 ? 0 : (data->era << FAKE_NUMBER_BITS) | low;
}

static void
fake_restore_leases (struct fake_data *data)
{
  g_hash_table_remove_all (data->leases);
  for (guint i = 0; i < data->copied_leases->len; i++)
    {
      const struct fake_copied_lease *copy
          = &g_array_index (data->copied_leases, struct fake_copied_lease, i);

      data->next_lease = fake_renumber (data, copy->id);
      (void)fake_data_grant (data, copy->ttl_s);
    }
  data->next_lease = fake_renumber (data, data->copied_next_lease);
}

static void
fake_restore_pairs (struct fake_data *data)
{
  GArray *lost = fake_pairs_new ();

  fake_data_get (data, "", true, lost);
  for (guint i = 0; i < lost->len; i++)
    g_tree_remove (data->pairs, g_array_index (lost, struct kv_pair, i).key);
  g_array_free (lost, TRUE);
  for (guint i = 0; i < data->copied_pairs->len; i++)
    {
      struct kv_pair pair = fake_pair_copy (
          &g_array_index (data->copied_pairs, struct kv_pair, i));

      pair.revision = fake_renumber (data, pair.revision);
      pair.lease = fake_renumber (data, pair.lease);
      g_tree_replace (data->pairs, pair.key, g_memdup2 (&pair, sizeof pair));
    }
}

/* Return to the copy, which begins a new era.  Leases that it holds run anew,
   under numbers that nobody has; watches end.  */
void
fake_data_restore (struct fake_data *data)
{
  GPtrArray *watches = data->watches;

  data->era++;
  fake_restore_leases (data);
  fake_restore_pairs (data);
  data->revision = fake_renumber (data, data->copied_revision);
  g_ptr_array_set_size (data->log, 0);
  data->watches = g_ptr_array_new_with_free_func (fake_watch_free);
  for (guint i = 0; i < watches->len; i++)
    {
      const struct fake_watch *watch = g_ptr_array_index (watches, i);

      if (!watch->ended && watch->on_ended != NULL)
        watch->on_ended (watch->arg);
    }
  g_ptr_array_free (watches, TRUE);
}
