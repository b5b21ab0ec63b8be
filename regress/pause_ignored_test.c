#include <stdlib.h>
#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that an endpoint which refuses a request and says for how long it
   wants none gets none meanwhile, and that callers do not wait in vain.  */

#define SHORT_MS   200
#define PAUSE_MS   600
#define AT_ONCE_MS 150
/* The leader reads a missing report each 100 ms.  */
#define REPORTS_MS 450
#define LONG_S     9.0
#define REFUSAL(after)                                                        \
  "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\nRetry-After: " after    \
  "\r\n" GWF_ECHO_ID "Content-Length: 0\r\n\r\n"
#define REPORT_REFUSAL                                                        \
  "HTTP/1.1 503 S\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"

static struct gw second;

static const struct wire_script pauses = { REFUSAL ("0.6"), WIRE_KEEP, false };
static const struct wire_script pauses_long
    = { REFUSAL ("10"), WIRE_KEEP, false };
static const struct wire_script pauses_relayed
    = { "HTTP/1.1 503 S\r\nRetry-After: 10\r\n" GWF_SEAL GWF_ECHO_ID
        "Content-Length: 1\r\n\r\nE",
        WIRE_KEEP, false };
static const struct wire_script sound = { GWF_RESPONSE_B, WIRE_KEEP, false };

static uint64_t
elapsed_ms (uint64_t start_us)
{
  return (tm_now_us (gwf_gw.tm) - start_us) / GW_US_PER_MS;
}

static void
wait_ms (uint32_t duration_ms)
{
  uint64_t start_us = tm_now_us (gwf_gw.tm);

  while (elapsed_ms (start_us) < duration_ms)
    uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
}

/* Start both endpoints anew, with SCRIPT for the first one and OTHER for the
   second.  */
static void
restart (const struct wire_script *script, const struct wire_script *other)
{
  gwf_start ();
  gwf_reset_endpoints ();
  for (uint32_t i = 0; i < GWF_ENDPOINTS; i++)
    gwf_restart_endpoint (i);
  gwf_set_script (0, script);
  gwf_set_script (1, other);
}

/* Send a request for the route PATH through GW, and return the call.  */
static struct wire_caller *
send_request (const struct gw *gw, const char *path)
{
  char *bytes = gwf_request_text (path);
  struct wire_caller *caller = gwf_call_instance (gw, bytes, 1);

  g_free (bytes);
  return caller;
}

/* Send a request through GW and return the status of the response.  */
static uint16_t
call (const struct gw *gw)
{
  struct wire_caller *caller = send_request (gw, "once");
  uint16_t status = wire_caller_status (caller);

  gwf_end_call (caller);
  return status;
}

/* Guards against requests to an endpoint that wants none, until the time that
   it has given has passed.  */
static void
test_pause (void)
{
  uint64_t start_us;

  restart (&pauses, &sound);
  start_us = tm_now_us (gwf_gw.tm);
  while (elapsed_ms (start_us) < PAUSE_MS)
    {
      CU_ASSERT_EQUAL (call (&gwf_gw), 200);
      if (elapsed_ms (start_us) < PAUSE_MS)
        CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
      wait_ms (20);
    }
  gwf_set_script (0, &sound);
  CU_ASSERT_EQUAL (call (&gwf_gw), 200);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
}

/* Guards against a pause that outlives the endpoint's process.  */
static void
test_restart (void)
{
  restart (&pauses_long, &sound);
  CU_ASSERT_EQUAL (call (&gwf_gw), 200);
  gwf_set_script (0, &sound);
  CU_ASSERT_EQUAL (call (&gwf_gw), 200);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 0);
  gwf_restart_endpoint (0);
  CU_ASSERT_EQUAL (call (&gwf_gw), 200);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
}

/* Guards against callers that wait for endpoints which want no requests for
   longer than the request may wait, and are told to return too early.  */
static void
test_all_pause (void)
{
  uint64_t start_us;
  struct wire_caller *caller;
  const char *after;

  restart (&pauses_long, &pauses_long);
  for (uint32_t i = 0; i < 3; i++)
    {
      start_us = tm_now_us (gwf_gw.tm);
      caller = send_request (&gwf_gw, "once");
      CU_ASSERT_TRUE (elapsed_ms (start_us) < AT_ONCE_MS);
      CU_ASSERT_EQUAL (wire_caller_status (caller), 503);
      after = wire_caller_field (caller, "Retry-After");
      CU_ASSERT_PTR_NOT_NULL_FATAL (after);
      CU_ASSERT_TRUE (after != NULL && strtod (after, NULL) > LONG_S);
      gwf_end_call (caller);
    }
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[1]), 1);
}

/* Guards against refusing requests that an endpoint can take soon.  */
static void
test_short_pause (void)
{
  uint64_t start_us;

  restart (&pauses, &pauses);
  start_us = tm_now_us (gwf_gw.tm);
  CU_ASSERT_EQUAL (call (&gwf_gw), 503);
  gwf_set_script (0, &sound);
  gwf_set_script (1, &sound);
  wait_ms (PAUSE_MS - SHORT_MS);
  CU_ASSERT_TRUE (elapsed_ms (start_us) < PAUSE_MS);
  CU_ASSERT_EQUAL (call (&gwf_gw), 200);
  CU_ASSERT_TRUE (elapsed_ms (start_us) >= PAUSE_MS);
}

/* Guards against a refusal of the endpoint that does not reach the caller as
   it is: it does not say that the request did not run.  */
static void
test_relayed (void)
{
  struct wire_caller *caller;

  restart (&pauses_relayed, &sound);
  caller = send_request (&gwf_gw, "once");
  CU_ASSERT_EQUAL (wire_caller_status (caller), 503);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), "E");
  CU_ASSERT_EQUAL (g_strcmp0 (wire_caller_field (caller, "Retry-After"), "10"),
                   0);
  gwf_end_call (caller);
  CU_ASSERT_EQUAL (call (&gwf_gw), 200);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
}

/* Guards against an endpoint that is given up for a time that is no number of
   seconds or belongs to another status.  */
static void
test_other_values (void)
{
  static const struct wire_script scripts[]
      = { { REFUSAL ("soon"), WIRE_KEEP, false },
          { REFUSAL ("-5"), WIRE_KEEP, false },
          { REFUSAL ("1e9"), WIRE_KEEP, false },
          { REFUSAL ("Wed, 21 Oct 2099 07:28:00 GMT"), WIRE_KEEP, false },
          { REFUSAL ("5.5.5"), WIRE_KEEP, false },
          { REFUSAL ("0"), WIRE_KEEP, false },
          { "HTTP/1.1 500 E\r\nRetry-After: 10\r\n" GWF_SEAL GWF_ECHO_ID
            "Content-Length: 1\r\n\r\nE",
            WIRE_KEEP, false } };

  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      restart (&scripts[i], &sound);
      (void)call (&gwf_gw);
      CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
      (void)call (&gwf_gw);
      CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 2);
    }
}

/* Guards against reports that are requested from an engine that wants no
   requests, and against never reading them again.  */
static void
test_report (void)
{
  static const struct wire_script refusal
      = { REPORT_REFUSAL, WIRE_KEEP, false };
  uint64_t start_us;

  restart (&sound, &refusal);
  gwf_add_engine_service ();
  gwf_announce_engine ("n1", 1);
  start_us = tm_now_us (gwf_gw.tm);
  wait_ms (REPORTS_MS);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[1]), 1);
  while (wire_endpoint_requests (gwf_endpoints[1]) < 2
         && elapsed_ms (start_us) < 2 * PAUSE_MS)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[1]), 2);
}

/* Guards against giving up an endpoint because it refuses another instance,
   and against a leader that counts on an engine which refuses an instance for
   long.  */
static void
test_other_instance (void)
{
  uint64_t start_us;

  restart (&sound, &sound);
  gwf_start_instance (&second, "i2");
  while (gw_instance_count (&gwf_gw) < 2 || gw_instance_count (&second) < 2
         || gwf_gw.rpc == NULL || second.rpc == NULL
         || ldr_leader (second.ldr) == NULL)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  restart (&pauses, &sound);
  while (flt_find (second.fleet, "e1")->entry.started_ms
         != flt_find (gwf_gw.fleet, "e1")->entry.started_ms)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (call (&second), 200);
  gwf_set_script (0, &sound);
  wait_ms (SHORT_MS);
  CU_ASSERT_EQUAL (call (&gwf_gw), 200);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
  gwf_set_script (0, &pauses_long);
  wait_ms (PAUSE_MS);
  CU_ASSERT_EQUAL (call (&second), 200);
  start_us = tm_now_us (gwf_gw.tm);
  while (flt_usable (gwf_gw.fleet, flt_find (gwf_gw.fleet, "e1"))
         && elapsed_ms (start_us) < PAUSE_MS)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_FALSE (flt_usable (gwf_gw.fleet, flt_find (gwf_gw.fleet, "e1")));
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "pause", test_pause },
          { "restart", test_restart },
          { "all pause", test_all_pause },
          { "short pause", test_short_pause },
          { "relayed", test_relayed },
          { "other values", test_other_values },
          { "report", test_report },
          { "another instance", test_other_instance },
          { NULL, NULL } };

  return unit_main ("pause_ignored", tests);
}
