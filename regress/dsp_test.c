#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dsp.h"
#include "psn.h"
#include "rt.h"
#include "unit.h"

/* A seeded simulation of engines with all specified kinds of failure, which
   checks what each caller receives.  DSP_SEED and DSP_SEEDS set the first seed
   and the number of seeds.  */

#define ENDPOINTS      4
#define REQUESTS       60
#define EXECUTIONS_MAX 256
#define BATCH          3
#define PERCENT        5
#define MS             1000ULL

struct sim;

struct caller
{
  struct sim *sim;
  struct dsp_request *request; /* NULL: finished */
  uint32_t number;
  uint32_t total;        /* tokens in a complete response */
  uint32_t tokens;       /* received */
  uint64_t last_attempt; /* attempt that sent the last token */
  uint64_t due_us;       /* deadline */
  uint32_t outcomes;     /* terminal outcomes */
  bool poison;           /* crashes its endpoint */
  bool executed;         /* an engine has started it */
  bool launched;
  bool stream_ended;
  bool refused;
  bool reporting;
  bool can_resume;
  uint64_t resumable; /* the last attempt, which may resume the stream */
};

struct execution
{
  struct sim *sim;
  struct caller *caller;
  uint64_t attempt;
  uint32_t endpoint;
  uint32_t next_token;
  uint32_t fail_token; /* fails before this token */
  uint32_t gap_ms;
  uint32_t mode;
  bool used;
  bool cancelled;
  struct tm_timer timer;
};

struct sim
{
  struct tm_service *tm;
  gsl_rng *random;
  struct ctr_set *counters;
  struct dsp *dsp;
  struct caller callers[REQUESTS];
  struct execution executions[EXECUTIONS_MAX];
  uint64_t tickets[EXECUTIONS_MAX];
  uint32_t ticket_count;
  struct tm_timer ticket_timer;
  uint32_t started;
  uint32_t launches;
  uint32_t first_launches;
  uint32_t errors;
  bool leaving[ENDPOINTS];
  uint64_t sequence;
};

enum
{
  MODE_COMPLETE,
  MODE_PLAIN_RESPONSE,
  MODE_INTERRUPTED,
  MODE_CONNECT_FAILED,
  MODE_NOT_STARTED,
  MODE_SERVER_ERROR,
  MODE_ERROR_EVENT,
  MODE_HANG,
  MODE_DUPLICATE_END,
  MODE_COUNT
};

static void
report_error (struct sim *sim, const struct caller *caller, const char *what)
{
  sim->errors++;
  printf ("request %u at %llu ms: %s\n", caller->number,
          (unsigned long long)(tm_now_us (sim->tm) / MS), what);
}

static uint32_t
random_below (struct sim *sim, uint32_t below)
{
  return (uint32_t)gsl_rng_uniform_int (sim->random, below);
}

static void
check (struct sim *sim, const struct caller *caller, bool valid,
       const char *what)
{
  if (!valid)
    report_error (sim, caller, what);
}

static const char *
address_of (uint32_t endpoint)
{
  static const char *const addresses[ENDPOINTS]
      = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1" };

  return addresses[endpoint];
}

static void
engine_crash (struct sim *sim, uint32_t endpoint)
{
  for (uint32_t i = 0; i < EXECUTIONS_MAX; i++)
    {
      struct execution *e = &sim->executions[i];

      if (!e->used || e->cancelled || e->endpoint != endpoint)
        continue;
      tm_cancel (sim->tm, &e->timer);
      e->used = false;
      if (e->caller->request != NULL)
        dsp_attempt_failed (e->caller->request, e->attempt, RQ_CONNECTION_LOST,
                            true);
    }
}

/* Deliver an event, and sometimes also deliver it to a request to which the
   attempt does not belong, which must ignore it.  */
static void
deliver (struct execution *e, enum rq_event_kind kind)
{
  struct sim *sim = e->sim;
  struct caller *other = &sim->callers[random_below (sim, REQUESTS)];
  char text[64];

  g_snprintf (text, sizeof text, "%u.%u.%llu", e->caller->number,
              e->next_token, (unsigned long long)e->attempt);
  if (other != e->caller && other->request != NULL
      && random_below (sim, 8) == 0)
    dsp_event (other->request, e->attempt, kind, text, strlen (text));
  if (e->caller->request != NULL)
    dsp_event (e->caller->request, e->attempt, kind, text, strlen (text));
}

static void
engine_step (void *arg)
{
  struct execution *e = arg;
  struct sim *sim = e->sim;
  struct rq_response response = { .status = 200, .body = "" };
  struct dsp_request *request = e->caller->request;

  if (request == NULL && !e->cancelled)
    e->used = false;
  if (e->mode == MODE_HANG || !e->used)
    return;
  if (e->caller->poison && e->next_token >= e->fail_token)
    {
      engine_crash (sim, e->endpoint);
      return;
    }
  if (e->mode <= MODE_INTERRUPTED || e->mode >= MODE_ERROR_EVENT)
    {
      if (e->mode == MODE_INTERRUPTED && e->next_token >= e->fail_token)
        {
          e->used = false;
          if (request != NULL)
            dsp_attempt_failed (request, e->attempt, RQ_CONNECTION_LOST, true);
          return;
        }
      if (e->mode == MODE_PLAIN_RESPONSE && request != NULL
          && e->caller->tokens == 0 && e->next_token == 0)
        {
          e->used = false;
          dsp_response (request, e->attempt, &response);
          return;
        }
      if (e->mode == MODE_ERROR_EVENT && e->next_token >= e->fail_token)
        deliver (e, RQ_EVENT_ERROR);
      else if (e->next_token < e->caller->total)
        deliver (e, RQ_EVENT_TOKEN);
      else
        {
          deliver (e, RQ_EVENT_END);
          if (e->mode == MODE_DUPLICATE_END)
            deliver (e, RQ_EVENT_END);
          e->used = false;
          return;
        }
      if (e->next_token++ < e->caller->total && e->used)
        tm_after (sim->tm, &e->timer, e->gap_ms * MS, engine_step, e);
      return;
    }
  e->used = false;
  response.status = e->mode == MODE_NOT_STARTED ? 503 : 500;
  response.not_started = e->mode == MODE_NOT_STARTED;
  if (request == NULL)
    return;
  if (e->mode == MODE_CONNECT_FAILED)
    dsp_attempt_failed (request, e->attempt, RQ_CONNECT_FAILED, false);
  else
    dsp_response (request, e->attempt, &response);
}

static uint32_t
suspects_on (struct sim *sim, uint32_t endpoint)
{
  return psn_suspects_at (dsp_suspicions (sim->dsp), address_of (endpoint));
}

static void
on_launch (void *owner, const struct dsp_launch *launch)
{
  struct caller *caller = owner;
  struct sim *sim = caller->sim;
  struct execution *e = sim->executions;
  uint32_t endpoint = (uint32_t)(launch->address[7] - '1');

  while (e->used)
    e++;
  *e = (struct execution){ .sim = sim,
                           .caller = caller,
                           .attempt = launch->attempt,
                           .endpoint = endpoint,
                           .next_token = launch->resume_from,
                           .used = true };
  e->mode
      = random_below (sim, 2) ? MODE_COMPLETE : random_below (sim, MODE_COUNT);
  e->gap_ms = 1 + random_below (sim, random_below (sim, 5) == 0 ? 400 : 30);
  e->fail_token = random_below (sim, caller->total + 1);
  check (sim, caller, !sim->leaving[endpoint], "sent to a leaving endpoint");
  check (sim, caller, launch->resume_from == caller->tokens,
         "resumed at a wrong token");
  check (sim, caller, launch->resume_from == 0 || caller->can_resume,
         "resumed although the engine cannot");
  sim->launches++;
  if (e->mode != MODE_CONNECT_FAILED && e->mode != MODE_NOT_STARTED)
    caller->executed = true;
  if (!caller->launched)
    sim->first_launches++;
  caller->launched = true;
  check (sim, caller, !caller->reporting,
         "retried before the peers acknowledged the crash");
  check (sim, caller,
         rt_find_endpoint (dsp_routes (sim->dsp), launch->address)->in_flight
             <= BATCH,
         "more in flight than the batch holds");
  if (psn_crashes (dsp_suspicions (sim->dsp), caller->number + 1) > 0)
    check (sim, caller, suspects_on (sim, endpoint) <= 1,
           "two suspects on one engine");
  check (sim, caller,
         psn_crashes (dsp_suspicions (sim->dsp), caller->number + 1) < 2,
         "sent after two crashes");
  caller->resumable = launch->attempt;
  tm_after (sim->tm, &e->timer, e->gap_ms * MS, engine_step, e);
}

static void
on_cancel (void *owner, uint64_t attempt)
{
  const struct caller *caller = owner;
  struct sim *sim = caller->sim;

  /* The engine continues for a while: its late events must be ignored.  */
  for (uint32_t i = 0; i < EXECUTIONS_MAX; i++)
    if (sim->executions[i].used && sim->executions[i].attempt == attempt)
      sim->executions[i].cancelled = true;
}

static void
on_send (void *owner, const char *data, size_t bytes)
{
  struct caller *caller = owner;
  struct sim *sim = caller->sim;
  unsigned number = 0;
  unsigned token = 0;
  unsigned long long attempt = 0;
  char text[64];

  g_snprintf (text, sizeof text, "%.*s", (int)bytes, data);
  if (sscanf (text, "%u.%u.%llu", &number, &token, &attempt) != 3)
    report_error (sim, caller, "unreadable data");
  check (sim, caller, number == caller->number, "data of another request");
  check (sim, caller, token == caller->tokens, "token out of order");
  check (sim, caller,
         caller->tokens == 0 || attempt == caller->last_attempt
             || attempt == caller->resumable,
         "tokens of two attempts mixed");
  check (sim, caller, caller->outcomes == 0 && !caller->stream_ended,
         "data after the end");
  caller->last_attempt = attempt;
  if (token == caller->total)
    caller->stream_ended = true;
  else
    caller->tokens++;
}

static void
on_response (void *owner, const struct rq_response *response)
{
  struct caller *caller = owner;

  check (caller->sim, caller, response->status == 200 && caller->tokens == 0,
         "plain response after tokens");
  caller->stream_ended = true;
}

static void
on_refuse (void *owner, enum rsn_refusal reason, bool not_run, bool started)
{
  struct caller *caller = owner;
  struct sim *sim = caller->sim;

  check (sim, caller, !caller->refused, "refused twice");
  check (sim, caller, !not_run || !caller->executed,
         "marked as not run, but an engine had started it");
  check (sim, caller, not_run || !rsn_never_started (reason),
         "reason says never started");
  check (sim, caller, started == (caller->tokens > 0),
         "refusal in the wrong form");
  caller->refused = true;
}

static void
on_done (void *owner, enum rq_outcome outcome)
{
  struct caller *caller = owner;
  struct sim *sim = caller->sim;

  caller->outcomes++;
  caller->request = NULL;
  check (sim, caller, tm_now_us (sim->tm) <= caller->due_us,
         "ended after its deadline");
  check (sim, caller, (outcome == RQ_DELIVERED) == caller->stream_ended,
         "outcome and response differ");
  check (sim, caller,
         caller->refused == (outcome == RQ_REFUSED || outcome == RQ_TRUNCATED),
         "outcome and refusal differ");
}

static void
ack_reports (void *arg)
{
  struct sim *sim = arg;

  while (sim->ticket_count > 0)
    {
      uint64_t ticket = sim->tickets[--sim->ticket_count];

      for (uint32_t i = 0; i < REQUESTS; i++)
        sim->callers[i].reporting = false;
      dsp_report_acked (sim->dsp, ticket);
    }
}

static void
on_suspects (void *arg, const struct dsp_suspect *suspects, uint32_t count,
             uint64_t ticket)
{
  struct sim *sim = arg;

  for (uint32_t i = 0; ticket != 0 && i < count; i++)
    if (suspects[i].crashes > 0)
      sim->callers[suspects[i].fingerprint - 1].reporting
          = suspects[i].fingerprint - 1 < REQUESTS
            && sim->callers[suspects[i].fingerprint - 1].resumable == ticket;
  if (ticket == 0)
    return;
  sim->tickets[sim->ticket_count++] = ticket;
  tm_after (sim->tm, &sim->ticket_timer, 5 * MS, ack_reports, sim);
}

static void
on_probe (void *arg, const char *address, const char *model)
{
  struct sim *sim = arg;

  (void)model;
  dsp_probe_done (sim->dsp, address, true, random_below (sim, 60) * MS);
}

static void
on_ejected (void *arg, const char *address, bool ejected)
{
  (void)arg;
  (void)address;
  (void)ejected;
}

static void
on_unreachable (void *arg, const char *address)
{
  struct sim *sim = arg;

  sim->leaving[address[7] - '1'] = true;
  dsp_set_leaving (sim->dsp, address, true);
}

static void
on_demand (void *arg, const struct adm_demand *demands, uint32_t count)
{
  (void)arg;
  (void)demands;
  (void)count;
}

static void
change_view (struct sim *sim)
{
  struct vw_view *view = vw_new ("z", 1, ++sim->sequence);

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    vw_add (view, "m", address_of (i),
            random_below (sim, 4)
                ? VW_READY
                : (enum vw_state)random_below (sim, VW_BLOCKED + 1),
            tm_now_us (sim->tm) + random_below (sim, 3000) * MS);
  dsp_apply_view (sim->dsp, view);
  vw_free (view);
}

static void
add_request (struct sim *sim)
{
  uint32_t number = sim->started++;
  struct caller *caller = &sim->callers[number];
  struct dsp_spec spec
      = { .model = "m",
          .pool = "p",
          .class_name = random_below (sim, 3) ? "short" : "long",
          .priority = (int32_t)random_below (sim, 3),
          .deadline_ms = 50 + random_below (sim, 3000),
          .first_token_ms = random_below (sim, 100),
          .expected_ms = 20 + random_below (sim, 200),
          .stream = true,
          .can_resume = random_below (sim, 2) == 0,
          .fingerprint = number + 1,
          .prefix = random_below (sim, 5) };

  caller->sim = sim;
  caller->number = number;
  caller->total = 1 + random_below (sim, 12);
  caller->poison = random_below (sim, 20) == 0;
  caller->can_resume = spec.can_resume;
  caller->due_us = tm_now_us (sim->tm) + spec.deadline_ms * MS;
  caller->request = dsp_request_new (sim->dsp, &spec, caller);
  dsp_request_start (caller->request);
}

static void
inject_fault (struct sim *sim)
{
  struct caller *caller = &sim->callers[random_below (sim, REQUESTS)];
  uint32_t endpoint = random_below (sim, ENDPOINTS);

  switch (random_below (sim, 8))
    {
    case 0:
      change_view (sim);
      break;
    case 1:
      sim->leaving[endpoint] = !sim->leaving[endpoint];
      dsp_set_leaving (sim->dsp, address_of (endpoint),
                       sim->leaving[endpoint]);
      break;
    case 2:
      (void)dsp_quiesce (sim->dsp, "m", address_of (endpoint));
      break;
    case 3:
      if (caller->request != NULL && random_below (sim, 2))
        dsp_caller_disconnected (caller->request);
      break;
    case 4:
      engine_crash (sim, endpoint);
      break;
    default:
      dsp_report_load (sim->dsp, address_of (endpoint), random_below (sim, 9),
                       0, 100);
    }
}

static void
check_final_state (struct sim *sim)
{
  uint32_t retries = sim->launches - sim->first_launches;

  for (uint32_t i = 0; i < REQUESTS; i++)
    if (sim->callers[i].outcomes != 1)
      report_error (sim, &sim->callers[i], "not exactly one outcome");
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      const struct rt_endpoint *e
          = rt_endpoint (dsp_routes (sim->dsp), address_of (i));

      if (e->in_flight != 0 || e->stragglers != 0 || suspects_on (sim, i) != 0)
        report_error (sim, &sim->callers[0], "load not released at the end");
    }
  /* The budget of each of the two classes has a minimum of 5 retries, which
     are replenished at 0.2 per second over 5 s.  */
  if (retries > REQUESTS * PERCENT / 100.0 + 10 + 2 * 0.2 * 5)
    report_error (sim, &sim->callers[0], "retry budget exceeded");
}

static const struct dsp_actions actions
    = { on_launch,   on_cancel, on_send,    on_response,    on_refuse, on_done,
        on_suspects, on_probe,  on_ejected, on_unreachable, on_demand };

static uint32_t
run_seed (unsigned long seed)
{
  struct sim *sim = g_new0 (struct sim, 1);
  uint32_t errors;

  sim->tm = tm_new (1000000);
  sim->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (sim->random, seed);
  sim->counters = ctr_new ();
  sim->dsp = dsp_new (sim->tm, sim->random, sim->counters, &actions, sim);
  dsp_set_limits (sim->dsp, 20, PERCENT);
  dsp_configure_begin (sim->dsp);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    dsp_add_endpoint (sim->dsp, address_of (i), "p", BATCH);
  dsp_add_model (sim->dsp, "m", ENDPOINTS);
  dsp_configure_end (sim->dsp);
  while (sim->started < REQUESTS)
    {
      if (random_below (sim, 3))
        add_request (sim);
      else
        inject_fault (sim);
      tm_advance (sim->tm, tm_now_us (sim->tm) + random_below (sim, 40) * MS);
    }
  tm_advance (sim->tm, tm_now_us (sim->tm) + 10000 * MS);
  check_final_state (sim);
  errors = sim->errors;
  if (errors > 0)
    printf ("seed %lu: %u errors\n", seed, errors);
  dsp_free (sim->dsp);
  ctr_free (sim->counters);
  gsl_rng_free (sim->random);
  tm_free (sim->tm);
  g_free (sim);
  return errors;
}

/* Guards against lost, duplicated or mixed responses, refusals that are
   wrongly marked as not run, missed deadlines, overloaded engines and repeated
   crashes, for all kinds and orders of failures.  */
static void
test_seeds (void)
{
  const char *first = getenv ("DSP_SEED");
  const char *count = getenv ("DSP_SEEDS");
  unsigned long from = first == NULL ? 1 : strtoul (first, NULL, 10);
  unsigned long seeds = count == NULL ? 500 : strtoul (count, NULL, 10);
  uint32_t failed = 0;

  for (unsigned long seed = from; seed < from + seeds; seed++)
    if (run_seed (seed) > 0)
      failed++;
  printf (" %u of %lu seeds failed ", failed, seeds);
  CU_ASSERT_EQUAL (failed, 0);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "seeds", test_seeds }, { NULL, NULL } };

  return unit_main ("dsp", tests);
}
