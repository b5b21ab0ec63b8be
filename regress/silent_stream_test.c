#include "gw_fixture.h"
#include "unit.h"

/* Tests that a stream whose endpoint falls silent for a second and goes on
   reaches its caller whole, whatever the endpoint does at which the gateway
   tries to resume it meanwhile.  */

/* Longer than the time after which a silent stream is resumed elsewhere.  */
#define SILENCE_MS 1300
#define PATIENT_MS 1950
/* Pause of the second endpoint.  */
#define PAUSE_MS 50

#define EVENT(n) "id: " n "\ndata: x\n\n"
#define SILENT   GWF_EVENTS GWF_EVENT ("1") "|" GWF_EVENT ("2") "0\r\n\r\n"
/* Silent within the second event.  */
#define SILENT_PART                                                           \
  GWF_EVENTS GWF_EVENT ("1") "9\r\nid: 2\ndat\r\n|6\r\na: x\n\n\r\n0\r\n\r\n"
#define NOT_RUN                                                               \
  "HTTP/1.1 503 Busy\r\n" GWF_ECHO_ID                                         \
  "X-Cowslipcove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define ERROR_500                                                             \
  "HTTP/1.1 500 E\r\n" GWF_SEAL GWF_ECHO_ID "Content-Length: 1\r\n\r\nE"

/* Silent after the last event; the end of the response follows.  */
#define SILENT_END                                                            \
  GWF_EVENTS GWF_EVENT ("1") "|"                                              \
                             "0\r\n\r\n"

/* A silent stream that the second endpoint answers with BYTES.  */
#define CASE(name, bytes, end)                                                \
  {                                                                           \
    name, "resume", { SILENT, WIRE_KEEP, 0 }, { bytes, end, 0 }, 200,         \
        EVENT ("1") EVENT ("2"), true, true                                   \
  }

static const struct gwf_case cases[] = {
  CASE ("resumed elsewhere", GWF_EVENTS GWF_EVENT ("2") "0\r\n\r\n",
        WIRE_KEEP),
  CASE ("refused elsewhere", NOT_RUN, WIRE_KEEP),
  CASE ("failed elsewhere", ERROR_500, WIRE_KEEP),
  CASE ("no stream elsewhere", GWF_RESPONSE_B, WIRE_KEEP),
  CASE ("reset elsewhere", "", WIRE_RESET),
  CASE ("reset elsewhere after the head", GWF_EVENTS "|", WIRE_RESET),
  CASE ("closed elsewhere within an event", GWF_EVENTS "5\r\nid: 2\r\n",
        WIRE_CLOSE),
  CASE ("not answered elsewhere", NULL, WIRE_KEEP),
  CASE ("silent elsewhere after the head",
        GWF_EVENTS "||||||" GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP),
  { "silent within an event, reset elsewhere",
    "resume",
    { SILENT_PART, WIRE_KEEP, 0 },
    { "", WIRE_RESET, 0 },
    200,
    EVENT ("1") EVENT ("2"),
    true,
    true },
  { "silent within an event, resumed elsewhere",
    "resume",
    { SILENT_PART, WIRE_KEEP, 0 },
    { GWF_EVENTS GWF_EVENT ("2") GWF_EVENT ("3") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    EVENT ("1") EVENT ("2") EVENT ("3"),
    true,
    true },
  /* Guards against taking the end of a sound stream for a truncation.  */
  { "ended while it is resumed elsewhere",
    "resume",
    { SILENT_END, WIRE_KEEP, 0 },
    { NULL, WIRE_KEEP, 0 },
    200,
    EVENT ("1"),
    true,
    true },
  { "ended after a failure elsewhere",
    "resume",
    { SILENT_END, WIRE_KEEP, 0 },
    { "", WIRE_RESET, 0 },
    200,
    EVENT ("1"),
    true,
    true },
  { "closed while it is resumed elsewhere",
    "resume",
    { GWF_EVENTS GWF_EVENT ("1") "|", WIRE_CLOSE, 0 },
    { GWF_EVENTS "|" GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    EVENT ("1") EVENT ("2"),
    true,
    true },
};

static void
start (void)
{
  gwf_start ();
  wire_endpoint_set_pause (gwf_endpoints[0], SILENCE_MS);
  wire_endpoint_set_pause (gwf_endpoints[1], PAUSE_MS);
}

/* Guards against cutting a sound stream that was given up because of a second
   without data and could not be resumed elsewhere.  */
static void
test_silent_streams (void)
{
  start ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *bytes = gwf_patient_request_text (cases[i].path, PATIENT_MS);

      gwf_run_case (&cases[i], bytes);
      g_free (bytes);
    }
}

/* Guards against leaving a stream to two engines: the silent one is given up
   when the other has begun, also before its first event.  */
static void
test_overlap (void)
{
  static const struct wire_script silent
      = { GWF_EVENTS GWF_EVENT ("1") "||" GWF_EVENT ("2"), WIRE_KEEP, false };
  static const struct wire_script slow
      = { GWF_EVENTS "||||||||" GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP,
          false };
  char *bytes = gwf_patient_request_text ("resume", PATIENT_MS);
  struct wire_caller *caller;

  start ();
  gwf_reset_endpoints ();
  gwf_set_script (0, &silent);
  gwf_set_script (1, &slow);
  caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers), bytes);
  while (wire_endpoint_disconnects (gwf_endpoints[0]) == 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), EVENT ("1"));
  while (!gwf_call_is_done (caller, 1))
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), EVENT ("1") EVENT ("2"));
  gwf_end_call (caller);
  g_free (bytes);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "silent streams", test_silent_streams },
          { "overlap", test_overlap },
          { NULL, NULL } };

  return unit_main ("silent_stream", tests);
}
