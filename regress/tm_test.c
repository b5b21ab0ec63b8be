#include "tm.h"
#include "unit.h"

static char fired[8];
static size_t fired_count;

static void
on_timer (void *arg)
{
  fired[fired_count++] = *(const char *)arg;
}

/* Guards against timers that fire out of order or twice.  */
static void
test_order (void)
{
  struct tm_service *tm = tm_new (1000);
  struct tm_timer a = { 0 };
  struct tm_timer b = { 0 };
  struct tm_timer c = { 0 };

  fired_count = 0;
  tm_after (tm, &b, 20, on_timer, "b");
  tm_after (tm, &c, 20, on_timer, "c");
  tm_after (tm, &a, 10, on_timer, "a");
  tm_advance (tm, 1015);
  CU_ASSERT_EQUAL (fired_count, 1);
  CU_ASSERT_EQUAL (tm_now_us (tm), 1015);
  tm_advance (tm, 2000);
  CU_ASSERT_EQUAL (fired_count, 3);
  CU_ASSERT_NSTRING_EQUAL (fired, "abc", 3);
  tm_free (tm);
}

/* Guards against a cancelled timer that still fires.  */
static void
test_cancel (void)
{
  struct tm_service *tm = tm_new (0);
  struct tm_timer a = { 0 };

  fired_count = 0;
  tm_after (tm, &a, 10, on_timer, "a");
  CU_ASSERT_TRUE (tm_pending (&a));
  tm_cancel (tm, &a);
  CU_ASSERT_EQUAL (tm_next_due_us (tm), UINT64_MAX);
  tm_advance (tm, 100);
  CU_ASSERT_EQUAL (fired_count, 0);
  tm_free (tm);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "order", test_order }, { "cancel", test_cancel }, { NULL, NULL } };

  return unit_main ("tm", tests);
}
