#include "psn.h"
#include "unit.h"

#define SECOND_US 1000000ULL

static struct tm_service *tm;
static struct psn_table *table;
static uint32_t notifications;

static void
on_changed (void *arg, uint64_t fingerprint, uint32_t crashes)
{
  (void)arg;
  (void)fingerprint;
  (void)crashes;
  notifications++;
}

static void
begin (void)
{
  tm = tm_new (1000 * SECOND_US);
  table = psn_new (tm, on_changed, NULL);
  notifications = 0;
}

static void
finish (void)
{
  psn_free (table);
  tm_free (tm);
}

static void
wait_us (uint64_t us)
{
  tm_advance (tm, tm_now_us (tm) + us);
}

/* Guards against a crash that is counted once per lost connection.  */
static void
test_one_crash (void)
{
  struct psn_run attempts[3] = { 0 };

  begin ();
  for (int i = 0; i < 3; i++)
    psn_begin (table, &attempts[i], i < 2 ? 7 : 8, "e1");
  for (int i = 0; i < 3; i++)
    {
      wait_us (1000);
      psn_connection_lost (table, &attempts[i]);
      psn_end (table, &attempts[i], false);
    }
  CU_ASSERT_EQUAL (psn_crashes (table, 7), 1);
  CU_ASSERT_EQUAL (psn_crashes (table, 8), 1);
  CU_ASSERT_EQUAL (notifications, 2);
  finish ();
}

/* Guards against a crash that is counted both by a peer and locally, and
   against a second crash that is mistaken for the first.  */
static void
test_peer (void)
{
  struct psn_run attempt = { 0 };

  begin ();
  psn_begin (table, &attempt, 7, "e1");
  wait_us (1000);
  psn_merge (table, 7, 1, 0);
  wait_us (1000);
  psn_connection_lost (table, &attempt);
  psn_end (table, &attempt, false);
  CU_ASSERT_EQUAL (psn_crashes (table, 7), 1);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_SUSPECT);
  psn_begin (table, &attempt, 7, "e1");
  wait_us (1000);
  psn_connection_lost (table, &attempt);
  psn_end (table, &attempt, false);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_POISON);
  psn_merge (table, 7, 1, 0);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_POISON);
  finish ();
}

/* Guards against a suspicion that is not cleared by a complete response, by a
   report of a peer or after ten minutes.  */
static void
test_end (void)
{
  struct psn_run attempt = { 0 };

  begin ();
  psn_merge (table, 7, 1, 0);
  psn_begin (table, &attempt, 7, "e1");
  CU_ASSERT_EQUAL (psn_suspects_at (table, "e1"), 1);
  psn_end (table, &attempt, true);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_CLEAR);
  CU_ASSERT_EQUAL (psn_suspects_at (table, "e1"), 0);
  psn_merge (table, 7, 2, 0);
  psn_merge (table, 7, 0, 0);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_CLEAR);
  wait_us (5 * SECOND_US);
  psn_merge (table, 7, 2, 1000);
  wait_us (598 * SECOND_US);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_POISON);
  wait_us (SECOND_US);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_CLEAR);
  finish ();
}

/* Guards against repeated reports of peers that restore a cleared suspicion,
   and against a clearance that hides a later crash.  */
static void
test_repeated (void)
{
  struct psn_run attempt = { 0 };

  begin ();
  psn_merge (table, 7, 1, 0);
  wait_us (50000);
  psn_begin (table, &attempt, 7, "e1");
  psn_end (table, &attempt, true);
  for (uint32_t age_ms = 0; age_ms < 5000; age_ms += 1000)
    {
      psn_merge (table, 7, 1, 50 + age_ms);
      CU_ASSERT_EQUAL (psn_check (table, 7), PSN_CLEAR);
      wait_us (SECOND_US);
    }
  psn_merge (table, 7, 1, 0);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_SUSPECT);
  psn_merge (table, 7, 0, 1500);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_SUSPECT);
  psn_merge (table, 7, 0, 0);
  CU_ASSERT_EQUAL (psn_check (table, 7), PSN_CLEAR);
  finish ();
}

int
main (void)
{
  static const struct unit_test tests[] = { { "one crash", test_one_crash },
                                            { "peer", test_peer },
                                            { "end", test_end },
                                            { "repeated", test_repeated },
                                            { NULL, NULL } };

  return unit_main ("psn", tests);
}
