#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that the response of an endpoint which cannot continue a stream that
   another endpoint has broken off neither becomes part of the stream nor ends
   it as complete.  */

#define PATIENT_MS        1950
#define UNFINISHED_MAX_MS 600

#define EVENT(n) "id: " n "\ndata: x\n\n"
#define FIRST    GWF_EVENTS GWF_EVENT ("1") GWF_EVENT ("2") "|8\r\nid: 3\nda\r\n"
#define STREAM(fields)                                                        \
  GWF_OK_HEAD "Content-Type: text/event-stream\r\n" fields "\r\n"
#define RECEIVED EVENT ("1") EVENT ("2")
#define ERROR(status, fields)                                                 \
  "HTTP/1.1 " status " E\r\n" GWF_SEAL GWF_ECHO_ID fields "\r\n"

static const struct
{
  const char *name;
  const char *bytes; /* what the second endpoint sends */
  enum wire_end_action end_action;
  const char *body; /* what the caller gets */
} cases[] = {
  { "500", ERROR ("500", "Content-Length: 5\r\n") "error", WIRE_KEEP,
    RECEIVED },
  { "500 in chunks",
    ERROR ("500", "Transfer-Encoding: chunked\r\n") "5\r\nerror\r\n|0\r\n\r\n",
    WIRE_KEEP, RECEIVED },
  { "500 that ends with the connection", ERROR ("500", "") "error", WIRE_CLOSE,
    RECEIVED },
  { "500 that is broken off", ERROR ("500", "Content-Length: 50\r\n") "error",
    WIRE_RESET, RECEIVED },
  { "500 with the type of a stream",
    ERROR ("500", "Content-Type: text/event-stream\r\n"
                  "Content-Length: 16\r\n") "id: 3\ndata: e\n\n|",
    WIRE_KEEP, RECEIVED },
  { "502", ERROR ("502", "Content-Length: 5\r\n") "error", WIRE_KEEP,
    RECEIVED },
  { "503 that does not say \"not run\"",
    ERROR ("503", "Content-Length: 5\r\n") "error", WIRE_KEEP, RECEIVED },
  { "400", ERROR ("400", "Content-Length: 5\r\n") "error", WIRE_KEEP,
    RECEIVED },
  { "404", ERROR ("404", "Content-Length: 5\r\n") "error", WIRE_KEEP,
    RECEIVED },
  { "429 that does not say \"not run\"",
    ERROR ("429", "Content-Length: 5\r\n") "error", WIRE_KEEP, RECEIVED },
  { "302", ERROR ("302", "Location: /\r\nContent-Length: 0\r\n"), WIRE_KEEP,
    RECEIVED },
  { "204 with the type of a stream",
    "HTTP/1.1 204 N\r\n" GWF_SEAL GWF_ECHO_ID
    "Content-Type: text/event-stream\r\n\r\n",
    WIRE_KEEP, RECEIVED },
  { "success of another type",
    GWF_OK_HEAD "Content-Type: text/plain\r\nContent-Length: 15\r\n\r\n"
                "id: 3\ndata: e\n\n",
    WIRE_KEEP, RECEIVED },
  { "success without a type",
    GWF_OK_HEAD
    "Transfer-Encoding: chunked\r\n\r\n" GWF_EVENT ("3") "0\r\n\r\n",
    WIRE_KEEP, RECEIVED },
  { "success without a seal",
    "HTTP/1.1 200 OK\r\n" GWF_ECHO_ID
    "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n" EVENT (
        "3"),
    WIRE_KEEP, RECEIVED },
  { "encoded stream",
    STREAM ("Content-Encoding: gzip\r\nContent-Length: 15\r\n") EVENT ("3"),
    WIRE_KEEP, RECEIVED },
  { "stream without a body", STREAM ("Content-Length: 0\r\n"), WIRE_KEEP,
    RECEIVED },
  { "stream without a chunk",
    STREAM ("Transfer-Encoding: chunked\r\n") "0\r\n\r\n", WIRE_KEEP,
    RECEIVED },
  { "stream of a comment", STREAM ("Content-Length: 8\r\n") ": none\n\n",
    WIRE_KEEP, RECEIVED ": none\n\n" },
  { "stream that ends with the connection at once", STREAM (""), WIRE_CLOSE,
    RECEIVED },
  { "stream that ends before the last event",
    STREAM ("Content-Length: 15\r\n") EVENT ("1"), WIRE_KEEP, RECEIVED },
  { "stream that misses an event",
    STREAM ("Content-Length: 15\r\n") EVENT ("4"), WIRE_KEEP, RECEIVED },
  { "stream that misses an event later",
    STREAM ("Content-Length: 30\r\n") EVENT ("3") EVENT ("5"), WIRE_KEEP,
    RECEIVED EVENT ("3") },
  { "stream with an id that does not fit",
    STREAM ("Content-Length: 35\r\n") EVENT ("999999999999999999999"),
    WIRE_KEEP, RECEIVED },
  { "text of an error as a stream",
    STREAM ("Content-Length: 9\r\n") "failure\n\n", WIRE_KEEP, RECEIVED },
  { "event of an error",
    STREAM ("Content-Length: 31\r\n") "event: error\ndata: overloaded\n\n",
    WIRE_KEEP, RECEIVED },
  { "event of an error after the next event",
    STREAM ("Transfer-Encoding: chunked\r\n")
        GWF_EVENT ("3") "f\r\ndata: failure\n\n\r\n0\r\n\r\n",
    WIRE_KEEP, RECEIVED EVENT ("3") },
  { "no response", "", WIRE_CLOSE, RECEIVED },
  { "bytes that are no response", "failure\r\n\r\n", WIRE_KEEP, RECEIVED },
};

/* Guards against the text or the head of an error in the middle of a stream,
   and against a stream that ends as complete before its last event.  */
static void
test_errors (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct gwf_case test_case
          = { .name = cases[i].name,
              .path = "resume",
              .first = { FIRST, WIRE_CLOSE, false },
              .second = { cases[i].bytes, cases[i].end_action, false },
              .status = 200,
              .body = cases[i].body,
              .complete = false,
              .uses_second = true };

      gwf_run_cases (&test_case, 1);
    }
}

static const struct gwf_case sound[] = {
  { "stream that begins with the next event",
    "resume",
    { FIRST, WIRE_CLOSE, false },
    { STREAM ("Content-Length: 30\r\n") EVENT ("3") EVENT ("4"), WIRE_KEEP,
      false },
    200,
    RECEIVED EVENT ("3") EVENT ("4"),
    true,
    true },
  { "stream that begins with the first event",
    "resume",
    { FIRST, WIRE_CLOSE, false },
    { STREAM ("Content-Length: 45\r\n") EVENT ("1") EVENT ("2") EVENT ("3"),
      WIRE_KEEP, false },
    200,
    RECEIVED EVENT ("3"),
    true,
    true },
  { "stream that ends with the last event received",
    "resume",
    { FIRST, WIRE_CLOSE, false },
    { STREAM ("Content-Length: 30\r\n") EVENT ("1") EVENT ("2"), WIRE_KEEP,
      false },
    200,
    RECEIVED,
    true,
    true },
  { "ids that do not rise by one",
    "resume",
    { GWF_EVENTS GWF_EVENT ("1") GWF_EVENT ("5") "|8\r\nid: 7\nda\r\n",
      WIRE_CLOSE, false },
    { STREAM ("Content-Length: 30\r\n") EVENT ("7") EVENT ("9"), WIRE_KEEP,
      false },
    200,
    EVENT ("1") EVENT ("5") EVENT ("7") EVENT ("9"),
    true,
    true },
};

/* Guards against taking a stream that can be continued for an error.  */
static void
test_sound (void)
{
  gwf_run_cases (sound, G_N_ELEMENTS (sound));
}

static const struct gwf_case appended[] = {
  { "head and text of an error behind a stream without a length",
    "flow",
    { STREAM ("") EVENT ("1") "HTTP/1.1 500 E\r\nContent-Length: 7\r\n\r\n"
                              "failure",
      WIRE_CLOSE, false },
    { 0 },
    200,
    EVENT ("1"),
    false,
    false },
  { "the same, resumed",
    "resume",
    { STREAM ("") EVENT ("1") "HTTP/1.1 500 E\r\nContent-Length: 7\r\n\r\n"
                              "failure",
      WIRE_CLOSE, false },
    { STREAM ("Content-Length: 15\r\n") EVENT ("2"), WIRE_KEEP, false },
    200,
    EVENT ("1") EVENT ("2"),
    true,
    true },
  { "events without any id",
    "flow",
    { STREAM ("Content-Length: 18\r\n") "data: x\n\ndata: y\n\n", WIRE_KEEP,
      false },
    { 0 },
    200,
    "data: x\n\ndata: y\n\n",
    true,
    false },
};

/* Guards against an error that an endpoint appends to its own stream.  */
static void
test_appended (void)
{
  gwf_run_cases (appended, G_N_ELEMENTS (appended));
}

static const struct gwf_case unfinished[] = {
  { "500 whose body does not end, stream begun",
    "resume",
    { FIRST, WIRE_CLOSE, false },
    { ERROR ("500", "Content-Length: 50\r\n") "error", WIRE_KEEP, false },
    200,
    RECEIVED,
    false,
    true },
  { "500 whose body does not end, may run again",
    "again",
    { ERROR ("500", "Content-Length: 50\r\n") "error", WIRE_KEEP, false },
    { GWF_RESPONSE_B, WIRE_KEEP, false },
    200,
    "B",
    true,
    true },
  { "refusal whose body does not end",
    "once",
    { "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" GWF_ECHO_ID
      "Content-Length: 50\r\n\r\nno",
      WIRE_KEEP, false },
    { GWF_RESPONSE_B, WIRE_KEEP, false },
    200,
    "B",
    true,
    true },
};

/* Guards against waiting until the deadline for the end of a response that is
   of no use.  */
static void
test_unfinished (void)
{
  gwf_start ();
  for (size_t i = 0; i < G_N_ELEMENTS (unfinished); i++)
    {
      char *bytes = gwf_patient_request_text (unfinished[i].path, PATIENT_MS);
      uint64_t start_us = tm_now_us (gwf_gw.tm);

      gwf_run_case (&unfinished[i], bytes);
      CU_ASSERT_TRUE (tm_now_us (gwf_gw.tm) - start_us
                      < UNFINISHED_MAX_MS * GW_US_PER_MS);
      g_free (bytes);
    }
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "errors", test_errors },
          { "sound streams", test_sound },
          { "appended errors", test_appended },
          { "unfinished errors", test_unfinished },
          { NULL, NULL } };

  return unit_main ("resume error", tests);
}
