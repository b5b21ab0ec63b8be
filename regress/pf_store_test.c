#include <stdlib.h>
#include <string.h>

#include "lg.h"
#include "pf.h"
#include "tm_uv.h"
#include "unit.h"
#include "wire.h"

/* The client of the platform's store against fixed answers.  */

#define LIMIT_US    4000000
#define ANSWERS_MAX 8
/* The wait of 3 s, its margin and the longest pause before a new call.  */
#define BUSY_NOTICED_US 4600000

/* One answer of the store; status 0: the connection is closed without one,
   SILENT: nothing comes.  */
struct answer
{
  int status;
  const char *body;
};

#define SILENT (-1)

static uv_loop_t *loop;
static struct tm_uv clock_driver;
static struct wire_endpoint *peer;
static struct pf_store *store;
static struct kv_store kv;

/* What was heard of the calls of one test.  */
static struct
{
  uint32_t done;
  enum kv_outcome outcome;
  int64_t revision;
  int64_t lease;
  size_t pairs;
  char first[64];
  uint32_t changes;
  uint32_t ended;
} heard;

static void
play (const struct answer *answers, size_t count)
{
  static struct wire_script scripts[ANSWERS_MAX];
  static char texts[ANSWERS_MAX][256];
  static gsl_rng *random;
  static struct ctr_set *counters;
  static struct http_client *client;

  memset (&heard, 0, sizeof heard);
  if (loop == NULL)
    {
      char address[32];

      lg_set_threshold (LG_ERR);
      loop = uv_default_loop ();
      tm_uv_start (&clock_driver, loop);
      random = gsl_rng_alloc (gsl_rng_mt19937);
      counters = ctr_new ();
      client = http_client_new (loop, clock_driver.service);
      peer = wire_endpoint_new (loop, "none");
      g_snprintf (address, sizeof address, "127.0.0.1:%u",
                  wire_endpoint_port (peer));
      store = pf_store_new (client, clock_driver.service, counters, address,
                            1000, random);
      kv = pf_store_kv (store);
    }
  for (size_t i = 0; i < count; i++)
    {
      g_snprintf (texts[i], sizeof texts[i],
                  "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s",
                  answers[i].status,
                  answers[i].body == NULL ? 0 : strlen (answers[i].body),
                  answers[i].body == NULL ? "" : answers[i].body);
      scripts[i] = (struct wire_script){
        .bytes = answers[i].status == SILENT ? NULL
                 : answers[i].status == 0    ? ""
                                             : texts[i],
        .end_action = answers[i].status == 0 ? WIRE_CLOSE : WIRE_KEEP
      };
    }
  wire_endpoint_set_scripts (peer, scripts, count);
}

static void
run_until (const uint32_t *count, uint32_t wanted)
{
  uint64_t start_us = tm_now_us (clock_driver.service);

  while (*count < wanted
         && tm_now_us (clock_driver.service) - start_us < LIMIT_US)
    uv_run (loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (*count >= wanted);
}

static void
on_done (void *arg, const struct kv_result *result)
{
  (void)arg;
  heard.outcome = result->outcome;
  heard.revision = result->revision;
  heard.pairs = result->pair_count;
  if (result->pair_count > 0 && result->pairs[0].value != NULL)
    g_strlcpy (heard.first, result->pairs[0].value, sizeof heard.first);
  heard.done++;
}

static void
on_lease (void *arg, enum kv_outcome outcome, int64_t lease)
{
  (void)arg;
  heard.outcome = outcome;
  heard.lease = lease;
  heard.done++;
}

static void
test_get (void)
{
  static const struct answer found
      = { 200, "{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":4,"
               "\"Lease\":0,\"CurrentRev\":9, \"x\":0}" };
  static const struct answer absent = { 404, "{}" };
  static const struct answer lost = { 0, NULL };
  static const struct answer refused = { 503, "{}" };

  play (&found, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_OK);
  CU_ASSERT_EQUAL (heard.revision, 9);
  CU_ASSERT_STRING_EQUAL (heard.first, "ab");
  CU_ASSERT_STRING_EQUAL (wire_endpoint_head (peer)->target,
                          "/api/kv-key?Key=k");
  play (&absent, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_OK);
  CU_ASSERT_EQUAL (heard.pairs, 0);
  play (&lost, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_UNKNOWN);
  play (&refused, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_UNAVAILABLE);
}

/* Guards against a list that ends with its first page.  */
static void
test_pages (void)
{
  static const struct answer pages[]
      = { { 200, "{\"items\":[{\"Key\":\"p/1\",\"Value\":\"YQ==\","
                 "\"Revision\":1}],\"HasMore\":true,\"CurrentRev\":5}" },
          { 200, "{\"items\":[{\"Key\":\"p/2\",\"Value\":\"Yg==\","
                 "\"Revision\":2}],\"HasMore\":false,\"CurrentRev\":6}" } };

  play (pages, 2);
  kv_get_prefix (&kv, "p/", on_done, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.pairs, 2);
  /* Changes between the pages are watched from the first one's revision.  */
  CU_ASSERT_EQUAL (heard.revision, 5);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=p%2F1"));
}

static void
test_txn (void)
{
  static const struct answer conflict
      = { 412, "{\"items\":[{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":"
               "4,\"Lease\":3}]}  " };
  static const struct answer written = { 200, "{\"Revision\":8}" };
  struct kv_compare absent = { "k", 0 };
  struct kv_op put
      = { .kind = KV_PUT, .key = "k", .value = "v", .value_bytes = 1 };
  struct kv_txn txn = {
    .compares = &absent, .compare_count = 1, .then_ops = &put, .then_count = 1
  };

  play (&conflict, 1);
  kv_txn (&kv, &txn, on_done, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_CONFLICT);
  CU_ASSERT_STRING_EQUAL (heard.first, "ab");
  play (&written, 1);
  kv_txn (&kv, &txn, on_done, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_OK);
  CU_ASSERT_EQUAL (heard.revision, 8);
}

static void
test_lease (void)
{
  static const struct answer granted
      = { 200, "{\"Lease\":77,\"TtlMs\":2000} " };
  static const struct answer ended = { 404, "{}" };

  play (&granted, 1);
  kv.methods->lease_grant (kv.context, 2, on_lease, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_OK);
  CU_ASSERT_EQUAL (heard.lease, 77);
  play (&ended, 1);
  kv.methods->lease_renew (kv.context, 77, on_lease, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (heard.lease, 77);
  CU_ASSERT_STRING_EQUAL (wire_endpoint_head (peer)->target,
                          "/api/kv-keep/77");
}

static void
on_change (void *arg, const struct kv_change *change)
{
  (void)arg;
  heard.changes++;
  heard.revision = change->revision;
}

static void
on_ended (void *arg)
{
  (void)arg;
  heard.ended++;
}

#define EVENT                                                                 \
  ("{\"events\":[{\"Key\":\"k\",\"Value\":\"YQ==\",\"Revision\":6}]"          \
   ",\"CurrentRev\":9}")

/* Guards against changes that are lost while the store drops its history: an
   answer without events may bear a revision that counts changes which the
   watch has not heard (CONFIG on scale-1).  */
static void
test_watch_goes_on_from_events (void)
{
  static const struct answer scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":28}  " },
          { 200, EVENT },
          { 410, "{}" } };
  void *watch;

  play (scripts, 3);
  watch = kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  CU_ASSERT_PTR_NOT_NULL (watch);
  run_until (&heard.changes, 1);
  CU_ASSERT_EQUAL (heard.revision, 6);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=4&"));
  run_until (&heard.ended, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=6&"));
}

/* Guards against a pause of many seconds after connections broke (CONFIG on
   scale-1): within the 4 s of this test the watch asks again three times.  */
static void
test_watch_asks_again (void)
{
  static const struct answer scripts[] = {
    { 0, NULL }, { 0, NULL }, { 0, NULL }, { 200, EVENT }, { 410, "{}" }
  };

  play (scripts, 5);
  (void)kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  run_until (&heard.changes, 1);
  run_until (&heard.ended, 1);
}

/* Guards against a watch that waits on in a call of 25 s when its owner needs
   to hear of changes promptly.  */
static void
test_watch_pace (void)
{
  static const struct answer scripts[]
      = { { SILENT, NULL }, { 200, EVENT }, { 410, "{}" } };
  void *watch;
  uint32_t asked = 0;

  play (scripts, 3);
  watch = kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  kv_set_pace (&kv, watch, KV_PACE_RELAXED);
  while (asked == 0)
    {
      uv_run (loop, UV_RUN_ONCE);
      asked = wire_endpoint_requests (peer);
    }
  kv_set_pace (&kv, watch, KV_PACE_PROMPT);
  run_until (&heard.changes, 1);
  run_until (&heard.ended, 1);
}

/* Guards against a watch that stays silent for up to 25 s after an outage: the
   connection of its call died with the store (DRAIN on rejoin).  */
static void
test_watch_after_outage (void)
{
  static const struct answer scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":5}" },
          { SILENT, NULL },
          { 503, "{}" },
          { 200, "{\"Lease\":77,\"TtlMs\":2000}" },
          { 200, EVENT },
          { 410, "{}" } };
  void *watch;

  play (scripts, 6);
  watch = kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  kv_set_pace (&kv, watch, KV_PACE_RELAXED);
  while (wire_endpoint_requests (peer) < 2)
    uv_run (loop, UV_RUN_ONCE);
  kv.methods->lease_renew (kv.context, 77, on_lease, NULL);
  run_until (&heard.done, 1);
  CU_ASSERT_EQUAL (heard.outcome, KV_UNAVAILABLE);
  kv.methods->lease_renew (kv.context, 77, on_lease, NULL);
  run_until (&heard.done, 2);
  run_until (&heard.changes, 1);
  run_until (&heard.ended, 1);
}

/* Guards against a watch of the engines whose connection dies in an outage so
   short that no other call fails: silence of 3 s shows it.  */
static void
test_watch_busy (void)
{
  static const struct answer scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":5}" },
          { SILENT, NULL },
          { 200, EVENT },
          { 410, "{}" } };
  uint64_t silent_us;
  void *watch;

  play (scripts, 4);
  watch = kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  kv_set_pace (&kv, watch, KV_PACE_FREQUENT);
  while (wire_endpoint_requests (peer) < 2)
    uv_run (loop, UV_RUN_ONCE);
  silent_us = tm_now_us (clock_driver.service);
  while (wire_endpoint_requests (peer) < 3)
    uv_run (loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (tm_now_us (clock_driver.service) - silent_us
                  < BUSY_NOTICED_US);
  run_until (&heard.changes, 1);
  run_until (&heard.ended, 1);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "get", test_get },
          { "pages", test_pages },
          { "transaction", test_txn },
          { "lease", test_lease },
          { "watch goes on from events", test_watch_goes_on_from_events },
          { "watch asks again", test_watch_asks_again },
          { "pace of a watch", test_watch_pace },
          { "watch after an outage", test_watch_after_outage },
          { "busy watch", test_watch_busy },
          { NULL, NULL } };

  return unit_main ("pf_store", tests);
}
