#include <stdlib.h>
#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests how the gateway handles requests and connections of callers, over
   loopback with scripted callers and endpoints.  */

static bool
field_is (const struct h1_head *head, const char *name, const char *value)
{
  return g_strcmp0 (h1_head_get (head, name), value) == 0;
}

/* Guards against a resumed stream that misses or repeats events.  The second
   engine must get the id of the last complete event in place of the id that
   the caller sent.  */
static void
test_resume_from (void)
{
  static const struct wire_script first
      = { GWF_EVENTS GWF_EVENT ("7"), WIRE_CLOSE, false };
  static const struct wire_script second
      = { GWF_EVENTS GWF_EVENT ("8") "0\r\n\r\n", WIRE_KEEP, false };
  const char *bytes = "POST /resume/x HTTP/1.1\r\nHost: h\r\n" GWF_ID_NAME
                      ": resume-1\r\nLast-Event-Id: 6\r\n\r\n";
  struct wire_caller *caller;
  const struct h1_head *head;

  gwf_start ();
  gwf_reset_endpoints ();
  gwf_set_script (0, &first);
  gwf_set_script (1, &second);
  caller = gwf_call (bytes, 1);
  CU_ASSERT_TRUE (
      field_is (wire_endpoint_head (gwf_endpoints[0]), "Last-Event-Id", "6"));
  head = wire_endpoint_head (gwf_endpoints[1]);
  CU_ASSERT_PTR_NOT_NULL_FATAL (h1_head_get (head, "Last-Event-Id"));
  CU_ASSERT_TRUE (field_is (head, "Last-Event-Id", "7"));
  CU_ASSERT_EQUAL (wire_caller_responses (caller), 1);
  gwf_end_call (caller);
}

/* Guards against forwarding header fields that only the gateway may set, and
   against a deadline later than the caller's.  */
static void
test_fields (void)
{
  static const struct wire_script script
      = { GWF_RESPONSE_B, WIRE_KEEP, false };
  const char *bytes
      = "POST /once/x?q=1 HTTP/1.1\r\nHost: h\r\n" GWF_ID_NAME
        ": fields-1\r\nX-Cowslipcove-Deadline-Remaining: 500\r\n"
        "X-Cowslipcove-Hold: 5\r\nKv-From: 1.2.3.4:5/6\r\n"
        "X-Cowslipcove-Expect-Instance: e9\r\nX-Own: kept\r\n"
        "X-Hop: dropped\r\nConnection: keep-alive, x-hop\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  struct wire_caller *caller;
  const struct h1_head *head;
  const char *remaining;

  gwf_start ();
  gwf_reset_endpoints ();
  gwf_set_script (0, &script);
  caller = gwf_call (bytes, 1);
  head = wire_endpoint_head (gwf_endpoints[0]);
  CU_ASSERT_EQUAL (g_strcmp0 (head->target, "/once/x?q=1"), 0);
  CU_ASSERT_TRUE (field_is (head, GWF_ID_NAME, "fields-1"));
  CU_ASSERT_TRUE (field_is (head, "X-Own", "kept"));
  CU_ASSERT_PTR_NULL (h1_head_get (head, "X-Hop"));
  CU_ASSERT_PTR_NULL (h1_head_get (head, "X-Cowslipcove-Hold"));
  CU_ASSERT_PTR_NULL (h1_head_get (head, "Kv-From"));
  CU_ASSERT_TRUE (field_is (head, "X-Cowslipcove-Expect-Instance", "e1"));
  remaining = h1_head_get (head, "X-Cowslipcove-Deadline-Remaining");
  CU_ASSERT_PTR_NOT_NULL_FATAL (remaining);
  CU_ASSERT_TRUE (remaining != NULL && atoi (remaining) > 0
                  && atoi (remaining) <= 500);
  CU_ASSERT_EQUAL (wire_endpoint_body_bytes (gwf_endpoints[0]), 5);
  gwf_end_call (caller);
}

/* Guards against request smuggling.  Each of these requests must be refused,
   its connection closed, and nothing forwarded.  */
static void
test_smuggling (void)
{
  static const struct wire_script script
      = { GWF_RESPONSE_B, WIRE_KEEP, false };
  static const char *const malformed[] = {
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nabc",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Content-Length: 4\r\n\r\nabcd",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "zz\r\n\r\n",
    "POST /once/x HTTP/1.1\r\nHost h\r\n\r\n",
    "hello\r\n\r\n",
  };

  gwf_start ();
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      struct wire_caller *caller;

      gwf_reset_endpoints ();
      gwf_set_script (0, &script);
      caller = gwf_call (malformed[i], 2);
      CU_ASSERT_EQUAL (wire_caller_status (caller), 400);
      CU_ASSERT_TRUE (wire_caller_closed (caller));
      CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 0);
      gwf_end_call (caller);
    }
}

/* Guards against responses in another order than the requests of a connection,
   and against extra bytes after a response that become part of the next
   one.  */
static void
test_persistent_connections (void)
{
  static const struct wire_script scripts[]
      = { { GWF_OK_HEAD "Content-Length: 1\r\n\r\n1", WIRE_KEEP, false },
          { GWF_OK_HEAD "Content-Length: 1\r\n\r\n2EXTRA", WIRE_KEEP, false },
          { GWF_OK_HEAD "Content-Length: 1\r\n\r\n3", WIRE_KEEP, false } };
  char *one = gwf_request_text ("once");
  char *two = gwf_request_text ("once");
  char *three = gwf_request_text ("once");
  char *bytes = g_strconcat (one, two, three, NULL);
  struct wire_caller *caller;

  gwf_start ();
  gwf_reset_endpoints ();
  wire_endpoint_set_scripts (gwf_endpoints[0], scripts,
                             G_N_ELEMENTS (scripts));
  caller = gwf_call (bytes, 3);
  CU_ASSERT_EQUAL (wire_caller_responses (caller), 3);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), "3");
  /* The first connection serves two requests and is closed because of the
     extra bytes.  */
  CU_ASSERT_EQUAL (wire_endpoint_connections (gwf_endpoints[0]), 2);
  gwf_end_call (caller);
  g_free (bytes);
  g_free (three);
  g_free (two);
  g_free (one);
}

/* Guards against sending the next request where the endpoint expects the rest
   of a long body, after it has responded early and kept the connection.  The
   gateway must send the whole body.  */
static void
test_early_response (void)
{
  static const struct wire_script scripts[]
      = { { "HTTP/1.1 400 E\r\n" GWF_SEAL GWF_ECHO_ID
            "Content-Length: 1\r\n\r\nE",
            WIRE_KEEP, true },
          { GWF_OK_HEAD "Content-Length: 1\r\n\r\n2", WIRE_KEEP, false } };
  char *body = g_strnfill (300000, 'b');
  char *one
      = g_strdup_printf ("POST /once/x HTTP/1.1\r\nHost: h\r\n" GWF_ID_NAME
                         ": early-1\r\nContent-Length: 300000\r\n\r\n%s",
                         body);
  char *two = gwf_request_text ("once");
  char *bytes = g_strconcat (one, two, NULL);
  struct wire_caller *caller;

  gwf_start ();
  gwf_reset_endpoints ();
  wire_endpoint_set_scripts (gwf_endpoints[0], scripts,
                             G_N_ELEMENTS (scripts));
  caller = gwf_call (bytes, 2);
  CU_ASSERT_EQUAL (wire_caller_responses (caller), 2);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), "2");
  CU_ASSERT_EQUAL (wire_endpoint_body_bytes (gwf_endpoints[0]), 4);
  gwf_end_call (caller);
  g_free (bytes);
  g_free (two);
  g_free (one);
  g_free (body);
}

/* Guards against continuing a request whose caller has disconnected.  */
static void
test_caller_disconnects (void)
{
  static const struct wire_script script
      = { GWF_EVENTS GWF_EVENT ("1"), WIRE_KEEP, false };
  char *bytes = gwf_request_text ("flow");
  struct wire_caller *caller;
  uint64_t start_us;
  uint32_t closed;

  gwf_start ();
  gwf_reset_endpoints ();
  gwf_set_script (0, &script);
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), bytes);
  while (wire_caller_status (caller) == 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (g_hash_table_size (gwf_gw.requests), 1);
  closed = wire_endpoint_disconnects (gwf_endpoints[0]);
  wire_caller_close (caller);
  start_us = tm_now_us (gwf_gw.tm);
  while (wire_endpoint_disconnects (gwf_endpoints[0]) == closed)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (tm_now_us (gwf_gw.tm) - start_us < 500 * GW_US_PER_MS);
  CU_ASSERT_EQUAL (g_hash_table_size (gwf_gw.requests), 0);
  g_free (bytes);
}

/* Guards against exceeding the caller's deadline or the route's timeout, and
   against a refusal of a request that may have run.  */
static void
test_deadline (void)
{
  static const struct wire_script no_response = { NULL, WIRE_KEEP, false };
  char *bytes = gwf_request_text ("once");
  struct wire_caller *caller;
  uint64_t start_us;

  gwf_start ();
  gwf_reset_endpoints ();
  gwf_set_script (0, &no_response);
  start_us = tm_now_us (gwf_gw.tm);
  caller = gwf_call (bytes, 1);
  /* The route's timeout, 700 ms, ends before the caller's deadline.  */
  CU_ASSERT_EQUAL (wire_caller_status (caller), 504);
  CU_ASSERT_TRUE (tm_now_us (gwf_gw.tm) - start_us < 1200 * GW_US_PER_MS);
  CU_ASSERT_EQUAL (wire_endpoint_requests (gwf_endpoints[0]), 1);
  gwf_end_call (caller);
  g_free (bytes);
}

/* Transferring 16 MB under the sanitizers beside other work takes a second. */
#define SLOW_READER_MS 1950

/* Guards against buffering without limit for a caller that reads slowly.  */
static void
test_slow_reader (void)
{
  char *body = g_strnfill (16U << 20, 'b');
  char *response = g_strdup_printf (GWF_OK_HEAD "Content-Length: %u\r\n\r\n%s",
                                    16U << 20, body);
  struct wire_script script = { response, WIRE_KEEP, false };
  char *bytes = gwf_patient_request_text ("flow", SLOW_READER_MS);
  struct wire_caller *caller;
  size_t unsent_before = 0;

  gwf_start ();
  gwf_reset_endpoints ();
  gwf_set_script (0, &script);
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), bytes);
  while (wire_caller_status (caller) == 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  wire_caller_set_reading (caller, false);
  /* The kernel buffers of the two connections hold a few MB.  The endpoint
     must be unable to send the rest.  */
  while (unsent_before != wire_endpoint_pending_bytes (gwf_endpoints[0]))
    {
      unsent_before = wire_endpoint_pending_bytes (gwf_endpoints[0]);
      for (int i = 0; i < 20; i++)
        uv_run (gwf_gw.loop, UV_RUN_ONCE);
    }
  CU_ASSERT_TRUE (wire_endpoint_pending_bytes (gwf_endpoints[0]) > 0);
  wire_caller_set_reading (caller, true);
  while (!gwf_call_is_done (caller, 1))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (strlen (wire_caller_body (caller)), 16U << 20);
  gwf_end_call (caller);
  g_free (bytes);
  g_free (response);
  g_free (body);
}

/* Guards against forwarding requests that match no route.  */
static void
test_unknown_route (void)
{
  struct wire_caller *caller;

  gwf_start ();
  caller = gwf_call ("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n", 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 404);
  gwf_end_call (caller);
  caller = gwf_call ("GET /once/x HTTP/1.1\r\nHost: other\r\n\r\n", 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 404);
  gwf_end_call (caller);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "resume after the last event", test_resume_from },
          { "header fields", test_fields },
          { "request smuggling", test_smuggling },
          { "persistent connections", test_persistent_connections },
          { "early response", test_early_response },
          { "caller disconnects", test_caller_disconnects },
          { "deadline", test_deadline },
          { "slow reader", test_slow_reader },
          { "unknown route", test_unknown_route },
          { NULL, NULL } };

  return unit_main ("gw_http", tests);
}
