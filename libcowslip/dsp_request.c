#include "dsp_impl.h"

#define DSP_US_PER_MS 1000ULL
/* A request without a first byte after this many times the promise is
   repeated elsewhere.  */
#define DSP_HEDGE_FACTOR 3
/* Differences below this are noise of timers and scheduling.  */
#define DSP_HEDGE_MIN_US 10000

/* Return the flight of ATTEMPT, or NULL.  */
struct dsp_flight *
dsp_flight (struct dsp_request *request, uint64_t attempt)
{
  for (int i = 0; i < RQ_LIVE_MAX; i++)
    if (attempt != 0 && request->flights[i].attempt == attempt)
      return &request->flights[i];
  return NULL;
}

/* Capacity became free on ENDPOINT.  */
void
dsp_wake_endpoint (struct dsp *dsp, const struct rt_endpoint *endpoint)
{
  GPtrArray *models;

  if (adm_waiting (dsp->queues) == 0)
    return;
  models = g_ptr_array_new ();
  for (guint i = 0; i < endpoint->replicas->len; i++)
    {
      const struct rt_replica *r = g_ptr_array_index (endpoint->replicas, i);
      const char *name = rt_model_name (r->model);

      if (r->ready && adm_waiting_for (dsp->queues, name) > 0)
        g_ptr_array_add (models, (gpointer)name);
    }
  adm_wake (dsp->queues, (const char *const *)models->pdata, models->len);
  g_ptr_array_unref (models);
}

/* ATTEMPT is over; its answer was WHOLE or not.  */
void
dsp_land (struct dsp_request *request, uint64_t attempt, bool whole)
{
  struct dsp *dsp = request->dsp;
  struct dsp_flight *flight = dsp_flight (request, attempt);
  const struct rt_endpoint *endpoint;

  if (flight == NULL)
    return;
  endpoint = flight->replica->endpoint;
  if (whole)
    adm_served (dsp->queues, request->spec.class_name,
                tm_now_us (dsp->tm) - flight->started_us);
  if (flight->straggles)
    rt_straggler (dsp->routes, flight->replica, false);
  rt_end (dsp->routes, flight->replica);
  psn_end (dsp->suspicions, &flight->run, whole);
  flight->attempt = 0;
  dsp_wake_endpoint (dsp, endpoint);
}

static uint64_t
dsp_hedge_us (const struct dsp *dsp, const struct dsp_spec *spec)
{
  uint64_t promised_us = spec->first_token_ms * DSP_US_PER_MS;

  if (promised_us == 0)
    promised_us = hlt_p95_us (dsp->health, spec->pool);
  /* The first byte of an answer that is not a stream comes with its end.  */
  if (!spec->stream && promised_us > 0)
    promised_us = MAX (promised_us, spec->expected_ms * DSP_US_PER_MS);
  return promised_us == 0
             ? 0
             : MAX (promised_us * DSP_HEDGE_FACTOR, DSP_HEDGE_MIN_US);
}

/* Return a new request with SPEC; dsp_request_start sets it going.  */
struct dsp_request *
dsp_request_new (struct dsp *dsp, const struct dsp_spec *spec, void *owner)
{
  struct dsp_request *request = g_new0 (struct dsp_request, 1);
  struct rq_promise promise
      = { .deadline_us = spec->deadline_ms * DSP_US_PER_MS,
          .hedge_us = dsp_hedge_us (dsp, spec),
          .straggler_us = spec->expected_ms * DSP_US_PER_MS,
          .can_resume = spec->can_resume };

  request->dsp = dsp;
  request->owner = owner;
  request->spec = *spec;
  request->arrived_us = tm_now_us (dsp->tm);
  request->entry.model = spec->model;
  request->entry.class_name = spec->class_name;
  request->entry.priority = spec->priority;
  request->entry.deadline_us = request->arrived_us + promise.deadline_us;
  rq_init (&request->rq, dsp->tm, &promise, &dsp_request_actions, request,
           &dsp->next_attempt);
  dsp->active++;
  return request;
}

/* Set REQUEST going.  It may be over and freed before this returns.  */
void
dsp_request_start (struct dsp_request *request)
{
  struct dsp *dsp = request->dsp;

  dsp_count (dsp, "requests_total", request->spec.class_name);
  rty_request (dsp->budgets, request->spec.class_name);
  adm_arrived (dsp->queues, request->spec.model);
  rq_start (&request->rq);
}

/* ATTEMPT began to answer, other than with a stream.  */
void
dsp_head (struct dsp_request *request, uint64_t attempt)
{
  rq_head (&request->rq, attempt);
}

/* One whole event of ATTEMPT's stream arrived.  The request may be over and
   freed after this and the functions below.  */
void
dsp_event (struct dsp_request *request, uint64_t attempt,
           enum rq_event_kind kind, const char *data, size_t bytes)
{
  if (!rq_is_live (&request->rq, attempt))
    return;
  if (kind == RQ_EVENT_END)
    dsp_land (request, attempt, true);
  rq_event (&request->rq, attempt, kind, data, bytes);
}

/* ATTEMPT gave a whole ANSWER that is not a stream.  */
void
dsp_answer (struct dsp_request *request, uint64_t attempt,
            const struct rq_answer *answer)
{
  if (!rq_is_live (&request->rq, attempt))
    return;
  dsp_land (request, attempt, answer->status < 400);
  rq_answer (&request->rq, attempt, answer);
}

/* ATTEMPT failed as FAILURE says; SENT tells whether any byte was written.  */
void
dsp_failed (struct dsp_request *request, uint64_t attempt,
            enum rq_failure failure, bool sent)
{
  struct dsp *dsp = request->dsp;
  const struct dsp_flight *flight = dsp_flight (request, attempt);

  if (flight == NULL || !rq_is_live (&request->rq, attempt))
    return;
  if (failure == RQ_CONNECT_FAILED)
    dsp->actions.unreachable (dsp->arg, flight->replica->endpoint->address);
  if (failure == RQ_BROKEN && sent)
    psn_broken (dsp->suspicions, &flight->run);
  dsp_land (request, attempt, false);
  rq_failed (&request->rq, attempt, failure, sent);
}

/* The caller has left.  */
void
dsp_gone (struct dsp_request *request)
{
  rq_gone (&request->rq);
}

/* The caller reads too slowly.  */
void
dsp_slow (struct dsp_request *request)
{
  rq_slow (&request->rq);
}
