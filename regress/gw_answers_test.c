#include "gw_fixture.h"
#include "unit.h"

/* Longer than the time after which a stream may be resumed elsewhere.  */
#define LONG_PAUSE_MS 1300
#define PATIENT_MS    1950
/* A byte each 30 ms lasts for 1.8 s; the caller waits for 0.9 s.  */
#define DRIP_PAUSE_MS 30
#define DRIP_END_MS   1100
/* Time limit of the caller of gwf_request_text.  */
#define LIMIT_MS 900

/* Tests how the gateway handles complete, truncated and malformed responses of
   endpoints, over loopback with a scripted caller and endpoints.  */

static const struct gwf_case cases[] = {
  { "length",
    "once",
    { GWF_OK_HEAD "Content-Length: 3\r\n\r\nabc", WIRE_KEEP, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "length in pieces",
    "once",
    { GWF_OK_HEAD "Content-Len|gth: 3\r\n\r\na|bc", WIRE_KEEP, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "chunks",
    "once",
    { GWF_OK_HEAD
      "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n|2\r\nbc\r\n0\r\n"
      "\r\n",
      WIRE_KEEP, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "no length, closed",
    "once",
    { GWF_OK_HEAD "\r\nabc", WIRE_CLOSE, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "no length, reset",
    "once",
    { GWF_OK_HEAD "\r\nabc", WIRE_RESET, 0 },
    { 0 },
    200,
    "abc",
    false,
    false },
  { "length, truncated",
    "once",
    { GWF_OK_HEAD "Content-Length: 5\r\n\r\nabc", WIRE_CLOSE, 0 },
    { 0 },
    200,
    "abc",
    false,
    false },
  { "chunks, truncated",
    "once",
    { GWF_OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", WIRE_CLOSE,
      0 },
    { 0 },
    200,
    "a",
    false,
    false },
  { "head only, may run once",
    "once",
    { GWF_OK_HEAD "Content-Length: 5\r\n\r\n", WIRE_CLOSE, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "head only, may run again",
    "again",
    { GWF_OK_HEAD "Content-Length: 5\r\n\r\n", WIRE_CLOSE, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "closed without a response, may run once",
    "once",
    { "", WIRE_CLOSE, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "closed without a response, may run again",
    "again",
    { "", WIRE_CLOSE, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "reset, may run once",
    "once",
    { "", WIRE_RESET, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "not run",
    "once",
    { "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" GWF_ECHO_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "not run anywhere",
    "once",
    { "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" GWF_ECHO_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    { "HTTP/1.1 429 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" GWF_ECHO_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    503,
    "",
    true,
    true },
  { "another endpoint has the address",
    "once",
    { "HTTP/1.1 421 M\r\nX-Cowslipcove-Instance-Id: other\r\n" GWF_ECHO_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "error, may run once",
    "once",
    { "HTTP/1.1 500 E\r\n" GWF_SEAL GWF_ECHO_ID "Content-Length: 1\r\n\r\nE",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    500,
    "E",
    true,
    false },
  { "error, may run again",
    "again",
    { "HTTP/1.1 500 E\r\n" GWF_SEAL GWF_ECHO_ID "Content-Length: 1\r\n\r\nE",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "503 without the not-executed field",
    "once",
    { "HTTP/1.1 503 S\r\n" GWF_SEAL GWF_ECHO_ID "Content-Length: 1\r\n\r\nS",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    503,
    "S",
    true,
    false },
  { "503 without the not-executed field or a seal",
    "once",
    { "HTTP/1.1 503 S\r\n" GWF_ECHO_ID "Content-Length: 1\r\n\r\nS", WIRE_KEEP,
      0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "429 without the not-executed field or a seal",
    "once",
    { "HTTP/1.1 429 S\r\n" GWF_ECHO_ID "Content-Length: 1\r\n\r\nS", WIRE_KEEP,
      0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "408 without the not-executed field or a seal",
    "once",
    { "HTTP/1.1 408 S\r\n" GWF_ECHO_ID "Content-Length: 1\r\n\r\nS", WIRE_KEEP,
      0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "success without a seal",
    "once",
    { "HTTP/1.1 200 OK\r\n" GWF_ECHO_ID "Content-Length: 1\r\n\r\nx",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "encoded success",
    "once",
    { GWF_OK_HEAD "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "encoded success, may run again",
    "again",
    { GWF_OK_HEAD "Content-Encoding: br\r\nContent-Length: 1\r\n\r\nx",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "encoded error",
    "once",
    { "HTTP/1.1 500 E\r\n" GWF_SEAL GWF_ECHO_ID
      "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nE",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "identity encoding",
    "once",
    { GWF_OK_HEAD "Content-Encoding: identity\r\nContent-Length: 1\r\n\r\na",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "a",
    true,
    false },
  { "refusal with an encoded body",
    "once",
    { "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" GWF_ECHO_ID
      "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "late response to an earlier request",
    "once",
    { "HTTP/1.1 200 OK\r\n" GWF_SEAL GWF_ID_NAME
      ": r-old\r\nContent-Length: 3\r\n\r\nold" GWF_OK_HEAD
      "Content-Length: 3\r\n\r\nnew",
      WIRE_KEEP, 0 },
    { 0 },
    200,
    "new",
    true,
    false },
  { "only a late response",
    "once",
    { "HTTP/1.1 200 OK\r\n" GWF_SEAL GWF_ID_NAME
      ": r-old\r\nContent-Length: 3\r\n\r\nold",
      WIRE_CLOSE, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "100 before the response",
    "once",
    { "HTTP/1.1 100 Continue\r\n\r\n" GWF_OK_HEAD "Content-Length: 1\r\n\r\na",
      WIRE_KEEP, 0 },
    { 0 },
    200,
    "a",
    true,
    false },
  { "malformed response",
    "once",
    { "garbage\r\n\r\n", WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "two lengths",
    "once",
    { GWF_OK_HEAD "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      WIRE_KEEP, 0 },
    { GWF_RESPONSE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "204 without a body",
    "once",
    { "HTTP/1.1 204 N\r\n" GWF_SEAL GWF_ECHO_ID "\r\n", WIRE_KEEP, 0 },
    { 0 },
    204,
    "",
    true,
    false },
  { "stream",
    "flow",
    { GWF_EVENTS GWF_EVENT ("1") "|" GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP,
      0 },
    { 0 },
    200,
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
    true,
    false },
  { "stream truncated within an event",
    "flow",
    { GWF_EVENTS GWF_EVENT ("1") "8\r\nid: 2\nda\r\n", WIRE_CLOSE, 0 },
    { GWF_EVENTS GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\n",
    false,
    false },
  { "stream resumed",
    "resume",
    { GWF_EVENTS GWF_EVENT ("1") "|8\r\nid: 2\nda\r\n", WIRE_RESET, 0 },
    { GWF_EVENTS GWF_EVENT ("2") GWF_EVENT ("3") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
    true,
    true },
  { "stream resumed with a duplicate event",
    "resume",
    { GWF_EVENTS GWF_EVENT ("1") GWF_EVENT ("2"), WIRE_CLOSE, 0 },
    { GWF_EVENTS GWF_EVENT ("2") GWF_EVENT ("3") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
    true,
    true },
  { "stream that fails before its first event",
    "resume",
    { GWF_EVENTS, WIRE_CLOSE, 0 },
    { GWF_EVENTS GWF_EVENT ("1") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\n",
    true,
    true },
  { "stream refused at its second engine",
    "resume",
    { GWF_EVENTS GWF_EVENT ("1"), WIRE_CLOSE, 0 },
    { "HTTP/1.1 500 E\r\n" GWF_SEAL GWF_ECHO_ID "Content-Length: 1\r\n\r\nE",
      WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\n",
    false,
    true },
};

/* Guards against responses to the wrong request, truncated responses that look
   complete, duplicate runs, and "not run" for a request that may have run.  */
static void
test_cases (void)
{
  gwf_run_cases (cases, G_N_ELEMENTS (cases));
}

/* Guards against a reported load that no endpoint can have, which would count
   in the mean of the service long after.  */
static void
test_reported_load (void)
{
  static const struct
  {
    const char *load;
    uint32_t running; /* what counts; 9: the load before */
  } loads[] = { { "3,0,8", 3 },
                { "3,0,8,120", 3 },
                { "3,0,8,120,new", 3 },
                { "-1,0,8", 9 },
                { "4294967296,0,8", 9 },
                { "3,99999999999999999999,8", 9 },
                { "3,0,8,-5", 9 },
                { "nan,0,8", 9 },
                { "1e300,0,8", 9 },
                { "3,0", 9 },
                { "", 9 } };
  struct flt_endpoint *endpoint;

  gwf_start ();
  endpoint = flt_find (gwf_gw.fleet, "e1");
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      char *response
          = g_strdup_printf (GWF_OK_HEAD "X-Cowslipcove-Server-Load: %s\r\n"
                                         "Content-Length: 1\r\n\r\na",
                             loads[i].load);
      const struct gwf_case test_case
          = { loads[i].load, "once", { response, WIRE_KEEP, 0 },
              { 0 },         200,    "a",
              true,          false };
      char *bytes = gwf_request_text ("once");

      flt_set_load (gwf_gw.fleet, endpoint, 9, 0, 100);
      /* Otherwise the other endpoint is preferred.  */
      endpoint->load_reported_us = 0;
      gwf_run_case (&test_case, bytes);
      CU_ASSERT_EQUAL (endpoint->running, loads[i].running);
      g_free (bytes);
      g_free (response);
    }
  endpoint->load_reported_us = 0;
}

/* Guards against ending a sound stream after a long pause between two events,
   in order to resume it elsewhere, when the retry budget does not allow
   that.  */
static void
test_pause_without_budget (void)
{
  static const struct rbg_limits none = { .window_ms = 10000, .instances = 1 };
  static const struct gwf_case slow
      = { "slow stream without a retry budget",
          "resume",
          { GWF_EVENTS GWF_EVENT ("1") "|" GWF_EVENT ("2") "0\r\n\r\n",
            WIRE_KEEP, 0 },
          { GWF_EVENTS GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP, 0 },
          200,
          "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
          true,
          false };
  char *bytes;

  gwf_start ();
  bytes = gwf_patient_request_text ("resume", PATIENT_MS);
  rbg_set_limits (gwf_gw.budgets, &none);
  wire_endpoint_set_pause (gwf_endpoints[0], LONG_PAUSE_MS);
  gwf_run_case (&slow, bytes);
  g_free (bytes);
}

/* Guards against a response that never ends because its endpoint sends a byte
   now and then: in the head, in a chunk size, in an event and in a body.  */
static void
test_dripping (void)
{
#define DRIP "x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|x|"
  static const struct wire_script scripts[]
      = { { "HTTP/1.1 200 OK\r\nA: " DRIP DRIP, WIRE_KEEP, false },
          { GWF_EVENTS "0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|"
                       "0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|0|",
            WIRE_KEEP, false },
          { GWF_EVENTS "ff\r\nid: 1\ndata: " DRIP DRIP, WIRE_KEEP, false },
          { GWF_OK_HEAD "Content-Length: 999\r\n\r\n" DRIP DRIP, WIRE_KEEP,
            false } };

  gwf_start ();
  wire_endpoint_set_pause (gwf_endpoints[0], DRIP_PAUSE_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      char *bytes = gwf_request_text ("flow");
      uint64_t start_us = tm_now_us (gwf_gw.tm);
      struct wire_caller *caller;

      gwf_reset_endpoints ();
      gwf_set_script (0, &scripts[i]);
      gwf_set_script (1, NULL);
      caller = gwf_call (bytes, 1);
      CU_ASSERT_TRUE (tm_now_us (gwf_gw.tm) - start_us
                      < DRIP_END_MS * GW_US_PER_MS);
      CU_ASSERT_FALSE (wire_caller_responses (caller) == 1
                       && wire_caller_status (caller) == 200);
      gwf_end_call (caller);
      g_free (bytes);
    }
}

/* Guards against closing a caller's connection within a response before the
   caller's time limit.  */
static void
test_cut_before_limit (void)
{
  static const struct wire_script script
      = { GWF_EVENTS GWF_EVENT ("1") "ff\r\nid: 2\ndata: " DRIP DRIP,
          WIRE_KEEP, false };
  char *bytes = gwf_request_text ("flow");
  uint64_t start_us;
  uint64_t took_us;
  struct wire_caller *caller;

  gwf_start ();
  gwf_reset_endpoints ();
  wire_endpoint_set_pause (gwf_endpoints[0], DRIP_PAUSE_MS);
  gwf_set_script (0, &script);
  gwf_set_script (1, NULL);
  start_us = tm_now_us (gwf_gw.tm);
  caller = gwf_call (bytes, 1);
  took_us = tm_now_us (gwf_gw.tm) - start_us;
  CU_ASSERT_TRUE (wire_caller_closed (caller));
  CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
  CU_ASSERT_TRUE (took_us >= LIMIT_MS * GW_US_PER_MS);
  CU_ASSERT_TRUE (took_us < DRIP_END_MS * GW_US_PER_MS);
  gwf_end_call (caller);
  g_free (bytes);
}

/* Guards against a response that looks complete although the endpoint closed
   the connection anywhere within its head.  */
static void
test_cut_heads (void)
{
  static const char head[] = GWF_OK_HEAD "Content-Length: 0\r\n\r\n";

  gwf_start ();
  for (size_t bytes = 1; bytes < sizeof head - 1; bytes++)
    {
      char *part = g_strndup (head, bytes);
      char *request = gwf_request_text ("once");
      const struct gwf_case cut = { .name = part,
                                    .path = "once",
                                    .first = { part, WIRE_CLOSE, false },
                                    .second = { GWF_RESPONSE_B, 0, false },
                                    .status = 502,
                                    .body = "",
                                    .complete = true };

      gwf_run_case (&cut, request);
      g_free (request);
      g_free (part);
    }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "responses", test_cases },
          { "reported load", test_reported_load },
          { "pause without a retry budget", test_pause_without_budget },
          { "dripping responses", test_dripping },
          { "cut before the limit", test_cut_before_limit },
          { "heads that are cut", test_cut_heads },
          { NULL, NULL } };

  return unit_main ("gw_answers", tests);
}
