#include <stdio.h>

#include "gw_fixture.h"
#include "unit.h"

/* Guards against a response whose status is none of HTTP's, such as 000, that
   reaches the caller or is waited for until the time limit.  It is no answer:
   a request that may be repeated is sent to another endpoint, and the caller
   of any other one learns that its endpoint failed.  */
static void
test_statuses (void)
{
  static const char *const statuses[]
      = { "000 E", "000", "001 E", "099 E", "600 E", "999 E" };

  gwf_start ();
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      char *response = g_strdup_printf ("HTTP/1.1 %s\r\n" GWF_SEAL GWF_ECHO_ID
                                        "Content-Length: 1\r\n\r\na",
                                        statuses[i]);
      char *once_name = g_strdup_printf ("%s, once", statuses[i]);
      char *again_name = g_strdup_printf ("%s, again", statuses[i]);
      const struct gwf_case cases[] = { { once_name,
                                          "once",
                                          { response, WIRE_KEEP, false },
                                          { GWF_RESPONSE_B, WIRE_KEEP, false },
                                          502,
                                          "",
                                          true,
                                          false },
                                        { again_name,
                                          "again",
                                          { response, WIRE_KEEP, false },
                                          { GWF_RESPONSE_B, WIRE_KEEP, false },
                                          200,
                                          "B",
                                          true,
                                          true } };

      gwf_run_cases (cases, G_N_ELEMENTS (cases));
      g_free (again_name);
      g_free (once_name);
      g_free (response);
    }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "statuses out of range", test_statuses }, { NULL, NULL } };

  return unit_main ("status_range", tests);
}
