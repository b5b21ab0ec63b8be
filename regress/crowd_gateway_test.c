#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "crowd.h"
#include "crowd_platform.h"
#include "unit.h"

/* Tests that clients that do not behave cannot end a gateway or take more than
   the memory and descriptors of its machine, and that an ordinary client is
   answered beside them and afterwards.  */

#define PROGRAM     "cowslipcoved/cowslipcoved"
#define MEMORY_MB   64
#define SOCKETS     600
#define BODY_BYTES  (4U << 20)
#define HEAD_BYTES  16384
#define BIG_CHUNK   65536
#define SMALL_CHUNK 16
#define UNIT_BYTES  (64U << 10)
#define FAR_BYTES   (64U << 20)
#define CROWD       64
#define LARGE_CROWD 180
#define ENDLESS     100000
#define MB          (1U << 20)

#define HOST  "Host: h\r\nX-Cowslipcove-Deadline-Remaining: 30000\r\n"
#define CHUNK HOST "Transfer-Encoding: chunked\r\n\r\n"

static const char config[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"once\",\"Host\":\"h\",\"PathPrefix\":\"/once/\",\"Kind\":"
      "\"non_idempotent\",\"TimeoutMs\":30000,\"TargetLatencyMs\":100,"
      "\"Priority\":1,\"MaxAttempts\":1,\"Service\":\"plain\"}],"
      "\"Services\":[{\"Name\":\"plain\",\"MaxConns\":1000}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}}";

#define ORDINARY                                                              \
  "POST /once/x HTTP/1.1\r\n" HOST                                            \
  "X-Cowslipcove-Request-Id: ordinary\r\nConnection: close\r\n"               \
  "Content-Length: 4\r\n\r\nbody"
#define GET(path)                                                             \
  "GET " path " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

static uint16_t store_port;

/* Return the settings of a gateway with the ports of REQUESTS, to be freed
   with g_free.  */
static char *
settings_text (const struct crowd_request requests[])
{
  return g_strdup_printf (
      "{\"gateway\": true, \"instance\": \"i1\", \"zone\": \"z1\","
      "\"caller_address\": \"127.0.0.1:%u\","
      "\"ready_address\": \"127.0.0.1:%u\","
      "\"metrics_address\": \"127.0.0.1:%u\","
      "\"peer_address\": \"127.0.0.1:%u\","
      "\"store_address\": \"127.0.0.1:%u\","
      "\"grace_s\": 8, \"orders_apart_ms\": 3000, \"drain_ms\": 2000,"
      "\"config_apply_ms\": 2000, \"retry_ratio\": 0.2,"
      "\"retry_extra\": 50, \"retry_window_s\": 10, \"cpu_share\": 1,"
      "\"sockets_max\": %u, \"memory_mb\": %u, \"log_level\": 4}",
      requests[0].port, requests[1].port, requests[2].port,
      crowd_unused_port (), store_port, SOCKETS, MEMORY_MB);
}

/* Run PLAN against a new gateway.  */
static void
run (const struct crowd_plan *plan)
{
  const struct crowd_request requests[]
      = { { crowd_unused_port (), ORDINARY },
          { crowd_unused_port (), GET ("/api/ready") },
          { crowd_unused_port (), GET ("/metrics") },
          { 0, NULL } };
  const struct crowd_bounds bounds
      = { (uint64_t)MEMORY_MB * MB, SOCKETS, requests };
  struct crowd_process gateway = { .port = requests[0].port };
  char *text;
  char *path;

  if (store_port == 0)
    {
      crowd_platform_announce ("plain");
      store_port = crowd_platform_store (config);
    }
  text = settings_text (requests);
  path = crowd_write_file ("settings.json", text);
  crowd_start (&gateway, PROGRAM, (const char *const[]){ path, NULL });
  crowd_await_port (&gateway);
  crowd_run (&gateway, plan, &bounds);
  crowd_stop (&gateway);
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

/* Guards against bodies of many callers that together take all memory: they
   stop just short of their end.  */
static void
test_large_chunks (void)
{
  size_t bytes;
  char *unit = crowd_chunks (BIG_CHUNK, BIG_CHUNK, &bytes);

  run_units ("large chunks", CROWD, "POST /once/x HTTP/1.1\r\n" CHUNK, unit,
             bytes, BODY_BYTES / BIG_CHUNK);
}

static void
test_small_chunks (void)
{
  size_t bytes;
  char *unit = crowd_chunks (SMALL_CHUNK, UNIT_BYTES, &bytes);

  run_units ("small chunks", CROWD, "POST /once/x HTTP/1.1\r\n" CHUNK, unit,
             bytes, BODY_BYTES / UNIT_BYTES);
}

/* The same with a length that is announced and never reached.  */
static void
test_announced (void)
{
  run_units (
      "announced lengths", CROWD,
      "POST /once/x HTTP/1.1\r\n" HOST "Content-Length: 4194304\r\n\r\n",
      g_strnfill (UNIT_BYTES, 'x'), UNIT_BYTES, BODY_BYTES / UNIT_BYTES - 1);
}

/* Guards against bodies far over the limit, announced or only sent.  */
static void
test_far_over (void)
{
  size_t bytes;
  char *unit = crowd_chunks (BIG_CHUNK, BIG_CHUNK, &bytes);

  run_units ("far over, announced", CROWD,
             "POST /once/x HTTP/1.1\r\n" HOST
             "Content-Length: 1073741824\r\n\r\n",
             g_strnfill (UNIT_BYTES, 'x'), UNIT_BYTES, FAR_BYTES / UNIT_BYTES);
  run_units ("far over, sent", CROWD, "POST /once/x HTTP/1.1\r\n" CHUNK, unit,
             bytes, FAR_BYTES / BIG_CHUNK);
}

/* Guards against copies of whole bodies for an endpoint that does not read
   them.  */
static void
test_blind_endpoint (void)
{
  run_units (
      "bodies for an endpoint that does not read", CROWD,
      "POST /once/blind HTTP/1.1\r\n" HOST "Content-Length: 4194304\r\n\r\n",
      g_strnfill (UNIT_BYTES, 'x'), UNIT_BYTES, BODY_BYTES / UNIT_BYTES);
}

/* Guards against heads of many small fields, each of which takes far more
   memory than it has bytes.  */
static void
test_heads (void)
{
  size_t bytes;
  char *unit = crowd_repeat ("a:\r\n", HEAD_BYTES * 3, &bytes);

  run_units ("heads of small fields", LARGE_CROWD,
             "POST /once/x HTTP/1.1\r\n" HOST, unit, bytes, 1);
}

/* Guards against trailers that are kept.  */
static void
test_trailers (void)
{
  size_t bytes;
  char *unit = crowd_repeat ("a:\r\n", HEAD_BYTES * 3, &bytes);

  run_units ("trailers of small fields", LARGE_CROWD,
             "POST /once/x HTTP/1.1\r\n" CHUNK "1\r\nx\r\n0\r\n", unit, bytes,
             1);
}

static void
test_extensions (void)
{
  run_units ("chunk extensions", CROWD, "POST /once/x HTTP/1.1\r\n" CHUNK "1;",
             g_strnfill (UNIT_BYTES, 'e'), UNIT_BYTES, FAR_BYTES / UNIT_BYTES);
}

/* Guards against bytes behind a request in progress that fill buffers, those
   of the kernel too.  */
static void
test_pipelined (void)
{
  run_units ("pipelined bytes", LARGE_CROWD,
             "POST /once/hold HTTP/1.1\r\n" HOST "Content-Length: 1\r\n\r\nx",
             g_strnfill (UNIT_BYTES, 'G'), UNIT_BYTES, FAR_BYTES / UNIT_BYTES);
}

/* Guards against answers that fill buffers because nobody reads them.  */
static void
test_never_read (void)
{
  const struct crowd_plan plan = { .name = "answers that are never read",
                                   .clients = LARGE_CROWD,
                                   .head = "POST /once/flood HTTP/1.1\r\n" HOST
                                           "Content-Length: 1\r\n\r\nx",
                                   .unit = "\r\n",
                                   .unit_bytes = 2 };

  run (&plan);
}

/* Guards against callers that get in first, stall and return as soon as they
   are closed: more of them than there are connections.  */
static void
test_stalled (void)
{
  const struct crowd_plan plan = { .name = "stalled callers that return",
                                   .clients = 3 * LARGE_CROWD,
                                   .head = "POST /once/x HTTP/1.1\r\n" HOST,
                                   .unit = "a: b\r\n",
                                   .unit_bytes = 6,
                                   .units = 1,
                                   .reads = true,
                                   .returns = ENDLESS };

  run (&plan);
}

/* The same with bodies, which stop short of their end.  */
static void
test_returning (void)
{
  size_t bytes;
  char *unit = crowd_chunks (BIG_CHUNK, BIG_CHUNK, &bytes);
  const struct crowd_plan plan = { .name = "large bodies that return",
                                   .clients = CROWD,
                                   .head = "POST /once/x HTTP/1.1\r\n" CHUNK,
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
          { "endpoint that does not read", test_blind_endpoint },
          { "heads", test_heads },
          { "trailers", test_trailers },
          { "chunk extensions", test_extensions },
          { "pipelined bytes", test_pipelined },
          { "answers that are never read", test_never_read },
          { "stalled callers", test_stalled },
          { "returning callers", test_returning },
          { NULL, NULL } };

  return unit_main ("crowd_gateway", tests);
}
