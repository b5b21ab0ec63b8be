#include "clm_batch.h"
#include "clm_item.h"

#define CLM_BATCH_US     (UINT64_C (100) * 1000)
#define CLM_BATCH_CLAIMS 60
/* etcd takes requests of 1.5 MiB; the JSON gateway adds a third.  */
#define CLM_BATCH_BYTES    (512U << 10)
#define CLM_LEASE_TTL_S    (25U * 3600)
#define CLM_LEASE_USE_US   (UINT64_C (3600) * 1000 * 1000)
#define CLM_BACKOFF_US     (UINT64_C (100) * 1000)
#define CLM_BACKOFF_SHIFTS 6
/* Each round lost means that another writer made progress on one of the keys,
   so a few rounds nearly always suffice.  */
#define CLM_ROUNDS 4

struct clm_batch
{
  struct clm_batch_config config;
  char *prefix;
  GQueue waiting;     /* struct clm_item */
  GPtrArray *current; /* items of the transaction under way */
  struct tm_timer timer;
  int64_t lease;
  uint64_t lease_since_us;
  uint32_t rounds;
  bool lease_checked;
  bool busy;
  bool closed;
  struct clm_batch_stats stats;
};

static void clm_batch_arm (struct clm_batch *batch);
static void clm_ensure_lease (struct clm_batch *batch);
static void clm_read_keys (struct clm_batch *batch);
static void clm_write_keys (struct clm_batch *batch);

/* Return a batcher as CONFIG says.  */
struct clm_batch *
clm_batch_new (const struct clm_batch_config *config)
{
  struct clm_batch *batch = g_new0 (struct clm_batch, 1);

  batch->config = *config;
  batch->prefix = g_strdup (config->prefix);
  g_queue_init (&batch->waiting);
  batch->current = g_ptr_array_new ();
  return batch;
}

static void
clm_batch_destroy (struct clm_batch *batch)
{
  struct clm_item *item;

  while ((item = g_queue_pop_head (&batch->waiting)) != NULL)
    clm_item_free (item);
  for (guint i = 0; i < batch->current->len; i++)
    clm_item_free (g_ptr_array_index (batch->current, i));
  g_ptr_array_free (batch->current, TRUE);
  g_free (batch->prefix);
  g_free (batch);
}

/* Free BATCH; what was not answered is never answered.  The memory is given
   back when the call under way has ended.  */
void
clm_batch_free (struct clm_batch *batch)
{
  if (batch == NULL)
    return;
  tm_cancel (batch->config.tm, &batch->timer);
  batch->closed = true;
  if (!batch->busy)
    clm_batch_destroy (batch);
}

/* Write CLAIM with one of the next transactions and call DONE once with ARG.
   After LIMIT_US, in microseconds, the outcome is CS_CLAIM_UNAVAILABLE if
   nothing can have been written and otherwise CS_CLAIM_UNKNOWN.  A completion
   or release is tried again until then, a new claim only while its effect is
   not known.  */
void
clm_batch_submit (struct clm_batch *batch, const cs_claim *claim,
                  uint64_t limit_us, clm_done done, void *arg)
{
  struct clm_item *item = clm_item_new (batch->prefix, claim, done, arg);

  item->give_up_us = tm_now_us (batch->config.tm) + limit_us;
  g_queue_push_tail (&batch->waiting, item);
  clm_batch_arm (batch);
}

/* Return what BATCH did so far.  */
struct clm_batch_stats
clm_batch_stats (const struct clm_batch *batch)
{
  struct clm_batch_stats stats = batch->stats;

  stats.waiting = batch->waiting.length + batch->current->len;
  return stats;
}

/* A transaction may not write a key twice, so of two items for one key the
   later one waits.  */
static void
clm_gather (struct clm_batch *batch)
{
  uint64_t now_us = tm_now_us (batch->config.tm);
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  guint left = batch->waiting.length;
  size_t bytes = 0;

  for (; left > 0; left--)
    {
      struct clm_item *item = g_queue_pop_head (&batch->waiting);

      if (item->give_up_us <= now_us)
        {
          clm_item_answer_outcome (
              item, item->in_doubt ? CS_CLAIM_UNKNOWN : CS_CLAIM_UNAVAILABLE);
          continue;
        }
      if (item->not_before_us > now_us
          || batch->current->len == CLM_BATCH_CLAIMS
          || (bytes > 0 && bytes + strlen (item->value) > CLM_BATCH_BYTES)
          || !g_hash_table_add (keys, item->key))
        {
          g_queue_push_tail (&batch->waiting, item);
          continue;
        }
      bytes += strlen (item->value);
      g_ptr_array_add (batch->current, item);
    }
  g_hash_table_destroy (keys);
}

static void
clm_batch_run (void *arg)
{
  struct clm_batch *batch = arg;

  batch->busy = true;
  batch->rounds = 0;
  batch->lease_checked = false;
  clm_gather (batch);
  clm_ensure_lease (batch);
}

static void
clm_batch_arm (struct clm_batch *batch)
{
  if (batch->busy || batch->closed || batch->waiting.length == 0
      || tm_pending (&batch->timer))
    return;
  tm_after (batch->config.tm, &batch->timer, CLM_BATCH_US, clm_batch_run,
            batch);
}

/* Return whether the answer to a call may be used; a closed batcher goes with
   its last call.  */
static bool
clm_batch_resume (struct clm_batch *batch)
{
  if (!batch->closed)
    return true;
  clm_batch_destroy (batch);
  return false;
}

static void
clm_batch_end (struct clm_batch *batch)
{
  g_ptr_array_set_size (batch->current, 0);
  batch->busy = false;
  clm_batch_arm (batch);
}

static uint64_t
clm_backoff_us (const struct clm_batch *batch, uint32_t failures)
{
  uint64_t longest_us = CLM_BACKOFF_US
                        << MIN (failures, (uint32_t)CLM_BACKOFF_SHIFTS);

  return longest_us / 2
         + gsl_rng_uniform_int (batch->config.random,
                                (unsigned long)(longest_us / 2));
}

/* Nothing more can be done for the current items now.  A new claim that was
   certainly not written is answered at once; anything else is tried again.  */
static void
clm_batch_fail (struct clm_batch *batch)
{
  GPtrArray *items = batch->current;

  batch->stats.unavailable++;
  batch->current = g_ptr_array_new ();
  for (guint i = 0; i < items->len; i++)
    {
      struct clm_item *item = g_ptr_array_index (items, i);

      if (item->claim->kind == CS_CLAIM_OPEN && !item->in_doubt)
        {
          clm_item_answer_outcome (item, CS_CLAIM_UNAVAILABLE);
          continue;
        }
      clm_item_forget (item);
      item->not_before_us = tm_now_us (batch->config.tm)
                            + clm_backoff_us (batch, item->failures);
      item->failures++;
      g_queue_push_tail (&batch->waiting, item);
    }
  g_ptr_array_free (items, TRUE);
  clm_batch_end (batch);
}

static void
clm_lease_granted (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct clm_batch *batch = arg;

  if (!clm_batch_resume (batch))
    return;
  if (outcome != KV_OK)
    {
      clm_batch_fail (batch);
      return;
    }
  batch->stats.leases++;
  batch->lease = lease;
  batch->lease_since_us = tm_now_us (batch->config.tm);
  clm_read_keys (batch);
}

/* Claims live for 24 h at least: a lease of 25 h takes new ones for 1 h.  */
static void
clm_ensure_lease (struct clm_batch *batch)
{
  const struct kv_store *kv = batch->config.kv;
  uint64_t now_us = tm_now_us (batch->config.tm);

  if (batch->current->len == 0)
    {
      clm_batch_end (batch);
      return;
    }
  if (batch->lease != 0 && now_us - batch->lease_since_us < CLM_LEASE_USE_US)
    {
      clm_read_keys (batch);
      return;
    }
  kv->methods->lease_grant (kv->context, CLM_LEASE_TTL_S, clm_lease_granted,
                            batch);
}

static void
clm_keys_read (void *arg, const struct kv_result *result)
{
  struct clm_batch *batch = arg;

  if (!clm_batch_resume (batch))
    return;
  if (result->outcome != KV_OK)
    {
      clm_batch_fail (batch);
      return;
    }
  for (guint i = 0; i < batch->current->len; i++)
    {
      struct clm_item *item = g_ptr_array_index (batch->current, i);

      if (clm_item_needs_read (item))
        clm_item_found (item, result);
    }
  clm_write_keys (batch);
}

static void
clm_read_keys (struct clm_batch *batch)
{
  struct kv_op ops[CLM_BATCH_CLAIMS] = { 0 };
  struct kv_txn txn = { .then_ops = ops };

  for (guint i = 0; i < batch->current->len; i++)
    {
      const struct clm_item *item = g_ptr_array_index (batch->current, i);

      if (clm_item_needs_read (item))
        ops[txn.then_count++]
            = (struct kv_op){ .kind = KV_GET, .key = item->key };
    }
  if (txn.then_count == 0)
    {
      clm_write_keys (batch);
      return;
    }
  kv_txn (batch->config.kv, &txn, clm_keys_read, batch);
}

/* Answer the items that what was read has settled.  */
static void
clm_settle (struct clm_batch *batch)
{
  GPtrArray *items = batch->current;

  batch->current = g_ptr_array_new ();
  for (guint i = 0; i < items->len; i++)
    {
      struct clm_item *item = g_ptr_array_index (items, i);
      cs_claim_reply reply;

      if (clm_item_settle (item, &reply))
        clm_item_answer (item, &reply);
      else
        g_ptr_array_add (batch->current, item);
    }
  g_ptr_array_free (items, TRUE);
}

static void
clm_all_written (struct clm_batch *batch)
{
  GPtrArray *items = batch->current;

  batch->current = g_ptr_array_new ();
  for (guint i = 0; i < items->len; i++)
    clm_item_answer_outcome (g_ptr_array_index (items, i), CS_CLAIM_GRANTED);
  g_ptr_array_free (items, TRUE);
  clm_batch_end (batch);
}

static void
clm_lease_checked (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct clm_batch *batch = arg;

  (void)lease;
  if (!clm_batch_resume (batch))
    return;
  if (outcome != KV_CONFLICT)
    {
      clm_batch_fail (batch);
      return;
    }
  batch->lease = 0;
  clm_ensure_lease (batch);
}

/* A write that had no effect may be due to a lease that no longer exists.  */
static void
clm_not_written (struct clm_batch *batch)
{
  const struct kv_store *kv = batch->config.kv;

  if (batch->lease_checked)
    {
      clm_batch_fail (batch);
      return;
    }
  batch->lease_checked = true;
  kv->methods->lease_renew (kv->context, batch->lease, clm_lease_checked,
                            batch);
}

static void
clm_in_doubt (struct clm_batch *batch)
{
  batch->stats.unknown++;
  for (guint i = 0; i < batch->current->len; i++)
    {
      struct clm_item *item = g_ptr_array_index (batch->current, i);

      item->in_doubt = true;
    }
  clm_batch_fail (batch);
}

static void
clm_conflict (struct clm_batch *batch, const struct kv_result *result)
{
  batch->stats.conflicts++;
  for (guint i = 0; i < batch->current->len; i++)
    clm_item_found (g_ptr_array_index (batch->current, i), result);
  if (++batch->rounds <= CLM_ROUNDS)
    {
      clm_write_keys (batch);
      return;
    }
  for (guint i = 0; i < batch->current->len; i++)
    g_queue_push_head (&batch->waiting, g_ptr_array_index (batch->current, i));
  clm_batch_end (batch);
}

static void
clm_written (void *arg, const struct kv_result *result)
{
  struct clm_batch *batch = arg;

  if (!clm_batch_resume (batch))
    return;
  switch (result->outcome)
    {
    case KV_OK:
      clm_all_written (batch);
      return;
    case KV_CONFLICT:
      clm_conflict (batch, result);
      return;
    case KV_UNKNOWN:
      clm_in_doubt (batch);
      return;
    case KV_UNAVAILABLE:
      clm_not_written (batch);
      return;
    }
}

/* Write what is not settled yet, each item over the revision that was read, so
   that no claim of another call is overwritten.  */
static void
clm_write_keys (struct clm_batch *batch)
{
  struct kv_compare compares[CLM_BATCH_CLAIMS];
  struct kv_op writes[CLM_BATCH_CLAIMS];
  struct kv_op reads[CLM_BATCH_CLAIMS];
  struct kv_txn txn
      = { .compares = compares, .then_ops = writes, .else_ops = reads };
  guint count;

  clm_settle (batch);
  count = batch->current->len;
  if (count == 0)
    {
      clm_batch_end (batch);
      return;
    }
  for (guint i = 0; i < count; i++)
    {
      const struct clm_item *item = g_ptr_array_index (batch->current, i);
      bool release = item->claim->kind == CS_CLAIM_RELEASE;

      compares[i] = (struct kv_compare){ item->key, item->revision };
      writes[i]
          = (struct kv_op){ .kind = release ? KV_DELETE : KV_PUT,
                            .key = item->key,
                            .value = release ? NULL : item->value,
                            .value_bytes = release ? 0 : strlen (item->value),
                            .lease = release ? 0 : batch->lease };
      reads[i] = (struct kv_op){ .kind = KV_GET, .key = item->key };
    }
  txn.compare_count = txn.then_count = txn.else_count = count;
  batch->stats.transactions++;
  batch->stats.written += count;
  batch->stats.largest = MAX (batch->stats.largest, count);
  kv_txn (batch->config.kv, &txn, clm_written, batch);
}
