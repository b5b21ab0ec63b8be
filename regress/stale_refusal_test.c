#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that a refusal which does not belong to a request, because its
   endpoint sends that of an earlier one again on a kept connection, does not
   count as an answer to it: the endpoint may be running the request.  */

#define REFUSAL(status, id)                                                   \
  "HTTP/1.1 " status " X\r\nX-Cowslipcove-Not-Executed: 1\r\n" id             \
  "Content-Length: 2\r\n\r\nno"
#define OLD_ID   GWF_ID_NAME ": r-old\r\n"
#define IDLE_US  50000
#define WARM_UP  GWF_OK_HEAD "Content-Length: 1\r\n\r\nW"
#define RESPONSE GWF_OK_HEAD "Content-Length: 1\r\n\r\nA"

/* What the endpoint sends for the second request of a connection.  */
static const struct
{
  const char *name;
  const char *path;
  const char *bytes;
  enum wire_end_action end_action;
  uint16_t status;
  const char *body;
  uint32_t to_second; /* requests to the second endpoint */
} cases[] = {
  { "refusal without an id, then the answer", "once",
    REFUSAL ("503", "") "|" RESPONSE, WIRE_KEEP, 200, "A", 0 },
  { "refusal without an id and the answer together", "once",
    REFUSAL ("503", "") RESPONSE, WIRE_KEEP, 200, "A", 0 },
  { "refusal without an id twice, then the answer", "once",
    REFUSAL ("429", "") REFUSAL ("429", "") "|" RESPONSE, WIRE_KEEP, 200, "A",
    0 },
  { "refusal of an earlier request, then the answer", "once",
    REFUSAL ("503", OLD_ID) "|" RESPONSE, WIRE_KEEP, 200, "A", 0 },
  { "refusal of an earlier request twice, then the answer", "once",
    REFUSAL ("503", OLD_ID) REFUSAL ("503", OLD_ID) "|" RESPONSE, WIRE_KEEP,
    200, "A", 0 },
  { "421 without an id, then the answer", "once",
    "HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n|" RESPONSE, WIRE_KEEP, 200,
    "A", 0 },
  { "421 of an earlier request, then the answer", "once",
    "HTTP/1.1 421 M\r\n" OLD_ID "Content-Length: 0\r\n\r\n|" RESPONSE,
    WIRE_KEEP, 200, "A", 0 },
  { "success without an id, then the answer", "once",
    "HTTP/1.1 200 OK\r\n" GWF_SEAL "Content-Length: 1\r\n\r\nx|" RESPONSE,
    WIRE_KEEP, 200, "A", 0 },
  { "refusal without an id, then a stream", "flow",
    REFUSAL ("503", "") "|" GWF_EVENTS GWF_EVENT ("1") "0\r\n\r\n", WIRE_KEEP,
    200, "id: 1\ndata: x\n\n", 0 },
  { "refusal without an id, then nothing", "once", REFUSAL ("503", ""),
    WIRE_KEEP, 504, "", 0 },
  { "refusal without an id, then the end", "once", REFUSAL ("503", ""),
    WIRE_CLOSE, 502, "", 0 },
  { "refusal of an earlier request, then the end", "once",
    REFUSAL ("503", OLD_ID), WIRE_CLOSE, 502, "", 0 },
  { "refusal without an id, then nothing, may run again", "again",
    REFUSAL ("503", ""), WIRE_KEEP, 200, "B", 1 },
  { "refusal with the id", "once", REFUSAL ("503", GWF_ECHO_ID), WIRE_KEEP,
    200, "B", 1 },
};

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

/* Guards against "not run" for a request that its endpoint runs, and against
   a second run, after a refusal that belongs to an earlier request.  */
static void
test_kept_connection (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct wire_script scripts[]
          = { { WARM_UP, WIRE_KEEP, false },
              { cases[i].bytes, cases[i].end_action, false } };
      uint64_t connects;

      set_up (scripts, 2);
      check_next_call (cases[i].name, "once", 200, "W");
      connects = h1_pool_connect_count (gwf_gw.pool);
      check_next_call (cases[i].name, cases[i].path, cases[i].status,
                       cases[i].body);
      /* The kept connection must have been used.  */
      connects = h1_pool_connect_count (gwf_gw.pool) - connects;
      if (wire_endpoint_requests (gwf_endpoints[1]) != cases[i].to_second
          || connects != cases[i].to_second)
        {
          printf ("\n%s: requests to second %u, connects %" G_GUINT64_FORMAT
                  "\n",
                  cases[i].name, wire_endpoint_requests (gwf_endpoints[1]),
                  connects);
          CU_FAIL ("endpoints");
        }
    }
}

/* Guards against the use of a connection on which a refusal has arrived
   between two requests.  */
static void
test_idle_connection (void)
{
  static const struct wire_script scripts[]
      = { { GWF_OK_HEAD "Content-Length: 1\r\n\r\nW|" REFUSAL ("503", ""),
            WIRE_KEEP, false },
          { RESPONSE, WIRE_KEEP, false } };
  uint64_t idle_since_us;

  set_up (scripts, 2);
  check_next_call ("warm-up", "once", 200, "W");
  idle_since_us = tm_now_us (gwf_gw.tm);
  while (tm_now_us (gwf_gw.tm) - idle_since_us < IDLE_US)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  check_next_call ("after an idle connection", "once", 200, "A");
  CU_ASSERT_EQUAL (wire_endpoint_connections (gwf_endpoints[0]), 2);
}

/* The first response on a new connection cannot belong to an earlier request:
   it is an answer without an id as well.  */
static void
test_new_connection (void)
{
  static const struct wire_script script
      = { REFUSAL ("503", ""), WIRE_KEEP, false };

  set_up (&script, 1);
  check_next_call ("new connection", "once", 200, "B");
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
      = { { WARM_UP, WIRE_KEEP, false },
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
      = { { "kept connection", test_kept_connection },
          { "idle connection", test_idle_connection },
          { "new connection", test_new_connection },
          { "same request", test_same_request },
          { "request without an id", test_request_without_id },
          { NULL, NULL } };

  return unit_main ("stale refusal", tests);
}
