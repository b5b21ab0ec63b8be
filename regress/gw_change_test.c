#include <stdlib.h>
#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Random changes of the configuration while callers send requests on kept
   connections, pipeline them, read slowly, and endpoints answer in all ways.
   GW_CHANGE_SEED plays one other seed.  */

#define SEEDS        2
#define ROUNDS       20
#define CALLERS_MAX  6
#define REQUESTS_MAX 3
#define CHANGES_MAX  3
#define DEADLINE_MS  900
#define TIMEOUT_MS   600
/* Each request ends within a second.  */
#define ROUND_MS 20000
/* Callers reuse connections that were idle for up to four fifths of the idle
   timeout.  */
#define IDLE_MS       1000
#define REUSE_MS      (IDLE_MS / 5 * 4)
#define READ_PAUSE_MS 200
#define BIG_BYTES     (1U << 20)

/* Time between two looks at the callers.  */
#define POLL_US 500

static const char *const paths[] = { "once", "again", "flow", "resume" };

#define PATHS G_N_ELEMENTS (paths)

struct call
{
  struct wire_caller *caller;
  uint32_t path;     /* in PATHS */
  uint32_t requests; /* to be sent */
  uint32_t sent;
  bool pipelined;
  uint64_t pause_us;    /* before the next request */
  uint64_t sent_us;     /* last request */
  uint64_t answered_us; /* last complete response */
  uint32_t answered;
  uint64_t resume_us;
  bool done;
};

struct round
{
  struct call calls[CALLERS_MAX];
  uint32_t calls_count;
  bool breaks; /* endpoints break off responses */
  uint32_t changes;
  uint64_t change_us;
};

static gsl_rng *rng;
static uint64_t seed;
static uint32_t version = 1;
static char *big_response;
/* Time limits of the routes, in force now and the shortest in this round.  */
static uint32_t timeouts_ms[PATHS] = { 700, 1000, 2000, 3000 };
static uint32_t shortest_ms[PATHS];

/* Return a random number below LIMIT.  */
static uint32_t
pick (uint32_t limit)
{
  return (uint32_t)gsl_rng_uniform_int (rng, limit);
}

static struct wire_script
pick_sound_script (void)
{
  const struct wire_script scripts[] = {
    { GWF_OK_HEAD "Content-Length: 3\r\n\r\nabc", WIRE_KEEP, false },
    { GWF_OK_HEAD "Content-Length: 3\r\n\r\na|bc", WIRE_KEEP, false },
    { GWF_OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n|0\r\n\r\n",
      WIRE_KEEP, false },
    { GWF_OK_HEAD "Connection: close\r\n\r\nabc", WIRE_CLOSE, false },
    { GWF_EVENTS GWF_EVENT ("1") "|" GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP,
      false },
    { "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" GWF_ECHO_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, false },
    { "HTTP/1.1 500 E\r\n" GWF_SEAL GWF_ECHO_ID "Content-Length: 1\r\n\r\nE",
      WIRE_KEEP, false },
    { big_response, WIRE_KEEP, false },
  };

  return scripts[pick (G_N_ELEMENTS (scripts))];
}

static struct wire_script
pick_breaking_script (void)
{
  static const struct wire_script scripts[] = {
    { GWF_OK_HEAD "Content-Length: 5\r\n\r\nabc", WIRE_CLOSE, false },
    { GWF_OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n|", WIRE_RESET,
      false },
    { GWF_EVENTS GWF_EVENT ("1") "8\r\nid: 2\nda\r\n", WIRE_CLOSE, false },
    { GWF_EVENTS GWF_EVENT ("1") "|garbage", WIRE_KEEP, false },
    { "garbage\r\n\r\n", WIRE_KEEP, false },
    { "", WIRE_CLOSE, false },
    { "", WIRE_RESET, false },
  };

  return scripts[pick (G_N_ELEMENTS (scripts))];
}

/* Write a new configuration with random limits and routes.  */
static void
change_configuration (void)
{
  static const char *const kinds[]
      = { "\"non_idempotent\"", "\"idempotent\"", "\"streaming\"",
          "\"streaming\",\"Resumable\":true" };
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"Version\":%u,\"Routes\":[", ++version);
  for (uint32_t i = 0; i < PATHS; i++)
    {
      /* A removed route is added again by a later change.  */
      if (i > 0 && pick (6) == 0)
        continue;
      timeouts_ms[i] = TIMEOUT_MS * (1 + pick (4));
      shortest_ms[i] = MIN (shortest_ms[i], timeouts_ms[i]);
      g_string_append_printf (
          text,
          "%s{\"Name\":\"%s\",\"Host\":\"h\",\"PathPrefix\":\"/%s/\","
          "\"Kind\":%s,\"TimeoutMs\":%u,\"TargetLatencyMs\":100,"
          "\"GapTargetMs\":300,\"Priority\":1,\"MaxAttempts\":2,"
          "\"Service\":\"%s\"}",
          i > 0 ? "," : "", paths[i], paths[i], kinds[i], timeouts_ms[i],
          pick (10) == 0 ? "other" : "plain");
    }
  g_string_append_printf (
      text,
      "],\"Services\":[{\"Name\":\"plain\",\"MaxConns\":100},"
      "{\"Name\":\"other\",\"MaxConns\":100}],"
      "\"Limits\":{\"MaxHeaderBytes\":%u,\"MaxBodyBytes\":%u,"
      "\"HeaderTimeoutMs\":%u,\"IdleTimeoutMs\":%u}}",
      4096 * (1 + pick (3)), 4096 * (1 + pick (3)), 1000 * (1 + pick (3)),
      IDLE_MS * (1 + pick (4)));
  fake_kv_put (gwf_kv, "op/config", text->str);
  g_string_free (text, TRUE);
}

/* Send COUNT requests of CALL in one piece.  */
static void
send_requests (struct call *call, uint32_t count)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < count; i++)
    {
      char *one = gwf_patient_request_text (paths[call->path], DEADLINE_MS);

      g_string_append (text, one);
      g_free (one);
    }
  if (call->caller == NULL)
    call->caller = wire_caller_new (
        gwf_gw.loop, h1_server_port (gwf_gw.callers), text->str);
  else
    wire_caller_send (call->caller, text->str);
  g_string_free (text, TRUE);
  call->sent += count;
  call->sent_us = tm_now_us (gwf_gw.tm);
}

static void
start_call (struct call *call, bool breaks)
{

  *call = (struct call){ .path = pick (PATHS),
                         .requests = breaks ? 1 : 1 + pick (REQUESTS_MAX),
                         .pipelined = pick (3) == 0 };
  if (pick (2) == 0)
    call->pause_us = pick (REUSE_MS) * GW_US_PER_MS;
  send_requests (call, call->pipelined ? call->requests : 1);
}

/* The connection of CALL was closed with a request unanswered.  */
static void
check_closed (const struct round *round, const struct call *call)
{
  uint64_t age_us = tm_now_us (gwf_gw.tm) - call->sent_us;
  uint64_t limit_ms = MIN (DEADLINE_MS, shortest_ms[call->path]);
  bool begun = wire_caller_status (call->caller) == 200
               && wire_caller_responses (call->caller) < call->sent;

  /* A response that has begun ends at the limit, or with its endpoint.  */
  if (begun && (round->breaks || age_us >= limit_ms * GW_US_PER_MS))
    return;
  printf ("\nseed %" G_GUINT64_FORMAT
          " version %u route %s: connection closed "
          "after %" G_GUINT64_FORMAT " us, %u of %u answered, status %u\n",
          seed, version, paths[call->path], age_us,
          wire_caller_responses (call->caller), call->sent,
          wire_caller_status (call->caller));
  CU_FAIL ("request without an answer");
}

static void
poll_call (const struct round *round, struct call *call)
{
  uint64_t now_us = tm_now_us (gwf_gw.tm);
  uint32_t responses = wire_caller_responses (call->caller);
  bool idle;

  if (call->resume_us != 0 && now_us >= call->resume_us)
    {
      call->resume_us = 0;
      wire_caller_set_reading (call->caller, true);
    }
  else if (call->resume_us == 0 && !wire_caller_closed (call->caller)
           && wire_caller_status (call->caller) != 0 && pick (300) == 0)
    {
      call->resume_us = now_us + READ_PAUSE_MS * GW_US_PER_MS;
      wire_caller_set_reading (call->caller, false);
    }
  if (responses != call->answered)
    call->answered_us = now_us;
  call->answered = responses;
  /* This process may have been stalled.  */
  idle = responses == call->sent
         && now_us - call->answered_us >= REUSE_MS * GW_US_PER_MS;
  if (responses == call->requests || idle)
    call->done = true;
  else if (wire_caller_closed (call->caller))
    {
      check_closed (round, call);
      call->done = true;
    }
  else if (responses == call->sent && now_us - call->sent_us >= call->pause_us)
    send_requests (call, 1);
}

static bool
round_is_done (const struct round *round)
{
  for (uint32_t i = 0; i < round->calls_count; i++)
    if (!round->calls[i].done)
      return false;
  return true;
}

static void
run_round (void)
{
  struct wire_script scripts[GWF_ENDPOINTS][4];
  struct round round = { .calls_count = 1 + pick (CALLERS_MAX),
                         .breaks = pick (2) == 0,
                         .changes = pick (CHANGES_MAX + 1) };
  uint64_t start_us;

  memcpy (shortest_ms, timeouts_ms, sizeof shortest_ms);
  gwf_reset_endpoints ();
  for (uint32_t i = 0; i < GWF_ENDPOINTS; i++)
    {
      for (uint32_t j = 0; j < G_N_ELEMENTS (scripts[i]); j++)
        scripts[i][j] = round.breaks && pick (2) == 0 ? pick_breaking_script ()
                                                      : pick_sound_script ();
      wire_endpoint_set_scripts (gwf_endpoints[i], scripts[i],
                                 G_N_ELEMENTS (scripts[i]));
      wire_endpoint_set_pause (gwf_endpoints[i],
                               pick (8) == 0 ? 1300 : pick (100));
    }
  start_us = tm_now_us (gwf_gw.tm);
  for (uint32_t i = 0; i < round.calls_count; i++)
    start_call (&round.calls[i], round.breaks);
  while (!round_is_done (&round)
         && tm_now_us (gwf_gw.tm) - start_us < ROUND_MS * GW_US_PER_MS)
    {
      if (round.changes > 0 && tm_now_us (gwf_gw.tm) >= round.change_us)
        {
          change_configuration ();
          round.changes--;
          round.change_us = tm_now_us (gwf_gw.tm) + pick (200) * GW_US_PER_MS;
        }
      g_usleep (POLL_US);
      uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
      for (uint32_t i = 0; i < round.calls_count; i++)
        if (!round.calls[i].done)
          poll_call (&round, &round.calls[i]);
    }
  for (uint32_t i = 0; i < round.calls_count; i++)
    {
      struct call *call = &round.calls[i];

      if (!call->done)
        {
          printf ("\nseed %" G_GUINT64_FORMAT " version %u route %s: %u of %u "
                  "answered, status %u\n",
                  seed, version, paths[call->path],
                  wire_caller_responses (call->caller), call->sent,
                  wire_caller_status (call->caller));
          CU_FAIL ("request without an answer or an end");
        }
      wire_caller_close (call->caller);
    }
  while (h1_server_connections (gwf_gw.callers) > 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
}

static void
run_seed (uint64_t number)
{
  seed = number;
  gsl_rng_set (rng, number);
  for (uint32_t i = 0; i < ROUNDS; i++)
    run_round ();
}

/* Guards against a request without an answer beside a change of the
   configuration.  */
static void
test_changes (void)
{
  const char *only = getenv ("GW_CHANGE_SEED");
  char *body = g_strnfill (BIG_BYTES, 'b');

  gwf_start ();
  rng = gsl_rng_alloc (gsl_rng_mt19937);
  big_response = g_strdup_printf (GWF_OK_HEAD "Content-Length: %u\r\n\r\n%s",
                                  BIG_BYTES, body);
  if (only != NULL)
    run_seed (strtoull (only, NULL, 10));
  for (uint64_t i = 1; only == NULL && i <= SEEDS; i++)
    run_seed (i);
  gsl_rng_free (rng);
  g_free (big_response);
  g_free (body);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "changes of the configuration", test_changes }, { NULL, NULL } };

  return unit_main ("gw_change", tests);
}
