#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "crowd.h"
#include "crowd_platform.h"
#include "unit.h"

/* The tests of crowd_gateway_test for the own interface: callers of models and
   services share its port with operators and readiness checks.  */

#define PROGRAM     "cowslipcoved/cowslipcoved"
#define MEMORY_MB   64
#define DESCRIPTORS 300
#define CONNECTIONS 100
#define BODY_BYTES  (4U << 20)
#define HEAD_BYTES  16384
#define BIG_CHUNK   65536
#define SMALL_CHUNK 16
#define UNIT_BYTES  (64U << 10)
#define FAR_BYTES   (64U << 20)
#define CROWD       64
#define LARGE_CROWD 180
#define FEW         4
#define ENDLESS     100000
#define MB          (1U << 20)
#define TOKEN       "0123456789abcdef0123456789abcdef"

#define HOST  "Host: h\r\n"
#define CHAT  "POST /v1/chat/completions HTTP/1.1\r\n" HOST
#define CHUNK "Transfer-Encoding: chunked\r\n\r\n"
#define GET(path, fields)                                                     \
  "GET " path " HTTP/1.1\r\n" HOST fields "Connection: close\r\n\r\n"

static struct crowd_process store;
static uint16_t endpoint_port;

/* Write the document of the environment and return its path, to be freed with
   g_free.  */
static char *
write_document (void)
{
  char *text = g_strdup_printf (
      "{\"name\": \"production\","
      "\"classes\": {\"counter\": {\"deadline_ms\": 30000,"
      "\"first_token_ms\": 1000, \"between_tokens_ms\": 25,"
      "\"expected_ms\": 1000, \"priority\": 10}},"
      "\"pools\": {\"text\": {\"memory_bytes\": 80000000000, \"batch\": 32,"
      "\"checks_fencing\": true, \"can_resume\": true, \"endpoints\":"
      "[{\"address\": \"127.0.0.1:%u\", \"zone\": \"z1\"}]}},"
      "\"models\": {\"m\": {\"pool\": \"text\", \"version\": \"1\","
      "\"bytes\": 8000000000, \"adapter_bytes\": 1000000000,"
      "\"class\": \"counter\", \"replicas\": {\"z1\": 1},"
      "\"keep_alive_min_ms\": 2000, \"keep_alive_max_ms\": 600000}},"
      "\"adapters\": {},"
      "\"services\": {\"lookup\": {\"class\": \"counter\","
      "\"repeatable\": true, \"deduplicates\": false, \"endpoints\":"
      "[{\"address\": \"127.0.0.1:%u\", \"zone\": \"z1\"}]}},"
      "\"limits\": {\"waiting_max\": 200, \"retry_percent\": 5,"
      "\"adapter_loads_max\": 32, \"weight_loads_max\": 4}}",
      crowd_unused_port (), endpoint_port);
  char *path = crowd_write_file ("document.json", text);

  g_free (text);
  return path;
}

/* Return the settings of an instance whose callers connect to PORT, to be
   freed with g_free.  */
static char *
settings_text (uint16_t port)
{
  return g_strdup_printf (
      "{\"instance\": \"i1\", \"member_number\": 1, \"zone\": \"z1\","
      "\"region\": \"r\", \"environment\": \"production\","
      "\"http_address\": \"127.0.0.1:%u\","
      "\"rpc_address\": \"127.0.0.1:%u\", \"kv_address\": \"127.0.0.1:%u\","
      "\"peers\": [], \"peer_key_file\": \"token\","
      "\"operator_token_file\": \"token\", \"body_max_bytes\": %u,"
      "\"memory_mb\": %u, \"connections_max\": %u,"
      "\"drain_notice_ms\": 0, \"drain_max_ms\": 0, \"log_level\": 4}",
      port, crowd_unused_port (), store.port, BODY_BYTES, MEMORY_MB,
      CONNECTIONS);
}

/* Start the stand-ins, once for all tests, and write the token.  */
static void
start_platform (void)
{
  if (store.pid != 0)
    return;
  endpoint_port = crowd_platform_endpoint ();
  g_free (crowd_write_file ("token", TOKEN));
  crowd_start (&store, "standin-kv",
               (const char *const[]){ "-l", "127.0.0.1:0", NULL });
}

/* Apply the document through the instance at PORT.  */
static void
apply_document (uint16_t port)
{
  char *address = g_strdup_printf ("127.0.0.1:%u", port);
  char *token = g_build_filename (crowd_directory (), "token", NULL);
  char *document = write_document ();
  const char *const arguments[]
      = { "-s", address, "-t", token, "-w", "10", "apply", document, NULL };

  CU_ASSERT_EQUAL_FATAL (crowd_call ("cowslipctl/cowslipctl", arguments), 0);
  g_free (document);
  g_free (token);
  g_free (address);
}

/* Run PLAN against a new instance.  */
static void
run (const struct crowd_plan *plan)
{
  uint16_t port = crowd_unused_port ();
  const struct crowd_request requests[]
      = { { port, GET ("/svc/lookup/x", "") },
          { port, GET ("/readyz", "") },
          { port, GET ("/metrics", "") },
          { port,
            GET ("/admin/v1/status", "Authorization: Bearer " TOKEN "\r\n") },
          { 0, NULL } };
  const struct crowd_bounds bounds
      = { (uint64_t)MEMORY_MB * MB, DESCRIPTORS, requests };
  struct crowd_process instance = { .port = port };
  char *text;
  char *path;

  start_platform ();
  text = settings_text (port);
  path = crowd_write_file ("settings.json", text);
  crowd_start (&instance, PROGRAM, (const char *const[]){ path, NULL });
  crowd_await_port (&instance);
  apply_document (port);
  crowd_run (&instance, plan, &bounds);
  crowd_stop (&instance);
  g_free (path);
  g_free (text);
}

/* Run CLIENTS of NAME that send HEAD and then UNIT, which is freed, UNITS
   times.  */
static void
run_units (const char *name, uint32_t clients, const char *head, char *unit,
           size_t unit_bytes, uint32_t units)
{
  const struct crowd_plan plan = { .name = name,
                                   .clients = clients,
                                   .head = head,
                                   .unit = unit,
                                   .unit_bytes = unit_bytes,
                                   .units = units,
                                   .reads = true };

  run (&plan);
  g_free (unit);
}

static void
test_large_chunks (void)
{
  size_t bytes;
  char *unit = crowd_chunks (BIG_CHUNK, BIG_CHUNK, &bytes);

  run_units ("large chunks", CROWD, CHAT CHUNK, unit, bytes,
             BODY_BYTES / BIG_CHUNK);
}

static void
test_small_chunks (void)
{
  size_t bytes;
  char *unit = crowd_chunks (SMALL_CHUNK, UNIT_BYTES, &bytes);

  run_units ("small chunks", CROWD, CHAT CHUNK, unit, bytes,
             BODY_BYTES / UNIT_BYTES);
}

static void
test_announced (void)
{
  run_units (
      "announced lengths", CROWD, CHAT "Content-Length: 4194304\r\n\r\n",
      g_strnfill (UNIT_BYTES, 'x'), UNIT_BYTES, BODY_BYTES / UNIT_BYTES - 1);
}

static void
test_far_over (void)
{
  size_t bytes;
  char *unit = crowd_chunks (BIG_CHUNK, BIG_CHUNK, &bytes);

  run_units ("far over, announced", CROWD,
             CHAT "Content-Length: 1073741824\r\n\r\n",
             g_strnfill (UNIT_BYTES, 'x'), UNIT_BYTES, FAR_BYTES / UNIT_BYTES);
  run_units ("far over, sent", CROWD, CHAT CHUNK, unit, bytes,
             FAR_BYTES / BIG_CHUNK);
}

/* Guards against a body whose parsed form takes hundreds of times its
   size.  */
static void
test_parsed (void)
{
  size_t bytes;
  char *values = crowd_repeat ("{},", BODY_BYTES - 100, &bytes);
  char *unit = g_strdup_printf ("{\"model\":\"m\",\"prompt\":[%s1]}", values);
  char *head
      = g_strdup_printf (CHAT "Content-Length: %zu\r\n\r\n", strlen (unit));

  run_units ("bodies of small values", FEW, head, unit, strlen (unit), 1);
  g_free (head);
  g_free (values);
}

static void
test_blind_endpoint (void)
{
  run_units ("bodies for an endpoint that does not read", CROWD,
             "POST /svc/lookup/blind HTTP/1.1\r\n" HOST
             "Content-Length: 4194304\r\n\r\n",
             g_strnfill (UNIT_BYTES, 'x'), UNIT_BYTES,
             BODY_BYTES / UNIT_BYTES);
}

static void
test_heads (void)
{
  size_t bytes;
  char *unit = crowd_repeat ("a:\r\n", HEAD_BYTES * 3, &bytes);

  run_units ("heads of small fields", LARGE_CROWD, CHAT, unit, bytes, 1);
}

static void
test_trailers (void)
{
  size_t bytes;
  char *unit = crowd_repeat ("a:\r\n", HEAD_BYTES * 3, &bytes);

  run_units ("trailers of small fields", LARGE_CROWD,
             CHAT CHUNK "1\r\nx\r\n0\r\n", unit, bytes, 1);
}

static void
test_extensions (void)
{
  run_units ("chunk extensions", CROWD, CHAT CHUNK "1;",
             g_strnfill (UNIT_BYTES, 'e'), UNIT_BYTES, FAR_BYTES / UNIT_BYTES);
}

static void
test_pipelined (void)
{
  run_units ("pipelined bytes", LARGE_CROWD,
             GET ("/svc/lookup/hold", "X-Request-Id: p\r\n"),
             g_strnfill (UNIT_BYTES, 'G'), UNIT_BYTES, FAR_BYTES / UNIT_BYTES);
}

static void
test_never_read (void)
{
  const struct crowd_plan plan = { .name = "answers that are never read",
                                   .clients = LARGE_CROWD,
                                   .head = GET ("/svc/lookup/flood", ""),
                                   .unit = "\r\n",
                                   .unit_bytes = 2 };

  run (&plan);
}

/* Guards against connections without limit.  */
static void
test_stalled (void)
{
  const struct crowd_plan plan = { .name = "stalled callers that return",
                                   .clients = 3 * LARGE_CROWD,
                                   .head = CHAT,
                                   .unit = "a: b\r\n",
                                   .unit_bytes = 6,
                                   .units = 1,
                                   .reads = true,
                                   .returns = ENDLESS };

  run (&plan);
}

static void
test_returning (void)
{
  size_t bytes;
  char *unit = crowd_chunks (BIG_CHUNK, BIG_CHUNK, &bytes);
  const struct crowd_plan plan = { .name = "large bodies that return",
                                   .clients = CROWD,
                                   .head = CHAT CHUNK,
                                   .unit = unit,
                                   .unit_bytes = bytes,
                                   .units = BODY_BYTES / BIG_CHUNK,
                                   .reads = true,
                                   .returns = ENDLESS };

  run (&plan);
  g_free (unit);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "large chunks", test_large_chunks },
          { "small chunks", test_small_chunks },
          { "announced lengths", test_announced },
          { "far over the limit", test_far_over },
          { "parsed bodies", test_parsed },
          { "endpoint that does not read", test_blind_endpoint },
          { "heads", test_heads },
          { "trailers", test_trailers },
          { "chunk extensions", test_extensions },
          { "pipelined bytes", test_pipelined },
          { "answers that are never read", test_never_read },
          { "stalled callers", test_stalled },
          { "returning callers", test_returning },
          { NULL, NULL } };
  int status = unit_main ("crowd_own", tests);

  crowd_stop (&store);
  return status;
}
