#include <stdlib.h>

#include "plc_gaps.h"
#include "unit.h"

#define S UINT64_C (1000000)

/* COUNT gaps of GAP_US each between the requests of a model, and the range
   MIN_S to MAX_S of the expected keep-alive time if a load takes one second.
   */
struct keep_alive_case
{
  uint64_t gap_us[2];
  uint32_t count[2];
  uint64_t min_s;
  uint64_t max_s;
};

/* Guards against a replica that is kept although the gaps of its model are
   longer than any keep-alive time, and against one that is unloaded in gaps
   that are too short to be worth the cost of a reload.  */
static void
test_keep_alive (void)
{
  static const struct keep_alive_case cases[] = {
    { { 2 * S, 0 }, { 0, 0 }, 3, 3 },          /* no gaps recorded */
    { { 2 * S, 0 }, { 20, 0 }, 2, 4 },         /* all short */
    { { 60 * S, 0 }, { 20, 0 }, 2, 2 },        /* all long */
    { { 2 * S, 60 * S }, { 18, 2 }, 2, 4 },    /* most short */
    { { 2 * S, 60 * S }, { 2, 18 }, 2, 2 },    /* most long */
    { { 2 * S, 1000 * S }, { 10, 10 }, 2, 4 }, /* half short */
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct plc_gaps gaps = { 0 };
      uint64_t keep_us;

      for (int kind = 0; kind < 2; kind++)
        for (uint32_t n = 0; n < cases[i].count[kind]; n++)
          plc_gaps_add (&gaps, cases[i].gap_us[kind]);
      keep_us = plc_gaps_keep_alive_us (&gaps, S, 2000, 600000);
      CU_ASSERT (keep_us >= cases[i].min_s * S);
      CU_ASSERT (keep_us <= cases[i].max_s * S);
    }
}

/* Guards against a keep-alive time outside the operator's limits.  */
static void
test_limits (void)
{
  struct plc_gaps gaps = { 0 };

  CU_ASSERT_EQUAL (plc_gaps_keep_alive_us (&gaps, 100 * S, 1000, 5000), 5 * S);
  CU_ASSERT_EQUAL (plc_gaps_keep_alive_us (&gaps, 0, 1000, 5000), S);
  for (int i = 0; i < 10; i++)
    plc_gaps_add (&gaps, 20 * S);
  CU_ASSERT_EQUAL (plc_gaps_keep_alive_us (&gaps, 100 * S, 1000, 5000), S);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "keep alive", test_keep_alive },
                                            { "limits", test_limits },
                                            { NULL, NULL } };

  return unit_main ("plc_gaps", tests);
}
