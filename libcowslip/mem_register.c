#include <string.h>

#include "kv_backoff.h"
#include "mem_record.h"
#include "mem_register.h"

#define MEM_LEASE_TTL_S 10
/* Short enough that a failed renewal can be retried before the lease ends.  */
#define MEM_RENEW_INTERVAL_US 4000000
#define MEM_RETRY_US          1000000
/* Intervals for reading the records of the local zone, and those of all zones
   on the one member that needs them.  New members are usually discovered
   sooner by their heartbeats.  */
#define MEM_POLL_ZONE_US 10000000
#define MEM_POLL_ALL_US  30000000
/* Reads of all zones at the shorter interval after the start: when all
   instances start together, the first reads precede the others' writes.  */
#define MEM_INITIAL_READS 3

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
  uint32_t all_read_count;
  bool reading;
  bool reading_all;
};

static void mem_lease_run (void *arg);
static void mem_poll (void *arg);

/* Return INTERVAL_US changed at random by up to a quarter, so that instances
   started together do not call in step.  */
static uint64_t
mem_jitter (struct mem_register *reg, uint64_t interval_us)
{
  return interval_us * 3 / 4
         + (uint64_t)(gsl_rng_uniform (reg->random) * (double)interval_us / 2);
}

static bool
mem_report_reachable (struct mem_register *reg, enum kv_outcome outcome)
{
  bool responded = outcome == KV_OK || outcome == KV_CONFLICT;

  reg->callbacks->reachable (reg->arg, responded);
  return responded;
}

static void
mem_schedule_lease (struct mem_register *reg, uint64_t delay_us)
{
  tm_after (reg->tm, &reg->renew, delay_us, mem_lease_run, reg);
}

/* Schedule a retry: soon while a lease may still be saved, with backoff if
   there is none.  */
static void
mem_lease_failed (struct mem_register *reg)
{
  mem_schedule_lease (
      reg, reg->lease != 0 ? mem_jitter (reg, MEM_RETRY_US)
                           : kv_backoff_next_us (&reg->backoff, reg->random));
}

static void
mem_write_done (void *arg, const struct kv_result *result)
{
  struct mem_register *reg = arg;

  if (!mem_report_reachable (reg, result->outcome))
    {
      /* The lease may have expired; a new one is cheap.  */
      reg->lease = 0;
      mem_lease_failed (reg);
      return;
    }
  kv_backoff_reset (&reg->backoff);
  mem_schedule_lease (reg, mem_jitter (reg, MEM_RENEW_INTERVAL_US));
  tm_after (reg->tm, &reg->poll, 0, mem_poll, reg);
}

static void
mem_write_record (struct mem_register *reg)
{
  struct kv_op put = { .kind = KV_PUT,
                       .key = reg->key,
                       .value = reg->value,
                       .value_bytes = strlen (reg->value),
                       .lease = reg->lease };
  struct kv_txn txn = { .then_ops = &put, .then_count = 1 };

  kv_txn (&reg->kv, &txn, mem_write_done, reg);
}

static void
mem_lease_granted (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct mem_register *reg = arg;

  if (!mem_report_reachable (reg, outcome))
    {
      mem_lease_failed (reg);
      return;
    }
  reg->lease = lease;
  mem_write_record (reg);
}

static void
mem_lease_renewed (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct mem_register *reg = arg;

  (void)lease;
  if (!mem_report_reachable (reg, outcome))
    {
      mem_lease_failed (reg);
      return;
    }
  kv_backoff_reset (&reg->backoff);
  if (outcome == KV_OK)
    {
      mem_schedule_lease (reg, mem_jitter (reg, MEM_RENEW_INTERVAL_US));
      return;
    }
  reg->lease = 0;
  mem_lease_run (reg);
}

static void
mem_lease_run (void *arg)
{
  struct mem_register *reg = arg;

  if (reg->lease == 0)
    reg->kv.methods->lease_grant (reg->kv.context, MEM_LEASE_TTL_S,
                                  mem_lease_granted, reg);
  else
    reg->kv.methods->lease_renew (reg->kv.context, reg->lease,
                                  mem_lease_renewed, reg);
}

/* Write the record again if it is not in RECORDS: a delayed write of an
   earlier incarnation may have replaced it.  */
static void
mem_check_own_record (struct mem_register *reg, const GPtrArray *records)
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
      mem_write_record (reg);
    }
}

static void
mem_read_done (void *arg, const struct kv_result *result)
{
  struct mem_register *reg = arg;
  GPtrArray *records;

  reg->reading = false;
  tm_after (reg->tm, &reg->poll, mem_jitter (reg, MEM_POLL_ZONE_US), mem_poll,
            reg);
  if (!mem_report_reachable (reg, result->outcome))
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
      reg->all_read_count++;
    }
  reg->callbacks->records (reg->arg, reg->reading_all ? NULL : reg->self->zone,
                           records);
  mem_check_own_record (reg, records);
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
      = reg->callbacks->reads_all_zones (reg->arg)
        && (reg->all_read_count < MEM_INITIAL_READS
            || tm_now_us (reg->tm) - reg->all_read_us >= MEM_POLL_ALL_US);
  kv_get_prefix (&reg->kv,
                 reg->reading_all ? reg->all_prefix : reg->zone_prefix,
                 mem_read_done, reg);
}

/* Write the record of SELF, which is copied, in ENVIRONMENT and start to read
   those of the other instances.  CALLBACKS must stay valid and are called with
   ARG.  */
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
  mem_lease_run (reg);
  mem_poll (reg);
  return reg;
}

/* Revoke the lease, which deletes the record at once, and free REG.  No
   pending call to the key-value service may complete afterwards.  */
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
