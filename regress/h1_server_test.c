#include <string.h>

#include "h1_server.h"
#include "tm_uv.h"
#include "unit.h"
#include "wire.h"

/* Tests when the server closes connections, over loopback with callers that
   read slowly.  */

/* More than the kernel buffers of a connection hold.  */
#define BODY_BYTES (64U << 20)
/* Longer than the time that a caller has to close its side.  */
#define READER_PAUSE_MS 1200
#define US_PER_MS       UINT64_C (1000)
/* Longer than a connection may do nothing while another caller needs it.  */
#define STALL_MS         700
#define SHORT_IDLE_MS    300
#define LONG_IDLE_MS     3000
#define SHORT_HEAD_BYTES 200
#define LONG_HEAD_BYTES  4096
#define SMALL_REQUEST    "GET /small HTTP/1.1\r\nHost: h\r\n\r\n"

static struct tm_uv timer;
static struct h1_server *server;
static char *body;
static bool close_idle_after_response;
static struct h1_unfinished last;
static uint32_t unfinished_count;

static void
on_request (void *arg, struct h1_exchange *exchange)
{
  bool small
      = g_str_has_prefix (h1_exchange_head (exchange)->target, "/small");

  (void)arg;
  h1_respond (exchange, 200, NULL, 0, small ? "" : body);
  if (close_idle_after_response)
    h1_server_close_idle (server);
}

static void
on_unfinished (void *arg, const struct h1_unfinished *unfinished)
{
  (void)arg;
  last = *unfinished;
  unfinished_count++;
}

static void
start (void)
{
  static const struct h1_server_events events
      = { .request = on_request, .unfinished = on_unfinished };
  GError *error = NULL;

  if (server != NULL)
    return;
  body = g_strnfill (BODY_BYTES, 'b');
  tm_uv_start (&timer, uv_default_loop ());
  server = h1_server_new (uv_default_loop (), timer.service, "127.0.0.1:0",
                          &events, NULL, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
}

static void
run_ms (uint64_t ms)
{
  uint64_t start_us = tm_now_us (timer.service);

  while (tm_now_us (timer.service) - start_us < ms * US_PER_MS)
    uv_run (uv_default_loop (), UV_RUN_NOWAIT);
}

/* Send REQUEST from a caller that pauses within the response.  Return the
   bytes of the body that it gets.  */
static size_t
read_slowly (const char *request)
{
  struct wire_caller *caller
      = wire_caller_new (uv_default_loop (), h1_server_port (server), request);
  size_t bytes;

  while (wire_caller_status (caller) == 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  wire_caller_set_reading (caller, false);
  run_ms (READER_PAUSE_MS);
  wire_caller_set_reading (caller, true);
  while (wire_caller_responses (caller) == 0 && !wire_caller_closed (caller))
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  bytes = strlen (wire_caller_body (caller));
  wire_caller_close (caller);
  while (h1_server_connections (server) > 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  return bytes;
}

/* Guards against closing a connection while its last response is being sent to
   a caller that reads slowly.  */
static void
test_last_response (void)
{
  start ();
  CU_ASSERT_EQUAL (
      read_slowly ("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
      BODY_BYTES);
}

static void
set_limits (size_t head_max_bytes, uint32_t idle_timeout_ms)
{
  struct h1_limits limits = { .head_max_bytes = head_max_bytes,
                              .body_max_bytes = 4096,
                              .head_timeout_ms = 5000,
                              .idle_timeout_ms = idle_timeout_ms,
                              .connections_max = 10 };

  h1_server_set_limits (server, &limits);
}

static void
set_idle_timeout (uint32_t idle_timeout_ms)
{
  set_limits (LONG_HEAD_BYTES, idle_timeout_ms);
}

/* Return a caller that has got one response on a connection that is kept.  */
static struct wire_caller *
keep_connection (void)
{
  struct wire_caller *caller = wire_caller_new (
      uv_default_loop (), h1_server_port (server), SMALL_REQUEST);

  while (wire_caller_responses (caller) == 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  return caller;
}

/* Wait for the second response to CALLER and close its connection.  Return
   whether the response came.  */
static bool
end_connection (struct wire_caller *caller)
{
  bool answered;

  while (wire_caller_responses (caller) < 2 && !wire_caller_closed (caller))
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  answered = wire_caller_responses (caller) == 2;
  wire_caller_close (caller);
  while (h1_server_connections (server) > 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  return answered;
}

/* Guards against closing a connection that became idle under a shorter limit
   than the one in force.  */
static void
test_raised_limit (void)
{
  struct wire_caller *caller;

  start ();
  set_idle_timeout (SHORT_IDLE_MS);
  caller = keep_connection ();
  set_idle_timeout (LONG_IDLE_MS);
  run_ms (2 * SHORT_IDLE_MS);
  CU_ASSERT_FALSE (wire_caller_closed (caller));
  wire_caller_send (caller, SMALL_REQUEST);
  CU_ASSERT_TRUE (end_connection (caller));
}

/* Guards against refusing a request on a kept connection for a limit that is
   no longer in force.  */
static void
test_raised_head_limit (void)
{
  char *value = g_strnfill (2 * SHORT_HEAD_BYTES, 'x');
  char *request = g_strdup_printf (
      "GET /small HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", value);
  struct wire_caller *caller;

  start ();
  set_limits (SHORT_HEAD_BYTES, LONG_IDLE_MS);
  caller = keep_connection ();
  set_limits (LONG_HEAD_BYTES, LONG_IDLE_MS);
  wire_caller_send (caller, request);
  while (wire_caller_responses (caller) < 2 && !wire_caller_closed (caller))
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  CU_ASSERT_EQUAL (wire_caller_status (caller), 200);
  CU_ASSERT_TRUE (end_connection (caller));
  g_free (request);
  g_free (value);
}

/* Guards against closing an idle connection whose next request has arrived
   while this process was stalled.  */
static void
test_stall (void)
{
  struct wire_caller *caller;

  start ();
  set_idle_timeout (SHORT_IDLE_MS);
  caller = keep_connection ();
  wire_caller_send (caller, SMALL_REQUEST);
  g_usleep (2 * SHORT_IDLE_MS * US_PER_MS);
  CU_ASSERT_TRUE (end_connection (caller));
}

/* Guards against closing connections as idle that have a request to answer: it
   was read behind the one before, or it waits in the socket buffer.  */
static void
test_close_idle (void)
{
  struct wire_caller *caller;

  start ();
  set_idle_timeout (LONG_IDLE_MS);
  close_idle_after_response = true;
  caller = wire_caller_new (uv_default_loop (), h1_server_port (server),
                            SMALL_REQUEST SMALL_REQUEST);
  CU_ASSERT_TRUE (end_connection (caller));
  close_idle_after_response = false;
  caller = keep_connection ();
  wire_caller_send (caller, SMALL_REQUEST);
  h1_server_close_idle (server);
  CU_ASSERT_TRUE (end_connection (caller));
}

/* Guards against closing a connection within a request or a response without a
   report.  */
static void
test_reports (void)
{
  struct wire_caller *caller;

  start ();
  set_idle_timeout (LONG_IDLE_MS);
  unfinished_count = 0;
  CU_ASSERT_TRUE (wire_caller_responses (caller = keep_connection ()) == 1);
  wire_caller_close (caller);
  while (h1_server_connections (server) > 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  CU_ASSERT_EQUAL (unfinished_count, 0);
  caller = keep_connection ();
  wire_caller_send (caller, "GET /small HTTP/1.1\r\n");
  run_ms (SHORT_IDLE_MS);
  wire_caller_close (caller);
  while (h1_server_connections (server) > 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  CU_ASSERT_EQUAL (unfinished_count, 1);
  CU_ASSERT_EQUAL (last.reason, H1_CLOSE_PEER);
  CU_ASSERT_FALSE (last.answering);
  CU_ASSERT_TRUE (last.age_us > 0);
  caller = wire_caller_new (uv_default_loop (), h1_server_port (server),
                            "GET / HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close\r\n\r\n");
  while (wire_caller_status (caller) == 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  wire_caller_close (caller);
  while (h1_server_connections (server) > 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  CU_ASSERT_EQUAL (unfinished_count, 2);
  CU_ASSERT_EQUAL (last.reason, H1_CLOSE_LOST);
  CU_ASSERT_TRUE (last.answering);
  CU_ASSERT_TRUE (last.unsent_bytes > 0);
}

/* Guards against a truncated response when the time between requests runs out
   while it is being sent.  */
static void
test_idle_timeout (void)
{
  start ();
  set_idle_timeout (SHORT_IDLE_MS);
  CU_ASSERT_EQUAL (read_slowly ("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                   BODY_BYTES);
}

/* Let the server have one connection, and another for control.  */
static void
set_one_connection (void)
{
  const struct h1_limits limits = { .head_max_bytes = LONG_HEAD_BYTES,
                                    .body_max_bytes = 4096,
                                    .head_timeout_ms = 5000,
                                    .idle_timeout_ms = 60000,
                                    .connections_max = 1 };

  start ();
  h1_server_set_limits (server, &limits);
}

/* Return the status that a new caller gets.  */
static uint16_t
ask_from_new_connection (void)
{
  struct wire_caller *caller = wire_caller_new (
      uv_default_loop (), h1_server_port (server), SMALL_REQUEST);
  uint16_t status;

  while (wire_caller_responses (caller) == 0 && !wire_caller_closed (caller))
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  status = wire_caller_status (caller);
  wire_caller_close (caller);
  return status;
}

/* Guards against an idle connection that keeps another caller out.  */
static void
test_idle_makes_room (void)
{
  struct wire_caller *idle;

  set_one_connection ();
  idle = keep_connection ();
  run_ms (STALL_MS);
  CU_ASSERT_EQUAL (ask_from_new_connection (), 200);
  while (!wire_caller_closed (idle))
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  wire_caller_close (idle);
  while (h1_server_connections (server) > 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
}

/* Guards against a response that is ready and is cut because another caller
   needs the connection.  */
static void
test_ready_response_stays (void)
{
  struct wire_caller *slow;

  set_one_connection ();
  slow = wire_caller_new (uv_default_loop (), h1_server_port (server),
                          "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  while (wire_caller_status (slow) == 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  wire_caller_set_reading (slow, false);
  run_ms (STALL_MS);
  CU_ASSERT_EQUAL (ask_from_new_connection (), 503);
  wire_caller_set_reading (slow, true);
  while (wire_caller_responses (slow) == 0 && !wire_caller_closed (slow))
    uv_run (uv_default_loop (), UV_RUN_ONCE);
  CU_ASSERT_EQUAL (strlen (wire_caller_body (slow)), BODY_BYTES);
  wire_caller_close (slow);
  while (h1_server_connections (server) > 0)
    uv_run (uv_default_loop (), UV_RUN_ONCE);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "slow reader of the last response", test_last_response },
          { "slow reader and the idle timeout", test_idle_timeout },
          { "raised idle timeout", test_raised_limit },
          { "raised head limit", test_raised_head_limit },
          { "request that arrived during a stall", test_stall },
          { "closing idle connections", test_close_idle },
          { "reports of unfinished work", test_reports },
          { "idle connection makes room", test_idle_makes_room },
          { "ready response stays", test_ready_response_stays },
          { NULL, NULL } };

  return unit_main ("h1_server", tests);
}
