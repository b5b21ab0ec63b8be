#include <string.h>

#include <glib.h>

#include "kv_backoff.h"
#include "kv_etcd.h"
#include "tcp_peer.h"
#include "unit.h"

#define SEED 11

/* The timer service is driven by hand, so that time limits pass at once.  */
struct rig
{
  uv_loop_t loop;
  uv_timer_t guard;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct http_client *client;
  struct tcp_peer *peer;
  gsl_rng *random;
  struct kv_etcd *kv;
  struct kv_store store;
};

struct seen
{
  uint32_t answers;
  enum kv_outcome outcome;
  int64_t revision;
  int64_t lease;
  size_t pairs;
  char value[16];
  uint32_t changes;
  uint32_t deletions;
  uint32_t ends;
};

/* A test that waits for an event that never comes fails by SIGABRT.  */
static void
on_guard (uv_timer_t *timer)
{
  (void)timer;
  g_error ("no event within 20 s");
}

static void
rig_start (struct rig *rig)
{
  uv_loop_init (&rig->loop);
  uv_timer_init (&rig->loop, &rig->guard);
  uv_timer_start (&rig->guard, on_guard, 20000, 0);
  rig->tm = tm_new (1);
  rig->counters = ctr_new ();
  rig->client = http_client_new (&rig->loop, rig->tm);
  rig->peer = tcp_peer_new (&rig->loop);
  rig->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (rig->random, SEED);
  rig->kv = kv_etcd_new (rig->client, rig->tm, rig->counters,
                         tcp_peer_address (rig->peer), rig->random);
  rig->store = kv_etcd_store (rig->kv);
}

static void
rig_stop (struct rig *rig)
{
  kv_etcd_free (rig->kv);
  if (rig->peer != NULL)
    tcp_peer_free (rig->peer);
  uv_close ((uv_handle_t *)&rig->guard, NULL);
  tm_advance (rig->tm, tm_now_us (rig->tm) + 10000000);
  http_client_free (rig->client);
  while (uv_run (&rig->loop, UV_RUN_NOWAIT) != 0)
    ;
  uv_loop_close (&rig->loop);
  tm_free (rig->tm);
  ctr_free (rig->counters);
  gsl_rng_free (rig->random);
}

static void
run_until (struct rig *rig, const uint32_t *count, uint32_t wanted)
{
  while (*count < wanted)
    uv_run (&rig->loop, UV_RUN_ONCE);
}

static void
run_until_request (struct rig *rig, uint32_t wanted)
{
  while (tcp_peer_requests (rig->peer) < wanted)
    uv_run (&rig->loop, UV_RUN_ONCE);
}

static void
on_result (void *arg, const struct kv_result *result)
{
  struct seen *seen = arg;

  seen->answers++;
  seen->outcome = result->outcome;
  seen->revision = result->revision;
  seen->pairs = result->pair_count;
  if (result->pair_count > 0)
    g_strlcpy (seen->value, result->pairs[0].value, sizeof seen->value);
}

static void
on_lease (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct seen *seen = arg;

  seen->answers++;
  seen->outcome = outcome;
  seen->lease = lease;
}

static void
on_change (void *arg, const struct kv_change *change)
{
  struct seen *seen = arg;

  seen->changes++;
  seen->deletions += change->value == NULL;
  seen->revision = change->revision;
}

static void
on_end (void *arg)
{
  ((struct seen *)arg)->ends++;
}

/* Guards against an outcome that claims more than is known, above all "nothing
   took effect" for a write whose answer was lost.  */
static void
test_outcomes (void)
{
  static const struct
  {
    const char *name;
    struct tcp_script script;
    bool refused;
    enum kv_outcome outcome;
  } cases[] = {
    { "held",
      { "200", "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}", 0 },
      false,
      KV_OK },
    { "conflict",
      { "200", "{\"header\":{\"revision\":\"7\"}}", 0 },
      false,
      KV_CONFLICT },
    { "refused", { 0 }, true, KV_UNAVAILABLE },
    { "slow", { 0 }, false, KV_UNKNOWN },
    { "answer lost after effect", { "200", "", 1 }, false, KV_UNKNOWN },
    { "cut in the head", { "200", "{\"header\":{}}", 20 }, false, KV_UNKNOWN },
    { "cut in the body",
      { "200", "{\"header\":{\"revision\":\"7\"}}", 50 },
      false,
      KV_UNKNOWN },
    { "malformed", { "200", "{\"header\"", 0 }, false, KV_UNKNOWN },
    { "not an object", { "200", "[1]", 0 }, false, KV_UNKNOWN },
    { "no header", { "200", "{}", 0 }, false, KV_UNKNOWN },
    { "bad number",
      { "200", "{\"header\":{\"revision\":\"x7\"}}", 0 },
      false,
      KV_UNKNOWN },
    { "bad pair",
      { "200",
        "{\"header\":{},\"succeeded\":true,\"responses\":"
        "[{\"response_range\":{\"kvs\":[7]}}]}",
        0 },
      false,
      KV_UNKNOWN },
    { "overload", { "429", "", 0 }, false, KV_UNAVAILABLE },
    { "outage", { "503", "", 0 }, false, KV_UNAVAILABLE },
    { "time limit inside the service",
      { "503", "etcdserver: request timed out", 0 },
      false,
      KV_UNKNOWN },
    { "no such lease", { "404", "", 0 }, false, KV_UNAVAILABLE },
    { "internal error", { "500", "", 0 }, false, KV_UNKNOWN },
  };
  struct kv_compare absent = { "k", 0 };
  struct kv_op put = { KV_PUT, "k", "v", 1, 42 };
  struct kv_txn txn = { &absent, 1, &put, 1, NULL, 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct rig rig;
      struct seen seen = { 0 };

      rig_start (&rig);
      tcp_peer_set_scripts (rig.peer, &cases[i].script, 1);
      if (cases[i].refused)
        {
          tcp_peer_free (rig.peer);
          rig.peer = NULL;
          uv_run (&rig.loop, UV_RUN_NOWAIT);
        }
      kv_txn (&rig.store, &txn, on_result, &seen);
      if (!cases[i].refused)
        run_until_request (&rig, 1);
      if (cases[i].script.status == NULL && !cases[i].refused)
        tm_advance (rig.tm, KV_ETCD_TIMEOUT_MS * 1000 + 1);
      run_until (&rig, &seen.answers, 1);
      if (seen.outcome != cases[i].outcome)
        fprintf (stderr, "%s: outcome %d\n", cases[i].name, seen.outcome);
      CU_ASSERT_EQUAL (seen.outcome, cases[i].outcome);
      rig_stop (&rig);
      CU_ASSERT_EQUAL (seen.answers, 1);
    }
}

/* Guards against requests that another implementation of the gateway does not
   understand, and against answers that are read wrongly.  */
static void
test_messages (void)
{
  static const struct tcp_script scripts[] = {
    { "200",
      "{\"header\":{\"revision\":\"9\"},\"kvs\":[{\"key\":\"YQ==\","
      "\"value\":\"aGk=\",\"mod_revision\":\"5\"},{\"key\":\"YWI=\"}]}",
      0 },
    { "200",
      "{\"header\":{\"revision\":\"9\"},\"succeeded\":true,\"responses\":"
      "[{\"response_put\":{}},{\"response_range\":{\"kvs\":[{\"key\":"
      "\"YQ==\",\"value\":\"aGk=\"}]}}]}",
      0 },
    { "200", "{\"header\":{},\"ID\":\"77\",\"TTL\":\"10\"}", 0 },
    { "200", "{\"result\":{\"header\":{},\"ID\":\"77\",\"TTL\":\"10\"}}", 0 },
    { "200", "{\"result\":{\"header\":{},\"ID\":\"77\"}}", 0 },
  };
  struct kv_compare compare = { "a", 5 };
  struct kv_op ops[]
      = { { KV_PUT, "a", "hi", 2, 77 }, { KV_GET, "a", NULL, 0, 0 } };
  struct kv_txn txn = { &compare, 1, ops, 2, &ops[1], 1 };
  struct rig rig;
  struct seen seen = { 0 };

  rig_start (&rig);
  tcp_peer_set_scripts (rig.peer, scripts, G_N_ELEMENTS (scripts));
  kv_get_prefix (&rig.store, "a", on_result, &seen);
  run_until (&rig, &seen.answers, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (rig.peer), "POST /v3/kv/range"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (rig.peer),
              "{\"key\":\"YQ==\",\"range_end\":\"Yg==\"}"));
  CU_ASSERT_EQUAL (seen.pairs, 2);
  CU_ASSERT_STRING_EQUAL (seen.value, "hi");
  CU_ASSERT_EQUAL (seen.revision, 9);
  kv_txn (&rig.store, &txn, on_result, &seen);
  run_until (&rig, &seen.answers, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      tcp_peer_last_request (rig.peer),
      "{\"compare\":[{\"key\":\"YQ==\",\"target\":\"MOD\",\"result\":\"EQUAL\""
      ",\"mod_revision\":\"5\"}],\"success\":[{\"request_put\":{\"key\":"
      "\"YQ==\",\"value\":\"aGk=\",\"lease\":\"77\"}},{\"request_range\":"
      "{\"key\":\"YQ==\"}}],\"failure\":[{\"request_range\":{\"key\":"
      "\"YQ==\"}}]}"));
  CU_ASSERT_EQUAL (seen.pairs, 1);
  rig.store.methods->lease_grant (rig.kv, 10, on_lease, &seen);
  run_until (&rig, &seen.answers, 3);
  CU_ASSERT_EQUAL (seen.lease, 77);
  rig.store.methods->lease_renew (rig.kv, 77, on_lease, &seen);
  run_until (&rig, &seen.answers, 4);
  CU_ASSERT_EQUAL (seen.outcome, KV_OK);
  rig.store.methods->lease_renew (rig.kv, 77, on_lease, &seen);
  run_until (&rig, &seen.answers, 5);
  CU_ASSERT_EQUAL (seen.outcome, KV_CONFLICT);
  rig_stop (&rig);
}

#define CREATED                                                               \
  "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n"

static void
send_chunk (struct rig *rig, const char *text)
{
  char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  tcp_peer_send (rig->peer, chunk, strlen (chunk));
  g_free (chunk);
}

static void
send_event (struct rig *rig, const char *type, int revision, int header)
{
  char *text = g_strdup_printf (
      "{\"result\":{\"header\":{\"revision\":\"%d\"},\"events\":[{%s\"kv\":"
      "{\"key\":\"YQ==\",\"value\":\"aGk=\",\"mod_revision\":\"%d\"}}]}}\n",
      header, type, revision);
  char *half = g_strndup (text, 40);

  send_chunk (rig, half);
  send_chunk (rig, text + 40);
  g_free (half);
  g_free (text);
}

/* Let time pass until the watch has asked for the WANTED-th time.  */
static void
run_until_reopened (struct rig *rig, uint32_t wanted)
{
  while (tcp_peer_requests (rig->peer) < wanted)
    {
      uv_run (&rig->loop, UV_RUN_NOWAIT);
      tm_advance (rig->tm, tm_now_us (rig->tm) + 10000);
    }
}

/* Guards against a watch that loses or repeats changes over a cut connection,
   and against one that reads a lost history as silence.  */
static void
test_watch (void)
{
  static const struct tcp_script scripts[]
      = { { "200", NULL, 0 }, { "200", NULL, 0 }, { "200", NULL, 0 } };
  struct rig rig;
  struct seen seen = { 0 };

  rig_start (&rig);
  tcp_peer_set_scripts (rig.peer, scripts, G_N_ELEMENTS (scripts));
  rig.store.methods->watch (rig.kv, "a", 5, on_change, on_end, &seen);
  run_until_request (&rig, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (rig.peer),
              "{\"create_request\":{\"key\":\"YQ==\",\"range_end\":\"Yg==\","
              "\"start_revision\":\"5\"}}"));
  send_chunk (&rig, CREATED);
  send_event (&rig, "", 5, 9);
  send_event (&rig, "\"type\":\"DELETE\",", 6, 9);
  run_until (&rig, &seen.changes, 2);
  CU_ASSERT_EQUAL (seen.deletions, 1);
  tcp_peer_close_connections (rig.peer);
  run_until_reopened (&rig, 2);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (rig.peer), "\"start_revision\":\"7\""));
  send_event (&rig, "", 6, 9);
  send_event (&rig, "", 7, 9);
  run_until (&rig, &seen.changes, 3);
  CU_ASSERT_EQUAL (seen.revision, 7);
  tcp_peer_close_connections (rig.peer);
  run_until_reopened (&rig, 3);
  send_chunk (&rig, CREATED);
  run_until (&rig, &seen.ends, 1);
  CU_ASSERT_EQUAL (seen.changes, 3);
  rig_stop (&rig);
}

/* Guards against a watch that stays silent after garbage, after a refusal, or
   when its connection is dead and only other calls notice.  */
static void
test_watch_reopens (void)
{
  static const struct tcp_script scripts[]
      = { { "503", "", 0 },   { "200", NULL, 0 },
          { "200", NULL, 0 }, { 0 },
          { "200", NULL, 0 }, { 0 } };
  struct rig rig;
  struct seen seen = { 0 };
  void *watch;

  rig_start (&rig);
  tcp_peer_set_scripts (rig.peer, scripts, G_N_ELEMENTS (scripts));
  watch = rig.store.methods->watch (rig.kv, "a", 5, on_change, on_end, &seen);
  run_until_reopened (&rig, 2);
  send_chunk (&rig, "garbage");
  run_until_reopened (&rig, 3);
  send_chunk (&rig, CREATED);
  send_event (&rig, "", 5, 5);
  run_until (&rig, &seen.changes, 1);
  kv_get (&rig.store, "a", on_result, &seen);
  run_until_request (&rig, 4);
  tm_advance (rig.tm, tm_now_us (rig.tm) + KV_ETCD_TIMEOUT_MS * 1000 + 1);
  CU_ASSERT_EQUAL (seen.answers, 1);
  run_until_reopened (&rig, 5);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (rig.peer), "\"start_revision\":\"6\""));
  /* This one is never answered: it counts as dead after its open limit.  */
  run_until_reopened (&rig, 6);
  rig.store.methods->unwatch (rig.kv, watch);
  CU_ASSERT_EQUAL (seen.ends, 0);
  rig_stop (&rig);
}

/* Guards against clients that all come back at the same moment after an
   outage: of 1,000 no tenth of a second may hold more than 3%.  */
static void
test_backoff (void)
{
  uint32_t slots[100] = { 0 };
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);

  gsl_rng_set (random, SEED);
  for (int i = 0; i < 1000; i++)
    {
      struct kv_backoff backoff = { 0 };

      CU_ASSERT_TRUE (kv_backoff_next_us (&backoff, random) <= 100000);
      slots[kv_backoff_next_us (&backoff, random) / 100000]++;
    }
  for (int i = 0; i < 100; i++)
    CU_ASSERT_TRUE (slots[i] <= 30);
  gsl_rng_free (random);
}

int
main (void)
{
  static const struct unit_test tests[] = {
    { "outcomes", test_outcomes }, { "messages", test_messages },
    { "watch", test_watch },       { "watch_reopens", test_watch_reopens },
    { "backoff", test_backoff },   { NULL, NULL }
  };

  return unit_main ("kv_etcd", tests);
}
