#include "gw_fixture.h"
#include "unit.h"

/* Tests that the leader learns what an instance needs although one caller
   named a model whose name is too long for messages between instances.  */

#define NAME_CHARS 500
#define WAIT_US    3000000

static struct gw second;

static void
wait_for (struct gw_demand *demand)
{
  demand->active = 1;
  demand->waiting = 1;
}

/* Return whether the leader LEADER knows that INSTANCE needs MODEL.  */
static bool
is_known (const struct gw *leader, const char *instance, const char *model)
{
  uint64_t start_us = tm_now_us (gwf_gw.tm);

  while (!res_has_demand (leader->res, instance, model)
         && tm_now_us (gwf_gw.tm) - start_us < WAIT_US)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  return res_has_demand (leader->res, instance, model);
}

/* Guards against demand reports that are lost as a whole.  */
static void
test_long_name (void)
{
  char *name = g_strnfill (NAME_CHARS, 'm');
  struct gw *leader;
  struct gw *other;

  gwf_start ();
  gwf_start_instance (&second, "i2");
  while (ldr_leader (gwf_gw.ldr) == NULL || ldr_leader (second.ldr) == NULL
         || ldr_members (second.ldr)->len < 2)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  leader = ldr_is_leader (gwf_gw.ldr) ? &gwf_gw : &second;
  other = leader == &second ? &gwf_gw : &second;
  wait_for (gw_demand (other, "known"));
  CU_ASSERT_TRUE (is_known (leader, other->settings->instance, "known"));
  wait_for (gw_demand (other, name));
  wait_for (gw_demand (other, "rare"));
  CU_ASSERT_TRUE (is_known (leader, other->settings->instance, "rare"));
  g_free (name);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "long name", test_long_name }, { NULL, NULL } };

  return unit_main ("demand name", tests);
}
