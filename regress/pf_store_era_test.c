#include <string.h>

#include "pf_store_fixture.h"

/* Tests the client of the platform's key-value store when that comes back from
   a copy and gives out revisions and leases again.  */

/* A lease is renewed every 3 s, and another one is granted every 0.3 s at
   most.  */
#define GRANTS_PER_RENEWAL 10

#define FOUND(revision, current)                                              \
  "{\"Key\":\"k\",\"Value\":\"YWI=\",\"Revision\":" revision                  \
  ",\"Lease\":0,\"CurrentRev\":" current "}"

static void
get_in_era (const char *era, const char *body)
{
  const struct pfs_response response = { 200, body, era };

  pfs_set_responses (&response, 1);
  kv_get (&pfs_kv, "k", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
}

/* Guards against a change that is taken for an old one, because the store
   gives out revisions again after its restoration.  */
static void
test_restored_revisions (void)
{
  int64_t before;

  get_in_era ("3", FOUND ("4", "90"));
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  before = pfs_observed.revision;
  get_in_era ("4", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_TRUE (pfs_observed.revision > before);
  CU_ASSERT_EQUAL (kv_era (&pfs_kv), 4);
  /* A late answer from before says nothing about the present keys.  */
  get_in_era ("3", FOUND ("4", "91"));
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNKNOWN);
}

/* Guards against changes that a watch misses, because the revision after which
   it continues was given out again before its next call.  */
static void
test_restored_watch (void)
{
  static const struct pfs_response idle
      = { 200, "{\"events\":[],\"CurrentRev\":6}", "4" };
  static const struct pfs_response restored
      = { 200,
          "{\"events\":[{\"Key\":\"k\",\"Value\":\"YQ==\",\"Revision\":99}]"
          ",\"CurrentRev\":99}",
          "5" };
  struct pfs_response scripts[] = { idle, restored };
  int64_t position;

  get_in_era ("4", FOUND ("5", "6"));
  position = pfs_observed.revision + 1;
  pfs_set_responses (scripts, 2);
  (void)pfs_kv.methods->watch (pfs_kv.context, "k", position, pfs_on_change,
                               pfs_on_ended, NULL);
  pfs_run_until (&pfs_observed.ended, 1);
  CU_ASSERT_EQUAL (pfs_observed.changes, 0);
  CU_ASSERT_EQUAL (wire_endpoint_requests (pfs_peer), 2);
}

/* The same when another call learns of the restoration, and for a watch from a
   revision of an earlier era.  */
static void
test_restored_between_watches (void)
{
  static const struct pfs_response scripts[]
      = { { 200, "{\"events\":[],\"CurrentRev\":6}", "5" },
          { 200, FOUND ("5", "6"), "6" } };
  int64_t position;

  get_in_era ("5", FOUND ("5", "6"));
  position = pfs_observed.revision + 1;
  pfs_set_responses (scripts, 2);
  (void)pfs_kv.methods->watch (pfs_kv.context, "k", position, pfs_on_change,
                               pfs_on_ended, NULL);
  while (wire_endpoint_requests (pfs_peer) < 1)
    uv_run (pfs_loop, UV_RUN_ONCE);
  kv_get (&pfs_kv, "k", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.ended, 1);
  (void)pfs_kv.methods->watch (pfs_kv.context, "k", position, pfs_on_change,
                               pfs_on_ended, NULL);
  pfs_run_until (&pfs_observed.ended, 2);
}

/* Guards against renewing another instance's lease, which got the number of
   one that was lost.  */
static void
test_restored_lease (void)
{
  static const struct pfs_response granted
      = { 200, "{\"Lease\":77,\"TtlMs\":2000}", "6" };
  static const struct pfs_response renewed = { 200, "{}", "7" };
  static const struct pfs_response not_sent = { 200, "{}", "7" };
  int64_t lease;

  pfs_set_responses (&granted, 1);
  pfs_kv.methods->lease_grant (pfs_kv.context, 2, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  lease = pfs_observed.lease;
  pfs_set_responses (&renewed, 1);
  pfs_kv.methods->lease_renew (pfs_kv.context, lease, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (pfs_observed.lease, lease);
  pfs_set_responses (&not_sent, 1);
  pfs_kv.methods->lease_renew (pfs_kv.context, lease, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (wire_endpoint_requests (pfs_peer), 0);
  pfs_set_responses (&granted, 1);
  pfs_kv.methods->lease_revoke (pfs_kv.context, lease);
  get_in_era ("7", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (wire_endpoint_requests (pfs_peer), 1);
}

static void
renew (int64_t lease)
{
  static const struct pfs_response renewed = { 200, "{}", "7" };

  pfs_set_responses (&renewed, 1);
  pfs_kv.methods->lease_renew (pfs_kv.context, lease, pfs_on_lease, NULL);
  pfs_run_until (&pfs_observed.done, 1);
}

/* Guards against a lease that is taken for one of an earlier era because many
   others, of campaigns that were lost, were granted since.  */
static void
test_lease_among_many (void)
{
  char body[64];
  struct pfs_response granted = { 200, body, "7" };
  const int64_t kept = 500;

  for (uint32_t i = 0; i < 2 * GRANTS_PER_RENEWAL; i++)
    {
      (void)g_snprintf (body, sizeof body, "{\"Lease\":%u,\"TtlMs\":2000}",
                        (uint32_t)kept + i);
      pfs_set_responses (&granted, 1);
      pfs_kv.methods->lease_grant (pfs_kv.context, 2, pfs_on_lease, NULL);
      pfs_run_until (&pfs_observed.done, 1);
      if (i % GRANTS_PER_RENEWAL == 0)
        renew (kept);
    }
  renew (kept);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (wire_endpoint_requests (pfs_peer), 1);
}

/* Guards against a write whose comparison holds for another change with the
   same revision.  */
static void
test_restored_comparison (void)
{
  static const struct pfs_response written = { 200, "{\"Revision\":8}", "8" };
  static const struct pfs_response not_sent = { 200, "{\"Revision\":9}", "8" };
  struct kv_compare unchanged = { "k", 0 };
  struct kv_op put
      = { .kind = KV_PUT, .key = "k", .value = "v", .value_bytes = 1 };
  struct kv_txn txn = { .compares = &unchanged,
                        .compare_count = 1,
                        .then_ops = &put,
                        .then_count = 1 };

  get_in_era ("7", FOUND ("6", "6"));
  unchanged.revision = pfs_observed.revision;
  pfs_set_responses (&written, 1);
  kv_txn (&pfs_kv, &txn, pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNKNOWN);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (wire_endpoint_head (pfs_peer)->target, "txn"));
  pfs_set_responses (&not_sent, 1);
  kv_txn (&pfs_kv, &txn, pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (wire_endpoint_requests (pfs_peer), 0);
}

/* Guards against a list that begins in one history and ends in another.  */
static void
test_restored_pages (void)
{
  static const struct pfs_response pages[]
      = { { 200,
            "{\"items\":[{\"Key\":\"p/1\",\"Value\":\"YQ==\","
            "\"Revision\":1}],\"HasMore\":true,\"CurrentRev\":5}",
            "8" },
          { 200,
            "{\"items\":[{\"Key\":\"p/2\",\"Value\":\"Yg==\","
            "\"Revision\":2}],\"HasMore\":false,\"CurrentRev\":4}",
            "9" } };

  pfs_set_responses (pages, 2);
  kv_get_prefix (&pfs_kv, "p/", pfs_on_done, NULL);
  pfs_run_until (&pfs_observed.done, 1);
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNKNOWN);
}

/* Guards against an instance that refuses all answers for ever, because one
   named an era that is far too high; many restorations may have been missed,
   though.  */
static void
test_absurd_era (void)
{
  get_in_era ("9", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  get_in_era ("900000", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_UNKNOWN);
  get_in_era ("9", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  get_in_era ("900000", FOUND ("5", "6"));
  get_in_era ("900000", FOUND ("5", "6"));
  CU_ASSERT_EQUAL (pfs_observed.outcome, KV_OK);
  CU_ASSERT_EQUAL (kv_era (&pfs_kv), 900000);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "revisions after a restoration", test_restored_revisions },
          { "watch answered after a restoration", test_restored_watch },
          { "restoration between calls of a watch",
            test_restored_between_watches },
          { "lease after a restoration", test_restored_lease },
          { "lease among many", test_lease_among_many },
          { "comparison after a restoration", test_restored_comparison },
          { "pages before and after a restoration", test_restored_pages },
          { "absurd era", test_absurd_era },
          { NULL, NULL } };

  return unit_main ("pf_store_era", tests);
}
