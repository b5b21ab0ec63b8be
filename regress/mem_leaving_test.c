#include <string.h>

#include <glib.h>

#include "mem_leaving.h"
#include "unit.h"

#define SECOND_US 1000000

struct seen
{
  bool leaving;
  uint32_t changes;
};

static void
on_changed (void *arg, const char *endpoint, bool leaving)
{
  struct seen *seen = arg;

  if (strcmp (endpoint, "e") != 0)
    return;
  seen->leaving = leaving;
  seen->changes++;
}

static void
list (struct mem_leaving *leaving, const char *state)
{
  mem_leaving_list_begin (leaving);
  if (strcmp (state, "empty") != 0)
    mem_leaving_list_item (leaving, "other", false);
  if (strcmp (state, "live") == 0 || strcmp (state, "leaving") == 0)
    mem_leaving_list_item (leaving, "e", strcmp (state, "leaving") == 0);
  mem_leaving_list_end (leaving);
}

static void
apply (struct mem_leaving *leaving, const char *step)
{
  static const char *const named[] = { "e" };

  if (g_str_has_prefix (step, "list "))
    list (leaving, step + 5);
  else if (strcmp (step, "forget") == 0)
    mem_leaving_list_clear (leaving);
  else if (strcmp (step, "refused") == 0)
    mem_leaving_connect_refused (leaving, "e", true);
  else if (g_str_has_prefix (step, "report "))
    mem_leaving_engine_report (leaving, "e",
                               strcmp (step + 7, "leaving") == 0);
  else
    mem_leaving_peer_report (leaving, "p", named, strcmp (step, "peer") == 0);
}

/* Guards against an endpoint that gets work after the first sign that it
   leaves, or that never gets work again.  Each case: steps, a second apart,
   then the expected state; WAIT_S more seconds pass before the second one.  */
static void
test_signs (void)
{
  static const struct
  {
    const char *steps[3];
    uint32_t leaving;
    uint32_t wait_s;
    uint32_t leaving_later;
    uint32_t own;
  } cases[] = {
    { { "list leaving" }, true, 60, true, true },
    { { "list leaving", "list live" }, false, 0, false, false },
    { { "report leaving", "list live" }, true, 60, true, true },
    { { "report leaving", "report live" }, false, 0, false, false },
    { { "list leaving", "report live" }, true, 0, true, true },
    { { "list live", "list missing" }, true, 60, true, true },
    { { "list missing" }, false, 0, false, false },
    { { "list live", "list empty" }, false, 0, false, false },
    { { "report live", "list live", "list missing" }, false, 10, true, true },
    { { "list leaving", "forget" }, false, 0, false, false },
    { { "refused" }, true, 11, false, false },
    { { "refused", "report live" }, false, 0, false, false },
    { { "peer" }, true, 11, false, false },
    { { "peer", "peer silent" }, false, 0, false, false },
    { { "peer", "list live" }, true, 0, true, false },
    { { "peer", "refused", "peer silent" }, true, 0, true, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct tm_service *tm = tm_new (SECOND_US);
      struct seen seen = { false, 0 };
      struct mem_leaving *leaving = mem_leaving_new (tm, on_changed, &seen);
      GPtrArray *own;

      for (size_t s = 0; s < 3 && cases[i].steps[s] != NULL; s++)
        {
          tm_advance (tm, tm_now_us (tm) + SECOND_US);
          apply (leaving, cases[i].steps[s]);
        }
      if (seen.leaving != cases[i].leaving)
        fprintf (stderr, "case %zu\n", i);
      CU_ASSERT_EQUAL (seen.leaving, cases[i].leaving);
      tm_advance (tm, tm_now_us (tm) + cases[i].wait_s * SECOND_US);
      CU_ASSERT_EQUAL (seen.leaving, cases[i].leaving_later);
      CU_ASSERT_TRUE (seen.changes <= 2);
      own = mem_leaving_local (leaving);
      CU_ASSERT_EQUAL (own->len > 0, cases[i].own);
      g_ptr_array_free (own, TRUE);
      mem_leaving_free (leaving);
      tm_free (tm);
    }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "signs", test_signs }, { NULL, NULL } };

  return unit_main ("mem_leaving", tests);
}
