#include <string.h>

#include "clm_batch.h"
#include "fake_kv.h"
#include "unit.h"

#define SECOND     UINT64_C (1000000)
#define TIMEOUT_US (3 * SECOND)

static struct tm_service *tm;
static struct fake_kv *kv;
static struct kv_store store;
static struct clm_batch *batch;
static gsl_rng *random_numbers;
static char empty[] = "";
static char owner_name[] = "me";

static void
set_up (void)
{
  struct clm_batch_config config = { .kv = &store, .prefix = "claims/" };

  config.tm = tm = tm_new (0);
  config.random = random_numbers = gsl_rng_alloc (gsl_rng_mt19937);
  kv = fake_kv_new (tm, 1000);
  store = fake_kv_store (kv);
  batch = clm_batch_new (&config);
}

static void
tear_down (void)
{
  clm_batch_free (batch);
  fake_kv_free (kv);
  tm_free (tm);
  gsl_rng_free (random_numbers);
}

static void
on_reply (void *arg, const cs_claim_reply *reply)
{
  *(int *)arg = (int)reply->outcome;
}

typedef void (*submit_function) (struct clm_batch *target,
                                 const cs_claim *claim, uint64_t timeout_us,
                                 clm_done done, void *arg);

static void
submit_remote (struct clm_batch *target, const cs_claim *claim,
               uint64_t timeout_us, clm_done done, void *arg)
{
  (void)timeout_us;
  clm_batch_submit_remote (target, claim, done, arg);
}

static void
submit_by (submit_function function, cs_claim_kind kind, const char *key,
           uint64_t id, int *outcome)
{
  cs_claim claim = { .kind = kind,
                     .key = (char *)key,
                     .claim_id = id,
                     .owner = owner_name,
                     .owner_incarnation = 7,
                     .status = 200,
                     .content_type = empty };

  *outcome = -1;
  function (batch, &claim, TIMEOUT_US, on_reply, outcome);
}

static void
submit (cs_claim_kind kind, const char *key, uint64_t id, int *outcome)
{
  submit_by (clm_batch_submit, kind, key, id, outcome);
}

static int
submit_and_advance (cs_claim_kind kind, const char *key, uint64_t id,
                    uint64_t duration_us)
{
  int outcome;

  submit (kind, key, id, &outcome);
  tm_advance (tm, tm_now_us (tm) + duration_us);
  return outcome;
}

/* Guards against one transaction per claim, against transactions that are too
   large for the store, and against writing a key twice in one transaction.  */
static void
test_batching (void)
{
  int outcomes[70];
  int same[2];

  set_up ();
  for (int i = 0; i < 70; i++)
    {
      char key[16];

      g_snprintf (key, sizeof key, "svc/%d", i);
      submit (CS_CLAIM_OPEN, key, (uint64_t)i, &outcomes[i]);
    }
  tm_advance (tm, SECOND);
  for (int i = 0; i < 70; i++)
    CU_ASSERT_EQUAL (outcomes[i], CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (clm_batch_stats (batch).transactions, 2);
  CU_ASSERT_EQUAL (clm_batch_stats (batch).largest, 60);
  submit (CS_CLAIM_OPEN, "svc/same", 1, &same[0]);
  submit (CS_CLAIM_OPEN, "svc/same", 2, &same[1]);
  tm_advance (tm, 2 * SECOND);
  CU_ASSERT_EQUAL (same[0], CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (same[1], CS_CLAIM_HELD);
  tear_down ();
}

/* Guards against claims that expire too early with their lease, and against
   using a lease that no longer exists.  */
static void
test_lease (void)
{
  set_up ();
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/1", 1, SECOND),
                   CS_CLAIM_GRANTED);
  fake_kv_expire (kv, 1000);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/2", 2, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (clm_batch_stats (batch).leases, 2);
  tm_advance (tm, 3602 * SECOND);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/3", 3, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (clm_batch_stats (batch).leases, 3);
  tm_advance (tm, UINT64_C (24) * 3600 * SECOND);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_value (kv, "claims/svc/2"));
  tm_advance (tm, UINT64_C (27) * 3600 * SECOND);
  CU_ASSERT_EQUAL (fake_kv_count (kv, "claims/"), 0);
  tear_down ();
}

/* Guards against overwriting claims of other calls.  */
static void
test_foreign_claim (void)
{
  int64_t revision;
  int outcome;

  set_up ();
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/1", 1, SECOND),
                   CS_CLAIM_GRANTED);
  revision = fake_kv_revision (kv, "claims/svc/1");
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_COMPLETE, "svc/1", 2, SECOND),
                   CS_CLAIM_HELD);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_RELEASE, "svc/1", 2, SECOND),
                   CS_CLAIM_HELD);
  CU_ASSERT_EQUAL (fake_kv_revision (kv, "claims/svc/1"), revision);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_COMPLETE, "svc/1", 1, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/1", 3, SECOND),
                   CS_CLAIM_DONE);
  /* Completing a missing claim creates it.  A released claim is not reopened.
   */
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_COMPLETE, "svc/2", 1, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_RELEASE, "svc/3", 1, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/3", 1, SECOND),
                   CS_CLAIM_UNAVAILABLE);
  /* Nor does a keeper open it for another instance, whose message may be a
   delayed duplicate.  */
  submit_by (submit_remote, CS_CLAIM_OPEN, "svc/3", 2, &outcome);
  tm_advance (tm, tm_now_us (tm) + SECOND);
  CU_ASSERT_EQUAL (outcome, CS_CLAIM_UNAVAILABLE);
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/3", 2, SECOND),
                   CS_CLAIM_GRANTED);
  fake_kv_put (kv, "claims/svc/4", "{\"claim_id\":\"1\"");
  CU_ASSERT_EQUAL (submit_and_advance (CS_CLAIM_OPEN, "svc/4", 1, SECOND),
                   CS_CLAIM_HELD);
  tear_down ();
}

/* Guards against a wrong outcome after a lost reply.  The faults affect the
   first write of a claim or all calls.  */
static void
test_faults (void)
{
  static const struct
  {
    enum fake_kv_fault fault;
    uint32_t count;
    cs_claim_kind kind;
    int outcome;
  } cases[] = {
    { FAKE_KV_REPLY_LOST, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_REQUEST_LOST, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_EFFECT_DELAYED, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_SLOW, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_REPLY_LOST, 9, CS_CLAIM_OPEN, CS_CLAIM_UNKNOWN },
    { FAKE_KV_REQUEST_LOST, 9, CS_CLAIM_OPEN, CS_CLAIM_UNKNOWN },
    { FAKE_KV_UNAVAILABLE, 9, CS_CLAIM_OPEN, CS_CLAIM_UNAVAILABLE },
    { FAKE_KV_UNAVAILABLE, 3, CS_CLAIM_COMPLETE, CS_CLAIM_GRANTED },
    { FAKE_KV_UNAVAILABLE, 3, CS_CLAIM_RELEASE, CS_CLAIM_GRANTED },
    { FAKE_KV_REPLY_LOST, 1, CS_CLAIM_COMPLETE, CS_CLAIM_GRANTED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      set_up ();
      (void)submit_and_advance (CS_CLAIM_OPEN, "svc/other", 9, SECOND);
      fake_kv_inject_faults (kv, cases[i].fault, cases[i].count);
      CU_ASSERT_EQUAL (
          submit_and_advance (cases[i].kind, "svc/1", 1, 20 * SECOND),
          cases[i].outcome);
      tear_down ();
    }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "batching", test_batching },
          { "lease", test_lease },
          { "claims of other calls", test_foreign_claim },
          { "faults", test_faults },
          { NULL, NULL } };

  return unit_main ("clm_batch", tests);
}
