#include <stdlib.h>
#include <string.h>

#include "pf_store_fixture.h"

/* Tests the client of the platform's key-value store with scripted responses.
 */

/* A dead connection must be noticed within the shortest bound that depends on
   a watch; on a new watch within half of that.  */
#define DEAD_DETECTION_MAX_US  2000000
#define FIRST_DETECTION_MAX_US 1000000
#define WATCH_LARGE_BYTES      (9U << 20)

static void
test_get (void)
{
  static const struct pfs_response found
      = { 200,
          "{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":4,"
          "\"Lease\":0,\"CurrentRev\":9, \"x\":0}",
          NULL };
  static const struct pfs_response absent = { 404, "{}", NULL };
  static const struct pfs_response connection_closed = { 0, NULL, NULL };
  static const struct pfs_response unavailable = { 503, "{}", NULL };

  pfs_set_responses (&found, 1);
  kv_get (&pfs_kv, "k", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (pfs_observed.revision, 9);
  CU_ASSERT_STRING_EQUAL (pfs_observed.first, "ab");
  CU_ASSERT_STRING_EQUAL (wire_endpoint_head (pfs_peer)->target,
                          "/api/kv-key?Key=k");
  pfs_set_responses (&absent, 1);
  kv_get (&pfs_kv, "k", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (pfs_observed.pairs, 0);
  pfs_set_responses (&connection_closed, 1);
  kv_get (&pfs_kv, "k", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNKNOWN);
  pfs_set_responses (&unavailable, 1);
  kv_get (&pfs_kv, "k", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNAVAILABLE);
}

/* Guards against a list that is truncated after its first page.  */
static void
test_pages (void)
{
  static const struct pfs_response pages[]
      = { { 200,
            "{\"items\":[{\"Key\":\"p/1\",\"Value\":\"YQ==\","
            "\"Revision\":1}],\"HasMore\":true,\"CurrentRev\":5}",
            NULL },
          { 200,
            "{\"items\":[{\"Key\":\"p/2\",\"Value\":\"Yg==\","
            "\"Revision\":2}],\"HasMore\":false,\"CurrentRev\":6}",
            NULL } };

  pfs_set_responses (pages, 2);
  kv_get_prefix (&pfs_kv, "p/", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.pairs, 2);
  /* The revision is that of the first page, so that a watch reports changes
     made while the other pages were read.  */
  CU_ASSERT_EQUAL (pfs_observed.revision, 5);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (pfs_peer)->target, "after=p%2F1"));
}

/* Guards against an instance that keeps what a watch returns without a limit,
   or asks for changes that do not fit into a response again and again: they
   are read in pages.  */
static void
test_watch_too_large (void)
{
  char *filler = g_strnfill (WATCH_LARGE_BYTES, ' ');
  char *text
      = g_strdup_printf ("HTTP/1.1 200 X\r\nContent-Length: %u\r\n\r\n%s",
                         WATCH_LARGE_BYTES, filler);
  const struct wire_script script = { .bytes = text, .end_action = WIRE_KEEP };

  pfs_set_responses (NULL, 0);
  wire_endpoint_set_scripts (pfs_peer, &script, 1);
  (void)pfs_kv.methods->watch (pfs_kv.context, "p/", 5, pfs_on_change,
                               pfs_on_ended, NULL);
  pfs_run_until (&pfs_observed.ended, 1);
  CU_ASSERT_EQUAL (pfs_observed.changes, 0);
  wire_endpoint_set_scripts (pfs_peer, NULL, 0);
  g_free (text);
  g_free (filler);
}

#define ITEM(key, rest) "{\"Key\":\"" key "\",\"Value\":\"YQ==\"" rest "}"
#define REVISION        ",\"Revision\":1"

/* Guards against a list that cannot be read, or is read without end, because
   of one item.  */
static void
test_malformed_items (void)
{
  static const struct pfs_response pages[]
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
  static const struct pfs_response endless
      = { 200, "{\"items\":[5],\"HasMore\":true,\"CurrentRev\":5}", NULL };

  pfs_set_responses (pages, 3);
  kv_get_prefix (&pfs_kv, "p/", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (pfs_observed.pairs, 3);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (pfs_peer)->target, "after=p%2F4"));
  pfs_set_responses (&endless, 1);
  kv_get_prefix (&pfs_kv, "p/", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNKNOWN);
}

static void
test_txn (void)
{
  static const struct pfs_response conflict
      = { 412,
          "{\"items\":[{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":"
          "4,\"Lease\":3}]}  ",
          NULL };
  static const struct pfs_response written = { 200, "{\"Revision\":8}", NULL };
  struct kv_compare absent = { "k", 0 };
  struct kv_op put
      = { .kind = KV_PUT, .key = "k", .value = "v", .value_bytes = 1 };
  struct kv_txn txn = {
    .compares = &absent, .compare_count = 1, .then_ops = &put, .then_count = 1
  };

  pfs_set_responses (&conflict, 1);
  kv_txn (&pfs_kv, &txn, pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_CONFLICT);
  CU_ASSERT_STRING_EQUAL (pfs_observed.first, "ab");
  pfs_set_responses (&written, 1);
  kv_txn (&pfs_kv, &txn, pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (pfs_observed.revision, 8);
}

static void
test_lease (void)
{
  static const struct pfs_response granted
      = { 200, "{\"Lease\":77,\"TtlMs\":2000} ", NULL };
  static const struct pfs_response ended = { 404, "{}", NULL };

  pfs_set_responses (&granted, 1);
  pfs_kv.methods->lease_grant (pfs_kv.context, 2, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (pfs_observed.lease, 77);
  pfs_set_responses (&ended, 1);
  pfs_kv.methods->lease_renew (pfs_kv.context, 77, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (pfs_observed.lease, 77);
  CU_ASSERT_STRING_EQUAL (wire_endpoint_head (pfs_peer)->target,
                          "/api/kv-keep/77");
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
  static const struct pfs_response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":28}  ", NULL },
          { 200, EVENT, NULL },
          { 410, "{}", NULL } };
  void *watch;

  pfs_set_responses (scripts, 3);
  watch = pfs_kv.methods->watch (pfs_kv.context, "k", 5, pfs_on_change,
                                 pfs_on_ended, NULL);
  CU_ASSERT_PTR_NOT_NULL (watch);
  pfs_run_until (&pfs_observed.changes, 1);
  CU_ASSERT_EQUAL (pfs_observed.revision, 6);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (pfs_peer)->target, "after=4&"));
  pfs_run_until (&pfs_observed.ended, 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (pfs_peer)->target, "after=6&"));
}

/* Guards against a watch that ends, or repeats its call at once, because of
   one event, and against taking a value of another type for a removal.  */
static void
test_malformed_events (void)
{
  static const struct pfs_response scripts[]
      = { { 200,
            "{\"events\":[null,5,{\"Key\":5},{\"Key\":\"k\"},"
            "{\"Key\":\"k\",\"Value\":5,\"Revision\":7}," ITEM (
                "k", ",\"Revision\":8") "],\"CurrentRev\":9}",
            NULL },
          { 410, "{}", NULL } };

  pfs_set_responses (scripts, 2);
  (void)pfs_kv.methods->watch (pfs_kv.context, "k", 5, pfs_on_change,
                               pfs_on_ended, NULL);
  pfs_run_until (&pfs_observed.ended, 1);
  CU_ASSERT_EQUAL (pfs_observed.changes, 1);
  CU_ASSERT_EQUAL (pfs_observed.revision, 8);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (pfs_peer)->target, "after=8&"));
}

/* Guards against a backoff of many seconds after lost connections.  The watch
   must be reopened three times within the 4 s of this test.  */
static void
test_watch_reopens (void)
{
  static const struct pfs_response scripts[] = { { 0, NULL, NULL },
                                                 { 0, NULL, NULL },
                                                 { 0, NULL, NULL },
                                                 { 200, EVENT, NULL },
                                                 { 410, "{}", NULL } };

  pfs_set_responses (scripts, 5);
  (void)pfs_kv.methods->watch (pfs_kv.context, "k", 5, pfs_on_change,
                               pfs_on_ended, NULL);
  pfs_run_until (&pfs_observed.changes, 1);
  pfs_run_until (&pfs_observed.ended, 1);
}

/* A new watch tells soon whether the store answers it: its first call is
   short, also when it gets no response.  */
static void
test_watch_answered (void)
{
  static const struct pfs_response scripts[] = {
    { PFS_NO_RESPONSE, NULL, NULL }, { 200, EVENT, NULL }, { 410, "{}", NULL }
  };
  uint64_t start_us = tm_now_us (pfs_clock.service);
  void *watch;

  pfs_set_responses (scripts, 3);
  watch = pfs_kv.methods->watch (pfs_kv.context, "k", 5, pfs_on_change,
                                 pfs_on_ended, NULL);
  CU_ASSERT_EQUAL (pfs_kv.methods->watch_answered_us (pfs_kv.context, watch),
                   0);
  pfs_run_until (&pfs_observed.changes, 1);
  CU_ASSERT_TRUE (tm_now_us (pfs_clock.service) - start_us
                  < FIRST_DETECTION_MAX_US);
  while (wire_endpoint_requests (pfs_peer) < 3)
    {
      CU_ASSERT_TRUE (pfs_kv.methods->watch_answered_us (pfs_kv.context, watch)
                      >= start_us);
      uv_run (pfs_loop, UV_RUN_ONCE);
    }
  pfs_run_until (&pfs_observed.ended, 1);
}

/* Guards against a watch that reports nothing for some time after an outage,
   because the connection of its long poll was lost without notice.  */
static void
test_watch_after_outage (void)
{
  static const struct pfs_response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":5}", NULL },
          { PFS_NO_RESPONSE, NULL, NULL },
          { 503, "{}", NULL },
          { 200, "{\"Lease\":77,\"TtlMs\":2000}", NULL },
          { 200, EVENT, NULL },
          { 410, "{}", NULL } };

  pfs_set_responses (scripts, 6);
  (void)pfs_kv.methods->watch (pfs_kv.context, "k", 5, pfs_on_change,
                               pfs_on_ended, NULL);
  while (wire_endpoint_requests (pfs_peer) < 2)
    uv_run (pfs_loop, UV_RUN_ONCE);
  pfs_kv.methods->lease_renew (pfs_kv.context, 77, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNAVAILABLE);
  pfs_kv.methods->lease_renew (pfs_kv.context, 77, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 2);
  pfs_run_until (&pfs_observed.changes, 1);
  pfs_run_until (&pfs_observed.ended, 1);
}

/* Guards against a watch whose connection is lost in an outage so short that
   no other call fails.  1.5 s without a response show the loss.  */
static void
test_watch_dead_connection (void)
{
  static const struct pfs_response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":5}", NULL },
          { PFS_NO_RESPONSE, NULL, NULL },
          { 200, EVENT, NULL },
          { 410, "{}", NULL } };
  uint64_t silent_us;

  pfs_set_responses (scripts, 4);
  (void)pfs_kv.methods->watch (pfs_kv.context, "k", 5, pfs_on_change,
                               pfs_on_ended, NULL);
  while (wire_endpoint_requests (pfs_peer) < 2)
    uv_run (pfs_loop, UV_RUN_ONCE);
  silent_us = tm_now_us (pfs_clock.service);
  while (wire_endpoint_requests (pfs_peer) < 3)
    uv_run (pfs_loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (tm_now_us (pfs_clock.service) - silent_us
                  < DEAD_DETECTION_MAX_US);
  pfs_run_until (&pfs_observed.changes, 1);
  pfs_run_until (&pfs_observed.ended, 1);
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
          { "watch, too large", test_watch_too_large },
          { NULL, NULL } };

  return unit_main ("pf_store", tests);
}
