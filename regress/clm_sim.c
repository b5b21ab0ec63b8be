#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clm_sim_impl.h"

uint64_t
sim_uniform (struct sim *sim, uint64_t below)
{
  return gsl_rng_uniform_int (sim->random, (unsigned long)below);
}

bool
sim_percent (struct sim *sim, uint32_t percent)
{
  return sim_uniform (sim, 100) < percent;
}

bool
sim_is_faulty (struct sim *sim)
{
  return tm_now_us (sim->tm) < SIM_FAULTS_US;
}

void *
sim_new (struct sim *sim, size_t bytes)
{
  void *memory = g_malloc0 (bytes);

  g_ptr_array_add (sim->garbage, memory);
  return memory;
}

static void
sim_fire (void *arg)
{
  struct sim_event *event = arg;

  event->run (event->sim, event->arg);
}

void
sim_later (struct sim *sim, uint64_t delay_us,
           void (*run) (struct sim *sim, void *arg), void *arg)
{
  struct sim_event *event = sim_new (sim, sizeof *event);

  *event = (struct sim_event){ .sim = sim, .run = run, .arg = arg };
  tm_after (sim->tm, &event->timer, delay_us, sim_fire, event);
}

void
sim_violation (struct sim *sim, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  if (sim->result.violations++ == 0)
    (void)vsnprintf (sim->result.first, sizeof sim->result.first, format, ap);
  va_end (ap);
}

/* Instances.  */

static void
sim_start (struct sim *sim, struct sim_instance *instance)
{
  struct clm_batch_config batch
      = { &instance->store, sim->tm, sim->random, "claims/" };
  struct clm_submit_config config
      = { .methods = &sim_keeper_methods, .context = instance, .tm = sim->tm };

  instance->sim = sim;
  instance->store = (struct kv_store){ &sim_store, instance };
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

static void
sim_plan (struct sim *sim)
{
  static void (*const faults[]) (struct sim * sim, void *arg)
      = { sim_crash, sim_cut_kv, sim_gone };
  uint64_t outage_us = sim_uniform (sim, SIM_FAULTS_US);

  for (uint32_t key = 0; key < SIM_KEYS; key++)
    for (uint32_t n = sim_percent (sim, 40) ? 2 : 1; n > 0; n--)
      sim_later (sim, key * SIM_S + sim_uniform (sim, 300 * SIM_MS),
                 sim_repeat, &sim->again[key][SIM_TRIES]);
  for (uint32_t i = 0; i < 18; i++)
    sim_later (sim, sim_uniform (sim, SIM_FAULTS_US), faults[i % 3],
               &sim->instances[sim_uniform (sim, SIM_INSTANCES)]);
  sim_later (sim, outage_us, sim_outage, sim);
  sim_later (sim, outage_us + sim_uniform (sim, 8 * SIM_S), sim_outage, NULL);
}

static void
sim_free (struct sim *sim)
{
  for (size_t i = 0; i < SIM_INSTANCES; i++)
    sim_stop (sim, &sim->instances[i]);
  g_array_free (sim->records, TRUE);
  g_array_free (sim->runs, TRUE);
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
  sim_check (&sim);
  sim_free (&sim);
  return sim.result;
}
