#include <string.h>

#include <xxhash.h>

#include "rly_impl.h"

/* Consecutive batches whose digest differs from the own one before the keys
   are read again.  */
#define RLY_MISMATCHES_MAX 2
/* Revision of an item that a read has not confirmed yet.  */
#define RLY_UNREAD (-1)

/* Return a stream of the keys of PREFIX.  */
struct rly_stream *
rly_stream_new (struct rly *rly, const struct rly_prefix *prefix)
{
  struct rly_stream *stream = g_new0 (struct rly_stream, 1);

  stream->rly = rly;
  stream->prefix = g_strdup (prefix->prefix);
  stream->revisions = prefix->revisions;
  stream->items
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  stream->changes = rly_changes_new ();
  stream->received = rly_changes_new ();
  return stream;
}

/* Free the struct rly_stream at DATA.  */
void
rly_stream_free (gpointer data)
{
  struct rly_stream *stream = data;

  rly_stream_watch_store (stream, false);
  rly_changes_free (stream->changes);
  rly_changes_free (stream->received);
  g_hash_table_destroy (stream->items);
  g_free (stream->prefix);
  g_free (stream);
}

/* Return the stream of PREFIX, or NULL if its watches are not relayed.  */
struct rly_stream *
rly_find_stream (const struct rly *rly, const char *prefix)
{
  for (guint i = 0; i < rly->streams->len; i++)
    {
      struct rly_stream *stream = g_ptr_array_index (rly->streams, i);

      if (g_str_equal (stream->prefix, prefix))
        return stream;
    }
  return NULL;
}

/* Return the hash of what the owner of STREAM needs to know of KEY: the
   condensed VALUE, and its revision if the owner compares it.  */
static uint64_t
rly_hash (const struct rly_stream *stream, const char *key, int64_t revision,
          const char *value, size_t bytes)
{
  uint64_t seed = stream->revisions ? (uint64_t)revision : 0;

  return XXH64 (value, bytes, XXH64 (key, strlen (key), seed)) | 1;
}

/* Record that KEY has HASH since REVISION.  Return whether that is news.  */
static bool
rly_update_item (struct rly_stream *stream, const char *key, uint64_t hash,
                 int64_t revision)
{
  struct rly_item *item = g_hash_table_lookup (stream->items, key);
  bool news;

  if (item == NULL)
    {
      item = g_new0 (struct rly_item, 1);
      g_hash_table_insert (stream->items, g_strdup (key), item);
    }
  else if (revision <= item->revision)
    return false;
  news = item->hash != hash;
  stream->digest ^= item->hash ^ hash;
  item->hash = hash;
  item->revision = revision;
  return news;
}

/* Condense VALUE of KEY at REVISION into OUT, store its hash in HASH and
   return its kind.  */
static enum rly_kind
rly_condense (const struct rly_stream *stream, const char *key,
              int64_t revision, const char *value, size_t bytes, GString *out,
              uint64_t *hash)
{
  const struct rly *rly = stream->rly;

  if (rly->callbacks.condense (rly->arg, key, value, bytes, out))
    {
      *hash = rly_hash (stream, key, revision, out->str, out->len);
      return RLY_PUT;
    }
  *hash = rly_hash (stream, key, revision, value, bytes);
  g_string_truncate (out, 0);
  return RLY_REPLACE;
}

/* Report a change to the owner.  */
static void
rly_report (struct rly_stream *stream, const char *key, const char *value,
            size_t bytes, int64_t revision)
{
  struct kv_change change = { key, value, bytes, revision };

  if (stream->watched)
    stream->changed (stream->arg, &change);
}

/* Handle a change that the store has reported.  */
static void
rly_on_change (void *arg, const struct kv_change *change)
{
  struct rly_stream *stream = arg;
  enum rly_kind kind = RLY_REMOVE;
  GString *value = g_string_new (NULL);
  uint64_t hash = 0;

  stream->revision = MAX (stream->revision, change->revision);
  if (change->value != NULL)
    kind = rly_condense (stream, change->key, change->revision, change->value,
                         change->value_bytes, value, &hash);
  if (rly_update_item (stream, change->key, hash, change->revision))
    {
      rly_changes_keep (stream->changes, change->key, kind, change->revision,
                        value->str, value->len);
      if (kind == RLY_PUT)
        rly_report (stream, change->key, value->str, value->len,
                    change->revision);
      else
        rly_report (stream, change->key, change->value, change->value_bytes,
                    change->revision);
    }
  g_string_free (value, TRUE);
}

static void
rly_on_ended (void *arg)
{
  struct rly_stream *stream = arg;

  stream->inner = NULL;
  stream->stale = true;
  stream->answered_us = tm_now_us (stream->rly->config.tm);
}

/* End the owner's watch if the keys must be read again and the interval
   between reads has passed.  */
void
rly_stream_end_stale (struct rly_stream *stream)
{
  const struct rly *rly = stream->rly;
  uint64_t interval_us = rly->config.read_interval_ms * RLY_US_PER_MS;

  if (!stream->stale || !stream->watched
      || tm_now_us (rly->config.tm) - stream->read_us < interval_us)
    return;
  stream->stale = false;
  stream->watched = false;
  stream->ended (stream->arg);
}

/* Start or stop to watch the store.  */
void
rly_stream_watch_store (struct rly_stream *stream, bool watch)
{
  const struct kv_store *kv = &stream->rly->config.kv;

  if (watch != stream->watching)
    {
      rly_changes_clear (stream->changes);
      stream->answered_us = 0;
    }
  stream->watching = watch;
  if (watch && stream->inner == NULL && stream->watched && !stream->stale)
    stream->inner = kv->methods->watch (kv->context, stream->prefix,
                                        stream->revision + 1, rly_on_change,
                                        rly_on_ended, stream);
  else if (!watch && stream->inner != NULL)
    {
      kv->methods->unwatch (kv->context, stream->inner);
      stream->inner = NULL;
    }
}

/* Return when the store last answered the watch or read of STREAM since it is
   watched; 0: not yet.  */
uint64_t
rly_stream_answered_us (struct rly_stream *stream)
{
  const struct kv_store *kv = &stream->rly->config.kv;

  if (stream->inner != NULL)
    stream->answered_us
        = kv->methods->watch_answered_us == NULL
              ? tm_now_us (stream->rly->config.tm)
              : MAX (stream->answered_us, kv->methods->watch_answered_us (
                                              kv->context, stream->inner));
  return stream->answered_us;
}

/* Fill OUT, whose strings belong to STREAM, with changes of at most BYTES_LEFT
   bytes, which is reduced.  Return false if some did not fit.  */
bool
rly_stream_export (struct rly_stream *stream, cs_relay_stream *out,
                   size_t *bytes_left)
{
  const GQueue *list = &stream->changes->list;
  u_int count = 0;

  out->prefix = stream->prefix;
  out->revision = stream->revision;
  out->digest = stream->digest;
  out->changes.changes_val = g_new0 (cs_relay_change, list->length);
  for (const GList *item = list->head; item != NULL; item = item->next)
    {
      const struct rly_change *change = item->data;

      if (change->value->len > *bytes_left)
        break;
      *bytes_left -= change->value->len;
      out->changes.changes_val[count++]
          = (cs_relay_change){ change->key,
                               change->kind,
                               change->revision,
                               { (u_int)change->value->len,
                                 change->value->str } };
    }
  out->changes.changes_len = count;
  out->comparable = count == list->length;
  return out->comparable;
}

/* Drop the changes in OUT, which were sent, and free OUT's list.  */
void
rly_stream_sent (struct rly_stream *stream, const cs_relay_stream *out)
{
  rly_changes_drop_first (stream->changes, out->changes.changes_len);
  g_free (out->changes.changes_val);
}

/* Apply a relayed change.  Return false if the keys must be read again.  */
static bool
rly_apply (struct rly_stream *stream, const char *key, enum rly_kind kind,
           int64_t revision, const char *value, size_t bytes)
{
  const struct rly_item *item = g_hash_table_lookup (stream->items, key);
  uint64_t hash
      = kind == RLY_PUT ? rly_hash (stream, key, revision, value, bytes) : 0;

  /* The read has shown that the key was removed later.  */
  if (item == NULL && revision <= stream->read_revision)
    return true;
  if (kind == RLY_REPLACE)
    return item != NULL && revision <= item->revision;
  if (rly_update_item (stream, key, hash, revision))
    {
      /* Owners expect a null-terminated value.  */
      GString *copy = g_string_new_len (value, (gssize)bytes);

      rly_report (stream, key, kind == RLY_PUT ? copy->str : NULL, bytes,
                  revision);
      g_string_free (copy, TRUE);
    }
  return true;
}

/* Compare the digest of IN with the own one.  Return false if it has differed
   too often.  Digests of different revisions are not comparable: this instance
   may have read newer values than the source, or received them from another
   one.  */
static bool
rly_matches (struct rly_stream *stream, const cs_relay_stream *in)
{
  if (!in->comparable || in->revision < stream->revision)
    return true;
  if (in->digest == stream->digest)
    stream->mismatches = 0;
  else
    stream->mismatches++;
  if (stream->mismatches < RLY_MISMATCHES_MAX)
    return true;
  stream->rly->callbacks.diverged (stream->rly->arg, stream->prefix);
  return false;
}

/* Process the batch IN of a source.  */
void
rly_stream_import (struct rly_stream *stream, const cs_relay_stream *in)
{
  bool known = true;

  for (u_int i = 0; i < in->changes.changes_len; i++)
    {
      const cs_relay_change *change = &in->changes.changes_val[i];

      if (change->kind > RLY_REPLACE)
        continue;
      if (!stream->watched)
        rly_changes_keep (stream->received, change->key,
                          (enum rly_kind)change->kind, change->revision,
                          change->value.value_val, change->value.value_len);
      else
        known &= rly_apply (stream, change->key, (enum rly_kind)change->kind,
                            change->revision, change->value.value_val,
                            change->value.value_len);
    }
  /* The own watch of the store delivers what a batch lacks.  */
  if (!stream->watched || stream->inner != NULL)
    return;
  if (!known || !rly_matches (stream, in))
    stream->stale = true;
  /* A change that was missed is not relayed again: until the keys agree, an
     own watch must begin before it.  */
  if (in->comparable && in->digest == stream->digest)
    stream->revision = MAX (stream->revision, in->revision);
}

/* Apply the changes that were received while the owner read the keys.  */
void
rly_stream_replay (struct rly_stream *stream)
{
  struct rly_changes *kept = stream->received;
  bool known = true;

  stream->received = rly_changes_new ();
  for (const GList *item = kept->list.head; item != NULL; item = item->next)
    {
      const struct rly_change *change = item->data;

      known &= rly_apply (stream, change->key, change->kind, change->revision,
                          change->value->str, change->value->len);
    }
  rly_changes_free (kept);
  stream->stale = !known;
}

static gboolean
rly_is_missing (gpointer key, gpointer value, gpointer data)
{
  struct rly_stream *stream = data;
  const struct rly_item *item = value;

  if (item->revision != RLY_UNREAD)
    return FALSE;
  if (item->hash != 0)
    {
      rly_changes_keep (stream->changes, key, RLY_REMOVE, stream->revision, "",
                        0);
      stream->digest ^= item->hash;
    }
  return TRUE;
}

static void
rly_load_pair (struct rly_stream *stream, const struct kv_pair *pair,
               GString *value)
{
  enum rly_kind kind;
  uint64_t hash;

  g_string_truncate (value, 0);
  kind = rly_condense (stream, pair->key, pair->revision, pair->value,
                       pair->value_bytes, value, &hash);
  if (rly_update_item (stream, pair->key, hash, pair->revision))
    rly_changes_keep (stream->changes, pair->key, kind, pair->revision,
                      value->str, value->len);
}

/* Replace what is known of the keys by RESULT, which the owner has read.  What
   has changed since the last read or change is relayed by a source whose watch
   has ended.  */
void
rly_stream_load (struct rly_stream *stream, const struct kv_result *result)
{
  GString *value = g_string_new (NULL);
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, stream->items);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    ((struct rly_item *)item)->revision = RLY_UNREAD;
  stream->revision = result->revision;
  stream->read_revision = result->revision;
  stream->read_us = tm_now_us (stream->rly->config.tm);
  stream->mismatches = 0;
  stream->stale = false;
  stream->answered_us = tm_now_us (stream->rly->config.tm);
  for (size_t i = 0; i < result->pair_count; i++)
    rly_load_pair (stream, &result->pairs[i], value);
  (void)g_hash_table_foreach_remove (stream->items, rly_is_missing, stream);
  if (!stream->watching)
    rly_changes_clear (stream->changes);
  g_string_free (value, TRUE);
}
