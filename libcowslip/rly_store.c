#include "rly_impl.h"

/* A read of a stream that was read before is sent again at this interval until
   one has a response.  The connection may be dead or the store cut off, which
   would delay a change that must be in force within 2 s by the timeout of a
   read.  First reads are not repeated: when the whole fleet starts, they take
   seconds.  */
#define RLY_READ_AGAIN_MS 1000

/* A read of the keys of a stream.  */
struct rly_read
{
  struct rly_stream *stream;
  enum kv_op_kind kind;
  struct tm_timer timer;
  uint32_t outstanding;
  bool reported; /* DONE was called */
  kv_done done;
  void *arg;
};

/* Report the first result that is complete, or the last one.  */
static void
rly_read_done (void *arg, const struct kv_result *result)
{
  struct rly_read *read = arg;
  struct rly_stream *stream = read->stream;

  read->outstanding--;
  if (!read->reported && (result->outcome == KV_OK || read->outstanding == 0))
    {
      read->reported = true;
      tm_cancel (stream->rly->config.tm, &read->timer);
      if (result->outcome == KV_OK)
        rly_stream_load (stream, result);
      read->done (read->arg, result);
    }
  if (read->outstanding == 0)
    g_free (read);
}

static void
rly_read_send (void *arg)
{
  struct rly_read *read = arg;
  const struct rly_stream *stream = read->stream;
  const struct rly *rly = stream->rly;

  read->outstanding++;
  if (stream->read_us > 0)
    tm_after (rly->config.tm, &read->timer, RLY_READ_AGAIN_MS * RLY_US_PER_MS,
              rly_read_send, read);
  if (read->kind == KV_GET)
    kv_get (&rly->config.kv, stream->prefix, rly_read_done, read);
  else
    kv_get_prefix (&rly->config.kv, stream->prefix, rly_read_done, read);
}

/* Return the stream that TXN reads, or NULL.  */
static struct rly_stream *
rly_read_stream (const struct rly *rly, const struct kv_txn *txn)
{
  if (txn->compare_count > 0 || txn->then_count != 1
      || (txn->then_ops[0].kind != KV_GET
          && txn->then_ops[0].kind != KV_GET_PREFIX))
    return NULL;
  return rly_find_stream (rly, txn->then_ops[0].key);
}

static void
rly_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct rly *rly = context;
  struct rly_stream *stream = rly_read_stream (rly, txn);
  struct rly_read *read;

  if (stream == NULL)
    {
      kv_txn (&rly->config.kv, txn, done, arg);
      return;
    }
  read = g_new0 (struct rly_read, 1);
  read->stream = stream;
  read->kind = txn->then_ops[0].kind;
  read->done = done;
  read->arg = arg;
  rly_read_send (read);
}

static void
rly_lease_grant (void *context, uint32_t ttl_s, kv_lease_done done, void *arg)
{
  const struct kv_store *kv = &((struct rly *)context)->config.kv;

  kv->methods->lease_grant (kv->context, ttl_s, done, arg);
}

static void
rly_lease_renew (void *context, int64_t lease, kv_lease_done done, void *arg)
{
  const struct kv_store *kv = &((struct rly *)context)->config.kv;

  kv->methods->lease_renew (kv->context, lease, done, arg);
}

static void
rly_lease_revoke (void *context, int64_t lease)
{
  const struct kv_store *kv = &((struct rly *)context)->config.kv;

  kv->methods->lease_revoke (kv->context, lease);
}

/* Watch the keys that start with PREFIX, which must be one of the relayed ones
   and have been read.  Changes are reported in condensed form.  */
static void *
rly_watch (void *context, const char *prefix, int64_t from_revision,
           kv_changed changed, kv_watch_ended ended, void *arg)
{
  struct rly_stream *stream = rly_find_stream (context, prefix);

  g_assert (stream != NULL && !stream->watched);
  stream->watched = true;
  stream->changed = changed;
  stream->ended = ended;
  stream->arg = arg;
  stream->revision = MAX (stream->revision, from_revision - 1);
  rly_stream_replay (stream);
  return stream;
}

static void
rly_unwatch (void *context, void *watch)
{
  struct rly_stream *stream = watch;

  (void)context;
  rly_stream_watch_store (stream, false);
  stream->watched = false;
}

static int64_t
rly_era (void *context)
{
  return kv_era (&((const struct rly *)context)->config.kv);
}

/* Return the store whose watches are relayed, valid as long as RLY.  */
struct kv_store
rly_store (struct rly *rly)
{
  static const struct kv_methods methods = {
    .txn = rly_txn,
    .lease_grant = rly_lease_grant,
    .lease_renew = rly_lease_renew,
    .lease_revoke = rly_lease_revoke,
    .watch = rly_watch,
    .unwatch = rly_unwatch,
    .era = rly_era,
  };

  return (struct kv_store){ &methods, rly };
}
