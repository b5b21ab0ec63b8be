#include "gw_fixture.h"
#include "unit.h"

/* Tests that requests which crash endpoints stay blocked when the store is
   restored from a copy that lacks their records.  */

/* Crashes that are closer to each other have a common cause.  */
#define CRASH_PAUSE_MS 60
#define CRASHES        3
/* Time in which a leader is elected after a restoration of the store and
   writes the records.  */
#define RESTORED_MS 3000
#define TRAIT       9
#define BLOCKED_KEY "cowslip/blocked/0000000000000009"

static struct gw second;

static void
wait_ms (uint32_t wait_ms)
{
  uint64_t start_us = tm_now_us (gwf_gw.tm);

  while (tm_now_us (gwf_gw.tm) - start_us < wait_ms * GW_US_PER_MS)
    uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
}

static void
start (void)
{
  gwf_start ();
  gwf_start_instance (&second, "i2");
  while (gw_instance_count (&gwf_gw) < 2 || gw_instance_count (&second) < 2
         || gwf_gw.rpc == NULL || second.rpc == NULL)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
}

static void
block (uint64_t trait)
{
  cs_crash event = { .trait = trait };

  for (uint32_t i = 0; i < CRASHES; i++)
    {
      event.crash = i;
      event.place = i;
      event.request = i;
      event.age_ms = i * CRASH_PAUSE_MS;
      gw_blame_add (&gwf_gw, &event);
    }
}

/* Guards against requests that crash endpoints again because the store has
   lost the records of them.  */
static void
test_lost_record (void)
{
  start ();
  fake_kv_copy (gwf_kv);
  block (TRAIT);
  while (!gw_blame_is_saved (&gwf_gw, TRAIT)
         || !gw_blame_is_saved (&second, TRAIT))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  fake_kv_restore (gwf_kv);
  CU_ASSERT_PTR_NULL (fake_kv_value (gwf_kv, BLOCKED_KEY));
  wait_ms (RESTORED_MS);
  CU_ASSERT_TRUE (blm_is_blocked (gwf_gw.blame.table, TRAIT));
  CU_ASSERT_TRUE (blm_is_blocked (second.blame.table, TRAIT));
  CU_ASSERT_PTR_NOT_NULL (fake_kv_value (gwf_kv, BLOCKED_KEY));
}

/* Guards against a block that outlives its record's removal in the same era.
 */
static void
test_removed_record (void)
{
  CU_ASSERT_TRUE (blm_clear (gwf_gw.blame.table, TRAIT, 0));
  wait_ms (RESTORED_MS);
  CU_ASSERT_PTR_NULL (fake_kv_value (gwf_kv, BLOCKED_KEY));
  CU_ASSERT_FALSE (blm_is_blocked (gwf_gw.blame.table, TRAIT));
  CU_ASSERT_FALSE (blm_is_blocked (second.blame.table, TRAIT));
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "lost record", test_lost_record },
          { "removed record", test_removed_record },
          { NULL, NULL } };

  return unit_main ("blocked_restored", tests);
}
