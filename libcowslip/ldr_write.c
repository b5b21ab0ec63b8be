#include <string.h>

#include "ldr_impl.h"

/* A candidate delays its campaign by this time per member that ranks before
   it, so that usually only one instance tries to write the leader record.  */
#define LDR_RANK_DELAY_MS 60
#define LDR_RANK_MAX      25

/* Handle the end of a write.  After a conflict it is repeated without a longer
   and longer delay, because the store has answered.  */
static void
ldr_write_ended (struct ldr *ldr, enum kv_outcome outcome)
{
  ldr->writing = false;
  if (outcome == KV_OK || outcome == KV_CONFLICT)
    ldr->failures = 0;
  if (outcome != KV_OK)
    ldr_back_off (ldr);
}

static void
ldr_send_txn (struct ldr *ldr, const struct kv_txn *txn, kv_done done)
{
  ldr->writing = true;
  ldr->calls_in_flight++;
  kv_txn (&ldr->config.kv, txn, done, ldr);
}

static void
ldr_write_txn (struct ldr *ldr, const struct kv_compare *compares,
               size_t compare_count, const struct kv_op *ops, size_t op_count,
               kv_done done)
{
  struct kv_txn txn = { .compares = compares,
                        .compare_count = compare_count,
                        .then_ops = ops,
                        .then_count = op_count };

  ldr_send_txn (ldr, &txn, done);
}

/* Handle the end of a write whose effect the watch delivers, also if another
   instance wrote first.  */
static void
ldr_write_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  if (ldr_call_ended (ldr))
    ldr_write_ended (ldr, result->outcome);
}

/* Store the key in use, or propose one, unless another instance has stored
   one.  */
static void
ldr_write_peer_key (struct ldr *ldr)
{
  char *text = g_base64_encode (
      ldr->has_peer_key ? ldr->peer_key : ldr->config.key, LDR_KEY_BYTES);
  struct kv_compare unchanged = { ldr_peer_key_key, ldr->peer_key_revision };
  struct kv_op put = { .kind = KV_PUT,
                       .key = ldr_peer_key_key,
                       .value = text,
                       .value_bytes = strlen (text) };

  ldr_write_txn (ldr, &unchanged, 1, &put, 1, ldr_write_done);
  g_free (text);
}

static void
ldr_register_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr))
    return;
  ldr_write_ended (ldr, result->outcome);
  if (result->outcome == KV_OK)
    ldr_registered (ldr);
  else if (result->outcome == KV_CONFLICT)
    ldr->member_lease.id = 0; /* expired */
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
                       .lease = ldr->member_lease.id };

  ldr_write_txn (ldr, NULL, 0, &put, 1, ldr_register_done);
  g_free (text);
  g_free (key);
}

/* A campaign was lost: another instance was elected, or the cached copy is out
   of date.  Update it from RESULT, which holds the records that were compared,
   because the next campaign would be lost like this one.  */
static void
ldr_campaign_lost (struct ldr *ldr, const struct kv_result *result)
{
  ldr->leader_lease.id = 0;
  for (size_t i = 0; i < result->pair_count; i++)
    {
      const struct kv_pair *pair = &result->pairs[i];

      ldr_table_apply (ldr, pair->key, pair->value, pair->value_bytes,
                       pair->revision, pair->lease);
    }
  ldr_update_role (ldr);
}

static void
ldr_campaign_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;
  char *text;

  if (!ldr_call_ended (ldr))
    return;
  ldr_write_ended (ldr, result->outcome);
  if (result->outcome == KV_CONFLICT)
    ldr_campaign_lost (ldr, result);
  if (result->outcome != KV_OK)
    return;
  text = ldr_encode (ldr);
  ldr_table_apply (ldr, ldr_leader_key, text, strlen (text), result->revision,
                   ldr->leader_lease.id);
  g_free (text);
  ldr_update_role (ldr);
}

static void
ldr_campaign (struct ldr *ldr)
{
  char *text = ldr_encode (ldr);
  char *holders = ldr_encode_term (ldr, ldr->config.instance);
  /* The term record is compared as well, because it determines the delay
     before the first order.  */
  struct kv_compare compares[]
      = { { ldr_leader_key, 0 },
          { ldr_term_key,
            ldr->past_leaders == NULL ? 0 : ldr->term_revision } };
  struct kv_op puts[] = { { .kind = KV_PUT,
                            .key = ldr_leader_key,
                            .value = text,
                            .value_bytes = strlen (text),
                            .lease = ldr->leader_lease.id },
                          { .kind = KV_PUT,
                            .key = ldr_term_key,
                            .value = holders,
                            .value_bytes = strlen (holders) } };
  struct kv_op gets[] = { { .kind = KV_GET, .key = ldr_leader_key },
                          { .kind = KV_GET, .key = ldr_term_key } };
  struct kv_txn txn = { .compares = compares,
                        .compare_count = G_N_ELEMENTS (compares),
                        .then_ops = puts,
                        .then_count = G_N_ELEMENTS (puts),
                        .else_ops = gets,
                        .else_count = G_N_ELEMENTS (gets) };

  /* Compute the delay now, from the term record that the transaction
     compares.  The watch may deliver the new record before the reply
     arrives.  */
  ldr->order_delay_ms = ldr_order_delay_ms (ldr);
  ldr_send_txn (ldr, &txn, ldr_campaign_done);
  g_free (holders);
  g_free (text);
}

/* Return how long this instance waits for higher-ranking candidates, in
   microseconds.  Candidates rank by CPU quota, because the leader does work
   for the whole cluster, then by name.  */
static uint64_t
ldr_campaign_delay_us (const struct ldr *ldr)
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
  return MIN (rank, LDR_RANK_MAX) * LDR_RANK_DELAY_MS * LDR_US_PER_MS;
}

/* Store the highest number of members, now or known from before.  */
static void
ldr_write_peak_members (struct ldr *ldr)
{
  char *text
      = g_strdup_printf ("%u", MAX (ldr->members->len, ldr->peak_members));
  struct kv_compare peak_unchanged
      = { ldr_peak_members_key, ldr->peak_revision };
  struct kv_op put = { .kind = KV_PUT,
                       .key = ldr_peak_members_key,
                       .value = text,
                       .value_bytes = strlen (text) };

  ldr_write_txn (ldr, &peak_unchanged, 1, &put, 1, ldr_write_done);
  g_free (text);
}

/* Return whether the leader record is this process's and not under its lease:
   the write took effect after that lease was lost, perhaps under another
   one that got the same number and is still renewed.  */
static bool
ldr_is_orphan (const struct ldr *ldr)
{
  return !ldr->leading && ldr->leader.instance != NULL
         && g_str_equal (ldr->leader.instance, ldr->config.instance)
         && ldr->leader.incarnation == ldr->config.incarnation;
}

static void
ldr_remove_orphan (struct ldr *ldr)
{
  struct kv_compare unchanged = { ldr_leader_key, ldr->leader.revision };
  struct kv_op op = { .kind = KV_DELETE, .key = ldr_leader_key };

  ldr_write_txn (ldr, &unchanged, 1, &op, 1, ldr_write_done);
}

static bool
ldr_may_campaign (const struct ldr *ldr, uint64_t now_us)
{
  return ldr->vacant_since_us != 0
         && now_us >= ldr->vacant_since_us + ldr_campaign_delay_us (ldr);
}

/* Perform the next pending write, if any.  */
void
ldr_write_due (struct ldr *ldr)
{
  uint64_t now_us = tm_now_us (ldr->config.tm);

  if (ldr->writing || now_us < ldr->retry_at_us)
    return;
  if (!ldr->synced)
    {
      if (ldr->member_lease.id != 0 && !ldr->resigned && !ldr->registered)
        ldr_write_member (ldr);
      return;
    }
  if (!ldr->peer_key_stored)
    {
      ldr_write_peer_key (ldr);
      return;
    }
  if (ldr->member_lease.id == 0 || ldr->resigned)
    return;
  if (!ldr->registered)
    ldr_write_member (ldr);
  else if (ldr_is_orphan (ldr))
    ldr_remove_orphan (ldr);
  else if (ldr_may_campaign (ldr, now_us))
    {
      if (ldr->leader_lease.id != 0 && now_us < ldr->confirmed_until_us)
        ldr_campaign (ldr);
      else
        ldr_lease_grant_leader (ldr);
    }
  else if (ldr->leading
           && MAX (ldr->members->len, ldr->peak_members) > ldr->peak_stored)
    ldr_write_peak_members (ldr);
}

static void
ldr_resign_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  (void)result;
  if (!ldr_call_ended (ldr))
    return;
  ldr_write_ended (ldr, KV_OK);
  if (ldr->member_lease.id != 0)
    ldr->config.kv.methods->lease_revoke (ldr->config.kv.context,
                                          ldr->member_lease.id);
  ldr->member_lease.id = 0;
}

/* Remove this instance's records from the store.  */
void
ldr_write_resign (struct ldr *ldr)
{
  char *key = ldr_member_key (ldr);
  bool may_order = tm_now_us (ldr->config.tm) >= ldr->may_order_from_us;
  /* A leader that was still waiting for others to stop promises nothing.  */
  char *holders
      = ldr_encode_term (ldr, may_order ? LDR_RESIGNED : ldr->config.instance);
  struct kv_compare leader_unchanged = { ldr_leader_key, (int64_t)ldr->fence };
  /* LDR_RESIGNED in the term record lets the successor start without
     delay.  */
  struct kv_op ops[] = { { .kind = KV_DELETE, .key = key },
                         { .kind = KV_DELETE, .key = ldr_leader_key },
                         { .kind = KV_PUT,
                           .key = ldr_term_key,
                           .value = holders,
                           .value_bytes = strlen (holders) } };

  if (ldr->leading)
    ldr_write_txn (ldr, &leader_unchanged, 1, ops, G_N_ELEMENTS (ops),
                   ldr_resign_done);
  else
    ldr_write_txn (ldr, NULL, 0, ops, 1, ldr_resign_done);
  g_free (holders);
  g_free (key);
}
