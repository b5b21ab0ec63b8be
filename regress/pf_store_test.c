#include <stdlib.h>
#include <string.h>

#include "lg.h"
#include "pf.h"
#include "tm_uv.h"
#include "unit.h"
#include "wire.h"

/* Tests the client of the platform's key-value store with scripted responses.
 */

#define WAIT_TIMEOUT_US 4000000
#define RESPONSES_MAX   8
/* A dead connection must be noticed within the shortest bound that depends on
   a watch; on a new watch within half of that.  */
#define DEAD_DETECTION_MAX_US  2000000
#define FIRST_DETECTION_MAX_US 1000000

/* One response of the store.  If STATUS is 0, the connection is closed without
   a response; if it is NO_RESPONSE, nothing is sent.  */
struct response
{
  int status;
  const char *body;
  const char *era; /* NULL: none */
};

#define NO_RESPONSE (-1)
/* A lease is renewed every 3 s, and another one is granted every 0.3 s at
   most.  */
#define GRANTS_PER_RENEWAL 10

static uv_loop_t *loop;
static struct tm_uv clock_driver;
static struct wire_endpoint *peer;
static struct pf_store *store;
static struct kv_store kv;

/* Results of the calls and events of the watch in one test.  */
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
} observed;

static void
set_responses (const struct response *responses, size_t count)
{
  static struct wire_script scripts[RESPONSES_MAX];
  static char texts[RESPONSES_MAX][256];
  static gsl_rng *random;
  static struct ctr_set *counters;
  static struct http_client *client;

  memset (&observed, 0, sizeof observed);
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
                            random);
      kv = pf_store_kv (store);
    }
  for (size_t i = 0; i < count; i++)
    {
      g_snprintf (texts[i], sizeof texts[i],
                  "HTTP/1.1 %d X\r\n%s%s%sContent-Length: %zu\r\n\r\n%s",
                  responses[i].status,
                  responses[i].era == NULL ? "" : "Store-Era: ",
                  responses[i].era == NULL ? "" : responses[i].era,
                  responses[i].era == NULL ? "" : "\r\n",
                  responses[i].body == NULL ? 0 : strlen (responses[i].body),
                  responses[i].body == NULL ? "" : responses[i].body);
      scripts[i] = (struct wire_script){
        .bytes = responses[i].status == NO_RESPONSE ? NULL
                 : responses[i].status == 0         ? ""
                                                    : texts[i],
        .end_action = responses[i].status == 0 ? WIRE_CLOSE : WIRE_KEEP
      };
    }
  wire_endpoint_set_scripts (peer, scripts, count);
}

static void
run_until (const uint32_t *count, uint32_t expected)
{
  uint64_t start_us = tm_now_us (clock_driver.service);

  while (*count < expected
         && tm_now_us (clock_driver.service) - start_us < WAIT_TIMEOUT_US)
    uv_run (loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (*count >= expected);
}

static void
on_done (void *arg, const struct kv_result *result)
{
  (void)arg;
  observed.outcome = result->outcome;
  observed.revision = result->revision;
  observed.pairs = result->pair_count;
  if (result->pair_count > 0 && result->pairs[0].value != NULL)
    g_strlcpy (observed.first, result->pairs[0].value, sizeof observed.first);
  observed.done++;
}

static void
on_lease (void *arg, enum kv_outcome outcome, int64_t lease)
{
  (void)arg;
  observed.outcome = outcome;
  observed.lease = lease;
  observed.done++;
}

static void
test_get (void)
{
  static const struct response found
      = { 200,
          "{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":4,"
          "\"Lease\":0,\"CurrentRev\":9, \"x\":0}",
          NULL };
  static const struct response absent = { 404, "{}", NULL };
  static const struct response connection_closed = { 0, NULL, NULL };
  static const struct response unavailable = { 503, "{}", NULL };

  set_responses (&found, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (observed.revision, 9);
  CU_ASSERT_STRING_EQUAL (observed.first, "ab");
  CU_ASSERT_STRING_EQUAL (wire_endpoint_head (peer)->target,
                          "/api/kv-key?Key=k");
  set_responses (&absent, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (observed.pairs, 0);
  set_responses (&connection_closed, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_UNKNOWN);
  set_responses (&unavailable, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_UNAVAILABLE);
}

/* Guards against a list that is truncated after its first page.  */
static void
test_pages (void)
{
  static const struct response pages[]
      = { { 200,
            "{\"items\":[{\"Key\":\"p/1\",\"Value\":\"YQ==\","
            "\"Revision\":1}],\"HasMore\":true,\"CurrentRev\":5}",
            NULL },
          { 200,
            "{\"items\":[{\"Key\":\"p/2\",\"Value\":\"Yg==\","
            "\"Revision\":2}],\"HasMore\":false,\"CurrentRev\":6}",
            NULL } };

  set_responses (pages, 2);
  kv_get_prefix (&kv, "p/", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.pairs, 2);
  /* The revision is that of the first page, so that a watch reports changes
     made while the other pages were read.  */
  CU_ASSERT_EQUAL (observed.revision, 5);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=p%2F1"));
}

#define ITEM(key, rest) "{\"Key\":\"" key "\",\"Value\":\"YQ==\"" rest "}"
#define REVISION        ",\"Revision\":1"

/* Guards against a list that cannot be read, or is read without end, because
   of one item.  */
static void
test_malformed_items (void)
{
  static const struct response pages[]
      = { { 200,
            "{\"items\":[null,5," ITEM ("p/0", "") "," ITEM (
                "p/1", REVISION) ",{\"Key\":\"p/2\",\"Value\":5" REVISION
                                 "}],\"HasMore\":true,"
                                 "\"CurrentRev\":5}",
            NULL },
          { 200,
            "{\"items\":[" ITEM ("p/3\\u0000x", REVISION) "," ITEM (
                "p/4", REVISION) "],\"HasMore\":true,"
                                 "\"CurrentRev\":5}",
            NULL },
          { 200,
            "{\"items\":[{\"Key\":\"p/5\"" REVISION
            ",\"Value\":\"=?\"}],\"HasMore\":false,"
            "\"CurrentRev\":5}",
            NULL } };
  static const struct response endless
      = { 200, "{\"items\":[5],\"HasMore\":true,\"CurrentRev\":5}", NULL };

  set_responses (pages, 3);
  kv_get_prefix (&kv, "p/", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (observed.pairs, 3);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=p%2F4"));
  set_responses (&endless, 1);
  kv_get_prefix (&kv, "p/", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_UNKNOWN);
}

static void
test_txn (void)
{
  static const struct response conflict
      = { 412,
          "{\"items\":[{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":"
          "4,\"Lease\":3}]}  ",
          NULL };
  static const struct response written = { 200, "{\"Revision\":8}", NULL };
  struct kv_compare absent = { "k", 0 };
  struct kv_op put
      = { .kind = KV_PUT, .key = "k", .value = "v", .value_bytes = 1 };
  struct kv_txn txn = {
    .compares = &absent, .compare_count = 1, .then_ops = &put, .then_count = 1
  };

  set_responses (&conflict, 1);
  kv_txn (&kv, &txn, on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  CU_ASSERT_STRING_EQUAL (observed.first, "ab");
  set_responses (&written, 1);
  kv_txn (&kv, &txn, on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (observed.revision, 8);
}

static void
test_lease (void)
{
  static const struct response granted
      = { 200, "{\"Lease\":77,\"TtlMs\":2000} ", NULL };
  static const struct response ended = { 404, "{}", NULL };

  set_responses (&granted, 1);
  kv.methods->lease_grant (kv.context, 2, on_lease, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (observed.lease, 77);
  set_responses (&ended, 1);
  kv.methods->lease_renew (kv.context, 77, on_lease, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (observed.lease, 77);
  CU_ASSERT_STRING_EQUAL (wire_endpoint_head (peer)->target,
                          "/api/kv-keep/77");
}

static void
on_change (void *arg, const struct kv_change *change)
{
  (void)arg;
  observed.changes++;
  observed.revision = change->revision;
}

static void
on_ended (void *arg)
{
  (void)arg;
  observed.ended++;
}

#define EVENT                                                                 \
  ("{\"events\":[{\"Key\":\"k\",\"Value\":\"YQ==\",\"Revision\":6}]"          \
   ",\"CurrentRev\":9}")

/* Guards against missed changes while the store compacts its history.  The
   revision of a response without events may include changes that the watch has
   not received, so the watch must continue after its last event.  */
static void
test_watch_resumes_after_last_event (void)
{
  static const struct response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":28}  ", NULL },
          { 200, EVENT, NULL },
          { 410, "{}", NULL } };
  void *watch;

  set_responses (scripts, 3);
  watch = kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  CU_ASSERT_PTR_NOT_NULL (watch);
  run_until (&observed.changes, 1);
  CU_ASSERT_EQUAL (observed.revision, 6);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=4&"));
  run_until (&observed.ended, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=6&"));
}

/* Guards against a watch that ends, or repeats its call at once, because of
   one event, and against taking a value of another type for a removal.  */
static void
test_malformed_events (void)
{
  static const struct response scripts[]
      = { { 200,
            "{\"events\":[null,5,{\"Key\":5},{\"Key\":\"k\"},"
            "{\"Key\":\"k\",\"Value\":5,\"Revision\":7}," ITEM (
                "k", ",\"Revision\":8") "],\"CurrentRev\":9}",
            NULL },
          { 410, "{}", NULL } };

  set_responses (scripts, 2);
  (void)kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  run_until (&observed.ended, 1);
  CU_ASSERT_EQUAL (observed.changes, 1);
  CU_ASSERT_EQUAL (observed.revision, 8);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (peer)->target, "after=8&"));
}

/* Guards against a backoff of many seconds after lost connections.  The watch
   must be reopened three times within the 4 s of this test.  */
static void
test_watch_reopens (void)
{
  static const struct response scripts[] = { { 0, NULL, NULL },
                                             { 0, NULL, NULL },
                                             { 0, NULL, NULL },
                                             { 200, EVENT, NULL },
                                             { 410, "{}", NULL } };

  set_responses (scripts, 5);
  (void)kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  run_until (&observed.changes, 1);
  run_until (&observed.ended, 1);
}

/* A new watch tells soon whether the store answers it: its first call is
   short, also when it gets no response.  */
static void
test_watch_answered (void)
{
  static const struct response scripts[] = { { NO_RESPONSE, NULL, NULL },
                                             { 200, EVENT, NULL },
                                             { 410, "{}", NULL } };
  uint64_t start_us = tm_now_us (clock_driver.service);
  void *watch;

  set_responses (scripts, 3);
  watch = kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  CU_ASSERT_EQUAL (kv.methods->watch_answered_us (kv.context, watch), 0);
  run_until (&observed.changes, 1);
  CU_ASSERT_TRUE (tm_now_us (clock_driver.service) - start_us
                  < FIRST_DETECTION_MAX_US);
  while (wire_endpoint_requests (peer) < 3)
    {
      CU_ASSERT_TRUE (kv.methods->watch_answered_us (kv.context, watch)
                      >= start_us);
      uv_run (loop, UV_RUN_ONCE);
    }
  run_until (&observed.ended, 1);
}

/* Guards against a watch that reports nothing for some time after an outage,
   because the connection of its long poll was lost without notice.  */
static void
test_watch_after_outage (void)
{
  static const struct response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":5}", NULL },
          { NO_RESPONSE, NULL, NULL },
          { 503, "{}", NULL },
          { 200, "{\"Lease\":77,\"TtlMs\":2000}", NULL },
          { 200, EVENT, NULL },
          { 410, "{}", NULL } };

  set_responses (scripts, 6);
  (void)kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  while (wire_endpoint_requests (peer) < 2)
    uv_run (loop, UV_RUN_ONCE);
  kv.methods->lease_renew (kv.context, 77, on_lease, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_UNAVAILABLE);
  kv.methods->lease_renew (kv.context, 77, on_lease, NULL);
  run_until (&observed.done, 2);
  run_until (&observed.changes, 1);
  run_until (&observed.ended, 1);
}

/* Guards against a watch whose connection is lost in an outage so short that
   no other call fails.  1.5 s without a response show the loss.  */
static void
test_watch_dead_connection (void)
{
  static const struct response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":5}", NULL },
          { NO_RESPONSE, NULL, NULL },
          { 200, EVENT, NULL },
          { 410, "{}", NULL } };
  uint64_t silent_us;

  set_responses (scripts, 4);
  (void)kv.methods->watch (kv.context, "k", 5, on_change, on_ended, NULL);
  while (wire_endpoint_requests (peer) < 2)
    uv_run (loop, UV_RUN_ONCE);
  silent_us = tm_now_us (clock_driver.service);
  while (wire_endpoint_requests (peer) < 3)
    uv_run (loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (tm_now_us (clock_driver.service) - silent_us
                  < DEAD_DETECTION_MAX_US);
  run_until (&observed.changes, 1);
  run_until (&observed.ended, 1);
}

#define FOUND(revision, current)                                              \
  "{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":" revision                  \
  ",\"Lease\":0,\"CurrentRev\":" current "}"

static void
get_in_era (const char *era, const char *body)
{
  const struct response response = { 200, body, era };

  set_responses (&response, 1);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&observed.done, 1);
}

/* Guards against a change that is taken for an old one, because the store
   gives out revisions again after its restoration.  */
static void
test_restored_revisions (void)
{
  int64_t before;

  get_in_era ("3", FOUND ("4", "90"));
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  before = observed.revision;
  get_in_era ("4", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_TRUE (observed.revision > before);
  CU_ASSERT_EQUAL (kv_era (&kv), 4);
  /* A late answer from before says nothing about the present keys.  */
  get_in_era ("3", FOUND ("4", "91"));
  CU_ASSERT_EQUAL (observed.outcome, KV_UNKNOWN);
}

/* Guards against changes that a watch misses, because the revision after which
   it continues was given out again before its next call.  */
static void
test_restored_watch (void)
{
  static const struct response idle
      = { 200, "{\"events\":[],\"CurrentRev\":6}", "4" };
  static const struct response restored
      = { 200,
          "{\"events\":[{\"Key\":\"k\",\"Value\":\"YQ==\",\"Revision\":99}]"
          ",\"CurrentRev\":99}",
          "5" };
  struct response scripts[] = { idle, restored };
  int64_t position;

  get_in_era ("4", FOUND ("5", "6"));
  position = observed.revision + 1;
  set_responses (scripts, 2);
  (void)kv.methods->watch (kv.context, "k", position, on_change, on_ended,
                           NULL);
  run_until (&observed.ended, 1);
  CU_ASSERT_EQUAL (observed.changes, 0);
  CU_ASSERT_EQUAL (wire_endpoint_requests (peer), 2);
}

/* The same when another call learns of the restoration, and for a watch from a
   revision of an earlier era.  */
static void
test_restored_between_watches (void)
{
  static const struct response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":6}", "5" },
          { 200, FOUND ("5", "6"), "6" } };
  int64_t position;

  get_in_era ("5", FOUND ("5", "6"));
  position = observed.revision + 1;
  set_responses (scripts, 2);
  (void)kv.methods->watch (kv.context, "k", position, on_change, on_ended,
                           NULL);
  while (wire_endpoint_requests (peer) < 1)
    uv_run (loop, UV_RUN_ONCE);
  kv_get (&kv, "k", on_done, NULL);
  run_until (&observed.ended, 1);
  (void)kv.methods->watch (kv.context, "k", position, on_change, on_ended,
                           NULL);
  run_until (&observed.ended, 2);
}

/* Guards against renewing another instance's lease, which got the number of
   one that was lost.  */
static void
test_restored_lease (void)
{
  static const struct response granted
      = { 200, "{\"Lease\":77,\"TtlMs\":2000}", "6" };
  static const struct response renewed = { 200, "{}", "7" };
  static const struct response not_sent = { 200, "{}", "7" };
  int64_t lease;

  set_responses (&granted, 1);
  kv.methods->lease_grant (kv.context, 2, on_lease, NULL);
  run_until (&observed.done, 1);
  lease = observed.lease;
  set_responses (&renewed, 1);
  kv.methods->lease_renew (kv.context, lease, on_lease, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (observed.lease, lease);
  set_responses (&not_sent, 1);
  kv.methods->lease_renew (kv.context, lease, on_lease, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (wire_endpoint_requests (peer), 0);
  set_responses (&granted, 1);
  kv.methods->lease_revoke (kv.context, lease);
  get_in_era ("7", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (wire_endpoint_requests (peer), 1);
}

static void
renew (int64_t lease)
{
  static const struct response renewed = { 200, "{}", "7" };

  set_responses (&renewed, 1);
  kv.methods->lease_renew (kv.context, lease, on_lease, NULL);
  run_until (&observed.done, 1);
}

/* Guards against a lease that is taken for one of an earlier era because many
   others, of campaigns that were lost, were granted since.  */
static void
test_lease_among_many (void)
{
  char body[64];
  struct response granted = { 200, body, "7" };
  const int64_t kept = 500;

  for (uint32_t i = 0; i < 2 * GRANTS_PER_RENEWAL; i++)
    {
      (void)g_snprintf (body, sizeof body, "{\"Lease\":%u,\"TtlMs\":2000}",
                        (uint32_t)kept + i);
      set_responses (&granted, 1);
      kv.methods->lease_grant (kv.context, 2, on_lease, NULL);
      run_until (&observed.done, 1);
      if (i % GRANTS_PER_RENEWAL == 0)
        renew (kept);
    }
  renew (kept);
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (wire_endpoint_requests (peer), 1);
}

/* Guards against a write whose comparison holds for another change with the
   same revision.  */
static void
test_restored_comparison (void)
{
  static const struct response written = { 200, "{\"Revision\":8}", "8" };
  static const struct response not_sent = { 200, "{\"Revision\":9}", "8" };
  struct kv_compare unchanged = { "k", 0 };
  struct kv_op put
      = { .kind = KV_PUT, .key = "k", .value = "v", .value_bytes = 1 };
  struct kv_txn txn = { .compares = &unchanged,
                        .compare_count = 1,
                        .then_ops = &put,
                        .then_count = 1 };

  get_in_era ("7", FOUND ("6", "6"));
  unchanged.revision = observed.revision;
  set_responses (&written, 1);
  kv_txn (&kv, &txn, on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_UNKNOWN);
  CU_ASSERT_PTR_NOT_NULL (strstr (wire_endpoint_head (peer)->target, "txn"));
  set_responses (&not_sent, 1);
  kv_txn (&kv, &txn, on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (wire_endpoint_requests (peer), 0);
}

/* Guards against a list that begins in one history and ends in another.  */
static void
test_restored_pages (void)
{
  static const struct response pages[]
      = { { 200,
            "{\"items\":[{\"Key\":\"p/1\",\"Value\":\"YQ==\","
            "\"Revision\":1}],\"HasMore\":true,\"CurrentRev\":5}",
            "8" },
          { 200,
            "{\"items\":[{\"Key\":\"p/2\",\"Value\":\"Yg==\","
            "\"Revision\":2}],\"HasMore\":false,\"CurrentRev\":4}",
            "9" } };

  set_responses (pages, 2);
  kv_get_prefix (&kv, "p/", on_done, NULL);
  run_until (&observed.done, 1);
  CU_ASSERT_EQUAL (observed.outcome, KV_UNKNOWN);
}

/* Guards against an instance that refuses all answers for ever, because one
   named an era that is far too high; many restorations may have been missed,
   though.  */
static void
test_absurd_era (void)
{
  get_in_era ("9", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  get_in_era ("900000", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (observed.outcome, KV_UNKNOWN);
  get_in_era ("9", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  get_in_era ("900000", FOUND ("5", "6"));
  get_in_era ("900000", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (kv_era (&kv), 900000);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "get", test_get },
          { "pages", test_pages },
          { "malformed items", test_malformed_items },
          { "transaction", test_txn },
          { "lease", test_lease },
          { "watch resumes after the last event",
            test_watch_resumes_after_last_event },
          { "malformed events", test_malformed_events },
          { "watch reopens", test_watch_reopens },
          { "watch answered", test_watch_answered },
          { "watch after an outage", test_watch_after_outage },
          { "watch with a dead connection", test_watch_dead_connection },
          { "revisions after a restoration", test_restored_revisions },
          { "watch answered after a restoration", test_restored_watch },
          { "restoration between calls of a watch",
            test_restored_between_watches },
          { "lease after a restoration", test_restored_lease },
          { "lease among many", test_lease_among_many },
          { "comparison after a restoration", test_restored_comparison },
          { "pages before and after a restoration", test_restored_pages },
          { "absurd era", test_absurd_era },
          { NULL, NULL } };

  return unit_main ("pf_store", tests);
}
