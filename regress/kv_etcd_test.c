#include <string.h>

#include <glib.h>

#include "kv_backoff.h"
#include "kv_etcd.h"
#include "tcp_peer.h"
#include "unit.h"

#define SEED 11

/* A client of a scripted peer.  The tests advance the timer service
   themselves, so that timeouts need no real time.  */
struct fixture
{
  uv_loop_t loop;
  uv_timer_t guard_timer;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct http_client *client;
  struct tcp_peer *peer;
  gsl_rng *random;
  struct kv_etcd *kv;
  struct kv_store store;
};

/* Replies to calls and events of a watch.  */
struct observed
{
  uint32_t replies;
  enum kv_outcome outcome;
  int64_t revision;
  int64_t lease;
  size_t pairs;
  char value[16];
  uint32_t changes;
  uint32_t deletions;
  uint32_t ends;
};

/* Abort a test whose expected event does not occur.  */
static void
on_timeout (uv_timer_t *timer)
{
  (void)timer;
  g_error ("no event within 20 s");
}

static void
fixture_start (struct fixture *fixture)
{
  uv_loop_init (&fixture->loop);
  uv_timer_init (&fixture->loop, &fixture->guard_timer);
  uv_timer_start (&fixture->guard_timer, on_timeout, 20000, 0);
  fixture->tm = tm_new (1);
  fixture->counters = ctr_new ();
  fixture->client = http_client_new (&fixture->loop, fixture->tm);
  fixture->peer = tcp_peer_new (&fixture->loop);
  fixture->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (fixture->random, SEED);
  fixture->kv
      = kv_etcd_new (fixture->client, fixture->tm, fixture->counters,
                     tcp_peer_address (fixture->peer), fixture->random);
  fixture->store = kv_etcd_store (fixture->kv);
}

static void
fixture_stop (struct fixture *fixture)
{
  kv_etcd_free (fixture->kv);
  if (fixture->peer != NULL)
    tcp_peer_free (fixture->peer);
  uv_close ((uv_handle_t *)&fixture->guard_timer, NULL);
  tm_advance (fixture->tm, tm_now_us (fixture->tm) + 10000000);
  http_client_free (fixture->client);
  while (uv_run (&fixture->loop, UV_RUN_NOWAIT) != 0)
    ;
  uv_loop_close (&fixture->loop);
  tm_free (fixture->tm);
  ctr_free (fixture->counters);
  gsl_rng_free (fixture->random);
}

static void
run_until (struct fixture *fixture, const uint32_t *count, uint32_t expected)
{
  while (*count < expected)
    uv_run (&fixture->loop, UV_RUN_ONCE);
}

static void
run_until_request (struct fixture *fixture, uint32_t expected)
{
  while (tcp_peer_requests (fixture->peer) < expected)
    uv_run (&fixture->loop, UV_RUN_ONCE);
}

static void
on_result (void *arg, const struct kv_result *result)
{
  struct observed *observed = arg;

  observed->replies++;
  observed->outcome = result->outcome;
  observed->revision = result->revision;
  observed->pairs = result->pair_count;
  if (result->pair_count > 0)
    g_strlcpy (observed->value, result->pairs[0].value,
               sizeof observed->value);
}

static void
on_lease (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct observed *observed = arg;

  observed->replies++;
  observed->outcome = outcome;
  observed->lease = lease;
}

static void
on_change (void *arg, const struct kv_change *change)
{
  struct observed *observed = arg;

  observed->changes++;
  observed->deletions += change->value == NULL;
  observed->revision = change->revision;
}

static void
on_end (void *arg)
{
  ((struct observed *)arg)->ends++;
}

/* Guards against definite outcomes where the effect is unknown, above all
   KV_UNAVAILABLE for a write whose response was lost.  */
static void
test_outcomes (void)
{
  static const struct
  {
    const char *name;
    struct tcp_script script;
    bool connection_refused;
    enum kv_outcome outcome;
  } cases[] = {
    { "succeeded",
      { "200", "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}", 0 },
      false,
      KV_OK },
    { "conflict",
      { "200", "{\"header\":{\"revision\":\"7\"}}", 0 },
      false,
      KV_CONFLICT },
    { "refused", { 0 }, true, KV_UNAVAILABLE },
    { "no response", { 0 }, false, KV_UNKNOWN },
    { "response lost after effect", { "200", "", 1 }, false, KV_UNKNOWN },
    { "incomplete head", { "200", "{\"header\":{}}", 20 }, false, KV_UNKNOWN },
    { "incomplete body",
      { "200", "{\"header\":{\"revision\":\"7\"}}", 50 },
      false,
      KV_UNKNOWN },
    { "malformed", { "200", "{\"header\"", 0 }, false, KV_UNKNOWN },
    { "not an object", { "200", "[1]", 0 }, false, KV_UNKNOWN },
    { "no header", { "200", "{}", 0 }, false, KV_UNKNOWN },
    { "invalid number",
      { "200", "{\"header\":{\"revision\":\"x7\"}}", 0 },
      false,
      KV_UNKNOWN },
    { "invalid pair",
      { "200",
        "{\"header\":{},\"succeeded\":true,\"responses\":"
        "[{\"response_range\":{\"kvs\":[7]}}]}",
        0 },
      false,
      KV_UNKNOWN },
    { "overload", { "429", "", 0 }, false, KV_UNAVAILABLE },
    { "outage", { "503", "", 0 }, false, KV_UNAVAILABLE },
    { "timeout inside the service",
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
      struct fixture fixture;
      struct observed observed = { 0 };

      fixture_start (&fixture);
      tcp_peer_set_scripts (fixture.peer, &cases[i].script, 1);
      if (cases[i].connection_refused)
        {
          tcp_peer_free (fixture.peer);
          fixture.peer = NULL;
          uv_run (&fixture.loop, UV_RUN_NOWAIT);
        }
      kv_txn (&fixture.store, &txn, on_result, &observed);
      if (!cases[i].connection_refused)
        run_until_request (&fixture, 1);
      if (cases[i].script.status == NULL && !cases[i].connection_refused)
        tm_advance (fixture.tm, KV_ETCD_TIMEOUT_MS * 1000 + 1);
      run_until (&fixture, &observed.replies, 1);
      if (observed.outcome != cases[i].outcome)
        fprintf (stderr, "%s: outcome %d\n", cases[i].name, observed.outcome);
      CU_ASSERT_EQUAL (observed.outcome, cases[i].outcome);
      fixture_stop (&fixture);
      CU_ASSERT_EQUAL (observed.replies, 1);
    }
}

/* Guards against requests that do not conform to etcd's JSON gateway, and
   against misparsed responses.  */
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
  struct fixture fixture;
  struct observed observed = { 0 };

  fixture_start (&fixture);
  tcp_peer_set_scripts (fixture.peer, scripts, G_N_ELEMENTS (scripts));
  kv_get_prefix (&fixture.store, "a", on_result, &observed);
  run_until (&fixture, &observed.replies, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (fixture.peer), "POST /v3/kv/range"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (fixture.peer),
              "{\"key\":\"YQ==\",\"range_end\":\"Yg==\"}"));
  CU_ASSERT_EQUAL (observed.pairs, 2);
  CU_ASSERT_STRING_EQUAL (observed.value, "hi");
  CU_ASSERT_EQUAL (observed.revision, 9);
  kv_txn (&fixture.store, &txn, on_result, &observed);
  run_until (&fixture, &observed.replies, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      tcp_peer_last_request (fixture.peer),
      "{\"compare\":[{\"key\":\"YQ==\",\"target\":\"MOD\",\"result\":\"EQUAL\""
      ",\"mod_revision\":\"5\"}],\"success\":[{\"request_put\":{\"key\":"
      "\"YQ==\",\"value\":\"aGk=\",\"lease\":\"77\"}},{\"request_range\":"
      "{\"key\":\"YQ==\"}}],\"failure\":[{\"request_range\":{\"key\":"
      "\"YQ==\"}}]}"));
  CU_ASSERT_EQUAL (observed.pairs, 1);
  fixture.store.methods->lease_grant (fixture.kv, 10, on_lease, &observed);
  run_until (&fixture, &observed.replies, 3);
  CU_ASSERT_EQUAL (observed.lease, 77);
  fixture.store.methods->lease_renew (fixture.kv, 77, on_lease, &observed);
  run_until (&fixture, &observed.replies, 4);
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  fixture.store.methods->lease_renew (fixture.kv, 77, on_lease, &observed);
  run_until (&fixture, &observed.replies, 5);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  fixture_stop (&fixture);
}

#define CREATED                                                               \
  "{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n"

static void
send_chunk (struct fixture *fixture, const char *text)
{
  char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  tcp_peer_send (fixture->peer, chunk, strlen (chunk));
  g_free (chunk);
}

static void
send_event (struct fixture *fixture, const char *type, int revision,
            int header)
{
  char *text = g_strdup_printf (
      "{\"result\":{\"header\":{\"revision\":\"%d\"},\"events\":[{%s\"kv\":"
      "{\"key\":\"YQ==\",\"value\":\"aGk=\",\"mod_revision\":\"%d\"}}]}}\n",
      header, type, revision);
  char *half = g_strndup (text, 40);

  send_chunk (fixture, half);
  send_chunk (fixture, text + 40);
  g_free (half);
  g_free (text);
}

/* Advance the time until the watch has sent its EXPECTED-th request.  */
static void
run_until_reopened (struct fixture *fixture, uint32_t expected)
{
  while (tcp_peer_requests (fixture->peer) < expected)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      tm_advance (fixture->tm, tm_now_us (fixture->tm) + 10000);
    }
}

/* Guards against a watch that misses or repeats changes when its connection is
   closed, and against one that does not end when the history it needs was
   compacted.  */
static void
test_watch (void)
{
  static const struct tcp_script scripts[]
      = { { "200", NULL, 0 }, { "200", NULL, 0 }, { "200", NULL, 0 } };
  struct fixture fixture;
  struct observed observed = { 0 };

  fixture_start (&fixture);
  tcp_peer_set_scripts (fixture.peer, scripts, G_N_ELEMENTS (scripts));
  fixture.store.methods->watch (fixture.kv, "a", 5, on_change, on_end,
                                &observed);
  run_until_request (&fixture, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (tcp_peer_last_request (fixture.peer),
              "{\"create_request\":{\"key\":\"YQ==\",\"range_end\":\"Yg==\","
              "\"start_revision\":\"5\"}}"));
  send_chunk (&fixture, CREATED);
  send_event (&fixture, "", 5, 9);
  send_event (&fixture, "\"type\":\"DELETE\",", 6, 9);
  run_until (&fixture, &observed.changes, 2);
  CU_ASSERT_EQUAL (observed.deletions, 1);
  tcp_peer_close_connections (fixture.peer);
  run_until_reopened (&fixture, 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (tcp_peer_last_request (fixture.peer),
                                  "\"start_revision\":\"7\""));
  send_event (&fixture, "", 6, 9);
  send_event (&fixture, "", 7, 9);
  run_until (&fixture, &observed.changes, 3);
  CU_ASSERT_EQUAL (observed.revision, 7);
  tcp_peer_close_connections (fixture.peer);
  run_until_reopened (&fixture, 3);
  send_chunk (&fixture, CREATED);
  run_until (&fixture, &observed.ends, 1);
  CU_ASSERT_EQUAL (observed.changes, 3);
  fixture_stop (&fixture);
}

/* Guards against a watch that is not reopened after malformed data, after an
   error response, or when only other calls show that its connection is dead.
 */
static void
test_watch_reopens (void)
{
  static const struct tcp_script scripts[]
      = { { "503", "", 0 },   { "200", NULL, 0 },
          { "200", NULL, 0 }, { 0 },
          { "200", NULL, 0 }, { 0 } };
  struct fixture fixture;
  struct observed observed = { 0 };
  void *watch;

  fixture_start (&fixture);
  tcp_peer_set_scripts (fixture.peer, scripts, G_N_ELEMENTS (scripts));
  watch = fixture.store.methods->watch (fixture.kv, "a", 5, on_change, on_end,
                                        &observed);
  run_until_reopened (&fixture, 2);
  send_chunk (&fixture, "garbage");
  run_until_reopened (&fixture, 3);
  send_chunk (&fixture, CREATED);
  send_event (&fixture, "", 5, 5);
  run_until (&fixture, &observed.changes, 1);
  kv_get (&fixture.store, "a", on_result, &observed);
  run_until_request (&fixture, 4);
  tm_advance (fixture.tm,
              tm_now_us (fixture.tm) + KV_ETCD_TIMEOUT_MS * 1000 + 1);
  CU_ASSERT_EQUAL (observed.replies, 1);
  run_until_reopened (&fixture, 5);
  CU_ASSERT_PTR_NOT_NULL (strstr (tcp_peer_last_request (fixture.peer),
                                  "\"start_revision\":\"6\""));
  /* This request gets no response, so the watch is reopened after the open
   timeout.  */
  run_until_reopened (&fixture, 6);
  fixture.store.methods->unwatch (fixture.kv, watch);
  CU_ASSERT_EQUAL (observed.ends, 0);
  fixture_stop (&fixture);
}

/* Guards against synchronized reconnects after an outage: of 1,000 clients at
   most 3% may reconnect in the same 0.1 s.  */
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
