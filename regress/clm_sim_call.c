#include <stdlib.h>
#include <string.h>

#include "clm_sim_impl.h"

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
  char text[16];

  (void)sim;
  if (call == NULL)
    return;
  call->attempt = NULL;
  if (attempt->end == CLM_ATTEMPT_WHOLE)
    {
      g_snprintf (text, sizeof text, "%u", attempt->run);
      clm_call_head (call->machine, 200, "text/plain");
      clm_call_body (call->machine, text, strlen (text));
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

static void sim_submit (struct sim *sim, uint32_t key, uint32_t tries_left);

/* ARG holds the key and how often the caller still tries.  */
void
sim_repeat (struct sim *sim, void *arg)
{
  uint32_t number = (uint32_t)((char *)arg - sim->again[0]);

  sim_submit (sim, number / (SIM_TRIES + 1), number % (SIM_TRIES + 1));
}

void
sim_repeat_later (struct sim *sim, const struct sim_call *call)
{
  if (call->tries_left > 0)
    sim_later (sim, 100 * SIM_MS + sim_uniform (sim, 8 * SIM_S), sim_repeat,
               &sim->again[call->key][call->tries_left - 1]);
}

static void
sim_record (struct sim_call *call, uint32_t run, bool not_run)
{
  struct sim_record record = { call->key, call->claim.claim_id, not_run, run };

  g_array_append_val (call->at->sim->records, record);
}

static void
sim_answer (void *context, const struct clm_answer *answer)
{
  char text[16] = "";

  memcpy (text, answer->body, MIN (answer->body_bytes, sizeof text - 1));
  sim_record (context, (uint32_t)atoi (text), false);
}

static void
sim_refuse (void *context, enum rsn_refusal reason, bool not_run)
{
  struct sim_call *call = context;

  sim_record (call, 0, not_run);
  call->at->sim->result.unknown += reason == RSN_OUTCOME_UNKNOWN;
  sim_repeat_later (call->at->sim, call);
}

void
sim_call_free (void *arg)
{
  struct sim_call *call = arg;

  if (call->attempt != NULL)
    call->attempt->call = NULL;
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
