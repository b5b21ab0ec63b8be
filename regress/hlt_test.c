#include <stdio.h>
#include <string.h>

#include "hlt.h"
#include "rty.h"
#include "unit.h"

#define ENDPOINTS 7
#define MS        1000ULL
#define SECOND_US 1000000ULL

static struct tm_service *tm;
static struct hlt_health *health;
static uint32_t ejections;
static uint32_t readmissions;
static uint32_t probes;

static const char *
name (uint32_t endpoint)
{
  static const char *const names[ENDPOINTS]
      = { "a", "b", "c", "d", "e", "f", "g" };

  return names[endpoint];
}

static void
on_ejected (void *arg, const char *address, bool ejected)
{
  (void)arg;
  (void)address;
  if (ejected)
    ejections++;
  else
    readmissions++;
}

static void
on_probe (void *arg, const char *address)
{
  (void)arg;
  (void)address;
  probes++;
}

static void
begin (void)
{
  static const struct hlt_actions actions = { on_ejected, on_probe };

  ejections = readmissions = probes = 0;
  tm = tm_new (SECOND_US);
  health = hlt_new (tm, &actions, NULL);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    hlt_add (health, "p", name (i));
}

static void
finish (void)
{
  hlt_free (health);
  tm_free (tm);
}

/* Add COUNT samples per endpoint: SLOW_MS for the first SLOW endpoints, 20 ms
   for the others.  */
static void
add_samples (uint32_t count, uint32_t slow, uint64_t slow_ms)
{
  for (uint32_t r = 0; r < count; r++)
    for (uint32_t i = 0; i < ENDPOINTS; i++)
      hlt_add_sample (health, name (i), (i < slow ? slow_ms : 20) * MS);
}

/* Guards against a slow endpoint that stays in use, and against an ejection on
   fewer than 5 samples.  */
static void
test_eject (void)
{
  begin ();
  add_samples (4, 1, 100);
  CU_ASSERT_EQUAL (ejections, 0);
  add_samples (10, 1, 100);
  CU_ASSERT_EQUAL (ejections, 1);
  CU_ASSERT_EQUAL (hlt_median_us (health, "p"), 20 * MS);
  finish ();
}

/* Guards against an ejection of more than a third of a pool.  */
static void
test_third (void)
{
  begin ();
  add_samples (40, 3, 500);
  CU_ASSERT_EQUAL (ejections, 2);
  CU_ASSERT_EQUAL (hlt_ejected_count (health, "p"), 2);
  finish ();
}

/* Guards against an ejection for a single long request.  */
static void
test_outlier (void)
{
  begin ();
  add_samples (10, 0, 0);
  hlt_add_sample (health, "a", 1000 * MS);
  add_samples (3, 0, 0);
  hlt_add_sample (health, "a", 1000 * MS);
  CU_ASSERT_EQUAL (ejections, 0);
  finish ();
}

/* Guards against an ejected endpoint that is never readmitted, or is
   readmitted while it is still slow.  The interval of the probes doubles from
   5 s to at most 60 s.  */
static void
test_probe (void)
{
  static const uint64_t backoffs_s[] = { 5, 10, 20, 40, 60, 60 };

  begin ();
  add_samples (20, 1, 100);
  for (uint32_t i = 0; i < sizeof backoffs_s / sizeof backoffs_s[0]; i++)
    {
      tm_advance (tm, tm_now_us (tm) + backoffs_s[i] * SECOND_US - 1);
      CU_ASSERT_EQUAL (probes, i);
      tm_advance (tm, tm_now_us (tm) + 1);
      CU_ASSERT_EQUAL (probes, i + 1);
      CU_ASSERT_EQUAL (readmissions, 0);
      hlt_probe_done (health, "a", i % 2 == 0, 100 * MS);
    }
  tm_advance (tm, tm_now_us (tm) + 60 * SECOND_US);
  hlt_probe_done (health, "a", true, 25 * MS);
  CU_ASSERT_EQUAL (readmissions, 1);
  CU_ASSERT_EQUAL (hlt_ejected_count (health, "p"), 0);
  finish ();
}

/* Guards against a hedge delay that does not follow the slow responses.  */
static void
test_p95 (void)
{
  uint64_t p95;

  begin ();
  for (uint32_t i = 0; i < 100; i++)
    hlt_add_sample (health, name (i % ENDPOINTS),
                    (i % 10 == 0 ? 40 : 20) * MS);
  p95 = hlt_p95_us (health, "p");
  CU_ASSERT_TRUE (p95 >= 40 * MS && p95 <= 51 * MS);
  finish ();
}

/* Guards against more retries than the allowed percentage of requests, against
   no retries at all at low rates, and against one class spending another's
   budget.  */
static void
test_budget (void)
{
  struct tm_service *clock = tm_new (SECOND_US);
  struct rty_budgets *budgets = rty_new (clock);
  uint32_t granted = 0;

  rty_set_percent (budgets, 5);
  for (uint32_t i = 0; i < 1000; i++)
    {
      rty_count_request (budgets, "short");
      granted += rty_consume (budgets, "short", RTY_NOT_STARTED);
    }
  /* 5% of 1,000 and the floor of 5.  */
  CU_ASSERT_TRUE (granted >= 50 && granted <= 55);
  CU_ASSERT_EQUAL (rty_consumed (budgets, RTY_NOT_STARTED), granted);
  CU_ASSERT_EQUAL (rty_denied (budgets), 1000 - granted);
  CU_ASSERT_TRUE (rty_consume (budgets, "long", RTY_HEDGE));
  tm_advance (clock, tm_now_us (clock) + 5 * SECOND_US);
  CU_ASSERT_TRUE (rty_consume (budgets, "short", RTY_HEDGE));
  CU_ASSERT_FALSE (rty_consume (budgets, "short", RTY_HEDGE));
  rty_set_percent (budgets, 0);
  CU_ASSERT_FALSE (rty_consume (budgets, "long", RTY_HEDGE));
  rty_free (budgets);
  tm_free (clock);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "eject", test_eject },
                                            { "third", test_third },
                                            { "outlier", test_outlier },
                                            { "probe", test_probe },
                                            { "p95", test_p95 },
                                            { "budget", test_budget },
                                            { NULL, NULL } };

  return unit_main ("hlt", tests);
}
