#include "dsp_impl.h"

#define DSP_US_PER_MS 1000ULL
/* A request without a first byte after this multiple of its first-token
   target, or of the 95th percentile of its pool, is hedged on another
   endpoint.  */
#define DSP_HEDGE_FACTOR 3
/* Shorter delays are within the jitter of timers and scheduling.  */
#define DSP_HEDGE_MIN_US 10000

/* Return the attempt with id ATTEMPT, or NULL.  */
struct dsp_attempt *
dsp_attempt (struct dsp_request *request, uint64_t attempt)
{
  for (int i = 0; i < RQ_LIVE_MAX; i++)
    if (attempt != 0 && request->attempts[i].attempt == attempt)
      return &request->attempts[i];
  return NULL;
}

/* Start queued requests on ENDPOINT, whose capacity became free.  */
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

/* Release the resources of ATTEMPT, which has ended.  COMPLETE: its response
   was complete.  */
void
dsp_end_attempt (struct dsp_request *request, uint64_t attempt, bool complete)
{
  struct dsp *dsp = request->dsp;
  struct dsp_attempt *state = dsp_attempt (request, attempt);
  const struct rt_endpoint *endpoint;

  if (state == NULL)
    return;
  endpoint = state->replica->endpoint;
  if (complete)
    adm_record_duration (dsp->queues, request->spec.class_name,
                         tm_now_us (dsp->tm) - state->started_us);
  if (state->straggler)
    rt_count_straggler (dsp->routes, state->replica, false);
  rt_end_request (dsp->routes, state->replica);
  psn_end (dsp->suspicions, &state->run, complete);
  state->attempt = 0;
  dsp_wake_endpoint (dsp, endpoint);
}

static uint64_t
dsp_hedge_us (const struct dsp *dsp, const struct dsp_spec *spec)
{
  uint64_t target_us = spec->first_token_ms * DSP_US_PER_MS;

  if (target_us == 0)
    target_us = hlt_p95_us (dsp->health, spec->pool);
  /* Without streaming, the first byte is not sent before the response is
     complete.  */
  if (!spec->stream && target_us > 0)
    target_us = MAX (target_us, spec->expected_ms * DSP_US_PER_MS);
  return target_us == 0 ? 0
                        : MAX (target_us * DSP_HEDGE_FACTOR, DSP_HEDGE_MIN_US);
}

/* Return a new request with SPEC, not yet started.  OWNER is passed to the
   callbacks.  */
struct dsp_request *
dsp_request_new (struct dsp *dsp, const struct dsp_spec *spec, void *owner)
{
  struct dsp_request *request = g_new0 (struct dsp_request, 1);
  struct rq_options options
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
  request->entry.deadline_us = request->arrived_us + options.deadline_us;
  rq_init (&request->rq, dsp->tm, &options, &dsp_request_actions, request,
           &dsp->next_attempt);
  dsp->active++;
  return request;
}

/* Start REQUEST.  It may have ended and been freed when this returns.  */
void
dsp_request_start (struct dsp_request *request)
{
  struct dsp *dsp = request->dsp;

  dsp_count (dsp, "requests_total", request->spec.class_name);
  rty_count_request (dsp->budgets, request->spec.class_name);
  adm_count_arrival (dsp->queues, request->spec.model);
  rq_start (&request->rq);
}

/* The response head of ATTEMPT arrived, and the response is not a stream.  */
void
dsp_response_head (struct dsp_request *request, uint64_t attempt)
{
  rq_response_head (&request->rq, attempt);
}

/* Process one complete event of ATTEMPT's stream.  This and the functions
   below may end and free the request.  */
void
dsp_event (struct dsp_request *request, uint64_t attempt,
           enum rq_event_kind kind, const char *data, size_t bytes)
{
  if (!rq_is_live (&request->rq, attempt))
    return;
  if (kind == RQ_EVENT_END)
    dsp_end_attempt (request, attempt, true);
  rq_event (&request->rq, attempt, kind, data, bytes);
}

/* Process RESPONSE, the complete response of ATTEMPT, which is not a stream.
 */
void
dsp_response (struct dsp_request *request, uint64_t attempt,
              const struct rq_response *response)
{
  if (!rq_is_live (&request->rq, attempt))
    return;
  dsp_end_attempt (request, attempt, response->status < 400);
  rq_response (&request->rq, attempt, response);
}

/* Process the failure of ATTEMPT; SENT is true if any byte was written to its
   endpoint.  */
void
dsp_attempt_failed (struct dsp_request *request, uint64_t attempt,
                    enum rq_failure failure, bool sent)
{
  struct dsp *dsp = request->dsp;
  const struct dsp_attempt *state = dsp_attempt (request, attempt);

  if (state == NULL || !rq_is_live (&request->rq, attempt))
    return;
  if (failure == RQ_CONNECT_FAILED)
    dsp->actions.unreachable (dsp->arg, state->replica->endpoint->address);
  if (failure == RQ_CONNECTION_LOST && sent)
    psn_connection_lost (dsp->suspicions, &state->run);
  dsp_end_attempt (request, attempt, false);
  rq_attempt_failed (&request->rq, attempt, failure, sent);
}

/* Cancel REQUEST: the caller closed its connection.  */
void
dsp_caller_disconnected (struct dsp_request *request)
{
  rq_caller_disconnected (&request->rq);
}

/* End the response of REQUEST early: the caller reads too slowly.  */
void
dsp_caller_too_slow (struct dsp_request *request)
{
  rq_caller_too_slow (&request->rq);
}
