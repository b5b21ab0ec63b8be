#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dsp.h"
#include "psn.h"
#include "rt.h"
#include "unit.h"

/* A seeded simulation of engines that fail in every way that the design names,
   with a checker of what each caller sees.  DSP_SEED and DSP_SEEDS choose the
   first seed and the number of seeds.  */

#define ENDPOINTS 4
#define REQUESTS  60
#define EVENTS    256
#define BATCH     3
#define PERCENT   5
#define MS        1000ULL

struct world;

struct caller
{
  struct world *world;
  struct dsp_request *request; /* NULL: over */
  uint32_t number;
  uint32_t total;  /* tokens in a whole answer */
  uint32_t tokens; /* received */
  uint64_t source; /* attempt that sent the last token */
  uint64_t due_us; /* deadline */
  uint32_t ends;   /* terminal outcomes */
  bool poison;     /* crashes its endpoint */
  bool ran;        /* truth: an engine began to work on it */
  bool launched;
  bool end_seen;
  bool refused;
  bool reporting;
  bool can_resume;
  uint64_t resumable; /* the attempt that may go on, by resume */
};

struct event
{
  struct world *world;
  struct caller *caller;
  uint64_t attempt;
  uint32_t endpoint;
  uint32_t next; /* token */
  uint32_t cut;  /* breaks before this token */
  uint32_t gap_ms;
  uint32_t fate;
  bool used;
  bool cancelled;
  struct tm_timer timer;
};

struct world
{
  struct tm_service *tm;
  gsl_rng *random;
  struct ctr_set *counters;
  struct dsp *dsp;
  struct caller callers[REQUESTS];
  struct event events[EVENTS];
  uint64_t tickets[EVENTS];
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
  FATE_WHOLE,
  FATE_PLAIN,
  FATE_CUT,
  FATE_CONNECT,
  FATE_NOT_STARTED,
  FATE_SERVER_ERROR,
  FATE_EVENT_ERROR,
  FATE_HANG,
  FATE_DOUBLE_END,
  FATE_COUNT
};

static void
wrong (struct world *world, const struct caller *caller, const char *what)
{
  world->errors++;
  printf ("request %u at %llu ms: %s\n", caller->number,
          (unsigned long long)(tm_now_us (world->tm) / MS), what);
}

static uint32_t
draw (struct world *world, uint32_t below)
{
  return (uint32_t)gsl_rng_uniform_int (world->random, below);
}

static void
check_that (struct world *world, const struct caller *caller, bool right,
            const char *what)
{
  if (!right)
    wrong (world, caller, what);
}

static const char *
address_of (uint32_t endpoint)
{
  static const char *const addresses[ENDPOINTS]
      = { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1" };

  return addresses[endpoint];
}

static void
engine_crash (struct world *world, uint32_t endpoint)
{
  for (uint32_t i = 0; i < EVENTS; i++)
    {
      struct event *e = &world->events[i];

      if (!e->used || e->cancelled || e->endpoint != endpoint)
        continue;
      tm_cancel (world->tm, &e->timer);
      e->used = false;
      if (e->caller->request != NULL)
        dsp_attempt_failed (e->caller->request, e->attempt, RQ_CONNECTION_LOST,
                            true);
    }
}

/* Late and crossed events must change nothing.  */
static void
deliver (struct event *e, enum rq_event_kind kind)
{
  struct world *world = e->world;
  struct caller *other = &world->callers[draw (world, REQUESTS)];
  char text[64];

  g_snprintf (text, sizeof text, "%u.%u.%llu", e->caller->number, e->next,
              (unsigned long long)e->attempt);
  if (other != e->caller && other->request != NULL && draw (world, 8) == 0)
    dsp_event (other->request, e->attempt, kind, text, strlen (text));
  if (e->caller->request != NULL)
    dsp_event (e->caller->request, e->attempt, kind, text, strlen (text));
}

static void
engine_step (void *arg)
{
  struct event *e = arg;
  struct world *world = e->world;
  struct rq_answer answer = { .status = 200, .body = "" };
  struct dsp_request *request = e->caller->request;

  if (request == NULL && !e->cancelled)
    e->used = false;
  if (e->fate == FATE_HANG || !e->used)
    return;
  if (e->caller->poison && e->next >= e->cut)
    {
      engine_crash (world, e->endpoint);
      return;
    }
  if (e->fate <= FATE_CUT || e->fate >= FATE_EVENT_ERROR)
    {
      if (e->fate == FATE_CUT && e->next >= e->cut)
        {
          e->used = false;
          if (request != NULL)
            dsp_attempt_failed (request, e->attempt, RQ_CONNECTION_LOST, true);
          return;
        }
      if (e->fate == FATE_PLAIN && request != NULL && e->caller->tokens == 0
          && e->next == 0)
        {
          e->used = false;
          dsp_answer (request, e->attempt, &answer);
          return;
        }
      if (e->fate == FATE_EVENT_ERROR && e->next >= e->cut)
        deliver (e, RQ_EVENT_ERROR);
      else if (e->next < e->caller->total)
        deliver (e, RQ_EVENT_TOKEN);
      else
        {
          deliver (e, RQ_EVENT_END);
          if (e->fate == FATE_DOUBLE_END)
            deliver (e, RQ_EVENT_END);
          e->used = false;
          return;
        }
      if (e->next++ < e->caller->total && e->used)
        tm_after (world->tm, &e->timer, e->gap_ms * MS, engine_step, e);
      return;
    }
  e->used = false;
  answer.status = e->fate == FATE_NOT_STARTED ? 503 : 500;
  answer.not_started = e->fate == FATE_NOT_STARTED;
  if (request == NULL)
    return;
  if (e->fate == FATE_CONNECT)
    dsp_attempt_failed (request, e->attempt, RQ_CONNECT_FAILED, false);
  else
    dsp_answer (request, e->attempt, &answer);
}

static uint32_t
suspects_on (struct world *world, uint32_t endpoint)
{
  return psn_suspects_at (dsp_suspicions (world->dsp), address_of (endpoint));
}

static void
on_launch (void *owner, const struct dsp_launch *launch)
{
  struct caller *caller = owner;
  struct world *world = caller->world;
  struct event *e = world->events;
  uint32_t endpoint = (uint32_t)(launch->address[7] - '1');

  while (e->used)
    e++;
  *e = (struct event){ .world = world,
                       .caller = caller,
                       .attempt = launch->attempt,
                       .endpoint = endpoint,
                       .next = launch->resume_from,
                       .used = true };
  e->fate = draw (world, 2) ? FATE_WHOLE : draw (world, FATE_COUNT);
  e->gap_ms = 1 + draw (world, draw (world, 5) == 0 ? 400 : 30);
  e->cut = draw (world, caller->total + 1);
  check_that (world, caller, !world->leaving[endpoint],
              "sent to a leaving endpoint");
  check_that (world, caller, launch->resume_from == caller->tokens,
              "resumed at a wrong token");
  check_that (world, caller, launch->resume_from == 0 || caller->can_resume,
              "resumed although the engine cannot");
  world->launches++;
  if (e->fate != FATE_CONNECT && e->fate != FATE_NOT_STARTED)
    caller->ran = true;
  if (!caller->launched)
    world->first_launches++;
  caller->launched = true;
  check_that (world, caller, !caller->reporting,
              "repeated before the peers knew of the crash");
  check_that (
      world, caller,
      rt_find_endpoint (dsp_routes (world->dsp), launch->address)->in_flight
          <= BATCH,
      "more in flight than the batch holds");
  if (psn_crashes (dsp_suspicions (world->dsp), caller->number + 1) > 0)
    check_that (world, caller, suspects_on (world, endpoint) <= 1,
                "two suspects on one engine");
  check_that (world, caller,
              psn_crashes (dsp_suspicions (world->dsp), caller->number + 1)
                  < 2,
              "sent out after two crashes");
  caller->resumable = launch->attempt;
  tm_after (world->tm, &e->timer, e->gap_ms * MS, engine_step, e);
}

static void
on_cancel (void *owner, uint64_t attempt)
{
  const struct caller *caller = owner;
  struct world *world = caller->world;

  /* The engine goes on for a while: its late events must be ignored.  */
  for (uint32_t i = 0; i < EVENTS; i++)
    if (world->events[i].used && world->events[i].attempt == attempt)
      world->events[i].cancelled = true;
}

static void
on_send (void *owner, const char *data, size_t bytes)
{
  struct caller *caller = owner;
  struct world *world = caller->world;
  unsigned number = 0;
  unsigned token = 0;
  unsigned long long attempt = 0;
  char text[64];

  g_snprintf (text, sizeof text, "%.*s", (int)bytes, data);
  if (sscanf (text, "%u.%u.%llu", &number, &token, &attempt) != 3)
    wrong (world, caller, "unreadable data");
  check_that (world, caller, number == caller->number,
              "answer of another request");
  check_that (world, caller, token == caller->tokens, "token out of order");
  check_that (world, caller,
              caller->tokens == 0 || attempt == caller->source
                  || attempt == caller->resumable,
              "parts of two attempts mixed");
  check_that (world, caller, caller->ends == 0 && !caller->end_seen,
              "data after the end");
  caller->source = attempt;
  if (token == caller->total)
    caller->end_seen = true;
  else
    caller->tokens++;
}

static void
on_answer (void *owner, const struct rq_answer *answer)
{
  struct caller *caller = owner;

  check_that (caller->world, caller,
              answer->status == 200 && caller->tokens == 0,
              "plain answer after tokens");
  caller->end_seen = true;
}

static void
on_refuse (void *owner, enum rsn_refusal reason, bool not_run, bool started)
{
  struct caller *caller = owner;
  struct world *world = caller->world;

  check_that (world, caller, !caller->refused, "refused twice");
  check_that (world, caller, !not_run || !caller->ran,
              "called not run, but an engine had begun");
  check_that (world, caller, not_run || !rsn_never_started (reason),
              "reason says never started");
  check_that (world, caller, started == (caller->tokens > 0),
              "refusal in the wrong form");
  caller->refused = true;
}

static void
on_done (void *owner, enum rq_outcome outcome)
{
  struct caller *caller = owner;
  struct world *world = caller->world;

  caller->ends++;
  caller->request = NULL;
  check_that (world, caller, tm_now_us (world->tm) <= caller->due_us,
              "ended after its deadline");
  check_that (world, caller, (outcome == RQ_DELIVERED) == caller->end_seen,
              "outcome and answer differ");
  check_that (world, caller,
              caller->refused == (outcome == RQ_REFUSED || outcome == RQ_CUT),
              "outcome and refusal differ");
}

static void
tell_peers (void *arg)
{
  struct world *world = arg;

  while (world->ticket_count > 0)
    {
      uint64_t ticket = world->tickets[--world->ticket_count];

      for (uint32_t i = 0; i < REQUESTS; i++)
        world->callers[i].reporting = false;
      dsp_report_acked (world->dsp, ticket);
    }
}

static void
on_suspects (void *arg, const struct dsp_suspect *suspects, uint32_t count,
             uint64_t ticket)
{
  struct world *world = arg;

  for (uint32_t i = 0; ticket != 0 && i < count; i++)
    if (suspects[i].crashes > 0)
      world->callers[suspects[i].fingerprint - 1].reporting
          = suspects[i].fingerprint - 1 < REQUESTS
            && world->callers[suspects[i].fingerprint - 1].resumable == ticket;
  if (ticket == 0)
    return;
  world->tickets[world->ticket_count++] = ticket;
  tm_after (world->tm, &world->ticket_timer, 5 * MS, tell_peers, world);
}

static void
on_probe (void *arg, const char *address, const char *model)
{
  struct world *world = arg;

  (void)model;
  dsp_probe_done (world->dsp, address, true, draw (world, 60) * MS);
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
  struct world *world = arg;

  world->leaving[address[7] - '1'] = true;
  dsp_set_leaving (world->dsp, address, true);
}

static void
on_demand (void *arg, const struct adm_demand *demands, uint32_t count)
{
  (void)arg;
  (void)demands;
  (void)count;
}

static void
change_view (struct world *world)
{
  struct vw_view *view = vw_new ("z", 1, ++world->sequence);

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    vw_add (view, "m", address_of (i),
            draw (world, 4) ? VW_READY
                            : (enum vw_state)draw (world, VW_BLOCKED + 1),
            tm_now_us (world->tm) + draw (world, 3000) * MS);
  dsp_apply_view (world->dsp, view);
  vw_free (view);
}

static void
arrive (struct world *world)
{
  uint32_t number = world->started++;
  struct caller *caller = &world->callers[number];
  struct dsp_spec spec = { .model = "m",
                           .pool = "p",
                           .class_name = draw (world, 3) ? "short" : "long",
                           .priority = (int32_t)draw (world, 3),
                           .deadline_ms = 50 + draw (world, 3000),
                           .first_token_ms = draw (world, 100),
                           .expected_ms = 20 + draw (world, 200),
                           .stream = true,
                           .can_resume = draw (world, 2) == 0,
                           .fingerprint = number + 1,
                           .prefix = draw (world, 5) };

  caller->world = world;
  caller->number = number;
  caller->total = 1 + draw (world, 12);
  caller->poison = draw (world, 20) == 0;
  caller->can_resume = spec.can_resume;
  caller->due_us = tm_now_us (world->tm) + spec.deadline_ms * MS;
  caller->request = dsp_request_new (world->dsp, &spec, caller);
  dsp_request_start (caller->request);
}

static void
disturb (struct world *world)
{
  struct caller *caller = &world->callers[draw (world, REQUESTS)];
  uint32_t endpoint = draw (world, ENDPOINTS);

  switch (draw (world, 8))
    {
    case 0:
      change_view (world);
      break;
    case 1:
      world->leaving[endpoint] = !world->leaving[endpoint];
      dsp_set_leaving (world->dsp, address_of (endpoint),
                       world->leaving[endpoint]);
      break;
    case 2:
      (void)dsp_quiesce (world->dsp, "m", address_of (endpoint));
      break;
    case 3:
      if (caller->request != NULL && draw (world, 2))
        dsp_caller_disconnected (caller->request);
      break;
    case 4:
      engine_crash (world, endpoint);
      break;
    default:
      dsp_report_load (world->dsp, address_of (endpoint), draw (world, 9), 0,
                       100);
    }
}

static void
check_rest (struct world *world)
{
  uint32_t spent = world->launches - world->first_launches;

  for (uint32_t i = 0; i < REQUESTS; i++)
    if (world->callers[i].ends != 1)
      wrong (world, &world->callers[i], "not exactly one outcome");
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      const struct rt_endpoint *e
          = rt_endpoint (dsp_routes (world->dsp), address_of (i));

      if (e->in_flight != 0 || e->stragglers != 0
          || suspects_on (world, i) != 0)
        wrong (world, &world->callers[0], "load left behind at the end");
    }
  /* Two classes with a floor of 5 tokens, and 0.2 more each second for 5 s. */
  if (spent > REQUESTS * PERCENT / 100.0 + 10 + 2 * 0.2 * 5)
    wrong (world, &world->callers[0], "retry budget exceeded");
}

static const struct dsp_actions actions
    = { on_launch,   on_cancel, on_send,    on_answer,      on_refuse, on_done,
        on_suspects, on_probe,  on_ejected, on_unreachable, on_demand };

static uint32_t
run_seed (unsigned long seed)
{
  struct world *world = g_new0 (struct world, 1);
  uint32_t errors;

  world->tm = tm_new (1000000);
  world->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->random, seed);
  world->counters = ctr_new ();
  world->dsp
      = dsp_new (world->tm, world->random, world->counters, &actions, world);
  dsp_set_limits (world->dsp, 20, PERCENT);
  dsp_configure_begin (world->dsp);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    dsp_add_endpoint (world->dsp, address_of (i), "p", BATCH);
  dsp_add_model (world->dsp, "m", ENDPOINTS);
  dsp_configure_end (world->dsp);
  while (world->started < REQUESTS)
    {
      if (draw (world, 3))
        arrive (world);
      else
        disturb (world);
      tm_advance (world->tm, tm_now_us (world->tm) + draw (world, 40) * MS);
    }
  tm_advance (world->tm, tm_now_us (world->tm) + 10000 * MS);
  check_rest (world);
  errors = world->errors;
  if (errors > 0)
    printf ("seed %lu: %u errors\n", seed, errors);
  dsp_free (world->dsp);
  ctr_free (world->counters);
  gsl_rng_free (world->random);
  tm_free (world->tm);
  g_free (world);
  return errors;
}

/* Guards against lost, doubled or mixed answers, refusals that are wrongly
   called not run, missed deadlines, overloaded engines and repeated crashes,
   whatever fails and in whatever order.  */
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
