#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that timers do not expire for what has arrived while this process did
   not run, for example because a large configuration was installed or its
   processor time was used up: the sockets are read first.  */

/* Longer than the time limit of the caller.  */
#define DEADLINE_STALL_MS 1200
/* Longer than an idempotent request waits for its first endpoint.  */
#define HEDGE_STALL_MS 500
/* Longer than HeaderTimeoutMs of the configuration.  */
#define HEAD_STALL_MS 3200
#define PAUSE_MS      300

#define EVENT(n) "id: " n "\ndata: x\n\n"

static void
stall (uint32_t stall_ms)
{
  g_usleep (stall_ms * GW_US_PER_MS);
}

static struct wire_caller *
send_request (const char *path, const char *response)
{
  static struct wire_script script;
  static const struct wire_script other = { GWF_RESPONSE_B, WIRE_KEEP, false };
  char *bytes = gwf_request_text (path);
  struct wire_caller *caller;

  gwf_start ();
  script = (struct wire_script){ response, WIRE_KEEP, false };
  gwf_reset_endpoints ();
  gwf_set_script (0, &script);
  gwf_set_script (1, &other);
  wire_endpoint_set_pause (gwf_endpoints[0], PAUSE_MS);
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), bytes);
  g_free (bytes);
  return caller;
}

/* Wait for the response to CALLER, whose body must be BODY.  */
static void
check_response (struct wire_caller *caller, const char *body)
{
  while (!gwf_call_is_done (caller, 1))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (wire_caller_responses (caller), 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), body);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[1]), 0);
  gwf_end_call (caller);
}

/* Guards against a response that is ready and is replaced by an own 504.  */
static void
test_deadline (void)
{
  struct wire_caller *caller
      = send_request ("once", GWF_OK_HEAD "Content-Length: 3\r\n\r\nabc");

  while (wire_endpoint_requests (gwf_endpoints[0]) == 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  stall (DEADLINE_STALL_MS);
  check_response (caller, "abc");
}

/* Guards against a response that is ready and is given up for that of another
   endpoint.  */
static void
test_hedge (void)
{
  struct wire_caller *caller
      = send_request ("again", GWF_OK_HEAD "Content-Length: 3\r\n\r\nabc");

  while (wire_endpoint_requests (gwf_endpoints[0]) == 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  stall (HEDGE_STALL_MS);
  check_response (caller, "abc");
}

/* Guards against a stream that is cut although its end has arrived.  */
static void
test_stream (void)
{
  struct wire_caller *caller = send_request (
      "flow", GWF_EVENTS GWF_EVENT ("1") "|" GWF_EVENT ("2") "0\r\n\r\n");

  while (strcmp (wire_caller_body (caller), EVENT ("1")) != 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  stall (DEADLINE_STALL_MS);
  check_response (caller, EVENT ("1") EVENT ("2"));
}

/* Guards against closing the connection of a caller whose whole request has
   arrived, without an answer or a refusal.  */
static void
test_request_head (void)
{
  static const struct wire_script script
      = { GWF_OK_HEAD "Content-Length: 3\r\n\r\nabc", WIRE_KEEP, false };
  char *bytes = gwf_patient_request_text ("once", 2 * HEAD_STALL_MS);
  char *rest = strstr (bytes, "Content-Length");
  char *start = g_strndup (bytes, (gsize)(rest - bytes));
  struct wire_caller *caller;

  gwf_start ();
  gwf_reset_endpoints ();
  gwf_set_script (0, &script);
  gwf_set_script (1, NULL);
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), start);
  while (h1_server_connections (gwf_gw.callers) == 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  for (int i = 0; i < 10; i++)
    {
      g_usleep (GW_US_PER_MS);
      uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
    }
  wire_caller_send (caller, rest);
  stall (HEAD_STALL_MS);
  check_response (caller, "abc");
  g_free (start);
  g_free (bytes);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "deadline", test_deadline },
          { "hedge", test_hedge },
          { "stream", test_stream },
          { "request in two parts", test_request_head },
          { NULL, NULL } };

  return unit_main ("stall", tests);
}
