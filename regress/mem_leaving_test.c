#include <string.h>

#include <glib.h>

#include "mem_leaving.h"
#include "unit.h"

#define SECOND_US 1000000

struct observed
{
  bool leaving;
  uint32_t changes;
};

static void
on_changed (void *arg, const char *endpoint, bool leaving)
{
  struct observed *observed = arg;

  if (strcmp (endpoint, "e") != 0)
    return;
  observed->leaving = leaving;
  observed->changes++;
}

static void
apply_list (struct mem_leaving *leaving, const char *state)
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
  static const char *const endpoints[] = { "e" };

  if (g_str_has_prefix (step, "list "))
    apply_list (leaving, step + 5);
  else if (strcmp (step, "forget") == 0)
    mem_leaving_list_clear (leaving);
  else if (strcmp (step, "refused") == 0)
    mem_leaving_connect_refused (leaving, "e", true);
  else if (g_str_has_prefix (step, "report "))
    mem_leaving_engine_report (leaving, "e",
                               strcmp (step + 7, "leaving") == 0);
  else
    mem_leaving_peer_report (leaving, "p", endpoints,
                             strcmp (step, "peer") == 0);
}

/* Guards against requests to an endpoint after the first sign that it is
   leaving, and against an endpoint that is never used again.  Each case has
   steps, one second apart, the state expected after them, and the state
   expected WAIT_S seconds later.  */
static void
test_signs (void)
{
  static const struct
  {
    const char *steps[3];
    uint32_t leaving;
    uint32_t wait_s;
    uint32_t leaving_later;
    uint32_t local;
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
      struct observed observed = { false, 0 };
      struct mem_leaving *leaving
          = mem_leaving_new (tm, on_changed, &observed);
      GPtrArray *local;

      for (size_t s = 0; s < 3 && cases[i].steps[s] != NULL; s++)
        {
          tm_advance (tm, tm_now_us (tm) + SECOND_US);
          apply (leaving, cases[i].steps[s]);
        }
      if (observed.leaving != cases[i].leaving)
        fprintf (stderr, "case %zu\n", i);
      CU_ASSERT_EQUAL (observed.leaving, cases[i].leaving);
      tm_advance (tm, tm_now_us (tm) + cases[i].wait_s * SECOND_US);
      CU_ASSERT_EQUAL (observed.leaving, cases[i].leaving_later);
      CU_ASSERT_TRUE (observed.changes <= 2);
      local = mem_leaving_local (leaving);
      CU_ASSERT_EQUAL (local->len > 0, cases[i].local);
      g_ptr_array_free (local, TRUE);
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
