#include <string.h>

#include "clm_batch_impl.h"

#define CLM_BATCH_US (UINT64_C (100) * 1000)
/* etcd accepts requests of up to 1.5 MiB, and base64 in its JSON gateway adds
   a third.  */
#define CLM_BATCH_BYTES       (512U << 10)
#define CLM_REMOTE_TIMEOUT_US (UINT64_C (2) * 1000 * 1000)
#define CLM_BACKOFF_US        (UINT64_C (100) * 1000)
#define CLM_BACKOFF_SHIFTS    6

static void clm_batch_arm (struct clm_batch *batch);

/* Create a batcher with the settings in CONFIG.  */
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

/* Free BATCH, which must have no call in flight.  */
void
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

/* Close BATCH.  Pending items are not answered.  The memory is freed once the
   call in flight has ended.  */
void
clm_batch_free (struct clm_batch *batch)
{
  if (batch == NULL)
    return;
  tm_cancel (batch->config.tm, &batch->timer);
  batch->closed = true;
  if (!batch->call_in_flight)
    clm_batch_destroy (batch);
}

static void
clm_batch_add (struct clm_batch *batch, struct clm_item *item,
               uint64_t timeout_us)
{
  item->deadline_us = tm_now_us (batch->config.tm) + timeout_us;
  g_queue_push_tail (&batch->waiting, item);
  clm_batch_arm (batch);
}

/* Write CLAIM in one of the next transactions and call DONE once with ARG.
   After TIMEOUT_US microseconds the outcome is CS_CLAIM_UNAVAILABLE if nothing
   can have been written, otherwise CS_CLAIM_UNKNOWN.  A completion or release
   is retried until then, a new claim only while the effect of its write is
   unknown.  */
void
clm_batch_submit (struct clm_batch *batch, const cs_claim *claim,
                  uint64_t timeout_us, clm_done done, void *arg)
{
  clm_batch_add (batch, clm_item_new (batch->prefix, claim, done, arg),
                 timeout_us);
}

/* Write CLAIM on behalf of another instance, otherwise like clm_batch_submit.
   The time-out is short, because that instance writes the claim itself if it
   gets no reply.  */
void
clm_batch_submit_remote (struct clm_batch *batch, const cs_claim *claim,
                         clm_done done, void *arg)
{
  struct clm_item *item = clm_item_new (batch->prefix, claim, done, arg);

  item->is_remote = true;
  clm_batch_add (batch, item, CLM_REMOTE_TIMEOUT_US);
}

/* Return the statistics of BATCH.  */
struct clm_batch_stats
clm_batch_stats (const struct clm_batch *batch)
{
  struct clm_batch_stats stats = batch->stats;

  stats.waiting = batch->waiting.length + batch->current->len;
  return stats;
}

/* Move items from the queue to the current transaction.  A transaction must
   not write a key twice, so a second item for the same key stays queued.  */
static void
clm_batch_fill (struct clm_batch *batch)
{
  uint64_t now_us = tm_now_us (batch->config.tm);
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  guint remaining = batch->waiting.length;
  size_t bytes = 0;

  for (; remaining > 0; remaining--)
    {
      struct clm_item *item = g_queue_pop_head (&batch->waiting);

      if (item->deadline_us <= now_us)
        {
          clm_item_reply_outcome (item, item->in_doubt ? CS_CLAIM_UNKNOWN
                                                       : CS_CLAIM_UNAVAILABLE);
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

  batch->call_in_flight = true;
  batch->conflict_retries = 0;
  batch->lease_checked = false;
  clm_batch_fill (batch);
  clm_batch_write (batch);
}

static void
clm_batch_arm (struct clm_batch *batch)
{
  if (batch->call_in_flight || batch->closed || batch->waiting.length == 0
      || tm_pending (&batch->timer))
    return;
  tm_after (batch->config.tm, &batch->timer, CLM_BATCH_US, clm_batch_run,
            batch);
}

/* Finish the current transaction, whose items were answered or requeued.  */
void
clm_batch_end (struct clm_batch *batch)
{
  g_ptr_array_set_size (batch->current, 0);
  batch->call_in_flight = false;
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

/* Abandon the current transaction.  New claims that certainly were not written
   are answered; all other items are requeued with backoff.  */
void
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
          clm_item_reply_outcome (item, CS_CLAIM_UNAVAILABLE);
          continue;
        }
      clm_item_invalidate (item);
      item->not_before_us = tm_now_us (batch->config.tm)
                            + clm_backoff_us (batch, item->failures);
      item->failures++;
      g_queue_push_tail (&batch->waiting, item);
    }
  g_ptr_array_free (items, TRUE);
  clm_batch_end (batch);
}
