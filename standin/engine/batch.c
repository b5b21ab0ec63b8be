#include <string.h>
#include <unistd.h>

#include "answer.h"
#include "engine.h"

#define ENG_CRASH_STATUS 3
/* A cached prompt prefix divides the prefill time by this.  */
#define ENG_CACHED_PREFILL_DIVISOR 4
/* Steps between checks for disconnected callers of queued requests.  */
#define ENG_DISCONNECT_CHECK_STEPS 10

static void eng_step (void *arg);

static gint
eng_request_compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct eng_request *x = a;
  const struct eng_request *y = b;

  (void)unused;
  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static uint64_t
eng_slow_factor (const struct engine *engine)
{
  int64_t factor = stand_fault_value (&engine->faults, "slow_factor");

  return factor < 1 ? 1 : (uint64_t)factor;
}

static void
eng_schedule_step (struct engine *engine)
{
  if (!tm_pending (&engine->step_timer)
      && (engine->running->len > 0
          || g_sequence_get_length (engine->waiting) > 0))
    tm_after (engine->host->tm, &engine->step_timer,
              engine->options->token_ms * eng_slow_factor (engine)
                  * STAND_US_PER_MS,
              eng_step, engine);
}

/* Remove REQUEST from the queue or the batch, record OUTCOME and free it.  The
   exchange is left as it is.  */
static void
eng_request_finish (struct eng_request *request, const char *outcome)
{
  struct eng_model *model = request->model;

  if (request->waiting != NULL)
    g_sequence_remove (request->waiting);
  else
    {
      g_ptr_array_remove_fast (request->engine->running, request);
      model->running--;
      eng_model_finish_unload (model);
    }
  eng_record_run (request, outcome);
  eng_request_free (request);
}

static void
eng_caller_disconnected (void *arg)
{
  eng_request_finish (arg, "cancelled");
}

static void
eng_request_abort (struct eng_request *request, const char *outcome)
{
  struct http_exchange *exchange = request->exchange;

  http_on_disconnect (exchange, NULL, NULL);
  if (request->stream && request->next > request->first)
    http_stream_end (exchange, false);
  else
    stand_reply_abort (exchange);
  eng_request_finish (request, outcome);
}

static void
eng_request_start (struct eng_request *request)
{
  struct engine *engine = request->engine;
  const char *marker = stand_fault_text (&engine->faults, "crash_on");
  uint64_t prefill_us = engine->options->prefill_ms * eng_slow_factor (engine)
                        * STAND_US_PER_MS;

  if (marker[0] != '\0' && strstr (request->prompt, marker) != NULL)
    {
      eng_log_request (request, "crashes");
      _exit (ENG_CRASH_STATUS);
    }
  eng_log_request (request, "started");
  if (eng_prefix_use (engine, request))
    prefill_us /= ENG_CACHED_PREFILL_DIVISOR;
  request->started = true;
  request->prefilled_us = stand_now_us () + prefill_us;
  request->model->running++;
  g_ptr_array_add (engine->running, request);
}

/* Start the first queued request, or refuse it if its model is no longer
   loaded.  */
static void
eng_start_next (struct engine *engine)
{
  GSequenceIter *first = g_sequence_get_begin_iter (engine->waiting);
  struct eng_request *request = g_sequence_get (first);
  struct eng_model *model = eng_model_find_serving (engine, request->name);

  if (model != NULL)
    {
      request->model = model;
      g_sequence_remove (first);
      request->waiting = NULL;
      eng_request_start (request);
      return;
    }
  http_on_disconnect (request->exchange, NULL, NULL);
  eng_refuse (request->exchange, 503, "model not loaded");
  eng_request_finish (request, "refused");
}

static void
eng_fill_batch (struct engine *engine)
{
  while (engine->running->len < engine->options->batch
         && g_sequence_get_length (engine->waiting) > 0)
    eng_start_next (engine);
}

/* Add REQUEST to the queue, which is ordered by descending priority and then
   by arrival.  */
void
eng_enqueue (struct eng_request *request)
{
  struct engine *engine = request->engine;

  http_on_disconnect (request->exchange, eng_caller_disconnected, request);
  request->waiting = g_sequence_insert_sorted (engine->waiting, request,
                                               eng_request_compare, NULL);
  eng_fill_batch (engine);
  eng_schedule_step (engine);
}

/* Generate the next token of REQUEST once its prefill is complete.  */
static void
eng_request_advance (struct eng_request *request)
{
  int64_t cut_after
      = stand_fault_value (&request->engine->faults, "cut_after_tokens");
  char token[ANSWER_TOKEN_BYTES];

  if (http_peer_closed (request->exchange))
    {
      eng_request_abort (request, "cancelled");
      return;
    }
  if (stand_now_us () < request->prefilled_us)
    return;
  if (cut_after > 0 && request->next - request->first >= cut_after)
    {
      eng_request_abort (request, "cut");
      return;
    }
  if (request->next < request->max_tokens)
    {
      answer_token (request->seed, request->next, token);
      eng_write_token (request, token);
      request->next++;
    }
  if (request->next < request->max_tokens)
    return;
  eng_write_end (request);
  eng_request_finish (request, "whole");
}

static void
eng_check_disconnects (struct engine *engine)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (engine->waiting);

  while (!g_sequence_iter_is_end (iter))
    {
      struct eng_request *request = g_sequence_get (iter);

      iter = g_sequence_iter_next (iter);
      if (http_peer_closed (request->exchange))
        eng_request_abort (request, "cancelled");
    }
}

/* One step of continuous batching: generate a token for each running request
   and start queued requests in the free slots of the batch.  */
static void
eng_step (void *arg)
{
  struct engine *engine = arg;

  for (guint i = engine->running->len; i-- > 0;)
    eng_request_advance (engine->running->pdata[i]);
  if (++engine->steps % ENG_DISCONNECT_CHECK_STEPS == 0)
    eng_check_disconnects (engine);
  eng_fill_batch (engine);
  eng_schedule_step (engine);
}
