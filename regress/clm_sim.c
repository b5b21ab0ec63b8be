#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clm_sim_impl.h"

uint64_t
clms_uniform (struct clms *sim, uint64_t below)
{
  return gsl_rng_uniform_int (sim->random, (unsigned long)below);
}

bool
clms_chance (struct clms *sim, uint32_t percent)
{
  return clms_uniform (sim, 100) < percent;
}

bool
clms_faults_enabled (struct clms *sim)
{
  return tm_now_us (sim->tm) < CLMS_FAULTS_END_US;
}

void *
clms_alloc (struct clms *sim, size_t bytes)
{
  void *memory = g_malloc0 (bytes);

  g_ptr_array_add (sim->allocations, memory);
  return memory;
}

static void
clms_event_fire (void *arg)
{
  struct clms_event *event = arg;

  event->run (event->sim, event->arg);
}

void
clms_schedule (struct clms *sim, uint64_t delay_us,
               void (*run) (struct clms *sim, void *arg), void *arg)
{
  struct clms_event *event = clms_alloc (sim, sizeof *event);

  *event = (struct clms_event){ .sim = sim, .run = run, .arg = arg };
  tm_after (sim->tm, &event->timer, delay_us, clms_event_fire, event);
}

void
clms_violation (struct clms *sim, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  if (sim->result.violations++ == 0)
    (void)vsnprintf (sim->result.first, sizeof sim->result.first, format, ap);
  va_end (ap);
}

/* Instances.  */

static void
clms_start (struct clms *sim, struct clms_instance *instance)
{
  struct clm_batch_config batch
      = { &instance->store, sim->tm, sim->random, "claims/" };
  struct clm_submit_config config = { .methods = &clms_keeper_methods,
                                      .context = instance,
                                      .tm = sim->tm };

  instance->sim = sim;
  instance->store = (struct kv_store){ &clms_store, instance };
  instance->incarnation = gsl_rng_get (sim->random) | 1;
  instance->calls = g_ptr_array_new_with_free_func (clms_call_free);
  instance->batch = config.batch = clm_batch_new (&batch);
  instance->submitter = clm_submitter_new (&config);
  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    instance->known_incarnations[i] = sim->instances[i].incarnation;
}

static void
clms_stop (struct clms *sim, struct clms_instance *instance)
{
  (void)sim;
  instance->incarnation = 0;
  g_ptr_array_free (instance->calls, TRUE);
  clm_batch_free (instance->batch);
  clm_submitter_free (instance->submitter);
}

/* Instances learn at different times which others are up.  */
static void
clms_update_members (struct clms *sim, void *arg)
{
  struct clms_instance *instance = arg;

  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    instance->known_incarnations[i] = sim->instances[i].incarnation;
}

static void
clms_schedule_member_updates (struct clms *sim)
{
  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    clms_schedule (sim, clms_uniform (sim, 4 * CLMS_S), clms_update_members,
                   &sim->instances[i]);
}

static void
clms_restart (struct clms *sim, void *arg)
{
  clms_start (sim, arg);
  clms_schedule_member_updates (sim);
}

static void
clms_crash (struct clms *sim, void *arg)
{
  struct clms_instance *instance = arg;

  if (instance->incarnation == 0)
    return;
  sim->result.crashes++;
  for (guint i = 0; i < instance->calls->len; i++)
    clms_schedule_retry (sim, g_ptr_array_index (instance->calls, i));
  clms_stop (sim, instance);
  clms_schedule_member_updates (sim);
  clms_schedule (sim, CLMS_S + clms_uniform (sim, 10 * CLMS_S), clms_restart,
                 instance);
}

static void
clms_partition_kv (struct clms *sim, void *arg)
{
  struct clms_instance *instance = arg;

  instance->kv_partition_end_us
      = tm_now_us (sim->tm) + clms_uniform (sim, 12 * CLMS_S);
}

static void
clms_outage (struct clms *sim, void *arg)
{
  fake_kv_set_fault (sim->kv,
                     arg != NULL ? FAKE_KV_UNAVAILABLE : FAKE_KV_NONE);
}

static void
clms_disconnect_caller (struct clms *sim, void *arg)
{
  struct clms_instance *instance = arg;
  struct clms_call *call;

  if (instance->incarnation == 0 || instance->calls->len == 0)
    return;
  call = g_ptr_array_index (instance->calls,
                            clms_uniform (sim, instance->calls->len));
  clms_schedule_retry (sim, call);
  clm_call_caller_disconnected (call->machine);
}

static void
clms_schedule_events (struct clms *sim)
{
  static void (*const faults[]) (struct clms * sim, void *arg)
      = { clms_crash, clms_partition_kv, clms_disconnect_caller };
  uint64_t outage_us = clms_uniform (sim, CLMS_FAULTS_END_US);

  for (uint32_t key = 0; key < CLMS_KEYS; key++)
    for (uint32_t n = clms_chance (sim, 40) ? 2 : 1; n > 0; n--)
      clms_schedule (sim, key * CLMS_S + clms_uniform (sim, 300 * CLMS_MS),
                     clms_retry, &sim->retry_args[key][CLMS_RETRIES_MAX]);
  for (uint32_t i = 0; i < 18; i++)
    clms_schedule (sim, clms_uniform (sim, CLMS_FAULTS_END_US), faults[i % 3],
                   &sim->instances[clms_uniform (sim, CLMS_INSTANCES)]);
  clms_schedule (sim, outage_us, clms_outage, sim);
  clms_schedule (sim, outage_us + clms_uniform (sim, 8 * CLMS_S), clms_outage,
                 NULL);
}

static void
clms_free (struct clms *sim)
{
  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    clms_stop (sim, &sim->instances[i]);
  g_array_free (sim->records, TRUE);
  g_array_free (sim->runs, TRUE);
  g_ptr_array_free (sim->allocations, TRUE);
  fake_kv_free (sim->kv);
  tm_free (sim->tm);
  gsl_rng_free (sim->random);
}

/* Run the simulation with SEED: 40 s with faults, then without faults until
   all calls have ended.  */
struct clms_result
clms_run (uint64_t seed)
{
  struct clms sim = { .tm = tm_new (0) };

  sim.random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim.random, seed);
  sim.kv = fake_kv_new (sim.tm, 3 * CLMS_MS);
  sim.kv_store = fake_kv_store (sim.kv);
  sim.allocations = g_ptr_array_new_with_free_func (g_free);
  sim.runs = g_array_new (FALSE, FALSE, sizeof (struct clms_run));
  sim.records = g_array_new (FALSE, FALSE, sizeof (struct clms_record));
  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    {
      g_snprintf (sim.instances[i].name, sizeof sim.instances[i].name, "%zu",
                  i);
      clms_start (&sim, &sim.instances[i]);
    }
  for (size_t i = 0; i < CLMS_INSTANCES; i++)
    clms_update_members (&sim, &sim.instances[i]);
  clms_schedule_events (&sim);
  tm_advance (sim.tm, CLMS_END_US);
  clms_check (&sim);
  clms_free (&sim);
  return sim.result;
}
