#include <stdlib.h>

#include "plc_gaps.h"
#include "unit.h"

#define S UINT64_C (1000000)

/* A model whose gaps are GAP_US long, COUNT times, and the expected time for
   a load of one second, between LEAST_S and MOST_S.  */
struct keep_case
{
  uint64_t gap_us[2];
  uint32_t count[2];
  uint64_t least_s;
  uint64_t most_s;
};

/* Guards against a replica that is kept in vain because its model's gaps are
   longer than any keep-alive time, and against one that is unloaded within
   gaps that are shorter than a reload is dear.  */
static void
test_keep_alive (void)
{
  static const struct keep_case cases[] = {
    { { 2 * S, 0 }, { 0, 0 }, 3, 3 },          /* nothing known */
    { { 2 * S, 0 }, { 20, 0 }, 2, 4 },         /* all gaps are short */
    { { 60 * S, 0 }, { 20, 0 }, 2, 2 },        /* all gaps are long */
    { { 2 * S, 60 * S }, { 18, 2 }, 2, 4 },    /* most are short */
    { { 2 * S, 60 * S }, { 2, 18 }, 2, 2 },    /* most are long */
    { { 2 * S, 1000 * S }, { 10, 10 }, 2, 4 }, /* half of them */
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct plc_gaps gaps = { 0 };
      uint64_t keep_us;

      for (int kind = 0; kind < 2; kind++)
        for (uint32_t n = 0; n < cases[i].count[kind]; n++)
          plc_gaps_add (&gaps, cases[i].gap_us[kind]);
      keep_us = plc_gaps_keep_alive_us (&gaps, S, 2000, 600000);
      CU_ASSERT (keep_us >= cases[i].least_s * S);
      CU_ASSERT (keep_us <= cases[i].most_s * S);
    }
}

/* Guards against a time outside the operator's limits.  */
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
