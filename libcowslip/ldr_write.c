#include <string.h>

#include "ldr_impl.h"

#define LDR_WRITE_RETRY_MS 300
/* Candidates wait for their rank in the list of members times this, so that
   one write is tried and not one per instance.  */
#define LDR_RANK_MS  60
#define LDR_RANK_MAX 10

static void
ldr_written (struct ldr *ldr, bool failed)
{
  ldr->writing = false;
  if (failed)
    ldr->retry_us
        = tm_now_us (ldr->config.tm) + LDR_WRITE_RETRY_MS * LDR_US_PER_MS;
}

static void
ldr_put (struct ldr *ldr, const struct kv_compare *compares,
         size_t compare_count, const struct kv_op *ops, size_t op_count,
         kv_done done)
{
  struct kv_txn txn = { .compares = compares,
                        .compare_count = compare_count,
                        .then_ops = ops,
                        .then_count = op_count };

  ldr->writing = true;
  ldr->calls++;
  kv_txn (&ldr->config.kv, &txn, done, ldr);
}

static void
ldr_key_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr))
    return;
  ldr_written (ldr, result->outcome != KV_OK);
  /* Whoever wrote it, the watch shows the key that stands.  */
}

static void
ldr_write_key (struct ldr *ldr)
{
  char *text = g_base64_encode (ldr->config.key, sizeof ldr->config.key);
  struct kv_compare absent = { ldr_key_key, 0 };
  struct kv_op put = { .kind = KV_PUT,
                       .key = ldr_key_key,
                       .value = text,
                       .value_bytes = strlen (text) };

  ldr_put (ldr, &absent, 1, &put, 1, ldr_key_done);
  g_free (text);
}

static void
ldr_register_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr))
    return;
  ldr_written (ldr, result->outcome != KV_OK);
  if (result->outcome == KV_OK)
    ldr->registered = true;
  else if (result->outcome == KV_CONFLICT)
    ldr->lease = 0; /* it has ended */
}

static void
ldr_write_member (struct ldr *ldr)
{
  char *key = ldr_member_key (ldr);
  char *text = ldr_encode (ldr);
  struct kv_op put = { .kind = KV_PUT,
                       .key = key,
                       .value = text,
                       .value_bytes = strlen (text),
                       .lease = ldr->lease };

  ldr_put (ldr, NULL, 0, &put, 1, ldr_register_done);
  g_free (text);
  g_free (key);
}

static void
ldr_take_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;
  char *text;

  if (!ldr_call_ended (ldr))
    return;
  ldr_written (ldr, result->outcome != KV_OK);
  if (result->outcome != KV_OK)
    return;
  text = ldr_encode (ldr);
  ldr_table_apply (ldr, ldr_leader_key, text, strlen (text), result->revision,
                   ldr->lease);
  g_free (text);
  ldr_evaluate (ldr);
}

static void
ldr_write_leader (struct ldr *ldr)
{
  char *text = ldr_encode (ldr);
  char *holders = ldr_holders (ldr, ldr->config.instance);
  /* The mark of terms is compared as well: if this is the first term, no
     engine can have an order of another leader.  */
  struct kv_compare compares[]
      = { { ldr_leader_key, 0 }, { ldr_term_key, ldr->term_revision } };
  struct kv_op puts[] = { { .kind = KV_PUT,
                            .key = ldr_leader_key,
                            .value = text,
                            .value_bytes = strlen (text),
                            .lease = ldr->lease },
                          { .kind = KV_PUT,
                            .key = ldr_term_key,
                            .value = holders,
                            .value_bytes = strlen (holders) } };

  /* The mark that is compared tells who led before; the watch may show the new
     one before the answer arrives.  */
  ldr->wait_ms = ldr_wait_ms (ldr);
  ldr_put (ldr, compares, G_N_ELEMENTS (compares), puts, G_N_ELEMENTS (puts),
           ldr_take_done);
  g_free (holders);
  g_free (text);
}

/* Return how long this instance lets others try first.  Those with more of a
   processor come first, because the leader works for all; then by name.  */
static uint64_t
ldr_rank_us (const struct ldr *ldr)
{
  uint32_t rank = 0;

  for (guint i = 0; i < ldr->members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (ldr->members, i);

      if (member->cpu_percent > ldr->config.cpu_percent
          || (member->cpu_percent == ldr->config.cpu_percent
              && strcmp (member->instance, ldr->config.instance) < 0))
        rank++;
    }
  return MIN (rank, LDR_RANK_MAX) * LDR_RANK_MS * LDR_US_PER_MS;
}

static void
ldr_strength_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  if (ldr_call_ended (ldr))
    ldr_written (ldr, result->outcome != KV_OK);
}

/* The leader notes how many members there are at full strength.  */
static void
ldr_write_strength (struct ldr *ldr)
{
  char *text = g_strdup_printf ("%u", ldr->members->len);
  struct kv_compare known = { ldr_strength_key, ldr->strength_revision };
  struct kv_op put = { .kind = KV_PUT,
                       .key = ldr_strength_key,
                       .value = text,
                       .value_bytes = strlen (text) };

  ldr_put (ldr, &known, 1, &put, 1, ldr_strength_done);
  g_free (text);
}

static bool
ldr_may_take (const struct ldr *ldr, uint64_t now_us)
{
  return ldr->vacant_us != 0 && now_us < ldr->safe_us
         && now_us >= ldr->vacant_us + ldr_rank_us (ldr);
}

/* Make the write that is due, if there is one.  */
void
ldr_write_due (struct ldr *ldr)
{
  uint64_t now_us = tm_now_us (ldr->config.tm);

  if (ldr->writing || !ldr->synced || now_us < ldr->retry_us)
    return;
  if (!ldr->key_known)
    {
      ldr_write_key (ldr);
      return;
    }
  if (ldr->lease == 0 || ldr->resigned)
    return;
  if (!ldr->registered)
    ldr_write_member (ldr);
  else if (ldr_may_take (ldr, now_us))
    ldr_write_leader (ldr);
  else if (ldr->leading && ldr->members->len > ldr->strength)
    ldr_write_strength (ldr);
}

static void
ldr_resign_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  (void)result;
  if (!ldr_call_ended (ldr))
    return;
  ldr_written (ldr, false);
  if (ldr->lease != 0)
    ldr->config.kv.methods->lease_revoke (ldr->config.kv.context, ldr->lease);
  ldr->lease = 0;
}

/* Remove the own records from the store.  */
void
ldr_write_resign (struct ldr *ldr)
{
  char *key = ldr_member_key (ldr);
  char *holders = ldr_holders (ldr, LDR_NOBODY);
  struct kv_compare mine = { ldr_leader_key, (int64_t)ldr->fence };
  /* A successor of a leader that resigned need not wait.  */
  struct kv_op ops[] = { { .kind = KV_DELETE, .key = key },
                         { .kind = KV_DELETE, .key = ldr_leader_key },
                         { .kind = KV_PUT,
                           .key = ldr_term_key,
                           .value = holders,
                           .value_bytes = strlen (holders) } };

  if (ldr->leading)
    ldr_put (ldr, &mine, 1, ops, G_N_ELEMENTS (ops), ldr_resign_done);
  else
    ldr_put (ldr, NULL, 0, ops, 1, ldr_resign_done);
  g_free (holders);
  g_free (key);
}
