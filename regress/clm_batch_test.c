#include <string.h>

#include "clm_batch.h"
#include "fake_kv.h"
#include "unit.h"

#define SECOND UINT64_C (1000000)
#define LIMIT  (3 * SECOND)

static struct tm_service *tm;
static struct fake_kv *kv;
static struct kv_store store;
static struct clm_batch *batch;
static gsl_rng *random_numbers;
static char none[] = "";
static char me[] = "me";

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
on_answer (void *arg, const cs_claim_reply *reply)
{
  *(int *)arg = (int)reply->outcome;
}

typedef void (*submit_how) (struct clm_batch *to, const cs_claim *claim,
                            uint64_t limit_us, clm_done done, void *arg);

static void
serve (struct clm_batch *to, const cs_claim *claim, uint64_t limit_us,
       clm_done done, void *arg)
{
  (void)limit_us;
  clm_batch_submit_remote (to, claim, done, arg);
}

static void
submit_by (submit_how how, cs_claim_kind kind, const char *key, uint64_t id,
           int *outcome)
{
  cs_claim claim = { .kind = kind,
                     .key = (char *)key,
                     .claim_id = id,
                     .owner = me,
                     .owner_incarnation = 7,
                     .status = 200,
                     .content_type = none };

  *outcome = -1;
  how (batch, &claim, LIMIT, on_answer, outcome);
}

static void
submit (cs_claim_kind kind, const char *key, uint64_t id, int *outcome)
{
  submit_by (clm_batch_submit, kind, key, id, outcome);
}

static int
run (cs_claim_kind kind, const char *key, uint64_t id, uint64_t for_us)
{
  int outcome;

  submit (kind, key, id, &outcome);
  tm_advance (tm, tm_now_us (tm) + for_us);
  return outcome;
}

/* Guards against a transaction per claim, one that is too large for the store
   and one that writes a key twice.  */
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

/* Guards against claims that vanish with their lease, and against a batcher
   that goes on with a lease that no longer exists.  */
static void
test_lease (void)
{
  set_up ();
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/1", 1, SECOND), CS_CLAIM_GRANTED);
  fake_kv_expire (kv, 1000);
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/2", 2, SECOND), CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (clm_batch_stats (batch).leases, 2);
  tm_advance (tm, 3602 * SECOND);
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/3", 3, SECOND), CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (clm_batch_stats (batch).leases, 3);
  tm_advance (tm, UINT64_C (24) * 3600 * SECOND);
  CU_ASSERT_PTR_NOT_NULL (fake_kv_value (kv, "claims/svc/2"));
  tm_advance (tm, UINT64_C (27) * 3600 * SECOND);
  CU_ASSERT_EQUAL (fake_kv_count (kv, "claims/"), 0);
  tear_down ();
}

/* Guards against writing over what is not one's own.  */
static void
test_other (void)
{
  int64_t revision;
  int outcome;

  set_up ();
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/1", 1, SECOND), CS_CLAIM_GRANTED);
  revision = fake_kv_revision (kv, "claims/svc/1");
  CU_ASSERT_EQUAL (run (CS_CLAIM_COMPLETE, "svc/1", 2, SECOND), CS_CLAIM_HELD);
  CU_ASSERT_EQUAL (run (CS_CLAIM_RELEASE, "svc/1", 2, SECOND), CS_CLAIM_HELD);
  CU_ASSERT_EQUAL (fake_kv_revision (kv, "claims/svc/1"), revision);
  CU_ASSERT_EQUAL (run (CS_CLAIM_COMPLETE, "svc/1", 1, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/1", 3, SECOND), CS_CLAIM_DONE);
  /* A claim that is gone is completed, a released one not opened again.  */
  CU_ASSERT_EQUAL (run (CS_CLAIM_COMPLETE, "svc/2", 1, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (run (CS_CLAIM_RELEASE, "svc/3", 1, SECOND),
                   CS_CLAIM_GRANTED);
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/3", 1, SECOND),
                   CS_CLAIM_UNAVAILABLE);
  /* A keeper does not open it for others: this may be a late copy.  */
  submit_by (serve, CS_CLAIM_OPEN, "svc/3", 2, &outcome);
  tm_advance (tm, tm_now_us (tm) + SECOND);
  CU_ASSERT_EQUAL (outcome, CS_CLAIM_UNAVAILABLE);
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/3", 2, SECOND), CS_CLAIM_GRANTED);
  fake_kv_put (kv, "claims/svc/4", "{\"claim_id\":\"1\"");
  CU_ASSERT_EQUAL (run (CS_CLAIM_OPEN, "svc/4", 1, SECOND), CS_CLAIM_HELD);
  tear_down ();
}

/* Guards against a lost answer that is taken as an effect or as none.  The
   faults hit the write of a claim, or every call.  */
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
    { FAKE_KV_ANSWER_LOST, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_REQUEST_LOST, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_LATE, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_SLOW, 1, CS_CLAIM_OPEN, CS_CLAIM_GRANTED },
    { FAKE_KV_ANSWER_LOST, 9, CS_CLAIM_OPEN, CS_CLAIM_UNKNOWN },
    { FAKE_KV_REQUEST_LOST, 9, CS_CLAIM_OPEN, CS_CLAIM_UNKNOWN },
    { FAKE_KV_UNAVAILABLE, 9, CS_CLAIM_OPEN, CS_CLAIM_UNAVAILABLE },
    { FAKE_KV_UNAVAILABLE, 3, CS_CLAIM_COMPLETE, CS_CLAIM_GRANTED },
    { FAKE_KV_UNAVAILABLE, 3, CS_CLAIM_RELEASE, CS_CLAIM_GRANTED },
    { FAKE_KV_ANSWER_LOST, 1, CS_CLAIM_COMPLETE, CS_CLAIM_GRANTED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      set_up ();
      (void)run (CS_CLAIM_OPEN, "svc/other", 9, SECOND);
      fake_kv_fault_next (kv, cases[i].fault, cases[i].count);
      CU_ASSERT_EQUAL (run (cases[i].kind, "svc/1", 1, 20 * SECOND),
                       cases[i].outcome);
      tear_down ();
    }
}

int
main (void)
{
  static const struct unit_test tests[] = { { "batching", test_batching },
                                            { "lease", test_lease },
                                            { "other", test_other },
                                            { "faults", test_faults },
                                            { NULL, NULL } };

  return unit_main ("clm_batch", tests);
}
