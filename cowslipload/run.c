#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "run.h"

#define LD_US_PER_S             1000000U
#define LD_US_PER_MS            1000U
#define LD_PERCENT              100.0
#define LD_REPEAT_DELAY_MAX_MS  50U
#define LD_PROGRESS_INTERVAL_US LD_US_PER_S

static void ld_on_arrival_due (void *arg);

static void
ld_repeat_due (void *arg)
{
  ld_request_send (arg);
}

static void
ld_count_sent (struct ld_run *run, struct ld_request *request)
{
  run->sent++;
  run->in_flight++;
  request->tally->sent++;
  ld_tally_second (request->tally, request->due_us - run->start_us)->sent++;
}

/* Send repeat_percent of the calls with a key a second time within 50 ms, like
   a caller that retries without waiting for the response.  */
static void
ld_maybe_repeat (struct ld_run *run, const struct ld_request *first)
{
  struct ld_request *second;

  if (first->key == NULL || first->mix->repeat_percent <= 0
      || gsl_rng_uniform (run->random) * LD_PERCENT
             >= first->mix->repeat_percent)
    return;
  second = ld_request_repeat (first);
  ld_count_sent (run, second);
  tm_after (run->tm, &second->resend,
            gsl_rng_uniform_int (run->random, LD_REPEAT_DELAY_MAX_MS)
                * LD_US_PER_MS,
            ld_repeat_due, second);
}

/* Start the request that is due.  Its latency counts from the planned arrival,
   so that delays in the load tool or in the system are not hidden.  */
static void
ld_start_request (struct ld_run *run)
{
  struct ld_request *request;

  if (run->in_flight >= run->experiment->in_flight_max)
    {
      run->not_sent++;
      return;
    }
  request = ld_request_new (run, run->next_mix,
                            run->start_us + run->next_arrival_us);
  ld_count_sent (run, request);
  ld_maybe_repeat (run, request);
  ld_request_send (request);
}

static void
ld_next_arrival (struct ld_run *run)
{
  if (run->sent + run->not_sent >= run->experiment->requests_max
      || !ld_arrivals_next (run->arrivals, &run->next_arrival_us,
                            &run->next_mix))
    run->arrivals_done = true;
}

static void
ld_on_arrival_due (void *arg)
{
  struct ld_run *run = arg;
  uint64_t now_us = tm_now_us (run->tm) - run->start_us;

  while (!run->arrivals_done && run->next_arrival_us <= now_us)
    {
      ld_start_request (run);
      ld_next_arrival (run);
    }
  if (run->arrivals_done)
    ld_run_stop_if_done (run);
  else
    tm_after (run->tm, &run->arrival, run->next_arrival_us - now_us,
              ld_on_arrival_due, run);
}

static uint64_t
ld_sum (const GPtrArray *tallies, size_t offset)
{
  uint64_t sum = 0;

  for (guint i = 0; i < tallies->len; i++)
    sum += *(const uint64_t *)(const void *)((char *)tallies->pdata[i]
                                             + offset);
  return sum;
}

static void
ld_print_progress (void *arg)
{
  struct ld_run *run = arg;

  fprintf (stderr,
           "\r%3" PRIu64 " s: sent %" PRIu64 ", in flight %" PRIu64
           ", whole %" PRIu64 ", lost %" PRIu64 " ",
           (tm_now_us (run->tm) - run->start_us) / LD_US_PER_S, run->sent,
           run->in_flight,
           ld_sum (run->tallies, offsetof (struct ld_tally, complete)),
           ld_sum (run->tallies, offsetof (struct ld_tally, lost)));
  tm_after (run->tm, &run->progress, LD_PROGRESS_INTERVAL_US,
            ld_print_progress, run);
}

/* Stop the loop of RUN after the last arrival when no request is in flight. */
void
ld_run_stop_if_done (struct ld_run *run)
{
  if (!run->arrivals_done || run->in_flight > 0)
    return;
  tm_cancel (run->tm, &run->progress);
  uv_stop (&run->loop);
}

static void
ld_on_interrupt (uv_signal_t *signal, int number)
{
  struct ld_run *run = signal->data;

  (void)number;
  run->arrivals_done = true;
  tm_cancel (run->tm, &run->arrival);
  ld_run_stop_if_done (run);
}

static void
ld_create_tallies (const struct ld_experiment *experiment, GPtrArray *tallies)
{
  for (guint i = 0; i < experiment->mix->len; i++)
    {
      const struct ld_mix *mix = experiment->mix->pdata[i];
      guint index = 0;

      while (index < tallies->len
             && strcmp (((struct ld_tally *)tallies->pdata[index])->name,
                        mix->tally)
                    != 0)
        index++;
      if (index == tallies->len)
        g_ptr_array_add (tallies, ld_tally_new (mix->tally));
    }
}

/* A line holds a key, the run whose answer was received (0: none), the number
   of calls with the key and the number of refusals as not run.  */
static void
ld_write_keys (const struct ld_run *run, FILE *out)
{
  GHashTableIter iter;
  gpointer value;

  fputs ("key,run,sends,not_run\n", out);
  g_hash_table_iter_init (&iter, run->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ld_key *key = value;

      fprintf (out, "%s,%" PRIu64 ",%u,%u\n", key->text, key->run, key->sends,
               key->not_run);
    }
}

static void
ld_run_init (struct ld_run *run, const struct ld_experiment *experiment,
             GPtrArray *tallies)
{
  run->experiment = experiment;
  run->tallies = tallies;
  run->keys = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  run->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (run->random, experiment->seed);
  uv_loop_init (&run->loop);
  tm_uv_start (&run->driver, &run->loop);
  run->tm = run->driver.service;
  run->client = http_client_new (&run->loop, run->tm);
  uv_signal_init (&run->loop, &run->interrupt);
  run->interrupt.data = run;
  uv_signal_start (&run->interrupt, ld_on_interrupt, SIGINT);
  ld_create_tallies (experiment, tallies);
}

static void
ld_run_clear (struct ld_run *run)
{
  ld_targets_free (run->targets);
  ld_arrivals_free (run->arrivals);
  g_hash_table_destroy (run->keys);
  gsl_rng_free (run->random);
}

/* Run EXPERIMENT, add one tally per class to TALLIES and write to OUTPUTS.
   Return false and set ERROR if the experiment cannot run.  */
bool
ld_run (const struct ld_experiment *experiment, GPtrArray *tallies,
        const struct ld_outputs *outputs, GError **error)
{
  static struct ld_run run;

  ld_run_init (&run, experiment, tallies);
  run.arrivals = ld_arrivals_new (experiment, run.random, error);
  if (run.arrivals == NULL)
    return false;
  run.outputs = outputs;
  if (outputs->trace != NULL)
    fputs ("due_us,class,model,long,outcome,first_ms,total_ms,deadline_ms\n",
           outputs->trace);
  run.targets = ld_targets_new (run.client, run.tm, experiment->targets,
                                experiment->follow_ready);
  run.start_us = tm_now_us (run.tm);
  ld_next_arrival (&run);
  tm_after (run.tm, &run.arrival, 0, ld_on_arrival_due, &run);
  if (isatty (STDERR_FILENO))
    tm_after (run.tm, &run.progress, LD_PROGRESS_INTERVAL_US,
              ld_print_progress, &run);
  uv_run (&run.loop, UV_RUN_DEFAULT);
  if (isatty (STDERR_FILENO))
    fputc ('\n', stderr);
  if (run.not_sent > 0)
    fprintf (stderr, "%" PRIu64 " requests not sent: in_flight_max reached\n",
             run.not_sent);
  if (outputs->keys != NULL)
    ld_write_keys (&run, outputs->keys);
  ld_run_clear (&run);
  return true;
}
