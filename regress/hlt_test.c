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
static uint32_t returns;
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
    returns++;
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

  ejections = returns = probes = 0;
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

/* The first SLOW endpoints answer in SLOW_MS, the others in 20 ms.  */
static void
rounds (uint32_t count, uint32_t slow, uint64_t slow_ms)
{
  for (uint32_t r = 0; r < count; r++)
    for (uint32_t i = 0; i < ENDPOINTS; i++)
      hlt_add_sample (health, name (i), (i < slow ? slow_ms : 20) * MS);
}

/* Guards against a slow endpoint that stays in use, and against a hasty
   judgement on fewer than 5 samples.  */
static void
test_eject (void)
{
  begin ();
  rounds (4, 1, 100);
  CU_ASSERT_EQUAL (ejections, 0);
  rounds (10, 1, 100);
  CU_ASSERT_EQUAL (ejections, 1);
  CU_ASSERT_EQUAL (hlt_median_us (health, "p"), 20 * MS);
  finish ();
}

/* Guards against an ejection of more than a third of a pool.  */
static void
test_third (void)
{
  begin ();
  rounds (40, 3, 500);
  CU_ASSERT_EQUAL (ejections, 2);
  CU_ASSERT_EQUAL (hlt_ejected_count (health, "p"), 2);
  finish ();
}

/* Guards against an ejection for a single long request.  */
static void
test_outlier (void)
{
  begin ();
  rounds (10, 0, 0);
  hlt_add_sample (health, "a", 1000 * MS);
  rounds (3, 0, 0);
  hlt_add_sample (health, "a", 1000 * MS);
  CU_ASSERT_EQUAL (ejections, 0);
  finish ();
}

/* Guards against an ejected endpoint that never returns, or that returns while
   it is still slow: 5 s, 10 s, 20 s, 40 s, 60 s, 60 s.  */
static void
test_probe (void)
{
  static const uint64_t waits_s[] = { 5, 10, 20, 40, 60, 60 };

  begin ();
  rounds (20, 1, 100);
  for (uint32_t i = 0; i < sizeof waits_s / sizeof waits_s[0]; i++)
    {
      tm_advance (tm, tm_now_us (tm) + waits_s[i] * SECOND_US - 1);
      CU_ASSERT_EQUAL (probes, i);
      tm_advance (tm, tm_now_us (tm) + 1);
      CU_ASSERT_EQUAL (probes, i + 1);
      CU_ASSERT_EQUAL (returns, 0);
      hlt_probe_done (health, "a", i % 2 == 0, 100 * MS);
    }
  tm_advance (tm, tm_now_us (tm) + 60 * SECOND_US);
  hlt_probe_done (health, "a", true, 25 * MS);
  CU_ASSERT_EQUAL (returns, 1);
  CU_ASSERT_EQUAL (hlt_ejected_count (health, "p"), 0);
  finish ();
}

/* Guards against a hedge delay that a few slow answers do not raise.  */
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

/* Guards against repeated attempts beyond the share of requests, against none
   at all at low rates, and against one class spending another's budget.  */
static void
test_budget (void)
{
  struct tm_service *clock = tm_new (SECOND_US);
  struct rty_budgets *budgets = rty_new (clock);
  uint32_t taken = 0;

  rty_set_percent (budgets, 5);
  for (uint32_t i = 0; i < 1000; i++)
    {
      rty_count_request (budgets, "short");
      taken += rty_consume (budgets, "short", RTY_NOT_STARTED);
    }
  /* 5% of 1,000 and the floor of 5.  */
  CU_ASSERT_TRUE (taken >= 50 && taken <= 55);
  CU_ASSERT_EQUAL (rty_consumed (budgets, RTY_NOT_STARTED), taken);
  CU_ASSERT_EQUAL (rty_denied (budgets), 1000 - taken);
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
