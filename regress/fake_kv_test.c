#include <string.h>

#include <glib.h>

#include "fake_kv.h"
#include "unit.h"

/* Checks the in-memory store, on which tests of other modules rely.  */

/* Replies to calls and events of a watch.  */
struct observed
{
  uint32_t replies;
  enum kv_outcome outcome;
  int64_t lease;
  uint32_t changes;
  uint32_t deletions;
};

static void
on_result (void *arg, const struct kv_result *result)
{
  struct observed *observed = arg;

  observed->replies++;
  observed->outcome = result->outcome;
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
}

static void
create (struct fake_kv *kv, const char *key, int64_t lease,
        struct observed *observed)
{
  struct kv_store store = fake_kv_store (kv);
  struct kv_compare absent = { key, 0 };
  struct kv_op put = { KV_PUT, key, "v", 1, lease };
  struct kv_txn txn = { &absent, 1, &put, 1, NULL, 0 };

  memset (observed, 0, sizeof *observed);
  kv_txn (&store, &txn, on_result, observed);
}

/* Guards against injected faults whose effect or reply differs from their
   definition.  */
static void
test_faults (void)
{
  static const struct
  {
    enum fake_kv_fault fault;
    enum kv_outcome outcome;
    bool effect;
  } cases[] = {
    { FAKE_KV_NONE, KV_OK, true },
    { FAKE_KV_UNAVAILABLE, KV_UNAVAILABLE, false },
    { FAKE_KV_REPLY_LOST, KV_UNKNOWN, true },
    { FAKE_KV_REQUEST_LOST, KV_UNKNOWN, false },
    { FAKE_KV_EFFECT_DELAYED, KV_UNKNOWN, true },
    { FAKE_KV_SLOW, KV_OK, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct tm_service *tm = tm_new (0);
      struct fake_kv *kv = fake_kv_new (tm, 1000);
      struct observed observed;

      fake_kv_inject_faults (kv, cases[i].fault, 1);
      create (kv, "a", 0, &observed);
      tm_advance (tm, 5000000);
      CU_ASSERT_EQUAL (observed.replies, 1);
      CU_ASSERT_EQUAL (observed.outcome, cases[i].outcome);
      CU_ASSERT_EQUAL (fake_kv_value (kv, "a") != NULL, cases[i].effect);
      fake_kv_free (kv);
      tm_free (tm);
    }
}

/* Guards against leases that do not expire in time, and against a write or a
   renewal with an expired lease.  */
static void
test_leases (void)
{
  struct tm_service *tm = tm_new (0);
  struct fake_kv *kv = fake_kv_new (tm, 1000);
  struct kv_store store = fake_kv_store (kv);
  struct observed watch = { 0 };
  struct observed observed = { 0 };
  int64_t lease;

  store.methods->watch (kv, "a", 0, on_change, NULL, &watch);
  store.methods->lease_grant (kv, 10, on_lease, &observed);
  tm_advance (tm, 1000000);
  lease = observed.lease;
  create (kv, "ab", lease, &observed);
  create (kv, "b", lease, &observed);
  tm_advance (tm, 9000000);
  store.methods->lease_renew (kv, lease, on_lease, &observed);
  tm_advance (tm, 15000000);
  CU_ASSERT_EQUAL (fake_kv_count (kv, ""), 2);
  tm_advance (tm, 20000000);
  CU_ASSERT_EQUAL (fake_kv_count (kv, ""), 0);
  CU_ASSERT_EQUAL (watch.changes, 2);
  CU_ASSERT_EQUAL (watch.deletions, 1);
  store.methods->lease_renew (kv, lease, on_lease, &observed);
  tm_advance (tm, 21000000);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  create (kv, "c", lease, &observed);
  tm_advance (tm, 22000000);
  CU_ASSERT_EQUAL (observed.outcome, KV_UNAVAILABLE);
  CU_ASSERT_PTR_NULL (fake_kv_value (kv, "c"));
  fake_kv_free (kv);
  tm_free (tm);
}

/* Guards against a create that overwrites an existing key, and against a watch
   that misses changes made during an outage.  */
static void
test_conflict_and_watch (void)
{
  struct tm_service *tm = tm_new (0);
  struct fake_kv *kv = fake_kv_new (tm, 1000);
  struct kv_store store = fake_kv_store (kv);
  struct observed watch = { 0 };
  struct observed observed;

  fake_kv_put (kv, "a", "1");
  store.methods->watch (kv, "a", fake_kv_revision (kv, "a") + 1, on_change,
                        NULL, &watch);
  create (kv, "a", 0, &observed);
  tm_advance (tm, 1000000);
  CU_ASSERT_EQUAL (observed.outcome, KV_CONFLICT);
  CU_ASSERT_EQUAL (watch.changes, 0);
  fake_kv_set_fault (kv, FAKE_KV_UNAVAILABLE);
  fake_kv_put (kv, "a", "2");
  tm_advance (tm, 2000000);
  CU_ASSERT_EQUAL (watch.changes, 0);
  fake_kv_set_fault (kv, FAKE_KV_NONE);
  tm_advance (tm, 3000000);
  CU_ASSERT_EQUAL (watch.changes, 1);
  fake_kv_free (kv);
  tm_free (tm);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "faults", test_faults },
          { "leases", test_leases },
          { "conflict_and_watch", test_conflict_and_watch },
          { NULL, NULL } };

  return unit_main ("fake_kv", tests);
}
