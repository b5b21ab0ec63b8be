#include <time.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests the cost of response heads of the longest allowed size.  */

#define NAMES     14000
#define FIELDS    1500
#define RESPONSES 30
/* Linear work takes some tens of milliseconds.  */
#define CPU_MAX_S 2.0

/* Guards against an instance that answers nobody for seconds because each
   field of an endpoint's head is compared with each name in its Connection
   field.  */
static void
test_connection_names (void)
{
  GString *text = g_string_new (GWF_OK_HEAD "Connection: keep-alive");
  struct wire_script long_head = { NULL, WIRE_KEEP, false };
  double start_s = (double)clock () / CLOCKS_PER_SEC;

  for (uint32_t i = 0; i < NAMES; i++)
    g_string_append (text, ",a");
  g_string_append (text, "\r\n");
  for (uint32_t i = 0; i < FIELDS; i++)
    g_string_append (text, "b: c\r\n");
  g_string_append (text, "A: hop\r\nContent-Length: 1\r\n\r\nB");
  long_head.bytes = text->str;
  gwf_start ();
  for (uint32_t i = 0; i < RESPONSES; i++)
    {
      char *bytes = gwf_request_text ("once");
      struct wire_caller *caller;

      gwf_reset_endpoints ();
      gwf_set_script (0, &long_head);
      gwf_set_script (1, &long_head);
      caller = gwf_call (bytes, 1);
      CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
      CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), "B");
      CU_ASSERT_PTR_NOT_NULL (wire_caller_field (caller, "b"));
      CU_ASSERT_PTR_NULL (wire_caller_field (caller, "a"));
      gwf_end_call (caller);
      g_free (bytes);
    }
  CU_ASSERT_TRUE ((double)clock () / CLOCKS_PER_SEC - start_s < CPU_MAX_S);
  gwf_set_script (0, NULL);
  gwf_set_script (1, NULL);
  g_string_free (text, TRUE);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "names in Connection", test_connection_names }, { NULL, NULL } };

  return unit_main ("long_heads", tests);
}
