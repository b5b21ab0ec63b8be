#include <string.h>

#include "fake_kv.h"
#include "fake_kv_data.h"

#define FAKE_LIMIT_US 2000000
#define FAKE_LATE_US  3000000
#define FAKE_SLOW_US  1500000
#define FAKE_NEVER    UINT64_MAX

struct fake_kv
{
  struct fake_data data;
  uint64_t delay_us;
  uint64_t calls;
  GPtrArray *pending; /* struct fake_call */
  enum fake_kv_fault fault;
  enum fake_kv_fault next_fault;
  uint32_t next_count;
};

struct fake_call
{
  struct fake_kv *kv;
  enum kv_outcome (*run) (struct fake_call *call);
  struct tm_timer effect;
  struct tm_timer answer;
  enum kv_outcome outcome;
  bool outcome_fixed;
  GArray *compares; /* struct kv_compare */
  GArray *then_ops; /* struct kv_op */
  GArray *else_ops; /* struct kv_op */
  GArray *found;    /* struct kv_pair */
  int64_t revision;
  int64_t lease;
  uint32_t ttl_s;
  kv_done done;
  kv_lease_done lease_done;
  void *arg;
};

/* When a call takes effect and is answered; 0: after the usual delay.  */
struct fake_plan
{
  uint64_t effect_us;
  uint64_t answer_us;
  enum kv_outcome outcome;
};

static const struct fake_plan fake_plans[] = {
  [FAKE_KV_NONE] = { 0, 0, KV_OK },
  [FAKE_KV_UNAVAILABLE] = { FAKE_NEVER, 0, KV_UNAVAILABLE },
  [FAKE_KV_ANSWER_LOST] = { 0, FAKE_LIMIT_US, KV_UNKNOWN },
  [FAKE_KV_REQUEST_LOST] = { FAKE_NEVER, FAKE_LIMIT_US, KV_UNKNOWN },
  [FAKE_KV_LATE] = { FAKE_LATE_US, FAKE_LIMIT_US, KV_UNKNOWN },
  [FAKE_KV_SLOW] = { FAKE_SLOW_US, FAKE_SLOW_US, KV_OK },
};

static void
fake_op_clear (void *data)
{
  struct kv_op *op = data;

  g_free ((char *)op->key);
  g_free ((char *)op->value);
}

static void
fake_compare_clear (void *data)
{
  g_free ((char *)((struct kv_compare *)data)->key);
}

static void
fake_call_free (void *data)
{
  struct fake_call *call = data;

  tm_cancel (call->kv->data.tm, &call->effect);
  tm_cancel (call->kv->data.tm, &call->answer);
  g_array_free (call->compares, TRUE);
  g_array_free (call->then_ops, TRUE);
  g_array_free (call->else_ops, TRUE);
  g_array_free (call->found, TRUE);
  g_free (call);
}

/* Return an empty store that answers after DELAY_US.  */
struct fake_kv *
fake_kv_new (struct tm_service *tm, uint64_t delay_us)
{
  struct fake_kv *kv = g_new0 (struct fake_kv, 1);

  fake_data_init (&kv->data, tm);
  kv->delay_us = delay_us;
  kv->pending = g_ptr_array_new_with_free_func (fake_call_free);
  return kv;
}

/* Free KV; calls that wait are never answered.  */
void
fake_kv_free (struct fake_kv *kv)
{
  g_ptr_array_free (kv->pending, TRUE);
  fake_data_clear (&kv->data);
  g_free (kv);
}

static enum kv_outcome
fake_run_txn (struct fake_call *call)
{
  bool holds = fake_data_holds (&call->kv->data, call->compares);
  bool lives = fake_data_execute (
      &call->kv->data, holds ? call->then_ops : call->else_ops, call->found);

  call->revision = call->kv->data.revision;
  if (!lives)
    return KV_UNAVAILABLE;
  return holds ? KV_OK : KV_CONFLICT;
}

static enum kv_outcome
fake_run_grant (struct fake_call *call)
{
  call->lease = fake_data_grant (&call->kv->data, call->ttl_s);
  return KV_OK;
}

static enum kv_outcome
fake_run_renew (struct fake_call *call)
{
  return fake_data_renew (&call->kv->data, call->lease) ? KV_OK : KV_CONFLICT;
}

static void
fake_release (struct fake_call *call)
{
  if (!tm_pending (&call->effect) && !tm_pending (&call->answer))
    g_ptr_array_remove_fast (call->kv->pending, call);
}

static void
fake_effect (void *arg)
{
  struct fake_call *call = arg;
  enum kv_outcome outcome = call->run (call);

  if (!call->outcome_fixed)
    call->outcome = outcome;
  fake_release (call);
}

static void
fake_answer (void *arg)
{
  struct fake_call *call = arg;
  struct kv_result result = { .outcome = call->outcome };

  if (!call->outcome_fixed)
    {
      result.revision = call->revision;
      result.pairs = (struct kv_pair *)(void *)call->found->data;
      result.pair_count = call->found->len;
    }
  if (call->done != NULL)
    call->done (call->arg, &result);
  else if (call->lease_done != NULL)
    call->lease_done (call->arg, call->outcome,
                      call->outcome_fixed ? 0 : call->lease);
  fake_release (call);
}

static enum fake_kv_fault
fake_take_fault (struct fake_kv *kv)
{
  if (kv->next_count == 0)
    return kv->fault;
  kv->next_count--;
  return kv->next_fault;
}

static uint64_t
fake_delay_us (const struct fake_kv *kv, uint64_t planned_us)
{
  return planned_us > 0 ? planned_us : kv->delay_us;
}

static struct fake_call *
fake_call_new (struct fake_kv *kv,
               enum kv_outcome (*run) (struct fake_call *call), void *arg)
{
  const struct fake_plan *plan = &fake_plans[fake_take_fault (kv)];
  struct fake_call *call = g_new0 (struct fake_call, 1);

  kv->calls++;
  call->kv = kv;
  call->run = run;
  call->arg = arg;
  call->outcome = plan->outcome;
  call->outcome_fixed = plan->outcome != KV_OK;
  call->compares = g_array_new (FALSE, TRUE, sizeof (struct kv_compare));
  g_array_set_clear_func (call->compares, fake_compare_clear);
  call->then_ops = g_array_new (FALSE, TRUE, sizeof (struct kv_op));
  g_array_set_clear_func (call->then_ops, fake_op_clear);
  call->else_ops = g_array_new (FALSE, TRUE, sizeof (struct kv_op));
  g_array_set_clear_func (call->else_ops, fake_op_clear);
  call->found = fake_pairs_new ();
  if (plan->effect_us != FAKE_NEVER)
    tm_after (kv->data.tm, &call->effect, fake_delay_us (kv, plan->effect_us),
              fake_effect, call);
  tm_after (kv->data.tm, &call->answer, fake_delay_us (kv, plan->answer_us),
            fake_answer, call);
  g_ptr_array_add (kv->pending, call);
  return call;
}

static void
fake_copy_ops (GArray *to, const struct kv_op *ops, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct kv_op op = ops[i];

      op.key = g_strdup (op.key);
      op.value = g_memdup2 (op.value, op.value_bytes);
      g_array_append_val (to, op);
    }
}

static void
fake_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct fake_call *call = fake_call_new (context, fake_run_txn, arg);

  call->done = done;
  for (size_t i = 0; i < txn->compare_count; i++)
    {
      struct kv_compare compare = txn->compares[i];

      compare.key = g_strdup (compare.key);
      g_array_append_val (call->compares, compare);
    }
  fake_copy_ops (call->then_ops, txn->then_ops, txn->then_count);
  fake_copy_ops (call->else_ops, txn->else_ops, txn->else_count);
}

static void
fake_lease_grant (void *context, uint32_t ttl_s, kv_lease_done done, void *arg)
{
  struct fake_call *call = fake_call_new (context, fake_run_grant, arg);

  call->ttl_s = ttl_s;
  call->lease_done = done;
}

static void
fake_lease_renew (void *context, int64_t lease, kv_lease_done done, void *arg)
{
  struct fake_call *call = fake_call_new (context, fake_run_renew, arg);

  call->lease = lease;
  call->lease_done = done;
}

static void
fake_lease_revoke (void *context, int64_t lease)
{
  struct fake_kv *kv = context;
  const struct fake_plan *plan = &fake_plans[fake_take_fault (kv)];

  kv->calls++;
  if (plan->effect_us != FAKE_NEVER)
    fake_data_expire (&kv->data, lease);
}

/* Like a client that reconnects by itself, a watch outlives an outage.  */
static void *
fake_watch (void *context, const char *prefix, int64_t from_revision,
            kv_changed changed, kv_watch_ended ended, void *arg)
{
  struct fake_kv *kv = context;

  (void)ended;
  return fake_data_watch (&kv->data, prefix, from_revision, changed, arg);
}

static void
fake_unwatch (void *context, void *watch)
{
  struct fake_kv *kv = context;

  fake_data_unwatch (&kv->data, watch);
}

/* Return the interface of KV, valid as long as KV.  */
struct kv_store
fake_kv_store (struct fake_kv *kv)
{
  static const struct kv_methods methods = {
    .txn = fake_txn,
    .lease_grant = fake_lease_grant,
    .lease_renew = fake_lease_renew,
    .lease_revoke = fake_lease_revoke,
    .watch = fake_watch,
    .unwatch = fake_unwatch,
  };

  return (struct kv_store){ &methods, kv };
}

/* Let FAULT happen to every call from now on.  Watches stand still while no
   call takes effect and catch up afterwards.  */
void
fake_kv_set_fault (struct fake_kv *kv, enum fake_kv_fault fault)
{
  kv->fault = fault;
  kv->data.paused = fake_plans[fault].effect_us == FAKE_NEVER;
  fake_data_wake (&kv->data);
}

/* Let FAULT happen to the next COUNT calls only.  */
void
fake_kv_fault_next (struct fake_kv *kv, enum fake_kv_fault fault,
                    uint32_t count)
{
  kv->next_fault = fault;
  kv->next_count = count;
}

/* Answer no call that was made with ARG, whose owner is gone.  */
void
fake_kv_forget (struct fake_kv *kv, const void *arg)
{
  for (guint i = 0; i < kv->pending->len; i++)
    {
      struct fake_call *call = g_ptr_array_index (kv->pending, i);

      if (call->arg == arg)
        {
          call->done = NULL;
          call->lease_done = NULL;
        }
    }
}

/* End LEASE now; its keys are deleted.  */
void
fake_kv_expire (struct fake_kv *kv, int64_t lease)
{
  fake_data_expire (&kv->data, lease);
}

/* Write VALUE to KEY at once, as another client.  */
void
fake_kv_put (struct fake_kv *kv, const char *key, const char *value)
{
  struct kv_op op = {
    .kind = KV_PUT, .key = key, .value = value, .value_bytes = strlen (value)
  };

  kv->data.revision++;
  fake_data_put (&kv->data, &op);
}

/* Return the value of KEY, NULL if it does not exist.  */
const char *
fake_kv_value (const struct fake_kv *kv, const char *key)
{
  const struct kv_pair *pair = g_tree_lookup (kv->data.pairs, key);

  return pair == NULL ? NULL : pair->value;
}

/* Return the revision of the last change of KEY, 0 if it does not exist.  */
int64_t
fake_kv_revision (const struct fake_kv *kv, const char *key)
{
  return fake_data_revision (&kv->data, key);
}

/* Return how many keys start with PREFIX.  */
size_t
fake_kv_count (const struct fake_kv *kv, const char *prefix)
{
  GArray *found = fake_pairs_new ();
  size_t count;

  fake_data_get (&kv->data, prefix, true, found);
  count = found->len;
  g_array_free (found, TRUE);
  return count;
}

/* Return how many calls were made, answered or not.  */
uint64_t
fake_kv_calls (const struct fake_kv *kv)
{
  return kv->calls;
}
