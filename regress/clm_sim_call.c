#include <stdlib.h>
#include <string.h>

#include "clm_sim_impl.h"

/* The service.  It records each run, also of cancelled attempts.  */

static void
clms_attempt_execute (struct clms *sim, void *arg)
{
  struct clms_attempt *attempt = arg;
  struct clms_run run = { attempt->key, attempt->claim_id };

  g_array_append_val (sim->runs, run);
  attempt->run = sim->runs->len;
}

static void
clms_attempt_finish (struct clms *sim, void *arg)
{
  struct clms_attempt *attempt = arg;
  struct clms_call *call = attempt->call;
  char text[16];

  (void)sim;
  if (call == NULL)
    return;
  call->attempt = NULL;
  if (attempt->end == CLM_ATTEMPT_COMPLETE)
    {
      g_snprintf (text, sizeof text, "%u", attempt->run);
      clm_call_head (call->machine, 200, "text/plain");
      clm_call_body (call->machine, text, strlen (text));
    }
  clm_call_attempt_ended (call->machine, attempt->end);
}

static bool
clms_start_attempt (void *context)
{
  struct clms_call *call = context;
  struct clms *sim = call->instance->sim;
  struct clms_attempt *attempt = clms_alloc (sim, sizeof *attempt);
  uint32_t random_percent = (uint32_t)clms_uniform (sim, 100);
  uint64_t run_us = CLMS_MS + clms_uniform (sim, 20 * CLMS_MS);
  uint64_t end_us = run_us + CLMS_MS
                    + clms_uniform (sim, random_percent < 90 ? 300 * CLMS_MS
                                                             : 40 * CLMS_S);

  if (++call->endpoints_tried > 3)
    return false;
  call->attempt = attempt;
  attempt->call = call;
  attempt->key = call->key;
  attempt->claim_id = call->claim.claim_id;
  attempt->end = random_percent < 20   ? CLM_ATTEMPT_NOT_SENT
                 : random_percent < 35 ? CLM_ATTEMPT_INTERRUPTED
                                       : CLM_ATTEMPT_COMPLETE;
  if (random_percent >= 27)
    clms_schedule (sim, run_us, clms_attempt_execute, attempt);
  clms_schedule (sim, end_us, clms_attempt_finish, attempt);
  return true;
}

/* Calls and callers.  */

static void
clms_claimed (void *arg, const cs_claim_reply *reply)
{
  clm_call_claimed (((struct clms_call *)arg)->machine, reply);
}

static void
clms_claim (void *context, const cs_claim *claim)
{
  struct clms_call *call = context;

  clm_submit (call->instance->submitter, claim, clms_claimed, call);
}

static void
clms_settled (void *arg, const cs_claim_reply *reply)
{
  (void)arg;
  (void)reply;
}

static void
clms_settle (void *context, const cs_claim *claim)
{
  struct clms_call *call = context;

  clm_submit (call->instance->submitter, claim, clms_settled, NULL);
}

static void
clms_cancel_attempt (void *context)
{
  struct clms_call *call = context;

  if (call->attempt != NULL)
    call->attempt->call = NULL;
  call->attempt = NULL;
}

static bool
clms_has_endpoint (void *context)
{
  return ((const struct clms_call *)context)->endpoints_tried < 3;
}

static bool
clms_may_retry (void *context, enum rty_reason reason)
{
  (void)context;
  (void)reason;
  return true;
}

static bool
clms_is_owner_alive (void *context, const char *owner, uint64_t incarnation)
{
  const struct clms_call *call = context;

  return call->instance->known_incarnations[atoi (owner)] == incarnation;
}

static void clms_submit (struct clms *sim, uint32_t key,
                         uint32_t remaining_retries);

/* Repeat a call.  The position of ARG in retry_args gives the key and the
   number of retries left.  */
void
clms_retry (struct clms *sim, void *arg)
{
  uint32_t index = (uint32_t)((char *)arg - sim->retry_args[0]);

  clms_submit (sim, index / (CLMS_RETRIES_MAX + 1),
               index % (CLMS_RETRIES_MAX + 1));
}

void
clms_schedule_retry (struct clms *sim, const struct clms_call *call)
{
  if (call->remaining_retries > 0)
    clms_schedule (sim, 100 * CLMS_MS + clms_uniform (sim, 8 * CLMS_S),
                   clms_retry,
                   &sim->retry_args[call->key][call->remaining_retries - 1]);
}

static void
clms_record (struct clms_call *call, uint32_t run, bool not_run)
{
  struct clms_record record
      = { call->key, call->claim.claim_id, not_run, run };

  g_array_append_val (call->instance->sim->records, record);
}

static void
clms_on_response (void *context, const struct clm_response *response)
{
  char text[16] = "";

  memcpy (text, response->body, MIN (response->body_bytes, sizeof text - 1));
  clms_record (context, (uint32_t)atoi (text), false);
}

static void
clms_refuse (void *context, enum rsn_refusal reason, bool not_run)
{
  struct clms_call *call = context;

  clms_record (call, 0, not_run);
  call->instance->sim->result.unknown += reason == RSN_OUTCOME_UNKNOWN;
  clms_schedule_retry (call->instance->sim, call);
}

void
clms_call_free (void *arg)
{
  struct clms_call *call = arg;

  if (call->attempt != NULL)
    call->attempt->call = NULL;
  clm_call_free (call->machine);
  g_free (call);
}

static void
clms_finished (void *context)
{
  struct clms_call *call = context;

  if (call->attempt != NULL)
    clms_violation (call->instance->sim, "key %u: finished with an attempt",
                    call->key);
  g_ptr_array_remove_fast (call->instance->calls, call);
}

static void
clms_submit (struct clms *sim, uint32_t key, uint32_t remaining_retries)
{
  static const struct clm_call_actions actions = {
    .claim = clms_claim,
    .settle = clms_settle,
    .attempt = clms_start_attempt,
    .has_endpoint = clms_has_endpoint,
    .cancel_attempt = clms_cancel_attempt,
    .may_retry = clms_may_retry,
    .is_owner_alive = clms_is_owner_alive,
    .response = clms_on_response,
    .refuse = clms_refuse,
    .finished = clms_finished,
  };
  static char none[] = "";
  struct clms_instance *instance
      = &sim->instances[clms_uniform (sim, CLMS_INSTANCES)];
  struct clms_call *call = g_new0 (struct clms_call, 1);
  struct clm_call_config config
      = { .actions = &actions,
          .context = call,
          .tm = sim->tm,
          .deadline_us = tm_now_us (sim->tm) + CLMS_DEADLINE_US,
          .claim = &call->claim };

  *call = (struct clms_call){ .instance = instance,
                              .key = key,
                              .remaining_retries = remaining_retries };
  if (instance->incarnation == 0)
    {
      clms_schedule_retry (sim, call);
      g_free (call);
      return;
    }
  sim->result.calls++;
  g_snprintf (call->claim_key, sizeof call->claim_key, "svc/%u", key);
  call->claim = (cs_claim){ .kind = CS_CLAIM_OPEN,
                            .key = call->claim_key,
                            .claim_id
                            = clm_new_id (sim->random, instance->incarnation),
                            .request_digest = clms_chance (sim, 4) ? 2 : 1,
                            .owner = instance->name,
                            .owner_incarnation = instance->incarnation,
                            .content_type = none };
  call->machine = clm_call_new (&config);
  g_ptr_array_add (instance->calls, call);
  clm_call_start (call->machine);
}
