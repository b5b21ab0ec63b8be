#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that an endpoint which says in a response that it leaves gets no new
   requests until it has started again, whatever its entry says.  */

#define LEAVING     "Server-Leaving: 1\r\n"
#define WAIT_MAX_MS 3000
#define REPORT                                                                \
  "{\"Stage\":\"s\",\"Models\":[],\"Busy\":false,\"Seq\":0,\"Queued\":0,"     \
  "\"Active\":0,\"KvUsed\":0,\"KvTotal\":1,\"Handles\":0}"
#define REPORT_LENGTH "Content-Length: 103\r\n\r\n"

static struct gw second;
/* Later than any that the fixture uses.  */
static uint64_t born_ms = 1000000;
static uint32_t slots = 8;

static const struct wire_script leaves
    = { GWF_OK_HEAD LEAVING "Content-Length: 1\r\n\r\nA", WIRE_KEEP, false };
static const struct wire_script leaves_refusing = {
  "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" LEAVING GWF_ECHO_ID
  "Content-Length: 0\r\n\r\n",
  WIRE_KEEP, false
};
static const struct wire_script leaves_as_other = {
  "HTTP/1.1 421 M\r\nX-Cowslipcove-Instance-Id: other\r\n" LEAVING GWF_ECHO_ID
  "Content-Length: 0\r\n\r\n",
  WIRE_KEEP, false
};
static const struct wire_script stays
    = { GWF_OK_HEAD "Server-Leaving: 0\r\nContent-Length: 1\r\n\r\nA",
        WIRE_KEEP, false };
static const struct wire_script sound = { GWF_RESPONSE_B, WIRE_KEEP, false };

static const struct flt_entry *
entry_of (const struct gw *gw, const char *id)
{
  return &flt_find (gw->fleet, id)->entry;
}

/* Write that the first endpoint is ready, and wait until the first instance,
   and the second one if it runs, have read it.  The slots vary, so that the
   entry changes.  */
static void
announce_first (void)
{
  const struct gw *const instances[] = { &gwf_gw, &second };
  char *text = g_strdup_printf (
      "{\"Service\":\"plain\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z1\","
      "\"Version\":\"v\",\"Slots\":%u,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":1,\"born\":%" G_GUINT64_FORMAT "}",
      wire_endpoint_port (gwf_endpoints[0]), ++slots, born_ms);

  fake_kv_put (gwf_kv, "servers/e1", text);
  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    while (instances[i]->loop != NULL
           && entry_of (instances[i], "e1")->slots != slots)
      uv_run (gwf_gw.loop, UV_RUN_ONCE);
  g_free (text);
}

/* Start the first endpoint anew.  */
static void
restart_first (void)
{
  gwf_start ();
  born_ms++;
  announce_first ();
  gwf_reset_endpoints ();
}

/* Send a request through GW, whose first endpoint responds with SCRIPT and
   the second one with the body "B".  Return whether the first one got it.  */
static bool
reaches_first (const struct gw *gw, const struct wire_script *script)
{
  char *bytes = gwf_request_text ("once");
  struct wire_caller *caller;

  gwf_set_script (0, script);
  gwf_set_script (1, &sound);
  caller = gwf_call_instance (gw, bytes, 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
  gwf_end_call (caller);
  g_free (bytes);
  return wire_endpoint_requests (gwf_endpoints[0]) > 0;
}

/* Guards against requests to an endpoint that has answered that it leaves, at
   once and after its entry says that it is ready, and against changing that
   answer.  */
static void
test_answer (void)
{
  char *bytes = gwf_request_text ("once");
  struct wire_caller *caller;

  restart_first ();
  CU_ASSERT_TRUE (reaches_first (&gwf_gw, &stays));
  CU_ASSERT_TRUE (reaches_first (&gwf_gw, &sound));
  gwf_set_script (0, &leaves);
  caller = gwf_call (bytes, 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), "A");
  CU_ASSERT_EQUAL (
      g_strcmp0 (wire_caller_field (caller, "Server-Leaving"), "1"), 0);
  gwf_end_call (caller);
  g_free (bytes);
  CU_ASSERT_FALSE (reaches_first (&gwf_gw, &sound));
  announce_first ();
  CU_ASSERT_FALSE (reaches_first (&gwf_gw, &sound));
  restart_first ();
  CU_ASSERT_TRUE (reaches_first (&gwf_gw, &sound));
}

/* The same where the endpoint refuses the request in which it says so; the
   refusal of another endpoint at its address says nothing about it.  */
static void
test_refusal (void)
{
  restart_first ();
  CU_ASSERT_TRUE (reaches_first (&gwf_gw, &leaves_as_other));
  gwf_reset_endpoints ();
  CU_ASSERT_TRUE (reaches_first (&gwf_gw, &sound));
  CU_ASSERT_TRUE (reaches_first (&gwf_gw, &leaves_refusing));
  gwf_reset_endpoints ();
  CU_ASSERT_FALSE (reaches_first (&gwf_gw, &sound));
  announce_first ();
  CU_ASSERT_FALSE (reaches_first (&gwf_gw, &sound));
}

/* Guards against each instance learning by itself.  */
static void
test_other_instance (void)
{
  uint64_t start_us;

  gwf_start ();
  gwf_start_instance (&second, "i2");
  while (gw_instance_count (&gwf_gw) < 2 || gw_instance_count (&second) < 2
         || gwf_gw.rpc == NULL || second.rpc == NULL)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  restart_first ();
  CU_ASSERT_TRUE (reaches_first (&second, &sound));
  CU_ASSERT_TRUE (reaches_first (&gwf_gw, &leaves));
  start_us = tm_now_us (gwf_gw.tm);
  while (!entry_of (&second, "e1")->leaving
         && tm_now_us (gwf_gw.tm) - start_us < WAIT_MAX_MS * GW_US_PER_MS)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_FALSE (reaches_first (&second, &sound));
  announce_first ();
  CU_ASSERT_FALSE (reaches_first (&second, &sound));
}

/* Announce an engine that responds to the leader's report request and order
   with SCRIPTS.  Return whether the leader takes it to be leaving.  */
static bool
engine_leaves (const char *id, const struct wire_script *scripts, size_t count)
{
  uint64_t start_us = tm_now_us (gwf_gw.tm);

  wire_endpoint_set_scripts (gwf_endpoints[1], scripts, count);
  gwf_announce_engine (id, 1);
  while (!entry_of (&gwf_gw, id)->leaving
         && tm_now_us (gwf_gw.tm) - start_us < WAIT_MAX_MS * GW_US_PER_MS)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  return entry_of (&gwf_gw, id)->leaving;
}

/* Guards against loads on an engine that says in its report, in its response
   to an order, or when it refuses to report, that it leaves.  */
static void
test_engine (void)
{
  static const struct wire_script report
      = { "HTTP/1.1 200 OK\r\n" LEAVING REPORT_LENGTH REPORT, WIRE_KEEP,
          false };
  static const struct wire_script refused_report
      = { "HTTP/1.1 503 S\r\n" LEAVING "Content-Length: 0\r\n\r\n", WIRE_KEEP,
          false };
  static const struct wire_script order[]
      = { { "HTTP/1.1 200 OK\r\n" REPORT_LENGTH REPORT, WIRE_KEEP, false },
          { "HTTP/1.1 202 A\r\n" LEAVING "Content-Length: 0\r\n\r\n",
            WIRE_KEEP, false } };

  gwf_start ();
  CU_ASSERT_EQUAL (strlen (REPORT), 103);
  gwf_add_engine_service ();
  CU_ASSERT_TRUE (engine_leaves ("n1", &report, 1));
  CU_ASSERT_TRUE (engine_leaves ("n2", order, G_N_ELEMENTS (order)));
  CU_ASSERT_TRUE (engine_leaves ("n3", &refused_report, 1));
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "answer", test_answer },
          { "refusal", test_refusal },
          { "another instance", test_other_instance },
          { "engine", test_engine },
          { NULL, NULL } };

  return unit_main ("leaving_ignored", tests);
}
