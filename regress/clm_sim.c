#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clm_call.h"
#include "clm_sim.h"
#include "clm_submit.h"
#include "fake_kv.h"

#define SIM_MS          UINT64_C (1000)
#define SIM_S           (1000 * SIM_MS)
#define SIM_ZONE        3
#define SIM_INSTANCES   (2 * SIM_ZONE)
#define SIM_KEYS        24
#define SIM_FAULTS_US   (40 * SIM_S)
#define SIM_END_US      (200 * SIM_S)
#define SIM_DEADLINE_US (4 * SIM_S)
#define SIM_TRIES       6

struct sim;

struct sim_event
{
  struct tm_timer timer;
  struct sim *sim;
  void (*run) (struct sim *sim, void *arg);
  void *arg;
};

struct sim_instance
{
  struct sim *sim;
  char name[8];
  uint64_t incarnation; /* 0: down */
  struct kv_store store;
  uint64_t kv_cut_until_us;
  struct clm_batch *batch;
  struct clm_submitter *submitter;
  GPtrArray *calls;
  uint64_t seen[SIM_INSTANCES]; /* incarnations as this one knows them */
};

struct sim_run
{
  uint32_t key;
  uint64_t claim_id;
};

struct sim_record
{
  uint32_t key;
  uint64_t claim_id;
  bool not_run;
  char *answer; /* NULL: refused */
};

struct sim_call
{
  struct sim_instance *at;
  uint32_t key;
  uint32_t tries_left;
  uint32_t endpoints_tried;
  cs_claim claim;
  char claim_key[16];
  struct clm_call *machine;
  struct sim_attempt *attempt;
  GString *stream;
};

struct sim_attempt
{
  struct sim_call *call; /* NULL: nobody waits for it */
  uint32_t key;
  uint64_t claim_id;
  uint32_t run; /* 1 + its index in the record; 0: did not run */
  enum clm_attempt_end end;
  bool large;
};

struct sim_message
{
  struct sim_instance *keeper;
  uint64_t keeper_incarnation;
  cs_claim *claim;
  clm_sent_done done; /* NULL: answered or given up */
  void *arg;
};

struct sim
{
  struct tm_service *tm;
  gsl_rng *random;
  struct fake_kv *kv;
  struct kv_store kv_store;
  GHashTable *events;
  GPtrArray *garbage;
  GArray *runs;    /* struct sim_run */
  GArray *records; /* struct sim_record */
  struct sim_instance instances[SIM_INSTANCES];
  struct sim_result result;
};

static void sim_submit (struct sim *sim, uint32_t key, uint32_t tries_left);

static uint64_t
sim_uniform (struct sim *sim, uint64_t below)
{
  return gsl_rng_uniform_int (sim->random, (unsigned long)below);
}

static bool
sim_percent (struct sim *sim, uint32_t percent)
{
  return sim_uniform (sim, 100) < percent;
}

static bool
sim_is_faulty (struct sim *sim)
{
  return tm_now_us (sim->tm) < SIM_FAULTS_US;
}

static void
sim_fire (void *arg)
{
  struct sim_event *event = arg;

  g_hash_table_steal (event->sim->events, event);
  event->run (event->sim, event->arg);
  g_free (event);
}

static void
sim_later (struct sim *sim, uint64_t delay_us,
           void (*run) (struct sim *sim, void *arg), void *arg)
{
  struct sim_event *event = g_new0 (struct sim_event, 1);

  event->sim = sim;
  event->run = run;
  event->arg = arg;
  g_hash_table_add (sim->events, event);
  tm_after (sim->tm, &event->timer, delay_us, sim_fire, event);
}

static void *
sim_new (struct sim *sim, size_t bytes)
{
  void *memory = g_malloc0 (bytes);

  g_ptr_array_add (sim->garbage, memory);
  return memory;
}

static void __attribute__ ((format (printf, 2, 3)))
sim_violation (struct sim *sim, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  if (sim->result.violations++ == 0)
    (void)vsnprintf (sim->result.first, sizeof sim->result.first, format, ap);
  va_end (ap);
}

/* The key-value service as one instance sees it.  */

static struct sim *
sim_store_fault (struct sim_instance *instance)
{
  static const enum fake_kv_fault faults[]
      = { FAKE_KV_ANSWER_LOST, FAKE_KV_ANSWER_LOST, FAKE_KV_REQUEST_LOST,
          FAKE_KV_LATE, FAKE_KV_SLOW };
  struct sim *sim = instance->sim;

  if (tm_now_us (sim->tm) < instance->kv_cut_until_us)
    fake_kv_fault_next (sim->kv, FAKE_KV_UNAVAILABLE, 1);
  else if (sim_is_faulty (sim) && sim_percent (sim, 8))
    fake_kv_fault_next (sim->kv,
                        faults[sim_uniform (sim, G_N_ELEMENTS (faults))], 1);
  return sim;
}

static void
sim_txn (void *context, const struct kv_txn *txn, kv_done done, void *arg)
{
  struct sim *sim = sim_store_fault (context);

  kv_txn (&sim->kv_store, txn, done, arg);
}

static void
sim_grant (void *context, uint32_t ttl_s, kv_lease_done done, void *arg)
{
  struct sim *sim = sim_store_fault (context);

  sim->kv_store.methods->lease_grant (sim->kv_store.context, ttl_s, done, arg);
}

static void
sim_renew (void *context, int64_t lease, kv_lease_done done, void *arg)
{
  struct sim *sim = sim_store_fault (context);

  sim->kv_store.methods->lease_renew (sim->kv_store.context, lease, done, arg);
}

/* Messages to the claim keeper: lost, late, or answered by an instance that
   dies in between.  */

static void
sim_message_end (struct sim_message *message, enum clm_sent sent,
                 const cs_claim_reply *reply)
{
  clm_sent_done done = message->done;

  message->done = NULL;
  if (done != NULL)
    done (message->arg, sent, reply);
}

static void
sim_message_limit (struct sim *sim, void *arg)
{
  (void)sim;
  sim_message_end (arg, CLM_LOST, NULL);
}

static void
sim_keeper_wrote (void *arg, const cs_claim_reply *reply)
{
  struct sim_message *message = arg;
  struct sim *sim = message->keeper->sim;

  if (!sim_is_faulty (sim) || !sim_percent (sim, 10))
    sim_message_end (message, CLM_ANSWERED, reply);
}

static void
sim_message_arrives (struct sim *sim, void *arg)
{
  struct sim_message *message = arg;

  (void)sim;
  if (message->keeper_incarnation != 0
      && message->keeper->incarnation == message->keeper_incarnation)
    clm_batch_serve (message->keeper->batch, message->claim, sim_keeper_wrote,
                     message);
  clm_free (message->claim);
}

static const char *
sim_keeper (void *context)
{
  struct sim_instance *self = context;
  struct sim *sim = self->sim;
  size_t index = (size_t)(self - sim->instances);
  size_t first = index / SIM_ZONE * SIM_ZONE;

  for (size_t i = first; i < index; i++)
    if (self->seen[i] != 0)
      return sim->instances[i].name;
  return NULL;
}

static void
sim_send (void *context, const char *keeper, const cs_claim *claim,
          uint64_t limit_us, clm_sent_done done, void *arg)
{
  struct sim_instance *self = context;
  struct sim *sim = self->sim;
  struct sim_message *message = sim_new (sim, sizeof *message);
  uint64_t delay_us = 1 * SIM_MS + sim_uniform (sim, 5 * SIM_MS);

  message->keeper = &sim->instances[atoi (keeper)];
  message->done = done;
  message->arg = arg;
  if (message->keeper->incarnation == 0 && sim_percent (sim, 50))
    {
      sim_message_end (message, CLM_NOT_SENT, NULL);
      return;
    }
  message->keeper_incarnation = message->keeper->incarnation;
  sim_later (sim, limit_us, sim_message_limit, message);
  if (sim_is_faulty (sim) && sim_percent (sim, 15))
    delay_us = sim_uniform (sim, 4 * SIM_S);
  if (sim_is_faulty (sim) && sim_percent (sim, 5))
    return;
  message->claim = clm_copy (claim);
  sim_later (sim, delay_us, sim_message_arrives, message);
}

/* The service: it records each run, whether or not somebody waits.  */

static void
sim_attempt_runs (struct sim *sim, void *arg)
{
  struct sim_attempt *attempt = arg;
  struct sim_run run = { attempt->key, attempt->claim_id };

  g_array_append_val (sim->runs, run);
  attempt->run = sim->runs->len;
}

static void
sim_attempt_ends (struct sim *sim, void *arg)
{
  struct sim_attempt *attempt = arg;
  struct sim_call *call = attempt->call;
  char text[64];

  (void)sim;
  if (call == NULL)
    return;
  call->attempt = NULL;
  if (attempt->end == CLM_ATTEMPT_WHOLE)
    {
      g_snprintf (text, sizeof text, "key %u run %u", attempt->key,
                  attempt->run);
      clm_call_head (call->machine, 200, "text/plain");
      clm_call_body (call->machine, text, strlen (text));
      if (attempt->large)
        {
          char *filler = g_strnfill (COWSLIP_BODY_MAX, '.');

          clm_call_body (call->machine, filler, COWSLIP_BODY_MAX);
          g_free (filler);
        }
    }
  clm_call_ended (call->machine, attempt->end);
}

static bool
sim_start_attempt (void *context)
{
  struct sim_call *call = context;
  struct sim *sim = call->at->sim;
  struct sim_attempt *attempt = sim_new (sim, sizeof *attempt);
  uint32_t fate = (uint32_t)sim_uniform (sim, 100);
  uint64_t run_us = SIM_MS + sim_uniform (sim, 20 * SIM_MS);
  uint64_t end_us = run_us + SIM_MS
                    + sim_uniform (sim, fate < 90 ? 300 * SIM_MS : 40 * SIM_S);

  if (++call->endpoints_tried > 3)
    return false;
  call->attempt = attempt;
  attempt->call = call;
  attempt->key = call->key;
  attempt->claim_id = call->claim.claim_id;
  attempt->large = sim_percent (sim, 3);
  attempt->end = fate < 20   ? CLM_ATTEMPT_NOT_SENT
                 : fate < 35 ? CLM_ATTEMPT_CUT
                             : CLM_ATTEMPT_WHOLE;
  if (fate >= 27)
    sim_later (sim, run_us, sim_attempt_runs, attempt);
  sim_later (sim, end_us, sim_attempt_ends, attempt);
  return true;
}

/* Calls and callers.  */

static void
sim_claimed (void *arg, const cs_claim_reply *reply)
{
  clm_call_claimed (((struct sim_call *)arg)->machine, reply);
}

static void
sim_claim (void *context, const cs_claim *claim)
{
  struct sim_call *call = context;

  clm_submit (call->at->submitter, claim, sim_claimed, call);
}

static void
sim_settled (void *arg, const cs_claim_reply *reply)
{
  (void)arg;
  (void)reply;
}

static void
sim_settle (void *context, const cs_claim *claim)
{
  struct sim_call *call = context;

  clm_submit (call->at->submitter, claim, sim_settled, NULL);
}

static void
sim_abandon (void *context)
{
  struct sim_call *call = context;

  if (call->attempt != NULL)
    call->attempt->call = NULL;
  call->attempt = NULL;
}

static bool
sim_has_endpoint (void *context)
{
  return ((const struct sim_call *)context)->endpoints_tried < 3;
}

static bool
sim_may_retry (void *context, enum rty_reason reason)
{
  (void)context;
  (void)reason;
  return true;
}

static bool
sim_is_owner_alive (void *context, const char *owner, uint64_t incarnation)
{
  const struct sim_call *call = context;

  return call->at->seen[atoi (owner)] == incarnation;
}

struct sim_again
{
  uint32_t key;
  uint32_t tries_left;
};

static void
sim_repeat (struct sim *sim, void *arg)
{
  const struct sim_again *again = arg;

  sim_submit (sim, again->key, again->tries_left);
}

static void
sim_repeat_later (struct sim *sim, const struct sim_call *call)
{
  struct sim_again *again = sim_new (sim, sizeof *again);

  if (call->tries_left == 0)
    return;
  *again = (struct sim_again){ call->key, call->tries_left - 1 };
  sim_later (sim, 100 * SIM_MS + sim_uniform (sim, 8 * SIM_S), sim_repeat,
             again);
}

static void
sim_record (struct sim_call *call, const char *answer, size_t bytes,
            bool not_run)
{
  struct sim *sim = call->at->sim;
  struct sim_record record = { call->key, call->claim.claim_id, not_run,
                               answer ? g_strndup (answer, bytes) : NULL };

  g_array_append_val (sim->records, record);
}

static void
sim_answer (void *context, const struct clm_answer *answer)
{
  sim_record (context, answer->body, answer->body_bytes, false);
}

static void
sim_refuse (void *context, enum rsn_refusal reason, bool not_run)
{
  struct sim_call *call = context;

  sim_record (call, NULL, 0, not_run);
  call->at->sim->result.unknown += reason == RSN_OUTCOME_UNKNOWN;
  sim_repeat_later (call->at->sim, call);
}

static void
sim_stream_start (void *context, uint32_t status, const char *content_type)
{
  (void)status;
  (void)content_type;
  ((struct sim_call *)context)->stream = g_string_new (NULL);
}

static void
sim_stream_data (void *context, const char *data, size_t bytes)
{
  g_string_append_len (((struct sim_call *)context)->stream, data,
                       (gssize)bytes);
}

static void
sim_stream_end (void *context, bool whole)
{
  struct sim_call *call = context;
  const char *end = strchr (call->stream->str, '.');

  if (whole)
    sim_record (call, call->stream->str, (size_t)(end - call->stream->str),
                false);
}

static void
sim_call_free (void *arg)
{
  struct sim_call *call = arg;

  if (call->attempt != NULL)
    call->attempt->call = NULL;
  if (call->stream != NULL)
    g_string_free (call->stream, TRUE);
  clm_call_free (call->machine);
  g_free (call);
}

static void
sim_finished (void *context)
{
  struct sim_call *call = context;

  if (call->attempt != NULL)
    sim_violation (call->at->sim, "key %u: finished with an attempt",
                   call->key);
  g_ptr_array_remove_fast (call->at->calls, call);
}

static void
sim_submit (struct sim *sim, uint32_t key, uint32_t tries_left)
{
  static const struct clm_call_actions actions = {
    .claim = sim_claim,
    .settle = sim_settle,
    .attempt = sim_start_attempt,
    .has_endpoint = sim_has_endpoint,
    .abandon = sim_abandon,
    .may_retry = sim_may_retry,
    .is_owner_alive = sim_is_owner_alive,
    .answer = sim_answer,
    .refuse = sim_refuse,
    .stream_start = sim_stream_start,
    .stream_data = sim_stream_data,
    .stream_end = sim_stream_end,
    .finished = sim_finished,
  };
  static char none[] = "";
  struct sim_instance *at = &sim->instances[sim_uniform (sim, SIM_INSTANCES)];
  struct sim_call *call = g_new0 (struct sim_call, 1);
  struct clm_call_config config
      = { .actions = &actions,
          .context = call,
          .tm = sim->tm,
          .deadline_us = tm_now_us (sim->tm) + SIM_DEADLINE_US,
          .claim = &call->claim };

  *call = (struct sim_call){ .at = at, .key = key, .tries_left = tries_left };
  if (at->incarnation == 0)
    {
      sim_repeat_later (sim, call);
      g_free (call);
      return;
    }
  sim->result.calls++;
  g_snprintf (call->claim_key, sizeof call->claim_key, "svc/%u", key);
  call->claim
      = (cs_claim){ .kind = CS_CLAIM_OPEN,
                    .key = call->claim_key,
                    .claim_id = clm_new_id (sim->random, at->incarnation),
                    .request_digest = sim_percent (sim, 4) ? 2 : 1,
                    .owner = at->name,
                    .owner_incarnation = at->incarnation,
                    .content_type = none };
  call->machine = clm_call_new (&config);
  g_ptr_array_add (at->calls, call);
  clm_call_start (call->machine);
}

/* Instances.  */

static void
sim_start (struct sim *sim, struct sim_instance *instance)
{
  static const struct clm_submit_methods methods = { sim_keeper, sim_send };
  static const struct kv_methods store
      = { .txn = sim_txn, .lease_grant = sim_grant, .lease_renew = sim_renew };
  struct clm_batch_config batch
      = { &instance->store, sim->tm, sim->random, "claims/" };
  struct clm_submit_config config
      = { .methods = &methods, .context = instance, .tm = sim->tm };

  instance->sim = sim;
  instance->store = (struct kv_store){ &store, instance };
  instance->incarnation = gsl_rng_get (sim->random) | 1;
  instance->calls = g_ptr_array_new_with_free_func (sim_call_free);
  instance->batch = config.batch = clm_batch_new (&batch);
  instance->submitter = clm_submitter_new (&config);
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    instance->seen[i] = sim->instances[i].incarnation;
}

static void
sim_stop (struct sim *sim, struct sim_instance *instance)
{
  (void)sim;
  instance->incarnation = 0;
  g_ptr_array_free (instance->calls, TRUE);
  clm_batch_free (instance->batch);
  clm_submitter_free (instance->submitter);
}

/* Instances learn at different times who is up.  */
static void
sim_look (struct sim *sim, void *arg)
{
  struct sim_instance *instance = arg;

  for (size_t i = 0; i < SIM_INSTANCES; i++)
    instance->seen[i] = sim->instances[i].incarnation;
}

static void
sim_tell (struct sim *sim)
{
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    sim_later (sim, sim_uniform (sim, 4 * SIM_S), sim_look,
               &sim->instances[i]);
}

static void
sim_restart (struct sim *sim, void *arg)
{
  sim_start (sim, arg);
  sim_tell (sim);
}

static void
sim_crash (struct sim *sim, void *arg)
{
  struct sim_instance *instance = arg;

  if (instance->incarnation == 0)
    return;
  sim->result.crashes++;
  for (guint i = 0; i < instance->calls->len; i++)
    sim_repeat_later (sim, g_ptr_array_index (instance->calls, i));
  sim_stop (sim, instance);
  sim_tell (sim);
  sim_later (sim, SIM_S + sim_uniform (sim, 10 * SIM_S), sim_restart,
             instance);
}

static void
sim_cut_kv (struct sim *sim, void *arg)
{
  struct sim_instance *instance = arg;

  instance->kv_cut_until_us
      = tm_now_us (sim->tm) + sim_uniform (sim, 12 * SIM_S);
}

static void
sim_outage (struct sim *sim, void *arg)
{
  fake_kv_set_fault (sim->kv,
                     arg != NULL ? FAKE_KV_UNAVAILABLE : FAKE_KV_NONE);
}

static void
sim_gone (struct sim *sim, void *arg)
{
  struct sim_instance *instance = arg;
  struct sim_call *call;

  if (instance->incarnation == 0 || instance->calls->len == 0)
    return;
  call = g_ptr_array_index (instance->calls,
                            sim_uniform (sim, instance->calls->len));
  sim_repeat_later (sim, call);
  clm_call_gone (call->machine);
}

static struct sim_instance *
sim_any (struct sim *sim)
{
  return &sim->instances[sim_uniform (sim, SIM_INSTANCES)];
}

static void
sim_plan (struct sim *sim)
{
  uint64_t outage_us = sim_uniform (sim, SIM_FAULTS_US);

  for (uint32_t key = 0; key < SIM_KEYS; key++)
    for (uint32_t n = sim_percent (sim, 40) ? 2 : 1; n > 0; n--)
      {
        struct sim_again *again = sim_new (sim, sizeof *again);

        *again = (struct sim_again){ key, SIM_TRIES };
        sim_later (sim, key * SIM_S + sim_uniform (sim, 300 * SIM_MS),
                   sim_repeat, again);
      }
  for (uint32_t i = 0; i < 6; i++)
    {
      sim_later (sim, sim_uniform (sim, SIM_FAULTS_US), sim_crash,
                 sim_any (sim));
      sim_later (sim, sim_uniform (sim, SIM_FAULTS_US), sim_cut_kv,
                 sim_any (sim));
      sim_later (sim, sim_uniform (sim, SIM_FAULTS_US), sim_gone,
                 sim_any (sim));
    }
  sim_later (sim, outage_us, sim_outage, sim);
  sim_later (sim, outage_us + sim_uniform (sim, 8 * SIM_S), sim_outage, NULL);
}

/* The checker.  */

static void
sim_check_records (struct sim *sim, uint32_t key)
{
  const char *first = NULL;

  for (guint i = 0; i < sim->records->len; i++)
    {
      struct sim_record *r
          = &g_array_index (sim->records, struct sim_record, i);

      if (r->key != key || r->answer == NULL)
        continue;
      sim->result.answers++;
      sim->result.repeats += first != NULL;
      if (first != NULL && strcmp (first, r->answer) != 0)
        sim_violation (sim, "key %u: answers \"%s\" and \"%s\"", key, first,
                       r->answer);
      if (first == NULL)
        first = r->answer;
    }
}

static void
sim_check_key (struct sim *sim, uint32_t key)
{
  uint32_t runs = 0;

  for (guint i = 0; i < sim->runs->len; i++)
    runs += g_array_index (sim->runs, struct sim_run, i).key == key;
  if (runs > 1)
    sim_violation (sim, "key %u ran %u times", key, runs);
  sim->result.runs += runs;
  sim_check_records (sim, key);
}

static void
sim_check_not_run (struct sim *sim, const struct sim_record *record)
{
  sim->result.not_run += record->not_run;
  for (guint i = 0; record->not_run && i < sim->runs->len; i++)
    if (g_array_index (sim->runs, struct sim_run, i).claim_id
        == record->claim_id)
      sim_violation (sim, "key %u: \"not run\" is false", record->key);
}

static void
sim_check_instance (struct sim *sim, struct sim_instance *instance)
{
  uint32_t left = clm_submitter_unfinished (instance->submitter);

  if (left > 0)
    sim_violation (sim, "%s: %u completions not written", instance->name,
                   left);
  if (instance->calls->len > 0)
    sim_violation (sim, "%s: %u calls without an end", instance->name,
                   instance->calls->len);
}

/* An open claim of a live owner that has no such call would block its key
   although nothing runs.  */
static void
sim_check_open (struct sim *sim, uint32_t key)
{
  char name[32];
  const char *value;
  cs_claim *claim;

  g_snprintf (name, sizeof name, "claims/svc/%u", key);
  value = fake_kv_value (sim->kv, name);
  if (value == NULL)
    return;
  claim = clm_parse (value);
  if (claim->kind == CS_CLAIM_OPEN
      && sim->instances[atoi (claim->owner)].incarnation
             == claim->owner_incarnation)
    sim_violation (sim, "key %u: claim left open", key);
  clm_free (claim);
}

static void
sim_free (struct sim *sim)
{
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    sim_stop (sim, &sim->instances[i]);
  for (guint i = 0; i < sim->records->len; i++)
    g_free (g_array_index (sim->records, struct sim_record, i).answer);
  g_array_free (sim->records, TRUE);
  g_array_free (sim->runs, TRUE);
  g_hash_table_destroy (sim->events);
  g_ptr_array_free (sim->garbage, TRUE);
  fake_kv_free (sim->kv);
  tm_free (sim->tm);
  gsl_rng_free (sim->random);
}

/* Run once with SEED: 40 s with faults, then quiet until everything has
   ended.  */
struct sim_result
sim_run (uint64_t seed)
{
  struct sim sim = { .tm = tm_new (0) };

  sim.random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim.random, seed);
  sim.kv = fake_kv_new (sim.tm, 3 * SIM_MS);
  sim.kv_store = fake_kv_store (sim.kv);
  sim.events = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  sim.garbage = g_ptr_array_new_with_free_func (g_free);
  sim.runs = g_array_new (FALSE, FALSE, sizeof (struct sim_run));
  sim.records = g_array_new (FALSE, FALSE, sizeof (struct sim_record));
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    {
      g_snprintf (sim.instances[i].name, sizeof sim.instances[i].name, "%zu",
                  i);
      sim_start (&sim, &sim.instances[i]);
    }
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    sim_look (&sim, &sim.instances[i]);
  sim_plan (&sim);
  tm_advance (sim.tm, SIM_END_US);
  for (uint32_t key = 0; key < SIM_KEYS; key++)
    {
      sim_check_key (&sim, key);
      sim_check_open (&sim, key);
    }
  for (guint i = 0; i < sim.records->len; i++)
    sim_check_not_run (&sim,
                       &g_array_index (sim.records, struct sim_record, i));
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    sim_check_instance (&sim, &sim.instances[i]);
  sim_free (&sim);
  return sim.result;
}
