#include <string.h>

#include "sim.h"

#define SIM_KV_LATENCY_US 2000
#define SIM_KV_TIMEOUT_US (500 * SIM_US_PER_MS)

enum sim_kv_kind
{
  SIM_TXN,
  SIM_GRANT,
  SIM_RENEW,
  SIM_REVOKE
};

/* A call in progress.  */
struct sim_kv_call
{
  enum sim_kv_kind kind;
  struct sim_instance *from;
  struct kv_txn txn;
  struct kv_compare compares[4];
  struct kv_op ops[4];
  char *texts[12];
  uint32_t text_count;
  uint32_t ttl_s;
  int64_t lease;
  enum kv_outcome outcome;
  int64_t revision;
  struct kv_pair pairs[4];
  size_t pair_count;
  kv_done done;
  kv_lease_done lease_done;
  void *arg;
  bool no_reply; /* the caller expects no reply */
};

static void
sim_value_free (gpointer data)
{
  struct sim_value *value = data;

  g_free (value->text);
  g_free (value);
}

void
sim_kv_init (struct sim *sim)
{
  sim->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       sim_value_free);
  sim->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
sim_kv_free (struct sim *sim)
{
  g_hash_table_destroy (sim->values);
  g_hash_table_destroy (sim->leases);
}

static void
sim_end_lease (struct sim *sim, int64_t lease)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sim->values);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct sim_value *)value)->lease == lease)
      {
        sim->revision++;
        g_hash_table_iter_remove (&iter);
      }
  g_hash_table_remove (sim->leases, &lease);
}

/* Remove the leases that have expired and their keys.  */
void
sim_kv_expire (struct sim *sim)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  int64_t expired[16];
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, sim->leases);
  while (g_hash_table_iter_next (&iter, &key, &value) && count < 16)
    if (*(uint64_t *)value <= sim->now_us)
      expired[count++] = *(int64_t *)key;
  for (uint32_t i = 0; i < count; i++)
    sim_end_lease (sim, expired[i]);
}

static void
sim_set_lease (struct sim *sim, int64_t lease, uint32_t ttl_s)
{
  uint64_t *until_us = g_new (uint64_t, 1);

  *until_us = sim->now_us + ttl_s * 1000 * SIM_US_PER_MS;
  g_hash_table_replace (sim->leases, g_memdup2 (&lease, sizeof lease),
                        until_us);
}

static bool
sim_txn_may_commit (struct sim *sim, const struct sim_kv_call *call)
{
  for (size_t i = 0; i < call->txn.compare_count; i++)
    {
      const struct sim_value *value
          = g_hash_table_lookup (sim->values, call->compares[i].key);

      if ((value == NULL ? 0 : value->revision) != call->compares[i].revision)
        return false;
    }
  for (size_t i = 0; i < call->txn.then_count; i++)
    if (call->ops[i].lease != 0
        && !g_hash_table_contains (sim->leases, &call->ops[i].lease))
      return false;
  return true;
}

static void
sim_run_op (struct sim *sim, struct sim_kv_call *call, const struct kv_op *op)
{
  struct sim_value *value = g_hash_table_lookup (sim->values, op->key);

  if (op->kind == KV_PUT)
    {
      value = g_new0 (struct sim_value, 1);
      value->text = g_strdup (op->value);
      value->bytes = op->value_bytes;
      value->revision = sim->revision;
      value->lease = op->lease;
      g_hash_table_replace (sim->values, g_strdup (op->key), value);
    }
  else if (op->kind == KV_GET && value != NULL)
    {
      struct kv_pair *pair = &call->pairs[call->pair_count++];

      call->texts[call->text_count++] = pair->key = g_strdup (op->key);
      call->texts[call->text_count++] = pair->value = g_strdup (value->text);
      pair->value_bytes = value->bytes;
      pair->revision = value->revision;
      pair->lease = value->lease;
    }
}

static void
sim_run_txn (struct sim *sim, struct sim_kv_call *call)
{
  if (!sim_txn_may_commit (sim, call))
    {
      call->outcome = KV_CONFLICT;
      return;
    }
  if (call->txn.compare_count > 0)
    sim->revision++;
  for (size_t i = 0; i < call->txn.then_count; i++)
    sim_run_op (sim, call, &call->ops[i]);
  call->revision = sim->revision;
}

static void
sim_kv_execute (struct sim *sim, struct sim_kv_call *call)
{
  call->outcome = KV_OK;
  if (call->kind == SIM_TXN)
    sim_run_txn (sim, call);
  else if (call->kind == SIM_GRANT)
    {
      call->lease = ++sim->next_lease;
      sim_set_lease (sim, call->lease, call->ttl_s);
    }
  else if (call->kind == SIM_REVOKE)
    sim_end_lease (sim, call->lease);
  else if (g_hash_table_contains (sim->leases, &call->lease))
    sim_set_lease (sim, call->lease, OWN_TTL_S);
  else
    call->outcome = KV_CONFLICT;
}

static void
sim_kv_clear (struct sim_kv_call *call)
{
  for (uint32_t i = 0; i < call->text_count; i++)
    g_free (call->texts[i]);
}

static bool
sim_kv_failed (enum kv_outcome outcome)
{
  return outcome == KV_UNKNOWN || outcome == KV_UNAVAILABLE;
}

/* As in the real client, a failed call returns no lease.  */
static void
sim_kv_complete (struct sim *sim, void *data)
{
  struct sim_kv_call *call = data;
  struct kv_result result
      = { call->outcome, call->revision, call->pairs, call->pair_count };

  (void)sim;
  if (call->done != NULL)
    call->done (call->arg, &result);
  else if (call->lease_done != NULL)
    call->lease_done (call->arg, call->outcome,
                      sim_kv_failed (call->outcome) ? 0 : call->lease);
  sim_kv_clear (call);
}

/* Replies are also delivered to an instance that has died, because the
   election code frees its state on the last reply and ignores it otherwise.
   So is the failure of a call that gets no reply.  */
static void
sim_kv_send_reply (struct sim *sim, const struct sim_kv_call *call,
                   uint64_t delay_us)
{
  if (!call->no_reply)
    sim_schedule_always (sim, call->from, delay_us, sim_kv_complete,
                         g_memdup2 (call, sizeof *call));
}

static void
sim_kv_execute_delayed (struct sim *sim, void *data)
{
  struct sim_kv_call *call = data;

  sim_kv_execute (sim, call);
  sim_kv_clear (call);
}

static void
sim_kv_call_arrives (struct sim *sim, void *data)
{
  struct sim_kv_call *call = data;
  uint32_t draw = sim_random_below (sim, 1000);
  struct sim_faults f = sim->faults;

  if (sim->kv_down || call->from->kv_unreachable)
    {
      call->outcome = KV_UNAVAILABLE;
      sim_kv_send_reply (sim, call, SIM_KV_TIMEOUT_US);
    }
  else if (draw < f.reply_lost || call->kind == SIM_REVOKE)
    {
      sim_kv_execute (sim, call);
      call->outcome = KV_UNKNOWN;
      call->pair_count = 0;
      sim_kv_send_reply (sim, call, SIM_KV_TIMEOUT_US);
    }
  else if (draw < f.reply_lost + f.delayed && call->kind == SIM_TXN
           && call->txn.compare_count > 0)
    {
      struct sim_kv_call reply = { .kind = SIM_TXN,
                                   .from = call->from,
                                   .outcome = KV_UNKNOWN,
                                   .done = call->done,
                                   .arg = call->arg };

      sim_kv_send_reply (sim, &reply, SIM_KV_TIMEOUT_US);
      sim_schedule_always (
          sim, NULL, sim_random_below (sim, 3000) * SIM_US_PER_MS,
          sim_kv_execute_delayed, g_memdup2 (call, sizeof *call));
      return;
    }
  else
    {
      sim_kv_execute (sim, call);
      sim_kv_send_reply (sim, call, SIM_KV_LATENCY_US);
    }
  if (call->no_reply)
    sim_kv_clear (call);
}

static void
sim_kv_send (struct sim_kv_call *call)
{
  sim_schedule_always (call->from->sim, NULL, SIM_KV_LATENCY_US,
                       sim_kv_call_arrives, call);
}

static char *
sim_kv_copy_text (struct sim_kv_call *call, const char *text)
{
  return call->texts[call->text_count++] = g_strdup (text);
}

static void
sim_on_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct sim_kv_call *call = g_new0 (struct sim_kv_call, 1);

  call->from = context;
  call->txn = *txn;
  for (size_t i = 0; i < txn->compare_count; i++)
    {
      call->compares[i] = txn->compares[i];
      call->compares[i].key = sim_kv_copy_text (call, txn->compares[i].key);
    }
  for (size_t i = 0; i < txn->then_count; i++)
    {
      call->ops[i] = txn->then_ops[i];
      call->ops[i].key = sim_kv_copy_text (call, txn->then_ops[i].key);
      if (txn->then_ops[i].value != NULL)
        call->ops[i].value = sim_kv_copy_text (call, txn->then_ops[i].value);
    }
  call->done = done;
  call->arg = arg;
  sim_kv_send (call);
}

static struct sim_kv_call *
sim_lease_call (void *context, enum sim_kv_kind kind, kv_lease_done done,
                void *arg)
{
  struct sim_kv_call *call = g_new0 (struct sim_kv_call, 1);

  call->from = context;
  call->kind = kind;
  call->lease_done = done;
  call->arg = arg;
  return call;
}

static void
sim_on_grant (void *context, uint32_t ttl_s, kv_lease_done done, void *arg)
{
  struct sim_kv_call *call = sim_lease_call (context, SIM_GRANT, done, arg);

  call->ttl_s = ttl_s;
  sim_kv_send (call);
}

static void
sim_on_renew (void *context, int64_t lease, kv_lease_done done, void *arg)
{
  struct sim_kv_call *call = sim_lease_call (context, SIM_RENEW, done, arg);

  call->lease = lease;
  sim_kv_send (call);
}

static void
sim_on_revoke (void *context, int64_t lease)
{
  struct sim_kv_call *call = sim_lease_call (context, SIM_REVOKE, NULL, NULL);

  call->lease = lease;
  call->no_reply = true;
  sim_kv_send (call);
}

struct kv_store
sim_kv_store (struct sim_instance *instance)
{
  static const struct kv_methods methods = { .txn = sim_on_txn,
                                             .lease_grant = sim_on_grant,
                                             .lease_renew = sim_on_renew,
                                             .lease_revoke = sim_on_revoke };

  return (struct kv_store){ &methods, instance };
}
