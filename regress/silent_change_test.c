#include <string.h>

#include "gw_fixture.h"
#include "unit.h"

/* Tests that requests are answered whole by endpoints that are sound and fall
   silent for a second, on kept connections and while the configuration
   changes.  */

#define SILENCE_MS   1150
#define DEADLINE_MS  2900
#define TIMEOUT_MS   3000
#define CALLERS      2
#define REQUESTS     2
#define CHANGE_MS    150
#define CASE_MAX_MS  8000
#define VERSION_BASE 10

#define EVENT(n) "id: " n "\ndata: x\n\n"
#define BOTH     EVENT ("1") EVENT ("2")

struct silent_case
{
  const char *name;
  const char *paths[CALLERS];
  struct wire_script script;
  const char *body;
};

static const struct silent_case cases[] = {
  { "before the head",
    { "once", "again" },
    { "|" GWF_OK_HEAD "Content-Length: 3\r\n\r\nabc", WIRE_KEEP, false },
    "abc" },
  { "within the head",
    { "once", "again" },
    { GWF_OK_HEAD "Content-Len|gth: 3\r\n\r\nabc", WIRE_KEEP, false },
    "abc" },
  { "after the head",
    { "once", "again" },
    { GWF_OK_HEAD "Content-Length: 3\r\n\r\n|abc", WIRE_KEEP, false },
    "abc" },
  { "within the body",
    { "once", "again" },
    { GWF_OK_HEAD "Content-Length: 3\r\n\r\na|bc", WIRE_KEEP, false },
    "abc" },
  { "within a chunk",
    { "once", "again" },
    { GWF_OK_HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\na|bc\r\n0\r\n\r\n",
      WIRE_KEEP, false },
    "abc" },
  { "before the end of a body without a length",
    { "once", "again" },
    { GWF_OK_HEAD "\r\nabc", WIRE_CLOSE, false },
    "abc" },
  { "before the head of a stream",
    { "flow", "resume" },
    { "|" GWF_EVENTS GWF_EVENT ("1") GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP,
      false },
    BOTH },
  { "before the first event",
    { "flow", "resume" },
    { GWF_EVENTS "|" GWF_EVENT ("1") GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP,
      false },
    BOTH },
  { "between events",
    { "flow", "resume" },
    { GWF_EVENTS GWF_EVENT ("1") "|" GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP,
      false },
    BOTH },
  { "within an event",
    { "flow", "resume" },
    { GWF_EVENTS GWF_EVENT ("1") "9\r\nid: 2\ndat\r\n|6\r\na: x\n\n\r\n"
                                 "0\r\n\r\n",
      WIRE_KEEP, false },
    BOTH },
};

static uint32_t version = VERSION_BASE;

/* Write a configuration with other time limits and another route.  */
static void
change_configuration (void)
{
  static const char *const routes[][2]
      = { { "once", "\"non_idempotent\"" },
          { "again", "\"idempotent\"" },
          { "flow", "\"streaming\"" },
          { "resume", "\"streaming\",\"Resumable\":true" } };
  GString *text = g_string_new (NULL);

  version++;
  g_string_printf (text, "{\"Version\":%u,\"Routes\":[", version);
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    g_string_append_printf (
        text,
        "{\"Name\":\"%s\",\"Host\":\"h\",\"PathPrefix\":\"/%s/\",\"Kind\":%s,"
        "\"TimeoutMs\":%u,\"TargetLatencyMs\":100,\"GapTargetMs\":300,"
        "\"Priority\":1,\"MaxAttempts\":2,\"Service\":\"plain\"},",
        routes[i][0], routes[i][0], routes[i][1],
        TIMEOUT_MS + version % 4 * 100);
  g_string_append_printf (
      text,
      "{\"Name\":\"r%u\",\"Host\":\"h\",\"PathPrefix\":\"/r%u/\",\"Kind\":"
      "\"idempotent\",\"TimeoutMs\":%u,\"TargetLatencyMs\":100,"
      "\"Priority\":1,\"MaxAttempts\":2,\"Service\":\"plain\"}],"
      "\"Services\":[{\"Name\":\"plain\",\"MaxConns\":%u}],"
      "\"Limits\":{\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":400000,"
      "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":%u}}",
      version % 3, version % 3, TIMEOUT_MS, 100 + version % 2,
      3000 + version % 3 * 1000);
  fake_kv_put (gwf_kv, "op/config", text->str);
  g_string_free (text, TRUE);
}

static void
send_request (struct wire_caller **caller, const char *path)
{
  char *bytes = gwf_patient_request_text (path, DEADLINE_MS);

  if (*caller == NULL)
    *caller = wire_caller_new (gwf_gw.loop, h1_server_port (gwf_gw.callers),
                               bytes);
  else
    wire_caller_send (*caller, bytes);
  g_free (bytes);
}

static void
check_caller (const struct silent_case *silent, uint32_t index,
              struct wire_caller *caller)
{
  if (wire_caller_responses (caller) == REQUESTS
      && wire_caller_status (caller) == 200
      && strcmp (wire_caller_body (caller), silent->body) == 0)
    return;
  printf ("\n%s, %s: %u responses, status %u, body \"%s\", closed %d\n",
          silent->name, silent->paths[index], wire_caller_responses (caller),
          wire_caller_status (caller), wire_caller_body (caller),
          wire_caller_closed (caller));
  CU_FAIL ("case");
}

/* Send a request of each of CALLERS, and wait until all have COUNT responses
   or their connections are closed.  The configuration changes meanwhile.  */
static void
run_requests (const struct silent_case *silent, struct wire_caller **callers,
              uint32_t count)
{
  uint64_t start_us = tm_now_us (gwf_gw.tm);
  uint64_t change_us = start_us;
  uint32_t done = 0;

  for (uint32_t i = 0; i < CALLERS; i++)
    send_request (&callers[i], silent->paths[i]);
  while (done < CALLERS
         && tm_now_us (gwf_gw.tm) - start_us < CASE_MAX_MS * GW_US_PER_MS)
    {
      if (tm_now_us (gwf_gw.tm) >= change_us)
        {
          change_configuration ();
          change_us = tm_now_us (gwf_gw.tm) + CHANGE_MS * GW_US_PER_MS;
        }
      uv_run (gwf_gw.loop, UV_RUN_ONCE);
      done = 0;
      for (uint32_t i = 0; i < CALLERS; i++)
        done += gwf_call_is_done (callers[i], count);
    }
}

static void
set_scripts (const struct wire_script *script)
{
  for (uint32_t i = 0; i < GWF_ENDPOINTS; i++)
    {
      gwf_set_script (i, script);
      wire_endpoint_set_pause (gwf_endpoints[i], SILENCE_MS);
    }
}

static void
run_case (const struct silent_case *silent)
{
  static const struct wire_script plain
      = { GWF_OK_HEAD "Content-Length: 3\r\n\r\nabc", WIRE_KEEP, false };
  static const struct wire_script stream
      = { GWF_EVENTS GWF_EVENT ("1") GWF_EVENT ("2") "0\r\n\r\n", WIRE_KEEP,
          false };
  struct wire_caller *callers[CALLERS] = { NULL };

  gwf_reset_endpoints ();
  set_scripts (g_str_equal (silent->body, BOTH) ? &stream : &plain);
  run_requests (silent, callers, 1);
  set_scripts (&silent->script);
  run_requests (silent, callers, REQUESTS);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      check_caller (silent, i, callers[i]);
      wire_caller_close (callers[i]);
    }
  while (h1_server_connections (gwf_gw.callers) > 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
}

/* Guards against a request without an answer beside a change of the
   configuration while an endpoint is silent.  */
static void
test_silence (void)
{
  gwf_start ();
  change_configuration ();
  while (gwf_gw.config->version != version)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "silence beside changes", test_silence }, { NULL, NULL } };

  return unit_main ("silent_change", tests);
}
