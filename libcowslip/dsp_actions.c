#include "dsp_impl.h"

#define DSP_US_PER_MS 1000ULL

static bool
dsp_has_no_suspect (void *arg, const struct rt_endpoint *endpoint)
{
  const struct dsp *dsp = arg;

  return psn_suspects_at (dsp->suspicions, endpoint->address) == 0;
}

static struct rt_replica *
dsp_pick (struct dsp_request *request, bool only_untried, bool suspect)
{
  struct dsp *dsp = request->dsp;
  struct rt_criteria criteria
      = { .prefix = request->spec.prefix,
          .tried = request->tried,
          .tried_count = request->tried_count,
          .only_untried = only_untried,
          .allowed = suspect ? dsp_has_no_suspect : NULL,
          .arg = dsp };

  return rt_pick (dsp->routes, request->spec.model, &criteria);
}

static struct dsp_request *
dsp_of_entry (struct adm_entry *entry)
{
  return (struct dsp_request *)((char *)entry
                                - offsetof (struct dsp_request, entry));
}

/* Start the request of ENTRY if an endpoint has capacity for it.  */
enum adm_start
dsp_admit (void *arg, struct adm_entry *entry)
{
  struct dsp *dsp = arg;
  struct dsp_request *request = dsp_of_entry (entry);
  enum psn_verdict verdict
      = psn_check (dsp->suspicions, request->spec.fingerprint);

  if (verdict == PSN_POISON)
    {
      adm_remove (dsp->queues, entry);
      rq_refused (&request->rq, RSN_POISON);
      return ADM_REFUSED;
    }
  request->chosen = dsp_pick (request, false, verdict == PSN_SUSPECT);
  if (request->chosen == NULL)
    return verdict == PSN_SUSPECT ? ADM_SUSPECT_BLOCKED : ADM_NO_CAPACITY;
  adm_remove (dsp->queues, entry);
  rq_launch (&request->rq);
  return ADM_STARTED;
}

/* Refuse the queued request of ENTRY for REASON.  */
void
dsp_refuse_waiting (void *arg, struct adm_entry *entry,
                    enum rsn_refusal reason)
{
  struct dsp_request *request = dsp_of_entry (entry);

  (void)arg;
  rq_refused (&request->rq, reason);
}

static void
dsp_do_wait (void *arg)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;
  uint32_t before = adm_waiting (dsp->queues);
  bool first = adm_waiting_for (dsp->queues, request->spec.model) == 0;

  request->entry.suspect
      = psn_check (dsp->suspicions, request->spec.fingerprint) != PSN_CLEAR;
  /* This may end and free the request.  */
  adm_submit (dsp->queues, &request->entry);
  if (first && adm_waiting (dsp->queues) > before)
    dsp_report_demand (dsp);
}

static void
dsp_do_cancel_wait (void *arg)
{
  struct dsp_request *request = arg;

  adm_remove (request->dsp->queues, &request->entry);
}

static void
dsp_do_hedge (void *arg)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;

  if (psn_check (dsp->suspicions, request->spec.fingerprint) != PSN_CLEAR)
    return;
  request->chosen = dsp_pick (request, true, false);
  if (request->chosen == NULL
      || !rty_consume (dsp->budgets, request->spec.class_name, RTY_HEDGE))
    return;
  ctr_count_retry (dsp->counters, RTY_HEDGE);
  rq_launch (&request->rq);
}

static void
dsp_record_first_launch (struct dsp_request *request)
{
  struct dsp *dsp = request->dsp;

  if (request->launched_us != 0)
    return;
  request->launched_us = tm_now_us (dsp->tm);
  hst_observe (dsp->queue_time, request->spec.class_name,
               request->launched_us - request->arrived_us);
}

static void
dsp_do_launch (void *arg, uint64_t attempt, uint32_t resume_from)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;
  struct rt_replica *replica = request->chosen;
  struct dsp_attempt *state = &request->attempts[0];
  struct dsp_launch launch = { .attempt = attempt,
                               .address = replica->endpoint->address,
                               .resume_from = resume_from,
                               .new_connection = request->tried_count > 0 };

  if (state->attempt != 0)
    state = &request->attempts[1];
  dsp_record_first_launch (request);
  *state = (struct dsp_attempt){ .attempt = attempt,
                                 .replica = replica,
                                 .started_us = tm_now_us (dsp->tm) };
  if (request->tried_count < RQ_ATTEMPTS_MAX)
    request->tried[request->tried_count++] = replica->endpoint;
  rt_begin_request (dsp->routes, replica);
  psn_begin (dsp->suspicions, &state->run, request->spec.fingerprint,
             replica->endpoint->address);
  dsp->actions.launch (request->owner, &launch);
}

/* Cancel ATTEMPT.  If it had reached the hedge delay without a first byte, the
   elapsed time counts as a latency sample of its endpoint; otherwise an
   endpoint that always loses to hedges would never be detected as slow.  */
static void
dsp_do_cancel (void *arg, uint64_t attempt)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;
  const struct dsp_attempt *state = dsp_attempt (request, attempt);
  uint64_t passed_us;

  dsp->actions.cancel (request->owner, attempt);
  if (state == NULL)
    return;
  passed_us = tm_now_us (dsp->tm) - state->started_us;
  if (!state->first_byte && request->rq.options.hedge_us > 0
      && passed_us >= request->rq.options.hedge_us)
    hlt_add_sample (dsp->health, state->replica->endpoint->address, passed_us);
  dsp_end_attempt (request, attempt, false);
}

static bool
dsp_suspects_contain (const GArray *pending, uint64_t fingerprint)
{
  for (guint i = 0; i < pending->len; i++)
    if (g_array_index (pending, struct dsp_suspect, i).fingerprint
        == fingerprint)
      return true;
  return false;
}

static void
dsp_do_report_crash (void *arg, uint64_t attempt)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;
  GArray *pending = dsp->changed_suspects;
  struct dsp_suspect own = { request->spec.fingerprint, 0 };

  request->ticket = attempt;
  g_hash_table_insert (dsp->reporting, &request->ticket, request);
  dsp->changed_suspects
      = g_array_new (FALSE, FALSE, sizeof (struct dsp_suspect));
  tm_cancel (dsp->tm, &dsp->suspects_timer);
  /* The crash may already have been reported for another request; this request
     must still not be retried before the peers have acknowledged it.  */
  own.crashes = psn_crashes (dsp->suspicions, own.fingerprint);
  if (own.crashes > 0 && !dsp_suspects_contain (pending, own.fingerprint))
    g_array_append_val (pending, own);
  dsp->actions.suspects (dsp->arg, (const struct dsp_suspect *)pending->data,
                         pending->len, attempt);
  g_array_free (pending, TRUE);
}

/* Resume the request with TICKET: all reachable peers have acknowledged its
   crash report.  */
void
dsp_report_acked (struct dsp *dsp, uint64_t ticket)
{
  struct dsp_request *request = g_hash_table_lookup (dsp->reporting, &ticket);

  if (request == NULL)
    return;
  g_hash_table_remove (dsp->reporting, &ticket);
  request->ticket = 0;
  rq_report_acked (&request->rq, ticket);
}

static bool
dsp_do_consume_retry (void *arg, enum rty_reason reason)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;

  if (!rty_consume (dsp->budgets, request->spec.class_name, reason))
    return false;
  ctr_count_retry (dsp->counters, reason);
  return true;
}

static bool
dsp_do_is_poison (void *arg)
{
  struct dsp_request *request = arg;

  return psn_check (request->dsp->suspicions, request->spec.fingerprint)
         == PSN_POISON;
}

static void
dsp_do_straggler (void *arg, uint64_t attempt)
{
  struct dsp_request *request = arg;
  struct dsp_attempt *state = dsp_attempt (request, attempt);

  if (state == NULL || state->straggler)
    return;
  state->straggler = true;
  rt_count_straggler (request->dsp->routes, state->replica, true);
  dsp_count (request->dsp, "stragglers_total", request->spec.class_name);
}

static void
dsp_do_first (void *arg, uint64_t attempt)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;
  struct dsp_attempt *state = dsp_attempt (request, attempt);
  uint64_t now_us = tm_now_us (dsp->tm);

  if (state != NULL && !state->first_byte)
    {
      state->first_byte = true;
      hlt_add_sample (dsp->health, state->replica->endpoint->address,
                      now_us - state->started_us);
    }
  if (request->first_byte_us != 0)
    return;
  request->first_byte_us = now_us;
  hst_observe (dsp->first_token, request->spec.class_name,
               now_us - request->arrived_us);
}

static void
dsp_do_send (void *arg, const char *data, size_t bytes)
{
  struct dsp_request *request = arg;

  request->dsp->actions.send (request->owner, data, bytes);
}

static void
dsp_do_answer (void *arg, const struct rq_response *response)
{
  struct dsp_request *request = arg;

  request->dsp->actions.response (request->owner, response);
}

static void
dsp_do_refuse (void *arg, enum rsn_refusal reason, bool not_run, bool started)
{
  struct dsp_request *request = arg;

  request->dsp->actions.refuse (request->owner, reason, not_run, started);
}

static void
dsp_count_outcome (struct dsp_request *request, enum rq_outcome outcome)
{
  struct dsp *dsp = request->dsp;
  const struct dsp_spec *spec = &request->spec;
  uint64_t now_us = tm_now_us (dsp->tm);
  char name[64];

  g_snprintf (name, sizeof name, "requests_%s_total",
              rq_outcome_text (outcome));
  dsp_count (dsp, name, spec->class_name);
  if (outcome != RQ_DELIVERED)
    return;
  if (now_us - request->arrived_us <= spec->deadline_ms * DSP_US_PER_MS)
    dsp_count (dsp, "requests_delivered_in_time_total", spec->class_name);
  if (spec->stream && spec->first_token_ms > 0
      && request->first_byte_us - request->arrived_us
             <= spec->first_token_ms * DSP_US_PER_MS)
    dsp_count (dsp, "first_token_in_time_total", spec->class_name);
}

static void
dsp_do_done (void *arg, enum rq_outcome outcome)
{
  struct dsp_request *request = arg;
  struct dsp *dsp = request->dsp;

  dsp_count_outcome (request, outcome);
  if (request->ticket != 0)
    g_hash_table_remove (dsp->reporting, &request->ticket);
  dsp->active--;
  dsp->actions.done (request->owner, outcome);
  g_free (request);
}

const struct rq_actions dsp_request_actions
    = { .wait = dsp_do_wait,
        .cancel_wait = dsp_do_cancel_wait,
        .hedge = dsp_do_hedge,
        .launch = dsp_do_launch,
        .cancel = dsp_do_cancel,
        .report_crash = dsp_do_report_crash,
        .consume_retry = dsp_do_consume_retry,
        .is_poison = dsp_do_is_poison,
        .straggler = dsp_do_straggler,
        .first = dsp_do_first,
        .send = dsp_do_send,
        .response = dsp_do_answer,
        .refuse = dsp_do_refuse,
        .done = dsp_do_done };
