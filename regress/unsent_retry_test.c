#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that a retry from the budget is not spent on an endpoint that cannot
   be connected.  */

#define PATIENT_MS 1950
#define EVENT(n)   "id: " n "\ndata: x\n\n"

/* Announce the second endpoint at an address where nothing listens.  */
static void
announce_unreachable (void)
{
  char *address = gwf_unused_address ();
  char *text = g_strdup_printf (
      "{\"Service\":\"plain\",\"Address\":\"%s\",\"Zone\":\"z1\","
      "\"Version\":\"v\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":2,\"born\":99}",
      address);

  fake_kv_put (gwf_kv, "servers/e2", text);
  while (strcmp (flt_find (gwf_gw.fleet, "e2")->entry.address, address) != 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  g_free (text);
  g_free (address);
}

static void
allow_one_retry (void)
{
  static const struct rbg_limits one
      = { .extra = 2, .window_ms = 10000, .instances = 1 };

  /* The gateway sets the limits again from time to time.  */
  gwf_gw.settings->retry_ratio = one.ratio;
  gwf_gw.settings->retry_extra = one.extra;
  rbg_set_limits (gwf_gw.budgets, &one);
}

/* Guards against cutting a stream that its endpoint broke off because the only
   retry that is allowed was tried at an endpoint that refused the
   connection.  */
static void
test_refused_connection (void)
{
  static const struct wire_script scripts[]
      = { { GWF_EVENTS GWF_EVENT ("1"), WIRE_RESET, false },
          { GWF_EVENTS GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP, false } };
  char *bytes = gwf_patient_request_text ("resume", PATIENT_MS);
  struct wire_caller *caller;

  gwf_start ();
  announce_unreachable ();
  allow_one_retry ();
  wire_endpoint_set_scripts (gwf_endpoints[0], scripts,
                             G_N_ELEMENTS (scripts));
  caller = gwf_call (bytes, 1);
  CU_ASSERT_EQUAL (wire_caller_responses (caller), 1);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), EVENT ("1") EVENT ("2"));
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 2);
  gwf_end_call (caller);
  g_free (bytes);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "refused connection", test_refused_connection }, { NULL, NULL } };

  return unit_main ("unsent_retry", tests);
}
