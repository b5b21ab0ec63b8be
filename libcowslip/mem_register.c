#include <string.h>

#include "kv_backoff.h"
#include "mem_record.h"
#include "mem_register.h"

#define MEM_LEASE_TTL_S 10
/* A renewal that fails can be tried again before the lease ends.  */
#define MEM_RENEW_US 4000000
#define MEM_RETRY_US 1000000
/* Reads of the own zone, and of all zones by the one member that needs them.
   Heartbeats tell of new members sooner.  */
#define MEM_POLL_US     10000000
#define MEM_POLL_ALL_US 30000000
/* The first reads come before the others of a fleet that starts together have
   written their records.  */
#define MEM_FIRST_READS 3

struct mem_register
{
  struct tm_service *tm;
  struct kv_store kv;
  gsl_rng *random;
  struct mem_member *self;
  char *all_prefix;
  char *zone_prefix;
  char *key;
  char *value;
  const struct mem_register_callbacks *callbacks;
  void *arg;
  int64_t lease; /* 0: none */
  struct kv_backoff backoff;
  struct tm_timer renew;
  struct tm_timer poll;
  uint64_t all_read_us;
  uint32_t all_reads;
  bool reading;
  bool reading_all;
};

static void mem_lease_step (void *arg);
static void mem_poll (void *arg);

/* Add up to half of AROUND_US at random, so that instances started together do
   not call together.  */
static uint64_t
mem_spread (struct mem_register *reg, uint64_t around_us)
{
  return around_us * 3 / 4
         + (uint64_t)(gsl_rng_uniform (reg->random) * (double)around_us / 2);
}

static bool
mem_note (struct mem_register *reg, enum kv_outcome outcome)
{
  bool answered = outcome == KV_OK || outcome == KV_CONFLICT;

  reg->callbacks->reachable (reg->arg, answered);
  return answered;
}

static void
mem_plan_lease (struct mem_register *reg, uint64_t delay_us)
{
  tm_after (reg->tm, &reg->renew, delay_us, mem_lease_step, reg);
}

/* While the lease lives, retries are close together; without one there is
   nothing to lose by waiting.  */
static void
mem_lease_failed (struct mem_register *reg)
{
  mem_plan_lease (reg, reg->lease != 0
                           ? mem_spread (reg, MEM_RETRY_US)
                           : kv_backoff_next_us (&reg->backoff, reg->random));
}

static void
mem_put_done (void *arg, const struct kv_result *result)
{
  struct mem_register *reg = arg;

  if (!mem_note (reg, result->outcome))
    {
      /* The lease may be the reason; a new one costs little.  */
      reg->lease = 0;
      mem_lease_failed (reg);
      return;
    }
  kv_backoff_reset (&reg->backoff);
  mem_plan_lease (reg, mem_spread (reg, MEM_RENEW_US));
  tm_after (reg->tm, &reg->poll, 0, mem_poll, reg);
}

static void
mem_put (struct mem_register *reg)
{
  struct kv_op put = { .kind = KV_PUT,
                       .key = reg->key,
                       .value = reg->value,
                       .value_bytes = strlen (reg->value),
                       .lease = reg->lease };
  struct kv_txn txn = { .then_ops = &put, .then_count = 1 };

  kv_txn (&reg->kv, &txn, mem_put_done, reg);
}

static void
mem_granted (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct mem_register *reg = arg;

  if (!mem_note (reg, outcome))
    {
      mem_lease_failed (reg);
      return;
    }
  reg->lease = lease;
  mem_put (reg);
}

static void
mem_renewed (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct mem_register *reg = arg;

  (void)lease;
  if (!mem_note (reg, outcome))
    {
      mem_lease_failed (reg);
      return;
    }
  kv_backoff_reset (&reg->backoff);
  if (outcome == KV_OK)
    {
      mem_plan_lease (reg, mem_spread (reg, MEM_RENEW_US));
      return;
    }
  reg->lease = 0;
  mem_lease_step (reg);
}

static void
mem_lease_step (void *arg)
{
  struct mem_register *reg = arg;

  if (reg->lease == 0)
    reg->kv.methods->lease_grant (reg->kv.context, MEM_LEASE_TTL_S,
                                  mem_granted, reg);
  else
    reg->kv.methods->lease_renew (reg->kv.context, reg->lease, mem_renewed,
                                  reg);
}

/* A write of an earlier incarnation may arrive after ours; the record must
   then be written again.  */
static void
mem_check_own (struct mem_register *reg, const GPtrArray *records)
{
  for (guint i = 0; i < records->len; i++)
    {
      const struct mem_member *record = g_ptr_array_index (records, i);

      if (strcmp (record->instance, reg->self->instance) == 0
          && record->incarnation == reg->self->incarnation)
        return;
    }
  if (reg->lease != 0 && tm_pending (&reg->renew))
    {
      tm_cancel (reg->tm, &reg->renew);
      mem_put (reg);
    }
}

static void
mem_read_done (void *arg, const struct kv_result *result)
{
  struct mem_register *reg = arg;
  GPtrArray *records;

  reg->reading = false;
  tm_after (reg->tm, &reg->poll, mem_spread (reg, MEM_POLL_US), mem_poll, reg);
  if (!mem_note (reg, result->outcome))
    return;
  records = g_ptr_array_new_with_free_func (mem_member_free);
  for (size_t i = 0; i < result->pair_count; i++)
    {
      struct mem_member *member = mem_record_parse (
          result->pairs[i].value, result->pairs[i].value_bytes);

      if (member != NULL)
        g_ptr_array_add (records, member);
    }
  if (reg->reading_all)
    {
      reg->all_read_us = tm_now_us (reg->tm);
      reg->all_reads++;
    }
  reg->callbacks->records (reg->arg, reg->reading_all ? NULL : reg->self->zone,
                           records);
  mem_check_own (reg, records);
  g_ptr_array_free (records, TRUE);
}

static void
mem_poll (void *arg)
{
  struct mem_register *reg = arg;

  if (reg->reading)
    return;
  reg->reading = true;
  reg->reading_all
      = reg->callbacks->wants_all (reg->arg)
        && (reg->all_reads < MEM_FIRST_READS
            || tm_now_us (reg->tm) - reg->all_read_us >= MEM_POLL_ALL_US);
  kv_get_prefix (&reg->kv,
                 reg->reading_all ? reg->all_prefix : reg->zone_prefix,
                 mem_read_done, reg);
}

/* Register SELF, which is copied, in ENVIRONMENT and start to read the others.
   CALLBACKS must stay valid and are called with ARG.  */
struct mem_register *
mem_register_new (struct tm_service *tm, const struct kv_store *kv,
                  gsl_rng *random, const char *environment,
                  const struct mem_member *self,
                  const struct mem_register_callbacks *callbacks, void *arg)
{
  struct mem_register *reg = g_new0 (struct mem_register, 1);

  reg->tm = tm;
  reg->kv = *kv;
  reg->random = random;
  reg->self = mem_member_copy (self);
  reg->callbacks = callbacks;
  reg->arg = arg;
  reg->all_prefix = g_strdup_printf ("cowslip/%s/members/", environment);
  reg->zone_prefix = g_strdup_printf ("%s%s/", reg->all_prefix, self->zone);
  reg->key = g_strdup_printf ("%s%s", reg->zone_prefix, self->instance);
  reg->value = mem_record_format (self);
  mem_lease_step (reg);
  mem_poll (reg);
  return reg;
}

/* End the lease, so that the record goes at once, and free REG.  Calls to the
   key-value service must not be answered later.  */
void
mem_register_free (struct mem_register *reg)
{
  if (reg == NULL)
    return;
  if (reg->lease != 0)
    reg->kv.methods->lease_revoke (reg->kv.context, reg->lease);
  tm_cancel (reg->tm, &reg->renew);
  tm_cancel (reg->tm, &reg->poll);
  mem_member_free (reg->self);
  g_free (reg->all_prefix);
  g_free (reg->zone_prefix);
  g_free (reg->key);
  g_free (reg->value);
  g_free (reg);
}
