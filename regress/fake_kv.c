#include <string.h>

#include "fake_kv.h"
#include "fake_kv_data.h"

#define FAKE_TIMEOUT_US        2000000
#define FAKE_DELAYED_EFFECT_US 3000000
#define FAKE_SLOW_CALL_US      1500000
#define FAKE_NEVER             UINT64_MAX

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
  struct tm_timer effect_timer;
  struct tm_timer reply_timer;
  enum kv_outcome outcome;
  bool outcome_fixed;
  GArray *compares;     /* struct kv_compare */
  GArray *then_ops;     /* struct kv_op */
  GArray *else_ops;     /* struct kv_op */
  GArray *result_pairs; /* struct kv_pair */
  int64_t revision;
  int64_t lease;
  uint32_t ttl_s;
  kv_done done;
  kv_lease_done lease_done;
  void *arg;
};

/* Delays of the effect and the reply of a call; 0: the default delay.  */
struct fake_fault_spec
{
  uint64_t effect_delay_us;
  uint64_t reply_delay_us;
  enum kv_outcome outcome;
};

static const struct fake_fault_spec fake_fault_specs[] = {
  [FAKE_KV_NONE] = { 0, 0, KV_OK },
  [FAKE_KV_UNAVAILABLE] = { FAKE_NEVER, 0, KV_UNAVAILABLE },
  [FAKE_KV_REPLY_LOST] = { 0, FAKE_TIMEOUT_US, KV_UNKNOWN },
  [FAKE_KV_REQUEST_LOST] = { FAKE_NEVER, FAKE_TIMEOUT_US, KV_UNKNOWN },
  [FAKE_KV_EFFECT_DELAYED]
  = { FAKE_DELAYED_EFFECT_US, FAKE_TIMEOUT_US, KV_UNKNOWN },
  [FAKE_KV_SLOW] = { FAKE_SLOW_CALL_US, FAKE_SLOW_CALL_US, KV_OK },
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

  tm_cancel (call->kv->data.tm, &call->effect_timer);
  tm_cancel (call->kv->data.tm, &call->reply_timer);
  g_array_free (call->compares, TRUE);
  g_array_free (call->then_ops, TRUE);
  g_array_free (call->else_ops, TRUE);
  g_array_free (call->result_pairs, TRUE);
  g_free (call);
}

/* Return an empty store that replies after DELAY_US.  */
struct fake_kv *
fake_kv_new (struct tm_service *tm, uint64_t delay_us)
{
  struct fake_kv *kv = g_new0 (struct fake_kv, 1);

  fake_data_init (&kv->data, tm);
  kv->delay_us = delay_us;
  kv->pending = g_ptr_array_new_with_free_func (fake_call_free);
  return kv;
}

/* Free KV.  Pending calls get no reply.  */
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
  bool matches = fake_data_compare (&call->kv->data, call->compares);
  bool lease_valid = fake_data_execute (
      &call->kv->data, matches ? call->then_ops : call->else_ops,
      call->result_pairs);

  call->revision = call->kv->data.revision;
  if (!lease_valid)
    return KV_UNAVAILABLE;
  return matches ? KV_OK : KV_CONFLICT;
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
fake_call_remove_if_done (struct fake_call *call)
{
  if (!tm_pending (&call->effect_timer) && !tm_pending (&call->reply_timer))
    g_ptr_array_remove_fast (call->kv->pending, call);
}

static void
fake_effect (void *arg)
{
  struct fake_call *call = arg;
  enum kv_outcome outcome = call->run (call);

  if (!call->outcome_fixed)
    call->outcome = outcome;
  fake_call_remove_if_done (call);
}

static void
fake_reply (void *arg)
{
  struct fake_call *call = arg;
  struct kv_result result = { .outcome = call->outcome };

  if (!call->outcome_fixed)
    {
      result.revision = call->revision;
      result.pairs = (struct kv_pair *)(void *)call->result_pairs->data;
      result.pair_count = call->result_pairs->len;
    }
  if (call->done != NULL)
    call->done (call->arg, &result);
  else if (call->lease_done != NULL)
    call->lease_done (call->arg, call->outcome,
                      call->outcome_fixed ? 0 : call->lease);
  fake_call_remove_if_done (call);
}

static enum fake_kv_fault
fake_next_fault (struct fake_kv *kv)
{
  if (kv->next_count == 0)
    return kv->fault;
  kv->next_count--;
  return kv->next_fault;
}

static uint64_t
fake_delay_us (const struct fake_kv *kv, uint64_t fault_delay_us)
{
  return fault_delay_us > 0 ? fault_delay_us : kv->delay_us;
}

static struct fake_call *
fake_call_new (struct fake_kv *kv,
               enum kv_outcome (*run) (struct fake_call *call), void *arg)
{
  const struct fake_fault_spec *fault_spec
      = &fake_fault_specs[fake_next_fault (kv)];
  struct fake_call *call = g_new0 (struct fake_call, 1);

  kv->calls++;
  call->kv = kv;
  call->run = run;
  call->arg = arg;
  call->outcome = fault_spec->outcome;
  call->outcome_fixed = fault_spec->outcome != KV_OK;
  call->compares = g_array_new (FALSE, TRUE, sizeof (struct kv_compare));
  g_array_set_clear_func (call->compares, fake_compare_clear);
  call->then_ops = g_array_new (FALSE, TRUE, sizeof (struct kv_op));
  g_array_set_clear_func (call->then_ops, fake_op_clear);
  call->else_ops = g_array_new (FALSE, TRUE, sizeof (struct kv_op));
  g_array_set_clear_func (call->else_ops, fake_op_clear);
  call->result_pairs = fake_pairs_new ();
  if (fault_spec->effect_delay_us != FAKE_NEVER)
    tm_after (kv->data.tm, &call->effect_timer,
              fake_delay_us (kv, fault_spec->effect_delay_us), fake_effect,
              call);
  tm_after (kv->data.tm, &call->reply_timer,
            fake_delay_us (kv, fault_spec->reply_delay_us), fake_reply, call);
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
  const struct fake_fault_spec *fault_spec
      = &fake_fault_specs[fake_next_fault (kv)];

  kv->calls++;
  if (fault_spec->effect_delay_us != FAKE_NEVER)
    fake_data_expire (&kv->data, lease);
}

/* A watch survives an outage, as in a client that reconnects by itself.  */
static void *
fake_watch (void *context, const char *prefix, int64_t from_revision,
            kv_changed changed, kv_watch_ended ended, void *arg)
{
  struct fake_kv *kv = context;

  return fake_data_watch (&kv->data, prefix, from_revision, changed, ended,
                          arg);
}

static void
fake_unwatch (void *context, void *watch)
{
  struct fake_kv *kv = context;

  fake_data_unwatch (&kv->data, watch);
}

static int64_t
fake_era (void *context)
{
  return ((const struct fake_kv *)context)->data.era;
}

/* Return the store interface of KV, valid until KV is freed.  */
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
    .era = fake_era,
  };

  return (struct kv_store){ &methods, kv };
}

/* Inject FAULT into every call from now on.  While calls have no effect,
   watches are paused; they then report the changes made meanwhile.  */
void
fake_kv_set_fault (struct fake_kv *kv, enum fake_kv_fault fault)
{
  kv->fault = fault;
  kv->data.paused = fake_fault_specs[fault].effect_delay_us == FAKE_NEVER;
  fake_data_schedule_watches (&kv->data);
}

/* Inject FAULT into the next COUNT calls only.  */
void
fake_kv_inject_faults (struct fake_kv *kv, enum fake_kv_fault fault,
                       uint32_t count)
{
  kv->next_fault = fault;
  kv->next_count = count;
}

/* Suppress the replies to pending calls with the callback argument ARG.  */
void
fake_kv_cancel_calls (struct fake_kv *kv, const void *arg)
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

/* Expire LEASE and delete its keys.  */
void
fake_kv_expire (struct fake_kv *kv, int64_t lease)
{
  fake_data_expire (&kv->data, lease);
}

/* Copy what KV holds.  */
void
fake_kv_copy (struct fake_kv *kv)
{
  fake_data_copy (&kv->data);
}

/* Lose all changes since fake_kv_copy, as a service that is restored.  */
void
fake_kv_restore (struct fake_kv *kv)
{
  fake_data_restore (&kv->data);
}

/* Write VALUE to KEY immediately, as another client would.  */
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
  GArray *result_pairs = fake_pairs_new ();
  size_t count;

  fake_data_get (&kv->data, prefix, true, result_pairs);
  count = result_pairs->len;
  g_array_free (result_pairs, TRUE);
  return count;
}

/* Return the number of calls made, whether or not they got a reply.  */
uint64_t
fake_kv_call_count (const struct fake_kv *kv)
{
  return kv->calls;
}
