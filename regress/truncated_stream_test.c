#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that a stream which an endpoint breaks off within an event does not
   reach its caller as complete, whatever ends the response.  */

#define UNFRAMED                                                              \
  GWF_OK_HEAD                                                                 \
  "Content-Type: text/event-stream\r\n\r\n"
#define LENGTH(n)                                                             \
  GWF_OK_HEAD                                                                 \
  "Content-Type: text/event-stream\r\nContent-Length: " n "\r\n\r\n"
#define ENDLESS_BYTES      (4U << 20)
#define CLOSE_TIMEOUT_US   500000
#define LONG_EVENT_BYTES   1000
#define LONG_MIN_BYTES     (100U << 10)
#define LONG_MAX_BYTES     (6U << 20)
#define LONG_STEP_BYTES    (100U << 10)
#define LONG_COMMENT_BYTES (250U << 10)
#define STALL_US           60000
#define EVENT(n)           "id: " n "\ndata: x\n\n"
#define PART(n)            "id: " n "\nda"

static const struct gwf_case truncated[] = {
  { "no length, closed within an event",
    "flow",
    { UNFRAMED EVENT ("1") PART ("2"), WIRE_CLOSE, 0 },
    { 0 },
    200,
    EVENT ("1"),
    false,
    false },
  { "no length, closed after the last field of an event",
    "flow",
    { UNFRAMED EVENT ("1") "id: 2\ndata: x\n", WIRE_CLOSE, 0 },
    { 0 },
    200,
    EVENT ("1"),
    false,
    false },
  { "no length, closed within an event of CRLF lines",
    "flow",
    { UNFRAMED "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: x\r\n", WIRE_CLOSE, 0 },
    { 0 },
    200,
    "id: 1\r\ndata: x\r\n\r\n",
    false,
    false },
  { "no length, closed within an event, resumed",
    "resume",
    { UNFRAMED EVENT ("1") "|" PART ("2"), WIRE_CLOSE, 0 },
    { UNFRAMED EVENT ("2") EVENT ("3"), WIRE_CLOSE, 0 },
    200,
    EVENT ("1") EVENT ("2") EVENT ("3"),
    true,
    true },
  { "no length, closed within an event twice",
    "resume",
    { UNFRAMED EVENT ("1") PART ("2"), WIRE_CLOSE, 0 },
    { UNFRAMED EVENT ("2") PART ("3"), WIRE_CLOSE, 0 },
    200,
    EVENT ("1") EVENT ("2"),
    false,
    true },
  { "no length, closed within the first event",
    "flow",
    { UNFRAMED PART ("1"), WIRE_CLOSE, 0 },
    { 0 },
    502,
    "",
    true,
    false },
  { "no length, closed within the first event, sent again",
    "resume",
    { UNFRAMED PART ("1"), WIRE_CLOSE, 0 },
    { GWF_EVENTS GWF_EVENT ("1") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    EVENT ("1"),
    true,
    true },
  { "no length, closed within a blank line of CRLF",
    "flow",
    { UNFRAMED "id: 1\r\ndata: x\r\n\r", WIRE_CLOSE, 0 },
    { 0 },
    502,
    "",
    true,
    false },
  { "no length, closed before the first event",
    "flow",
    { UNFRAMED, WIRE_CLOSE, 0 },
    { 0 },
    502,
    "",
    true,
    false },
  { "last chunk within an event",
    "flow",
    { GWF_EVENTS GWF_EVENT ("1") "8\r\nid: 2\nda\r\n0\r\n\r\n", WIRE_KEEP, 0 },
    { 0 },
    200,
    EVENT ("1"),
    false,
    false },
  { "last chunk within an event, resumed",
    "resume",
    { GWF_EVENTS GWF_EVENT ("1") "8\r\nid: 2\nda\r\n0\r\n\r\n", WIRE_KEEP, 0 },
    { GWF_EVENTS GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    EVENT ("1") EVENT ("2"),
    true,
    true },
  { "resumed by a response that is no stream",
    "resume",
    { UNFRAMED EVENT ("1") PART ("2"), WIRE_CLOSE, 0 },
    { GWF_RESPONSE_B, WIRE_KEEP, 0 },
    200,
    EVENT ("1"),
    false,
    true },
  { "length that ends within an event",
    "flow",
    { LENGTH ("23") EVENT ("1") PART ("2"), WIRE_KEEP, 0 },
    { 0 },
    200,
    EVENT ("1"),
    false,
    false },
};

static const struct gwf_case complete[] = {
  { "no length, closed after an event",
    "flow",
    { UNFRAMED EVENT ("1") "|" EVENT ("2"), WIRE_CLOSE, 0 },
    { 0 },
    200,
    EVENT ("1") EVENT ("2"),
    true,
    false },
  { "no length, reset after an event",
    "flow",
    { UNFRAMED EVENT ("1") "|", WIRE_RESET, 0 },
    { 0 },
    200,
    EVENT ("1"),
    false,
    false },
  { "length that ends after an event",
    "flow",
    { LENGTH ("30") EVENT ("1") EVENT ("2"), WIRE_KEEP, 0 },
    { 0 },
    200,
    EVENT ("1") EVENT ("2"),
    true,
    false },
  { "comment after the last event",
    "flow",
    { UNFRAMED EVENT ("1") ": end\n", WIRE_CLOSE, 0 },
    { 0 },
    200,
    EVENT ("1") ": end\n",
    true,
    false },
  { "lines that end with CR",
    "flow",
    { UNFRAMED "id: 1\rdata: x\r\r|id: 2\rdata: x\r\r", WIRE_CLOSE, 0 },
    { 0 },
    200,
    "id: 1\rdata: x\r\rid: 2\rdata: x\r\r",
    true,
    false },
};

/* Guards against passing on a stream that was broken off within an event as a
   complete one, or its partial event at all.  */
static void
test_truncated (void)
{
  gwf_run_cases (truncated, G_N_ELEMENTS (truncated));
}

/* Guards against taking a complete stream for a broken one.  */
static void
test_complete (void)
{
  gwf_run_cases (complete, G_N_ELEMENTS (complete));
}

/* Guards against buffering an event without end until the deadline.  */
static void
test_endless_event (void)
{
  char *event = g_strnfill (ENDLESS_BYTES, 'x');
  char *response
      = g_strdup_printf (GWF_EVENTS "%x\r\n%s", 2 * ENDLESS_BYTES, event);
  const struct gwf_case endless = { "event without end",
                                    "flow",
                                    { response, WIRE_KEEP, 0 },
                                    { 0 },
                                    502,
                                    "",
                                    true,
                                    false };
  uint64_t start_us;

  gwf_run_cases (&endless, 1);
  start_us = tm_now_us (gwf_gw.tm);
  while (wire_endpoint_disconnects (gwf_endpoints[0])
             < wire_endpoint_connections (gwf_endpoints[0])
         && tm_now_us (gwf_gw.tm) - start_us < CLOSE_TIMEOUT_US)
    uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
  CU_ASSERT_EQUAL (wire_endpoint_disconnects (gwf_endpoints[0]),
                   wire_endpoint_connections (gwf_endpoints[0]));
  g_free (response);
  g_free (event);
}

/* Return a stream of BYTES bytes or a little more, and a long comment at the
   end, to be freed with g_free.  */
static char *
long_stream (size_t bytes)
{
  GString *events = g_string_new (NULL);
  char *data = g_strnfill (LONG_EVENT_BYTES, 'x');
  char *comment = g_strnfill (LONG_COMMENT_BYTES, 'x');
  char *response;

  for (uint32_t id = 1; events->len < bytes; id++)
    g_string_append_printf (events, "id: %u\ndata: %s\n\n", id, data);
  g_string_append_printf (events, ": %s end\n", comment);
  response = g_strdup_printf (GWF_OK_HEAD
                              "Content-Type: text/event-stream\r\n"
                              "Content-Length: %zu\r\n\r\n" EVENT ("0") "|%s",
                              events->len + strlen (EVENT ("0")), events->str);
  g_string_free (events, TRUE);
  g_free (comment);
  g_free (data);
  return response;
}

/* Guards against a crash when a stream ends with a comment while much of it
   waits for its caller.  Which size that is depends on the kernel.  */
static void
test_slow_caller (void)
{
  gwf_start ();
  for (size_t bytes = LONG_MIN_BYTES; bytes <= LONG_MAX_BYTES;
       bytes += LONG_STEP_BYTES)
    {
      char *response = long_stream (bytes);
      struct wire_script script = { response, WIRE_KEEP, false };
      char *request = gwf_request_text ("flow");
      uint64_t start_us = tm_now_us (gwf_gw.tm);
      struct wire_caller *caller;

      gwf_reset_endpoints ();
      gwf_set_script (0, &script);
      caller = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers),
                                request);
      while (wire_caller_status (caller) == 0)
        uv_run (gwf_gw.loop, UV_RUN_ONCE);
      wire_caller_set_reading (caller, false);
      while (tm_now_us (gwf_gw.tm) - start_us < STALL_US)
        uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
      wire_caller_set_reading (caller, true);
      while (!gwf_call_is_done (caller, 1))
        uv_run (gwf_gw.loop, UV_RUN_ONCE);
      CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
      CU_ASSERT_TRUE (g_str_has_suffix (wire_caller_body (caller), " end\n"));
      gwf_end_call (caller);
      g_free (request);
      g_free (response);
    }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "truncated streams", test_truncated },
          { "complete streams", test_complete },
          { "event without end", test_endless_event },
          { "comment at the end, slow caller", test_slow_caller },
          { NULL, NULL } };

  return unit_main ("truncated_stream", tests);
}
