#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "peers.h"
#include "requests.h"
#include "unit.h"

/* Tests the request handling of the daemon over real connections to callers
   and engines on one event loop.  The prompt selects the behaviour of the
   engine.  The other modules of the daemon are replaced by stubs.  */

#define ENGINES           2
#define TIMEOUT_MS        20000
#define FLOOD_EVENTS      1024
#define FLOOD_EVENT_BYTES 32768

static struct cd_daemon test_daemon;
static struct env_document *document;
static struct http_server *engines[ENGINES];
static struct http_server *front;
static char addresses[ENGINES][32];
static char front_address[32];
static uint32_t engine_calls;
static uint32_t engine_disconnects;
static uint32_t demand_reports;
static uint32_t suspect_reports;
static char last_body[1024];

struct env_document *
cd_document (const struct cd_daemon *daemon)
{
  (void)daemon;
  return document;
}

void
cd_peers_set_leaving (struct cd_daemon *daemon, const char *endpoint,
                      bool leaving)
{
  struct cd_leaving notice = { endpoint, leaving };

  cd_publish (daemon, CD_LEAVING, &notice);
}

void
cd_peers_send_suspects (struct cd_daemon *daemon, const cs_suspects *suspects,
                        cd_peers_done done, void *arg)
{
  (void)daemon;
  suspect_reports += suspects->suspects.suspects_len;
  done (arg);
}

void
cd_control_report_demand (struct cd_daemon *daemon, const cs_demand *demands,
                          uint32_t count)
{
  (void)daemon;
  for (uint32_t i = 0; i < count; i++)
    if (demands[i].waiting > 0)
      demand_reports++;
}

void
cd_control_set_slow (struct cd_daemon *daemon, const char *endpoint, bool slow)
{
  (void)daemon;
  (void)endpoint;
  (void)slow;
}

const struct vw_view *
cd_control_view (const struct cd_daemon *daemon)
{
  (void)daemon;
  return NULL;
}

static void
on_engine_disconnect (void *arg)
{
  (void)arg;
  engine_disconnects++;
}

static void
engine_stream (struct http_exchange *exchange, uint32_t first, uint32_t count,
               bool complete)
{
  char event[64];

  http_stream_start (exchange, 200, "text/event-stream");
  for (uint32_t i = first; i < count; i++)
    {
      g_snprintf (event, sizeof event, "data: {\"t\":%u}\n\n", i);
      http_stream_write (exchange, event, strlen (event));
    }
  if (complete)
    http_stream_write (exchange, "data: [DONE]\n\n", 14);
  http_stream_end (exchange, complete);
}

static void
engine_flood (struct http_exchange *exchange)
{
  char *padding = g_strnfill (FLOOD_EVENT_BYTES, 'x');
  char *event = g_strdup_printf ("data: %s\n\n", padding);

  http_stream_start (exchange, 200, "text/event-stream");
  for (uint32_t i = 0; i < FLOOD_EVENTS; i++)
    http_stream_write (exchange, event, strlen (event));
  http_stream_end (exchange, true);
  g_free (padding);
  g_free (event);
}

static void
on_engine (void *arg, struct http_exchange *exchange)
{
  static const char refused[] = "{\"error\":{\"not_started\":true}}";
  static const char plain[] = "{\"choices\":[]}";
  char *body = g_strndup (http_body (exchange), http_body_bytes (exchange));

  (void)arg;
  engine_calls++;
  g_strlcpy (last_body, body, sizeof last_body);
  http_on_disconnect (exchange, on_engine_disconnect, NULL);
  if (strstr (body, "resume_from") != NULL)
    engine_stream (exchange, 2, 5, true);
  else if (strstr (body, "cut") != NULL)
    engine_stream (exchange, 0, 2, false);
  else if (strstr (body, "full") != NULL
           || (strstr (body, "busy") != NULL && engine_calls == 1))
    http_respond (exchange, 503, "application/json", refused,
                  strlen (refused));
  else if (strstr (body, "flood") != NULL)
    engine_flood (exchange);
  else if (strstr (body, "hang") != NULL)
    ;
  else if (strstr (body, "\"stream\":true") != NULL)
    engine_stream (exchange, 0, 5, true);
  else
    http_respond (exchange, 200, "application/json", plain, strlen (plain));
  g_free (body);
}

static void
on_front_request (void *arg, struct http_exchange *exchange)
{
  cd_requests_handle (arg, exchange);
}

static struct http_server *
start_server (http_handler handler, char *address, size_t size)
{
  struct http_server *server
      = http_server_new (test_daemon.loop, test_daemon.tm, "127.0.0.1:0",
                         1U << 20, handler, &test_daemon, NULL);

  g_snprintf (address, (gulong)size, "127.0.0.1:%u",
              http_server_port (server));
  return server;
}

static void
send_view (void)
{
  struct vw_view *view = vw_new ("z", 1, 1);

  for (int i = 0; i < ENGINES; i++)
    {
      vw_add (view, "m", addresses[i], VW_READY, 0);
      vw_add (view, "a", addresses[i], VW_READY, 0);
      vw_add (view, "r", addresses[i], VW_READY, 0);
    }
  cd_publish (&test_daemon, CD_VIEW, view);
  vw_free (view);
}

static void
send_document (void)
{
  static const char format[]
      = "{\"name\":\"e\",\"classes\":{"
        "\"c\":{\"deadline_ms\":30000,\"expected_ms\":500,\"priority\":7},"
        "\"tight\":{\"deadline_ms\":200,\"expected_ms\":50,\"priority\":1}},"
        "\"pools\":{"
        "\"p\":{\"memory_bytes\":1000,\"batch\":4,\"checks_fencing\":true,"
        "\"can_resume\":false,\"endpoints\":[{\"address\":\"%s\",\"zone\":"
        "\"z\"}]},"
        "\"q\":{\"memory_bytes\":1000,\"batch\":4,\"checks_fencing\":true,"
        "\"can_resume\":true,\"endpoints\":[{\"address\":\"%s\",\"zone\":"
        "\"z\"}]}},\"models\":{%s},\"adapters\":{\"a\":{\"model\":\"m\","
        "\"version\":\"1\",\"bytes\":1},\"unloaded\":{\"model\":\"m\","
        "\"version\":\"1\",\"bytes\":1}},\"services\":{},\"limits\":{"
        "\"waiting_max\":10,\"retry_percent\":50,\"adapter_loads_max\":32,"
        "\"weight_loads_max\":4}}";
  static const char model[]
      = "\"%s\":{\"pool\":\"%s\",\"version\":\"1\",\"bytes\":1,"
        "\"adapter_bytes\":1,\"class\":\"c\",\"replicas\":{\"%s\":1},"
        "\"keep_alive_min_ms\":1,\"keep_alive_max_ms\":2}";
  static const char *const models[][3] = { { "m", "p", "z" },
                                           { "r", "q", "z" },
                                           { "cold", "p", "z" },
                                           { "away", "p", "y" } };
  GString *list = g_string_new (NULL);
  GError *error = NULL;
  char *text;

  for (size_t i = 0; i < sizeof models / sizeof models[0]; i++)
    {
      g_string_append (list, i == 0 ? "" : ",");
      g_string_append_printf (list, model, models[i][0], models[i][1],
                              models[i][2]);
    }
  text = g_strdup_printf (format, addresses[0], addresses[1], list->str);
  document = env_parse (text, strlen (text), &error);
  if (document == NULL)
    printf ("\n    %s\n", error->message);
  CU_ASSERT_PTR_NOT_NULL_FATAL (document);
  cd_publish (&test_daemon, CD_DOCUMENT, document);
  g_free (text);
  g_string_free (list, TRUE);
}

static void
set_up (void)
{
  static struct set_settings settings = { .instance = "i", .zone = "z" };

  test_daemon = (struct cd_daemon){ .loop = g_new0 (uv_loop_t, 1),
                                    .settings = &settings };
  uv_loop_init (test_daemon.loop);
  tm_uv_start (&test_daemon.clock, test_daemon.loop);
  test_daemon.tm = test_daemon.clock.service;
  test_daemon.counters = ctr_new ();
  test_daemon.budget = mbg_new (test_daemon.tm, mbg_machine_bytes ());
  test_daemon.random = gsl_rng_alloc (gsl_rng_taus2);
  test_daemon.client = http_client_new (test_daemon.loop, test_daemon.tm);
  test_daemon.requests = cd_requests_new (&test_daemon);
  for (int i = 0; i < ENGINES; i++)
    engines[i] = start_server (on_engine, addresses[i], sizeof addresses[i]);
  front = start_server (on_front_request, front_address, sizeof front_address);
  send_document ();
  send_view ();
}

/* The response as a caller received it.  */
struct response
{
  bool done;
  enum http_outcome outcome;
  uint16_t status;
  GString *body;
};

static void
on_head (void *arg, uint16_t status, const char *content_type)
{
  (void)content_type;
  ((struct response *)arg)->status = status;
}

static void
on_body (void *arg, const char *data, size_t bytes)
{
  g_string_append_len (((struct response *)arg)->body, data, (gssize)bytes);
}

static void
on_done (void *arg, enum http_outcome outcome, bool sent)
{
  struct response *response = arg;

  (void)sent;
  response->done = true;
  response->outcome = outcome;
}

static bool
is_set (const void *flag)
{
  return *(const bool *)flag;
}

static bool
is_idle (const void *unused)
{
  (void)unused;
  return cd_requests_active (&test_daemon) == 0;
}

static bool
has_slow_caller (const void *unused)
{
  (void)unused;
  return ctr_get (test_daemon.counters, "slow_callers_total") == 1;
}

/* Run the loop until CONDITION holds for ARG, for at most TIMEOUT_MS.  Return
   whether it holds.  */
static bool
run_until (bool (*condition) (const void *arg), const void *arg)
{
  uint64_t end_us = tm_now_us (test_daemon.tm) + TIMEOUT_MS * 1000ULL;

  while (!condition (arg) && tm_now_us (test_daemon.tm) < end_us)
    uv_run (test_daemon.loop, UV_RUN_ONCE);
  return condition (arg);
}

static struct http_call *
call (struct response *response, const char *path, const char *class,
      const char *body)
{
  static const struct http_handlers handlers = { on_head, on_body, on_done };
  struct http_header headers[]
      = { { "x-request-class", class }, { NULL, NULL } };
  struct http_request request
      = { .method = body == NULL ? "GET" : "POST",
          .address = front_address,
          .path = path,
          .headers = class == NULL ? NULL : headers,
          .body = body,
          .body_bytes = body == NULL ? 0 : strlen (body) };

  *response = (struct response){ .body = g_string_new (NULL) };
  return http_start (test_daemon.client, &request, &handlers, response);
}

struct exchange_case
{
  const char *body;
  const char *class;
  const char *contains;
  const char *excludes;
  uint16_t status;
  enum http_outcome outcome;
};

#define DONE "data: [DONE]\n\n"
#define FIVE_TOKENS                                                           \
  "data: {\"t\":0}\n\ndata: {\"t\":1}\n\ndata: {\"t\":2}\n\n"                 \
  "data: {\"t\":3}\n\ndata: {\"t\":4}\n\n" DONE

/* Guards against incomplete responses that are not marked as such, resumed
   streams with lost or duplicate tokens, and wrong refusals.  */
static void
test_responses (void)
{
  static const struct exchange_case cases[] = {
    { "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":true}", NULL, FIVE_TOKENS,
      "error", 200, HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"x\"}", NULL, "choices", "error", 200,
      HTTP_COMPLETE },
    { "{\"model\":\"a\",\"prompt\":\"x\"}", "tight", "choices", "error", 200,
      HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"busy\"}", NULL, "choices", "error", 200,
      HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"full\"}", NULL,
      "\"reason\":\"endpoint_failed\",\"not_run\":true", DONE, 502,
      HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"cut\",\"stream\":true}", NULL,
      "\"reason\":\"answer_cut\",\"not_run\":false", DONE, 200,
      HTTP_INCOMPLETE },
    { "{\"model\":\"r\",\"prompt\":\"cut\",\"stream\":true}", NULL,
      FIVE_TOKENS, "error", 200, HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"hang\"}", "tight",
      "\"reason\":\"deadline\",\"not_run\":false", DONE, 504, HTTP_COMPLETE },
    { "{\"model\":\"cold\",\"prompt\":\"x\"}", "tight",
      "\"reason\":\"queue_deadline\",\"not_run\":true", DONE, 503,
      HTTP_COMPLETE },
    /* A request for an adapter that is not loaded must not be routed to its
       base model.  */
    { "{\"model\":\"unloaded\",\"prompt\":\"x\"}", "tight",
      "\"reason\":\"queue_deadline\",\"not_run\":true", DONE, 503,
      HTTP_COMPLETE },
    { "{\"model\":\"away\",\"prompt\":\"x\"}", NULL,
      "\"reason\":\"no_endpoint\",\"not_run\":true", DONE, 503,
      HTTP_COMPLETE },
    { "{\"model\":\"none\",\"prompt\":\"x\"}", NULL,
      "\"reason\":\"unknown_model\",\"not_run\":true", DONE, 404,
      HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"x\"}", "none",
      "\"reason\":\"unknown_class\",\"not_run\":true", DONE, 400,
      HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}", NULL,
      "max_tokens", DONE, 400, HTTP_COMPLETE },
    { "{\"model\":\"m\"", NULL, "\"reason\":\"bad_request\"", DONE, 400,
      HTTP_COMPLETE },
    { NULL, NULL, "\"id\":\"a\",\"object\":\"model\"", "error", 200,
      HTTP_COMPLETE },
  };

  demand_reports = 0;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct exchange_case *c = &cases[i];
      struct response response;

      engine_calls = 0;
      (void)call (&response,
                  c->body == NULL ? "/v1/models" : "/v1/completions", c->class,
                  c->body);
      CU_ASSERT_TRUE_FATAL (run_until (is_set, &response.done));
      if (response.status != c->status
          || strstr (response.body->str, c->contains) == NULL
          || strstr (response.body->str, c->excludes) != NULL
          || response.outcome != c->outcome)
        {
          printf ("\n    %s: %u %s %s", c->body, response.status,
                  http_outcome_text (response.outcome), response.body->str);
          CU_FAIL ("response");
        }
      g_string_free (response.body, TRUE);
    }
  CU_ASSERT_TRUE (demand_reports > 0);
  CU_ASSERT_TRUE (suspect_reports >= 2);
  CU_ASSERT_EQUAL (cd_requests_active (&test_daemon), 0);
}

/* Guards against engine work that continues after the caller disconnected
   before the first byte.  */
static void
test_disconnect (void)
{
  struct response response;
  struct http_call *caller;

  engine_calls = 0;
  engine_disconnects = 0;
  caller = call (&response, "/v1/completions", NULL,
                 "{\"model\":\"m\",\"prompt\":\"hang\"}");
  while (engine_calls == 0)
    uv_run (test_daemon.loop, UV_RUN_ONCE);
  CU_ASSERT_PTR_NOT_NULL (strstr (last_body, "\"priority\":7"));
  http_cancel (caller);
  CU_ASSERT_TRUE (run_until (is_idle, NULL));
  CU_ASSERT_EQUAL (
      ctr_get (test_daemon.counters, "requests_gone_total{class=\"c\"}"), 1);
  g_string_free (response.body, TRUE);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  *(bool *)connect->data = status == 0;
}

static void
on_closed (uv_handle_t *handle)
{
  *(bool *)handle->data = true;
}

/* Guards against a response buffer that grows without bound for a caller who
   does not read.  */
static void
test_slow_caller (void)
{
  static const char body[]
      = "{\"model\":\"m\",\"prompt\":\"flood\",\"stream\":true}";
  struct sockaddr_in to;
  uv_connect_t connect;
  uv_tcp_t socket;
  uv_buf_t data;
  bool ready = false;
  char *text = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
                                "content-length: %zu\r\n\r\n%s",
                                strlen (body), body);

  uv_ip4_addr ("127.0.0.1", http_server_port (front), &to);
  uv_tcp_init (test_daemon.loop, &socket);
  connect.data = &ready;
  uv_tcp_connect (&connect, &socket, (struct sockaddr *)&to, on_connected);
  CU_ASSERT_TRUE_FATAL (run_until (is_set, &ready));
  data = uv_buf_init (text, (unsigned)strlen (text));
  CU_ASSERT_EQUAL (uv_try_write ((uv_stream_t *)&socket, &data, 1),
                   (int)strlen (text));
  CU_ASSERT_TRUE (run_until (has_slow_caller, NULL));
  CU_ASSERT_EQUAL (cd_requests_active (&test_daemon), 0);
  ready = false;
  socket.data = &ready;
  uv_close ((uv_handle_t *)&socket, on_closed);
  CU_ASSERT_TRUE (run_until (is_set, &ready));
  g_free (text);
}

/* Guards against a status that omits endpoints.  */
static void
test_status (void)
{
  struct json_object *out = json_object_new_object ();
  struct json_object *endpoints;

  cd_requests_status (&test_daemon, out);
  CU_ASSERT_TRUE (json_object_object_get_ex (out, "endpoints", &endpoints));
  CU_ASSERT_EQUAL (json_object_object_length (endpoints), ENGINES);
  CU_ASSERT_EQUAL (cd_requests_quiesce (&test_daemon, "m", addresses[0]), 0);
  json_object_put (out);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "set up", set_up },
                                            { "responses", test_responses },
                                            { "disconnect", test_disconnect },
                                            { "slow", test_slow_caller },
                                            { "status", test_status },
                                            { NULL, NULL } };

  return unit_main ("requests", tests);
}
