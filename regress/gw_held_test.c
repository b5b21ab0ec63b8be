#include <stdlib.h>

#include "gw_fixture.h"
#include "unit.h"

/* Requests that arrive before the instance has read the configuration.  After
   a power loss of all instances of pokpok-return-large, reading takes 3.3 s
   and 522 of 979 requests of the first 2 s were refused.  */

#define HOLD_MS 100
#define RETRIES 1000
/* A machine must have the configuration in force 5 s after an outage at the
   earliest, on the smallest site, and the read itself may be lost once.  */
#define RETRY_MAX_MS 2000

static struct rte_config *config;

/* Put the gateway back to its start.  */
static void
forget_configuration (void)
{
  gwf_start ();
  config = gwf_gw.config;
  gwf_gw.config = NULL;
  gwf_gw.started_us = tm_now_us (gwf_gw.tm);
}

static void
restore_configuration (void)
{
  gwf_gw.config = config;
  gw_release_held (&gwf_gw);
}

static void
run_ms (uint64_t ms)
{
  uint64_t start_us = tm_now_us (gwf_gw.tm);

  while (tm_now_us (gwf_gw.tm) - start_us < ms * GW_US_PER_MS)
    uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
}

/* The request is answered once the configuration is known, and its endpoint
   gets the time that is left.  */
static void
test_answered (void)
{
  static const struct wire_script answer
      = { GWF_RESPONSE_B, WIRE_KEEP, false };
  char *bytes;
  struct wire_caller *caller;
  const char *left;

  forget_configuration ();
  gwf_set_script (0, &answer);
  bytes = gwf_request_text ("once");
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), bytes);
  run_ms (HOLD_MS);
  CU_ASSERT_EQUAL (wire_caller_responses (caller), 0);
  CU_ASSERT_EQUAL (gwf_gw.held.length, 1);
  restore_configuration ();
  while (!gwf_call_is_done (caller, 1))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
  left = h1_head_get (wire_endpoint_head (gwf_endpoints[0]),
                      "X-Cowslipcove-Deadline-Remaining");
  CU_ASSERT_PTR_NOT_NULL_FATAL (left);
  CU_ASSERT_TRUE (left != NULL && atoi (left) <= 700 - HOLD_MS);
  gwf_end_call (caller);
  g_free (bytes);
}

/* Half of its time later the request is refused; a caller that leaves is
   forgotten.  */
static void
test_refused (void)
{
  char *bytes;
  struct wire_caller *caller;

  forget_configuration ();
  bytes = gwf_patient_request_text ("once", 2 * HOLD_MS);
  caller = gwf_call (bytes, 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 503);
  gwf_end_call (caller);
  g_free (bytes);
  bytes = gwf_request_text ("once");
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), bytes);
  run_ms (HOLD_MS);
  CU_ASSERT_EQUAL (gwf_gw.held.length, 1);
  gwf_end_call (caller);
  CU_ASSERT_EQUAL (gwf_gw.held.length, 0);
  restore_configuration ();
  g_free (bytes);
}

/* An instance that stops refuses them at once.  */
static void
test_stop (void)
{
  char *bytes;
  struct wire_caller *caller;

  forget_configuration ();
  bytes = gwf_request_text ("once");
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), bytes);
  run_ms (HOLD_MS);
  gw_refuse_held (&gwf_gw);
  while (!gwf_call_is_done (caller, 1))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 503);
  gwf_end_call (caller);
  restore_configuration ();
  g_free (bytes);
}

/* Guards against a pause of up to 10 s before a failed read is repeated.  */
static void
test_read_retry (void)
{
  struct kv_backoff backoff = { 0 };

  gwf_start ();
  for (uint32_t i = 0; i < RETRIES; i++)
    CU_ASSERT_TRUE (gw_read_retry_us (&gwf_gw, &backoff)
                    <= RETRY_MAX_MS * GW_US_PER_MS);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "answered when loaded", test_answered },
          { "refused in time", test_refused },
          { "refused at a stop", test_stop },
          { "retry of a read", test_read_retry },
          { NULL, NULL } };

  return unit_main ("gw_held", tests);
}
