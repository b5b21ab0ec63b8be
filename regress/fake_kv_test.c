#include <string.h>

#include <glib.h>

#include "fake_kv.h"
#include "unit.h"

/* The tests of other modules rely on these properties of the store in
   memory.  */

struct seen
{
  uint32_t answers;
  enum kv_outcome outcome;
  int64_t lease;
  uint32_t changes;
  uint32_t deletions;
};

static void
on_result (void *arg, const struct kv_result *result)
{
  struct seen *seen = arg;

  seen->answers++;
  seen->outcome = result->outcome;
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
}

static void
create (struct fake_kv *kv, const char *key, int64_t lease, struct seen *seen)
{
  struct kv_store store = fake_kv_store (kv);
  struct kv_compare absent = { key, 0 };
  struct kv_op put = { KV_PUT, key, "v", 1, lease };
  struct kv_txn txn = { &absent, 1, &put, 1, NULL, 0 };

  memset (seen, 0, sizeof *seen);
  kv_txn (&store, &txn, on_result, seen);
}

/* Guards against a fault that has another effect or answer than its name
   says.  */
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
    { FAKE_KV_ANSWER_LOST, KV_UNKNOWN, true },
    { FAKE_KV_REQUEST_LOST, KV_UNKNOWN, false },
    { FAKE_KV_LATE, KV_UNKNOWN, true },
    { FAKE_KV_SLOW, KV_OK, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct tm_service *tm = tm_new (0);
      struct fake_kv *kv = fake_kv_new (tm, 1000);
      struct seen seen;

      fake_kv_fault_next (kv, cases[i].fault, 1);
      create (kv, "a", 0, &seen);
      tm_advance (tm, 5000000);
      CU_ASSERT_EQUAL (seen.answers, 1);
      CU_ASSERT_EQUAL (seen.outcome, cases[i].outcome);
      CU_ASSERT_EQUAL (fake_kv_value (kv, "a") != NULL, cases[i].effect);
      fake_kv_free (kv);
      tm_free (tm);
    }
}

/* Guards against leases that outlive their time, and against a write or a
   renewal under a lease that has ended.  */
static void
test_leases (void)
{
  struct tm_service *tm = tm_new (0);
  struct fake_kv *kv = fake_kv_new (tm, 1000);
  struct kv_store store = fake_kv_store (kv);
  struct seen watch = { 0 };
  struct seen seen = { 0 };
  int64_t lease;

  store.methods->watch (kv, "a", 0, on_change, NULL, &watch);
  store.methods->lease_grant (kv, 10, on_lease, &seen);
  tm_advance (tm, 1000000);
  lease = seen.lease;
  create (kv, "ab", lease, &seen);
  create (kv, "b", lease, &seen);
  tm_advance (tm, 9000000);
  store.methods->lease_renew (kv, lease, on_lease, &seen);
  tm_advance (tm, 15000000);
  CU_ASSERT_EQUAL (fake_kv_count (kv, ""), 2);
  tm_advance (tm, 20000000);
  CU_ASSERT_EQUAL (fake_kv_count (kv, ""), 0);
  CU_ASSERT_EQUAL (watch.changes, 2);
  CU_ASSERT_EQUAL (watch.deletions, 1);
  store.methods->lease_renew (kv, lease, on_lease, &seen);
  tm_advance (tm, 21000000);
  CU_ASSERT_EQUAL (seen.outcome, KV_CONFLICT);
  create (kv, "c", lease, &seen);
  tm_advance (tm, 22000000);
  CU_ASSERT_EQUAL (seen.outcome, KV_UNAVAILABLE);
  CU_ASSERT_PTR_NULL (fake_kv_value (kv, "c"));
  fake_kv_free (kv);
  tm_free (tm);
}

/* Guards against a create that overwrites, and against a watch that loses the
   changes made during an outage.  */
static void
test_conflict_and_watch (void)
{
  struct tm_service *tm = tm_new (0);
  struct fake_kv *kv = fake_kv_new (tm, 1000);
  struct kv_store store = fake_kv_store (kv);
  struct seen watch = { 0 };
  struct seen seen;

  fake_kv_put (kv, "a", "1");
  store.methods->watch (kv, "a", fake_kv_revision (kv, "a") + 1, on_change,
                        NULL, &watch);
  create (kv, "a", 0, &seen);
  tm_advance (tm, 1000000);
  CU_ASSERT_EQUAL (seen.outcome, KV_CONFLICT);
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
