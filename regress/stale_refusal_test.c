#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that a refusal which does not belong to a request, because its
   endpoint sends that of an earlier one again on a kept connection, does not
   count as an answer to it: the endpoint may be running the request.  */

#define REFUSAL(status, id)                                                   \
  "HTTP/1.1 " status " X\r\nX-Cowslipcove-Not-Executed: 1\r\n" id             \
  "Content-Length: 2\r\n\r\nno"
#define RESPONSE GWF_OK_HEAD "Content-Length: 1\r\n\r\nA"

static const struct wire_script warm_up
    = { GWF_OK_HEAD "Content-Length: 1\r\n\r\nW", WIRE_KEEP, false };

static const struct wire_script second = { GWF_RESPONSE_B, WIRE_KEEP, false };

/* Send BYTES and fail, naming TEST, unless the caller gets STATUS and BODY. */
static void
check_call (const char *test, const char *bytes, uint16_t status,
            const char *body)
{
  struct wire_caller *caller = gwf_call (bytes, 1);

  if (wire_caller_status (caller) != status
      || strcmp (wire_caller_body (caller), body) != 0)
    {
      printf ("\n%s: status %u, body \"%s\"\n", test,
              wire_caller_status (caller), wire_caller_body (caller));
      CU_FAIL ("case");
    }
  gwf_end_call (caller);
}

static void
check_next_call (const char *test, const char *path, uint16_t status,
                 const char *body)
{
  char *bytes = gwf_request_text (path);

  check_call (test, bytes, status, body);
  g_free (bytes);
}

/* Let the first endpoint respond with SCRIPTS and the second one accept all
   requests.  */
static void
set_up (const struct wire_script *scripts, size_t count)
{
  gwf_start ();
  gwf_reset_endpoints ();
  wire_endpoint_set_scripts (gwf_endpoints[0], scripts, count);
  gwf_set_script (1, &second);
}

/* Guards against a refusal of a request that its endpoint sends again when the
   same request, with the same id, comes once more.  */
static void
test_same_request (void)
{
  static const struct wire_script scripts[]
      = { { REFUSAL ("503", GWF_ECHO_ID), WIRE_KEEP, false },
          { RESPONSE, WIRE_KEEP, false } };

  set_up (scripts, 2);
  gwf_set_script (1, &scripts[0]);
  check_next_call ("same request", "once", 200, "A");
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 2);
  CU_ASSERT_EQUAL (wire_endpoint_connections (gwf_endpoints[0]), 2);
}

/* Guards against the refusal of an earlier request for a request without an
   id, whose responses cannot be told from those of others.  */
static void
test_request_without_id (void)
{
  static const struct wire_script scripts[]
      = { warm_up,
          { "HTTP/1.1 200 OK\r\n" GWF_SEAL "Content-Length: 1\r\n\r\nA",
            WIRE_KEEP, false } };

  set_up (scripts, 2);
  check_next_call ("warm-up", "once", 200, "W");
  check_call ("request without an id",
              "POST /once/x HTTP/1.1\r\nHost: h\r\n\r\n", 200, "A");
  CU_ASSERT_EQUAL (wire_endpoint_connections (gwf_endpoints[0]), 2);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "same request", test_same_request },
          { "request without an id", test_request_without_id },
          { NULL, NULL } };

  return unit_main ("stale refusal", tests);
}
