#include <string.h>

#include "clm_batch_impl.h"

#define CLM_LEASE_TTL_S    (25U * 3600)
#define CLM_LEASE_REUSE_US (UINT64_C (3600) * 1000 * 1000)
/* A conflict means that another writer made progress on one of the keys, so a
   few retries nearly always suffice.  */
#define CLM_CONFLICT_RETRIES_MAX 4

static void clm_read_keys (struct clm_batch *batch);
static void clm_write_keys (struct clm_batch *batch);

/* Return whether the reply to a call may be used.  A closed batcher is freed
   after its last call.  */
static bool
clm_batch_call_ended (struct clm_batch *batch)
{
  if (!batch->closed)
    return true;
  clm_batch_destroy (batch);
  return false;
}

static void
clm_lease_granted (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct clm_batch *batch = arg;

  if (!clm_batch_call_ended (batch))
    return;
  if (outcome != KV_OK)
    {
      clm_batch_fail (batch);
      return;
    }
  batch->stats.leases++;
  batch->lease = lease;
  batch->lease_granted_us = tm_now_us (batch->config.tm);
  clm_read_keys (batch);
}

/* Write the current items and answer them.  Claims are stored for at least 24
   h: a lease of 25 h is attached to new claims for its first hour.  */
void
clm_batch_write (struct clm_batch *batch)
{
  const struct kv_store *kv = batch->config.kv;
  uint64_t now_us = tm_now_us (batch->config.tm);

  if (batch->current->len == 0)
    {
      clm_batch_end (batch);
      return;
    }
  if (batch->lease != 0
      && now_us - batch->lease_granted_us < CLM_LEASE_REUSE_US)
    {
      clm_read_keys (batch);
      return;
    }
  kv->methods->lease_grant (kv->context, CLM_LEASE_TTL_S, clm_lease_granted,
                            batch);
}

static void
clm_read_done (void *arg, const struct kv_result *result)
{
  struct clm_batch *batch = arg;

  if (!clm_batch_call_ended (batch))
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
        clm_item_set_stored (item, result);
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
  kv_txn (batch->config.kv, &txn, clm_read_done, batch);
}

/* Answer the items whose outcome follows from what was read.  */
static void
clm_reply_settled (struct clm_batch *batch)
{
  GPtrArray *items = batch->current;

  batch->current = g_ptr_array_new ();
  for (guint i = 0; i < items->len; i++)
    {
      struct clm_item *item = g_ptr_array_index (items, i);
      cs_claim_reply reply;

      if (clm_item_settle (item, &reply))
        clm_item_reply (item, &reply);
      else
        g_ptr_array_add (batch->current, item);
    }
  g_ptr_array_free (items, TRUE);
}

static void
clm_txn_committed (struct clm_batch *batch)
{
  GPtrArray *items = batch->current;

  batch->current = g_ptr_array_new ();
  for (guint i = 0; i < items->len; i++)
    clm_item_reply_outcome (g_ptr_array_index (items, i), CS_CLAIM_GRANTED);
  g_ptr_array_free (items, TRUE);
  clm_batch_end (batch);
}

static void
clm_lease_check_done (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct clm_batch *batch = arg;

  (void)lease;
  if (!clm_batch_call_ended (batch))
    return;
  if (outcome != KV_CONFLICT)
    {
      clm_batch_fail (batch);
      return;
    }
  batch->lease = 0;
  clm_batch_write (batch);
}

/* The write may have failed because its lease no longer exists.  */
static void
clm_txn_unavailable (struct clm_batch *batch)
{
  const struct kv_store *kv = batch->config.kv;

  if (batch->lease_checked)
    {
      clm_batch_fail (batch);
      return;
    }
  batch->lease_checked = true;
  kv->methods->lease_renew (kv->context, batch->lease, clm_lease_check_done,
                            batch);
}

static void
clm_txn_unknown (struct clm_batch *batch)
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
clm_txn_conflict (struct clm_batch *batch, const struct kv_result *result)
{
  batch->stats.conflicts++;
  for (guint i = 0; i < batch->current->len; i++)
    clm_item_set_stored (g_ptr_array_index (batch->current, i), result);
  if (++batch->conflict_retries <= CLM_CONFLICT_RETRIES_MAX)
    {
      clm_write_keys (batch);
      return;
    }
  for (guint i = 0; i < batch->current->len; i++)
    g_queue_push_head (&batch->waiting, g_ptr_array_index (batch->current, i));
  clm_batch_end (batch);
}

static void
clm_txn_done (void *arg, const struct kv_result *result)
{
  struct clm_batch *batch = arg;

  if (!clm_batch_call_ended (batch))
    return;
  switch (result->outcome)
    {
    case KV_OK:
      clm_txn_committed (batch);
      return;
    case KV_CONFLICT:
      clm_txn_conflict (batch, result);
      return;
    case KV_UNKNOWN:
      clm_txn_unknown (batch);
      return;
    case KV_UNAVAILABLE:
      clm_txn_unavailable (batch);
      return;
    }
}

/* Write the remaining items, each on condition that its key still has the
   revision that was read, so that no other call's claim is overwritten.  */
static void
clm_write_keys (struct clm_batch *batch)
{
  struct kv_compare compares[CLM_BATCH_CLAIMS];
  struct kv_op writes[CLM_BATCH_CLAIMS];
  struct kv_op reads[CLM_BATCH_CLAIMS];
  struct kv_txn txn
      = { .compares = compares, .then_ops = writes, .else_ops = reads };
  guint count;

  clm_reply_settled (batch);
  count = batch->current->len;
  if (count == 0)
    {
      clm_batch_end (batch);
      return;
    }
  for (guint i = 0; i < count; i++)
    {
      const struct clm_item *item = g_ptr_array_index (batch->current, i);

      compares[i] = (struct kv_compare){ item->key, item->revision };
      writes[i] = (struct kv_op){ .kind = KV_PUT,
                                  .key = item->key,
                                  .value = item->value,
                                  .value_bytes = strlen (item->value),
                                  .lease = batch->lease };
      reads[i] = (struct kv_op){ .kind = KV_GET, .key = item->key };
    }
  txn.compare_count = txn.then_count = txn.else_count = count;
  batch->stats.transactions++;
  batch->stats.written += count;
  batch->stats.largest = MAX (batch->stats.largest, count);
  kv_txn (batch->config.kv, &txn, clm_txn_done, batch);
}
