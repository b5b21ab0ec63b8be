#include <stdlib.h>
#include <string.h>

#include "fake_kv.h"
#include "gw_impl.h"
#include "lg.h"
#include "pf.h"
#include "unit.h"
#include "wire.h"

/* What the gateway makes of each way in which endpoints answer and callers
   ask, over loopback against both ends byte by byte.  */

#define ID_NAME   "X-Cowslipcove-Request-Id"
#define SEAL      "X-Cowslipcove-Response-Seal: s1\r\n"
#define OWN_ID    ID_NAME ": {id}\r\n"
#define OK_HEAD   "HTTP/1.1 200 OK\r\n" SEAL OWN_ID
#define LIMIT_MS  3000
#define ENDPOINTS 2

static uv_loop_t *loop;
static struct gw gw;
static struct gws_settings settings;
static struct wire_endpoint *endpoints[ENDPOINTS];
static uint32_t next_id;

static const char config_text[]
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
  /* The first endpoint is in the own zone and so is asked first.  */
  return g_strdup_printf (
      "{\"Service\":\"plain\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z%u\","
      "\"Version\":\"v\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":1}",
      wire_endpoint_port (endpoints[index]), index + 1);
}

static void
start (void)
{
  static struct fake_kv *kv;
  GError *error = NULL;

  if (loop != NULL)
    return;
  loop = uv_default_loop ();
  settings = (struct gws_settings){ .instance = "i1",
                                    .zone = "z1",
                                    .caller_address = "127.0.0.1:0",
                                    .ready_address = "127.0.0.1:0",
                                    .peer_address = "127.0.0.1:0",
                                    .metrics_address = "127.0.0.1:0",
                                    .grace_ms = 8000,
                                    .retry_ratio = 0.2,
                                    .retry_extra = 1000,
                                    .retry_window_ms = 10000,
                                    .sockets_max = 1000 };
  gw.loop = loop;
  gw.settings = &settings;
  tm_uv_start (&gw.clock, loop);
  gw.tm = gw.clock.service;
  gw.counters = ctr_new ();
  gw.protocol = pf_protocol ();
  gw.random = gsl_rng_alloc (gsl_rng_mt19937);
  gw.client = http_client_new (loop, gw.tm);
  kv = fake_kv_new (gw.tm, 500);
  gw.kv = fake_kv_store (kv);
  lg_set_threshold (LG_ERR);
  fake_kv_put (kv, "op/config", config_text);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      char *key = g_strdup_printf ("servers/e%u", i + 1);
      char *text;

      endpoints[i] = wire_endpoint_new (loop, ID_NAME);
      text = entry_text (i);
      fake_kv_put (kv, key, text);
      g_free (text);
      g_free (key);
    }
  CU_ASSERT_TRUE_FATAL (gw_start (&gw, &error));
  while (gw.config == NULL || !gw.fleet_known || ldr_strength (gw.ldr) == 0)
    uv_run (loop, UV_RUN_ONCE);
}

static void
play (uint32_t index, const struct wire_script *script)
{
  wire_endpoint_play (endpoints[index], script,
                      script == NULL || script->bytes == NULL ? 0 : 1);
}

/* Let the endpoints be as good as new: what earlier cases taught the gateway
   of their failures is no part of this one.  */
static void
forgive (void)
{
  GPtrArray *all = flt_all (gw.fleet);

  for (guint i = 0; i < all->len; i++)
    flt_answered (g_ptr_array_index (all, i));
  h1_pool_forget (gw.pool, "e1");
  h1_pool_forget (gw.pool, "e2");
}

static bool
field_is (const struct h1_head *head, const char *name, const char *value)
{
  return g_strcmp0 (h1_head_get (head, name), value) == 0;
}

static char *
ask (const char *path)
{
  return g_strdup_printf (
      "POST /%s/x HTTP/1.1\r\nHost: h\r\n" ID_NAME ": r%u\r\n"
      "X-Cowslipcove-Deadline-Remaining: 900\r\nContent-Length: 4\r\n\r\nbody",
      path, ++next_id);
}

static bool
is_over (const struct wire_caller *caller, uint32_t answers)
{
  return wire_caller_closed (caller) || wire_caller_whole (caller) >= answers;
}

static struct wire_caller *
call (const char *bytes, uint32_t answers)
{
  struct wire_caller *caller
      = wire_caller_new (loop, h1_server_port (gw.callers), bytes);
  uint64_t start_us = tm_now_us (gw.tm);

  while (!is_over (caller, answers)
         && tm_now_us (gw.tm) - start_us < LIMIT_MS * GW_US_PER_MS)
    uv_run (loop, UV_RUN_ONCE);
  return caller;
}

static void
end_call (struct wire_caller *caller)
{
  wire_caller_close (caller);
  while (h1_server_connections (gw.callers) > 0)
    uv_run (loop, UV_RUN_ONCE);
  uv_run (loop, UV_RUN_NOWAIT);
}

/* One case: what the first endpoint answers, what the second one does if it is
   asked, and what the caller gets.  */
struct wire_case
{
  const char *name;
  const char *path;
  struct wire_script first;
  struct wire_script second;
  uint16_t status;
  const char *body; /* as far as it arrives */
  bool whole;
  bool asks_second;
};

#define WHOLE_B "HTTP/1.1 200 OK\r\n" SEAL OWN_ID "Content-Length: 1\r\n\r\nB"
#define EVENTS                                                                \
  "HTTP/1.1 200 OK\r\n" SEAL OWN_ID                                           \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "f\r\nid: " n "\ndata: x\n\n\r\n"

static const struct wire_case cases[] = {
  { "length",
    "once",
    { OK_HEAD "Content-Length: 3\r\n\r\nabc", WIRE_KEEP, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "length in pieces",
    "once",
    { OK_HEAD "Content-Len|gth: 3\r\n\r\na|bc", WIRE_KEEP, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "chunks",
    "once",
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n|2\r\nbc\r\n0\r\n"
              "\r\n",
      WIRE_KEEP, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "no length, closed",
    "once",
    { OK_HEAD "\r\nabc", WIRE_CLOSE, 0 },
    { 0 },
    200,
    "abc",
    true,
    false },
  { "no length, reset",
    "once",
    { OK_HEAD "\r\nabc", WIRE_RESET, 0 },
    { 0 },
    200,
    "abc",
    false,
    false },
  { "length, cut",
    "once",
    { OK_HEAD "Content-Length: 5\r\n\r\nabc", WIRE_CLOSE, 0 },
    { 0 },
    200,
    "abc",
    false,
    false },
  { "chunks, cut",
    "once",
    { OK_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", WIRE_CLOSE, 0 },
    { 0 },
    200,
    "a",
    false,
    false },
  { "head only, cut, may run once",
    "once",
    { OK_HEAD "Content-Length: 5\r\n\r\n", WIRE_CLOSE, 0 },
    { WHOLE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "head only, cut, may run again",
    "again",
    { OK_HEAD "Content-Length: 5\r\n\r\n", WIRE_CLOSE, 0 },
    { WHOLE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "silent close, may run once",
    "once",
    { "", WIRE_CLOSE, 0 },
    { WHOLE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "silent close, may run again",
    "again",
    { "", WIRE_CLOSE, 0 },
    { WHOLE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "reset, may run once",
    "once",
    { "", WIRE_RESET, 0 },
    { WHOLE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "not run",
    "once",
    { "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" OWN_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    { WHOLE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "not run anywhere",
    "once",
    { "HTTP/1.1 503 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" OWN_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    { "HTTP/1.1 429 S\r\nX-Cowslipcove-Not-Executed: 1\r\n" OWN_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    503,
    "",
    true,
    true },
  { "another endpoint has the address",
    "once",
    { "HTTP/1.1 421 M\r\nX-Cowslipcove-Instance-Id: other\r\n" OWN_ID
      "Content-Length: 0\r\n\r\n",
      WIRE_KEEP, 0 },
    { WHOLE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "error, may run once",
    "once",
    { "HTTP/1.1 500 E\r\n" SEAL OWN_ID "Content-Length: 1\r\n\r\nE", WIRE_KEEP,
      0 },
    { WHOLE_B, 0, 0 },
    500,
    "E",
    true,
    false },
  { "error, may run again",
    "again",
    { "HTTP/1.1 500 E\r\n" SEAL OWN_ID "Content-Length: 1\r\n\r\nE", WIRE_KEEP,
      0 },
    { WHOLE_B, 0, 0 },
    200,
    "B",
    true,
    true },
  { "503 that does not say not run",
    "once",
    { "HTTP/1.1 503 S\r\n" SEAL OWN_ID "Content-Length: 1\r\n\r\nS", WIRE_KEEP,
      0 },
    { WHOLE_B, 0, 0 },
    503,
    "S",
    true,
    false },
  { "success without a seal",
    "once",
    { "HTTP/1.1 200 OK\r\n" OWN_ID "Content-Length: 1\r\n\r\nx", WIRE_KEEP,
      0 },
    { WHOLE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "late answer to an earlier request",
    "once",
    { "HTTP/1.1 200 OK\r\n" SEAL ID_NAME
      ": r-old\r\nContent-Length: 3\r\n\r\nold" OK_HEAD
      "Content-Length: 3\r\n\r\nnew",
      WIRE_KEEP, 0 },
    { 0 },
    200,
    "new",
    true,
    false },
  { "only a late answer",
    "once",
    { "HTTP/1.1 200 OK\r\n" SEAL ID_NAME
      ": r-old\r\nContent-Length: 3\r\n\r\nold",
      WIRE_CLOSE, 0 },
    { WHOLE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "100 before the answer",
    "once",
    { "HTTP/1.1 100 Continue\r\n\r\n" OK_HEAD "Content-Length: 1\r\n\r\na",
      WIRE_KEEP, 0 },
    { 0 },
    200,
    "a",
    true,
    false },
  { "no answer at all",
    "once",
    { "garbage\r\n\r\n", WIRE_KEEP, 0 },
    { WHOLE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "two lengths",
    "once",
    { OK_HEAD "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", WIRE_KEEP,
      0 },
    { WHOLE_B, 0, 0 },
    502,
    "",
    true,
    false },
  { "204 without a body",
    "once",
    { "HTTP/1.1 204 N\r\n" SEAL OWN_ID "\r\n", WIRE_KEEP, 0 },
    { 0 },
    204,
    "",
    true,
    false },
  { "stream",
    "flow",
    { EVENTS EVENT ("1") "|" EVENT ("2") "0\r\n\r\n", WIRE_KEEP, 0 },
    { 0 },
    200,
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
    true,
    false },
  { "stream cut in an event",
    "flow",
    { EVENTS EVENT ("1") "8\r\nid: 2\nda\r\n", WIRE_CLOSE, 0 },
    { EVENTS EVENT ("2") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\n",
    false,
    false },
  { "stream resumed",
    "resume",
    { EVENTS EVENT ("1") "|8\r\nid: 2\nda\r\n", WIRE_RESET, 0 },
    { EVENTS EVENT ("2") EVENT ("3") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
    true,
    true },
  { "stream resumed with a doubled event",
    "resume",
    { EVENTS EVENT ("1") EVENT ("2"), WIRE_CLOSE, 0 },
    { EVENTS EVENT ("2") EVENT ("3") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
    true,
    true },
  { "stream that fails before its first event",
    "resume",
    { EVENTS, WIRE_CLOSE, 0 },
    { EVENTS EVENT ("1") "0\r\n\r\n", WIRE_KEEP, 0 },
    200,
    "id: 1\ndata: x\n\n",
    true,
    true },
  { "stream refused at its second engine",
    "resume",
    { EVENTS EVENT ("1"), WIRE_CLOSE, 0 },
    { "HTTP/1.1 500 E\r\n" SEAL OWN_ID "Content-Length: 1\r\n\r\nE", WIRE_KEEP,
      0 },
    200,
    "id: 1\ndata: x\n\n",
    false,
    true },
};

static void
run_case (const struct wire_case *c)
{
  char *bytes = ask (c->path);
  struct wire_caller *caller;

  forgive ();
  play (0, &c->first);
  play (1, &c->second);
  caller = call (bytes, 1);
  if (wire_caller_status (caller) != c->status
      || strcmp (wire_caller_body (caller), c->body) != 0
      || (wire_caller_whole (caller) == 1) != c->whole
      || (wire_endpoint_requests (endpoints[1]) > 0) != c->asks_second)
    {
      printf ("\n%s: status %u, body \"%s\", whole %u, second asked %u\n",
              c->name, wire_caller_status (caller), wire_caller_body (caller),
              wire_caller_whole (caller),
              wire_endpoint_requests (endpoints[1]));
      CU_FAIL ("case");
    }
  /* A failure of the gateway's own bears no seal of an endpoint.  */
  CU_ASSERT_TRUE (c->status != 502
                  || wire_caller_field (caller, "X-Cowslipcove-Response-Seal")
                         == NULL);
  end_call (caller);
  g_free (bytes);
}

/* Guards against answers that are mixed up, cut but complete to look at, run
   twice, or called "not run" although they may have run.  */
static void
test_cases (void)
{
  start ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    run_case (&cases[i]);
}

/* Guards against a resumed stream that misses or repeats events: the second
   engine is told the last whole event, also over what the caller sent.  */
static void
test_resume_from (void)
{
  static const struct wire_script first
      = { EVENTS EVENT ("7"), WIRE_CLOSE, false };
  static const struct wire_script second
      = { EVENTS EVENT ("8") "0\r\n\r\n", WIRE_KEEP, false };
  const char *bytes = "POST /resume/x HTTP/1.1\r\nHost: h\r\n" ID_NAME
                      ": resume-1\r\nLast-Event-Id: 6\r\n\r\n";
  struct wire_caller *caller;
  const struct h1_head *head;

  start ();
  forgive ();
  play (0, &first);
  play (1, &second);
  caller = call (bytes, 1);
  CU_ASSERT_TRUE (
      field_is (wire_endpoint_head (endpoints[0]), "Last-Event-Id", "6"));
  head = wire_endpoint_head (endpoints[1]);
  CU_ASSERT_PTR_NOT_NULL_FATAL (h1_head_get (head, "Last-Event-Id"));
  CU_ASSERT_TRUE (field_is (head, "Last-Event-Id", "7"));
  CU_ASSERT_EQUAL (wire_caller_whole (caller), 1);
  end_call (caller);
}

/* Guards against callers that set what only the gateway may set, and against
   more time than is left.  */
static void
test_fields (void)
{
  static const struct wire_script script = { WHOLE_B, WIRE_KEEP, false };
  const char *bytes
      = "POST /once/x?q=1 HTTP/1.1\r\nHost: h\r\n" ID_NAME
        ": fields-1\r\nX-Cowslipcove-Deadline-Remaining: 500\r\n"
        "X-Cowslipcove-Hold: 5\r\nKv-From: 1.2.3.4:5/6\r\n"
        "X-Cowslipcove-Expect-Instance: e9\r\nX-Own: kept\r\n"
        "X-Hop: dropped\r\nConnection: keep-alive, x-hop\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  struct wire_caller *caller;
  const struct h1_head *head;
  const char *left;

  start ();
  forgive ();
  play (0, &script);
  caller = call (bytes, 1);
  head = wire_endpoint_head (endpoints[0]);
  CU_ASSERT_EQUAL (g_strcmp0 (head->target, "/once/x?q=1"), 0);
  CU_ASSERT_TRUE (field_is (head, ID_NAME, "fields-1"));
  CU_ASSERT_TRUE (field_is (head, "X-Own", "kept"));
  CU_ASSERT_PTR_NULL (h1_head_get (head, "X-Hop"));
  CU_ASSERT_PTR_NULL (h1_head_get (head, "X-Cowslipcove-Hold"));
  CU_ASSERT_PTR_NULL (h1_head_get (head, "Kv-From"));
  CU_ASSERT_TRUE (field_is (head, "X-Cowslipcove-Expect-Instance", "e1"));
  left = h1_head_get (head, "X-Cowslipcove-Deadline-Remaining");
  CU_ASSERT_PTR_NOT_NULL_FATAL (left);
  CU_ASSERT_TRUE (left != NULL && atoi (left) > 0 && atoi (left) <= 500);
  CU_ASSERT_EQUAL (wire_endpoint_body_bytes (endpoints[0]), 5);
  end_call (caller);
}

/* Guards against smuggled requests: each of these is refused and closed, and
   nothing of it reaches an endpoint.  */
static void
test_smuggling (void)
{
  static const struct wire_script script = { WHOLE_B, WIRE_KEEP, false };
  static const char *const bad[] = {
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nabc",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Content-Length: 4\r\n\r\nabcd",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "zz\r\n\r\n",
    "POST /once/x HTTP/1.1\r\nHost h\r\n\r\n",
    "hello\r\n\r\n",
  };

  start ();
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      struct wire_caller *caller;

      forgive ();
      play (0, &script);
      caller = call (bad[i], 2);
      CU_ASSERT_EQUAL (wire_caller_status (caller), 400);
      CU_ASSERT_TRUE (wire_caller_closed (caller));
      CU_ASSERT_EQUAL (wire_endpoint_requests (endpoints[0]), 0);
      end_call (caller);
    }
}

/* Guards against answers in another order than the requests of a connection,
   and against bytes behind an answer that reach the next request.  */
static void
test_kept_connections (void)
{
  static const struct wire_script scripts[]
      = { { OK_HEAD "Content-Length: 1\r\n\r\n1", WIRE_KEEP, false },
          { OK_HEAD "Content-Length: 1\r\n\r\n2EXTRA", WIRE_KEEP, false },
          { OK_HEAD "Content-Length: 1\r\n\r\n3", WIRE_KEEP, false } };
  char *one = ask ("once");
  char *two = ask ("once");
  char *three = ask ("once");
  char *bytes = g_strconcat (one, two, three, NULL);
  struct wire_caller *caller;

  start ();
  forgive ();
  wire_endpoint_play (endpoints[0], scripts, G_N_ELEMENTS (scripts));
  caller = call (bytes, 3);
  CU_ASSERT_EQUAL (wire_caller_whole (caller), 3);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), "3");
  /* The first connection serves two requests; its extra bytes end it.  */
  CU_ASSERT_EQUAL (wire_endpoint_connections (endpoints[0]), 2);
  end_call (caller);
  g_free (bytes);
  g_free (three);
  g_free (two);
  g_free (one);
}

/* Guards against other bytes where the rest of a long body is due: an endpoint
   that answers early and keeps the connection gets the whole body.  */
static void
test_early_answer (void)
{
  static const struct wire_script scripts[]
      = { { "HTTP/1.1 400 E\r\n" SEAL OWN_ID "Content-Length: 1\r\n\r\nE",
            WIRE_KEEP, true },
          { OK_HEAD "Content-Length: 1\r\n\r\n2", WIRE_KEEP, false } };
  char *body = g_strnfill (300000, 'b');
  char *one = g_strdup_printf ("POST /once/x HTTP/1.1\r\nHost: h\r\n" ID_NAME
                               ": early-1\r\nContent-Length: 300000\r\n\r\n%s",
                               body);
  char *two = ask ("once");
  char *bytes = g_strconcat (one, two, NULL);
  struct wire_caller *caller;

  start ();
  forgive ();
  wire_endpoint_play (endpoints[0], scripts, G_N_ELEMENTS (scripts));
  caller = call (bytes, 2);
  CU_ASSERT_EQUAL (wire_caller_whole (caller), 2);
  CU_ASSERT_STRING_EQUAL (wire_caller_body (caller), "2");
  CU_ASSERT_EQUAL (wire_endpoint_body_bytes (endpoints[0]), 4);
  end_call (caller);
  g_free (bytes);
  g_free (two);
  g_free (one);
  g_free (body);
}

/* Guards against work for a caller that has left.  */
static void
test_caller_gone (void)
{
  static const struct wire_script script
      = { EVENTS EVENT ("1"), WIRE_KEEP, false };
  char *bytes = ask ("flow");
  struct wire_caller *caller;
  uint64_t start_us;
  uint32_t closed;

  start ();
  forgive ();
  play (0, &script);
  caller = wire_caller_new (loop, h1_server_port (gw.callers), bytes);
  while (wire_caller_status (caller) == 0)
    uv_run (loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (g_hash_table_size (gw.requests), 1);
  closed = wire_endpoint_closed (endpoints[0]);
  wire_caller_close (caller);
  start_us = tm_now_us (gw.tm);
  while (wire_endpoint_closed (endpoints[0]) == closed)
    uv_run (loop, UV_RUN_ONCE);
  CU_ASSERT_TRUE (tm_now_us (gw.tm) - start_us < 500 * GW_US_PER_MS);
  CU_ASSERT_EQUAL (g_hash_table_size (gw.requests), 0);
  g_free (bytes);
}

/* Guards against callers that wait past their time or the route's, and against
   a refusal for a request that may have run.  */
static void
test_deadline (void)
{
  static const struct wire_script silent = { NULL, WIRE_KEEP, false };
  char *bytes = ask ("once");
  struct wire_caller *caller;
  uint64_t start_us;

  start ();
  forgive ();
  play (0, &silent);
  start_us = tm_now_us (gw.tm);
  caller = call (bytes, 1);
  /* The route's time, 700 ms, is shorter than the caller's.  */
  CU_ASSERT_EQUAL (wire_caller_status (caller), 504);
  CU_ASSERT_TRUE (tm_now_us (gw.tm) - start_us < 1200 * GW_US_PER_MS);
  CU_ASSERT_EQUAL (wire_endpoint_requests (endpoints[0]), 1);
  end_call (caller);
  g_free (bytes);
}

/* Guards against memory that grows with what a slow caller does not read.  */
static void
test_slow_reader (void)
{
  char *body = g_strnfill (16U << 20, 'b');
  char *answer = g_strdup_printf (OK_HEAD "Content-Length: %u\r\n\r\n%s",
                                  16U << 20, body);
  struct wire_script script = { answer, WIRE_KEEP, false };
  char *bytes = ask ("once");
  struct wire_caller *caller;
  size_t before = 0;

  start ();
  forgive ();
  play (0, &script);
  caller = wire_caller_new (loop, h1_server_port (gw.callers), bytes);
  while (wire_caller_status (caller) == 0)
    uv_run (loop, UV_RUN_ONCE);
  wire_caller_read (caller, false);
  /* Kernel buffers of two connections hold a few MB; the rest must stay at
     the endpoint.  */
  while (before != wire_endpoint_unsent (endpoints[0]))
    {
      before = wire_endpoint_unsent (endpoints[0]);
      for (int i = 0; i < 20; i++)
        uv_run (loop, UV_RUN_ONCE);
    }
  CU_ASSERT_TRUE (wire_endpoint_unsent (endpoints[0]) > 0);
  wire_caller_read (caller, true);
  while (!is_over (caller, 1))
    uv_run (loop, UV_RUN_ONCE);
  CU_ASSERT_EQUAL (strlen (wire_caller_body (caller)), 16U << 20);
  end_call (caller);
  g_free (bytes);
  g_free (answer);
  g_free (body);
}

/* Guards against a 404 for what is routed and against a route for what is
   not.  */
static void
test_unknown_route (void)
{
  struct wire_caller *caller;

  start ();
  caller = call ("GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n", 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 404);
  end_call (caller);
  caller = call ("GET /once/x HTTP/1.1\r\nHost: other\r\n\r\n", 1);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 404);
  end_call (caller);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "ways to answer", test_cases },
          { "resumed after the last event", test_resume_from },
          { "fields", test_fields },
          { "smuggled requests", test_smuggling },
          { "kept connections", test_kept_connections },
          { "early answer", test_early_answer },
          { "caller gone", test_caller_gone },
          { "deadline", test_deadline },
          { "slow reader", test_slow_reader },
          { "unknown route", test_unknown_route },
          { NULL, NULL } };

  return unit_main ("gw_http", tests);
}
