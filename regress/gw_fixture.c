#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_kv.h"
#include "gw_fixture.h"
#include "lg.h"
#include "pf.h"
#include "unit.h"

#define GWF_CALL_TIMEOUT_MS 3000
#define GWF_DEADLINE_MS     900

struct gw gwf_gw;
struct wire_endpoint *gwf_endpoints[GWF_ENDPOINTS];
struct fake_kv *gwf_kv;
static uint64_t started_ms;
static uint32_t next_id;

const char gwf_config_text[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"once\",\"Host\":\"h\",\"PathPrefix\":\"/once/\",\"Kind\":"
      "\"non_idempotent\",\"TimeoutMs\":700,\"TargetLatencyMs\":100,"
      "\"Priority\":1,\"MaxAttempts\":1,\"Service\":\"plain\"},"
      "{\"Name\":\"again\",\"Host\":\"h\",\"PathPrefix\":\"/again/\","
      "\"Kind\":\"idempotent\",\"TimeoutMs\":1000,\"TargetLatencyMs\":100,"
      "\"Priority\":1,\"MaxAttempts\":2,\"Service\":\"plain\"},"
      "{\"Name\":\"flow\",\"Host\":\"h\",\"PathPrefix\":\"/flow/\",\"Kind\":"
      "\"streaming\",\"TimeoutMs\":2000,\"TargetLatencyMs\":500,"
      "\"GapTargetMs\":300,\"Priority\":1,\"MaxAttempts\":1,"
      "\"Service\":\"plain\"},"
      "{\"Name\":\"resume\",\"Host\":\"h\",\"PathPrefix\":\"/resume/\","
      "\"Kind\":\"streaming\",\"TimeoutMs\":2000,\"TargetLatencyMs\":500,"
      "\"Resumable\":true,\"GapTargetMs\":300,\"Priority\":1,"
      "\"MaxAttempts\":2,\"Service\":\"plain\"}],"
      "\"Services\":[{\"Name\":\"plain\",\"MaxConns\":100}],"
      "\"Limits\":{\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":400000,"
      "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":5000}}";

static char *
entry_text (uint32_t index)
{
  /* The first endpoint is in the gateway's zone and is therefore preferred. */
  return g_strdup_printf (
      "{\"Service\":\"plain\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z%u\","
      "\"Version\":\"v\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":1,\"born\":%" G_GUINT64_FORMAT "}",
      wire_endpoint_port (gwf_endpoints[index]), index + 1, ++started_ms);
}

static void
announce (uint32_t index)
{
  char *key = g_strdup_printf ("servers/e%u", index + 1);
  char *text = entry_text (index);

  fake_kv_put (gwf_kv, key, text);
  g_free (text);
  g_free (key);
}

/* Return an address of this machine that no process listens on, to be
   freed with g_free.  */
char *
gwf_unused_address (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t bytes = sizeof address;
  int probe = socket (AF_INET, SOCK_STREAM, 0);
  const struct sockaddr *any = (const struct sockaddr *)&address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (probe, any, bytes), 0);
  CU_ASSERT_EQUAL_FATAL (
      getsockname (probe, (struct sockaddr *)&address, &bytes), 0);
  close (probe);
  return g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
}

static struct gws_settings *
settings_new (const char *instance)
{
  struct gws_settings *settings = g_new0 (struct gws_settings, 1);

  settings->instance = g_strdup (instance);
  settings->zone = g_strdup ("z1");
  settings->caller_address = g_strdup ("127.0.0.1:0");
  settings->ready_address = g_strdup ("127.0.0.1:0");
  settings->peer_address = gwf_unused_address ();
  settings->metrics_address = g_strdup ("127.0.0.1:0");
  settings->grace_ms = 8000;
  settings->retry_ratio = 0.2;
  settings->retry_extra = 1000;
  settings->retry_window_ms = 10000;
  settings->sockets_max = 1000;
  settings->memory_mb = 256;
  return settings;
}

/* Start GW as the instance NAME of the fleet, and wait until it is ready.  */
void
gwf_start_instance (struct gw *gw, const char *name)
{
  GError *error = NULL;

  gw->loop = uv_default_loop ();
  gw->settings = settings_new (name);
  gw->incarnation = ++started_ms;
  gw->tm = gwf_gw.clock.service;
  gw->counters = ctr_new ();
  gw->protocol = pf_protocol ();
  gw->random = gsl_rng_alloc (gsl_rng_mt19937);
  gw->client = http_client_new (gw->loop, gw->tm);
  gw->store = fake_kv_store (gwf_kv);
  CU_ASSERT_TRUE_FATAL (gw_start (gw, &error));
  while (gw->config == NULL || !gw->fleet_loaded
         || ldr_peak_members (gw->ldr) == 0)
    uv_run (gw->loop, UV_RUN_ONCE);
}

/* Start the gateway and its endpoints, once for all tests of a program.  */
void
gwf_start (void)
{
  if (gwf_gw.loop != NULL)
    return;
  tm_uv_start (&gwf_gw.clock, uv_default_loop ());
  gwf_kv = fake_kv_new (gwf_gw.clock.service, 500);
  lg_set_threshold (LG_ERR);
  fake_kv_put (gwf_kv, "op/config", gwf_config_text);
  for (uint32_t i = 0; i < GWF_ENDPOINTS; i++)
    {
      gwf_endpoints[i] = wire_endpoint_new (uv_default_loop (), GWF_ID_NAME);
      announce (i);
    }
  gwf_start_instance (&gwf_gw, "i1");
}

/* Let endpoint INDEX, which may have crashed, listen again and announce itself
   as a new process.  */
void
gwf_restart_endpoint (uint32_t index)
{
  char id[] = { 'e', (char)('1' + index), '\0' };

  wire_endpoint_restart (gwf_endpoints[index]);
  announce (index);
  while (flt_find (gwf_gw.fleet, id)->entry.started_ms != started_ms)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
}

/* Add a service whose engines load a model, and wait until it is in force.  */
void
gwf_add_engine_service (void)
{
  char **parts = g_strsplit (gwf_config_text, "\"Version\":1", 2);
  char *text;

  text = g_strconcat (parts[0], "\"Version\":2", parts[1], NULL);
  g_strfreev (parts);
  parts = g_strsplit (text, "\"Services\":[", 2);
  g_free (text);
  text = g_strconcat (
      parts[0],
      "\"Services\":[{\"Name\":\"llm\",\"MaxConns\":9,\"Engine\":{"
      "\"Slots\":8,\"WeightsMb\":9,\"Models\":[{\"Name\":\"m\","
      "\"WeightsMb\":5,\"LoadTimeS\":6,\"Adapters\":0,"
      "\"AdapterSizeMb\":1}]}},",
      parts[1], NULL);
  g_strfreev (parts);
  fake_kv_put (gwf_kv, "op/config", text);
  while (gwf_gw.config->version != 2)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  g_free (text);
}

/* Announce the engine ID, which has no model, at the address of endpoint
   INDEX, and wait until the gateway knows it.  */
void
gwf_announce_engine (const char *id, uint32_t index)
{
  char *key = g_strdup_printf ("servers/%s", id);
  char *text = g_strdup_printf (
      "{\"Service\":\"llm\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z1\","
      "\"Version\":\"v\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":1,\"Models\":[],\"born\":%" G_GUINT64_FORMAT "}",
      wire_endpoint_port (gwf_endpoints[index]), ++started_ms);

  fake_kv_put (gwf_kv, key, text);
  while (flt_find (gwf_gw.fleet, id) == NULL)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  g_free (text);
  g_free (key);
}

/* Let endpoint INDEX respond with SCRIPT.  If SCRIPT or its bytes are NULL,
   the endpoint does not respond.  */
void
gwf_set_script (uint32_t index, const struct wire_script *script)
{
  wire_endpoint_set_scripts (gwf_endpoints[index], script,
                             script == NULL || script->bytes == NULL ? 0 : 1);
}

/* Clear the failure records of the endpoints and their idle connections, so
   that earlier cases do not affect the next one.  */
void
gwf_reset_endpoints (void)
{
  GPtrArray *endpoints = flt_all (gwf_gw.fleet);

  for (guint i = 0; i < endpoints->len; i++)
    flt_record_success (g_ptr_array_index (endpoints, i));
  h1_pool_close_idle (gwf_gw.pool, "e1");
  h1_pool_close_idle (gwf_gw.pool, "e2");
}

/* Return a request for the route /PATH/ with a new request id, whose caller
   waits for DEADLINE_MS, to be freed with g_free.  */
char *
gwf_patient_request_text (const char *path, uint32_t deadline_ms)
{
  return g_strdup_printf (
      "POST /%s/x HTTP/1.1\r\nHost: h\r\n" GWF_ID_NAME ": r%u\r\n"
      "X-Cowslipcove-Deadline-Remaining: %u\r\nContent-Length: 4\r\n\r\nbody",
      path, ++next_id, deadline_ms);
}

/* The same with a caller that waits for 900 ms.  */
char *
gwf_request_text (const char *path)
{
  return gwf_patient_request_text (path, GWF_DEADLINE_MS);
}

/* Return whether CALLER has received RESPONSES complete responses or its
   connection is closed.  */
bool
gwf_call_is_done (const struct wire_caller *caller, uint32_t responses)
{
  return wire_caller_closed (caller)
         || wire_caller_responses (caller) >= responses;
}

/* Send BYTES to GW from a new caller and wait until it has received RESPONSES
   complete responses, its connection is closed or the timeout has passed.  */
struct wire_caller *
gwf_call_instance (const struct gw *gw, const char *bytes, uint32_t responses)
{
  struct wire_caller *caller
      = wire_caller_new (gwf_gw.loop, h1_server_port (gw->callers), bytes);
  uint64_t start_us = tm_now_us (gwf_gw.tm);

  while (!gwf_call_is_done (caller, responses)
         && tm_now_us (gwf_gw.tm) - start_us
                < GWF_CALL_TIMEOUT_MS * GW_US_PER_MS)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  return caller;
}

/* Send BYTES to the first instance.  */
struct wire_caller *
gwf_call (const char *bytes, uint32_t responses)
{
  return gwf_call_instance (&gwf_gw, bytes, responses);
}

/* Close the connection of CALLER and wait until the gateway has closed its
   end.  */
void
gwf_end_call (struct wire_caller *caller)
{
  wire_caller_close (caller);
  while (h1_server_connections (gwf_gw.callers) > 0)
    uv_run (gwf_gw.loop, UV_RUN_ONCE);
  uv_run (gwf_gw.loop, UV_RUN_NOWAIT);
}

/* Run TEST_CASE with the request BYTES, and fail if the caller or the second
   endpoint receives something else than the case states.  */
void
gwf_run_case (const struct gwf_case *test_case, const char *bytes)
{
  struct wire_caller *caller;

  gwf_reset_endpoints ();
  gwf_set_script (0, &test_case->first);
  gwf_set_script (1, &test_case->second);
  caller = gwf_call (bytes, 1);
  if (wire_caller_status (caller) != test_case->status
      || strcmp (wire_caller_body (caller), test_case->body) != 0
      || (wire_caller_responses (caller) == 1) != test_case->complete
      || (wire_endpoint_requests (gwf_endpoints[1]) > 0)
             != test_case->uses_second)
    {
      printf (
          "\n%s: status %u, body \"%s\", complete %u, requests to second %u\n",
          test_case->name, wire_caller_status (caller),
          wire_caller_body (caller), wire_caller_responses (caller),
          wire_endpoint_requests (gwf_endpoints[1]));
      CU_FAIL ("case");
    }
  /* An error response of the gateway itself has no seal of an endpoint.  */
  CU_ASSERT_TRUE (test_case->status != 502
                  || wire_caller_field (caller, "X-Cowslipcove-Response-Seal")
                         == NULL);
  gwf_end_call (caller);
}

/* Run COUNT test CASES, each with a new request.  */
void
gwf_run_cases (const struct gwf_case *cases, size_t count)
{
  gwf_start ();
  for (size_t i = 0; i < count; i++)
    {
      char *bytes = gwf_request_text (cases[i].path);

      gwf_run_case (&cases[i], bytes);
      g_free (bytes);
    }
}
