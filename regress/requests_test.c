#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "peers.h"
#include "requests.h"
#include "unit.h"

/* The daemon's requests part between real connections: callers on one side,
   engines on the other, all in one loop.  An engine does what the prompt says.
   The other parts of the daemon are replaced by the functions below.  */

#define ENGINES    2
#define LIMIT_MS   20000
#define BIG_EVENTS 1024
#define BIG_BYTES  32768

static struct cd_daemon daemon_parts;
static struct env_document *document;
static struct http_server *engines[ENGINES];
static struct http_server *front;
static char addresses[ENGINES][32];
static char front_address[32];
static uint32_t engine_calls;
static uint32_t engine_gone;
static uint32_t demanded;
static uint32_t suspected;
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
  struct cd_leaving what = { endpoint, leaving };

  cd_publish (daemon, CD_LEAVING, &what);
}

void
cd_peers_send_suspects (struct cd_daemon *daemon, const cs_suspects *suspects,
                        cd_peers_done done, void *arg)
{
  (void)daemon;
  suspected += suspects->suspects.suspects_len;
  done (arg);
}

void
cd_control_report_demand (struct cd_daemon *daemon, const cs_demand *demands,
                          uint32_t count)
{
  (void)daemon;
  for (uint32_t i = 0; i < count; i++)
    if (demands[i].waiting > 0)
      demanded++;
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
on_engine_gone (void *arg)
{
  (void)arg;
  engine_gone++;
}

static void
engine_stream (struct http_exchange *exchange, uint32_t first, uint32_t count,
               bool whole)
{
  char event[64];

  http_stream_start (exchange, 200, "text/event-stream");
  for (uint32_t i = first; i < count; i++)
    {
      g_snprintf (event, sizeof event, "data: {\"t\":%u}\n\n", i);
      http_stream_write (exchange, event, strlen (event));
    }
  if (whole)
    http_stream_write (exchange, "data: [DONE]\n\n", 14);
  http_stream_end (exchange, whole);
}

static void
engine_flood (struct http_exchange *exchange)
{
  char *filling = g_strnfill (BIG_BYTES, 'x');
  char *event = g_strdup_printf ("data: %s\n\n", filling);

  http_stream_start (exchange, 200, "text/event-stream");
  for (uint32_t i = 0; i < BIG_EVENTS; i++)
    http_stream_write (exchange, event, strlen (event));
  http_stream_end (exchange, true);
  g_free (filling);
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
  http_on_disconnect (exchange, on_engine_gone, NULL);
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
on_front (void *arg, struct http_exchange *exchange)
{
  cd_requests_handle (arg, exchange);
}

static struct http_server *
serve (http_handler handler, char *address, size_t size)
{
  struct http_server *server
      = http_server_new (daemon_parts.loop, "127.0.0.1:0", 1U << 20, handler,
                         &daemon_parts, NULL);

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
  cd_publish (&daemon_parts, CD_VIEW, view);
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
  cd_publish (&daemon_parts, CD_DOCUMENT, document);
  g_free (text);
  g_string_free (list, TRUE);
}

static void
begin (void)
{
  static struct set_settings settings = { .instance = "i", .zone = "z" };

  daemon_parts = (struct cd_daemon){ .loop = g_new0 (uv_loop_t, 1),
                                     .settings = &settings };
  uv_loop_init (daemon_parts.loop);
  tm_uv_start (&daemon_parts.clock, daemon_parts.loop);
  daemon_parts.tm = daemon_parts.clock.service;
  daemon_parts.counters = ctr_new ();
  daemon_parts.random = gsl_rng_alloc (gsl_rng_taus2);
  daemon_parts.client = http_client_new (daemon_parts.loop, daemon_parts.tm);
  daemon_parts.requests = cd_requests_new (&daemon_parts);
  for (int i = 0; i < ENGINES; i++)
    engines[i] = serve (on_engine, addresses[i], sizeof addresses[i]);
  front = serve (on_front, front_address, sizeof front_address);
  send_document ();
  send_view ();
}

/* What a caller got.  */
struct got
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
  ((struct got *)arg)->status = status;
}

static void
on_body (void *arg, const char *data, size_t bytes)
{
  g_string_append_len (((struct got *)arg)->body, data, (gssize)bytes);
}

static void
on_done (void *arg, enum http_outcome outcome, bool sent)
{
  struct got *got = arg;

  (void)sent;
  got->done = true;
  got->outcome = outcome;
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
  return cd_requests_active (&daemon_parts) == 0;
}

static bool
has_slow_caller (const void *unused)
{
  (void)unused;
  return ctr_get (daemon_parts.counters, "slow_callers_total") == 1;
}

/* Run the loop until HOLDS says so of ARG, at most LIMIT_MS.  */
static bool
run_until (bool (*holds) (const void *arg), const void *arg)
{
  uint64_t end_us = tm_now_us (daemon_parts.tm) + LIMIT_MS * 1000ULL;

  while (!holds (arg) && tm_now_us (daemon_parts.tm) < end_us)
    uv_run (daemon_parts.loop, UV_RUN_ONCE);
  return holds (arg);
}

static struct http_call *
call (struct got *got, const char *path, const char *class, const char *body)
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

  *got = (struct got){ .body = g_string_new (NULL) };
  return http_start (daemon_parts.client, &request, &handlers, got);
}

struct exchange_case
{
  const char *body;
  const char *class;
  const char *has;
  const char *lacks;
  uint16_t status;
  enum http_outcome outcome;
};

#define DONE "data: [DONE]\n\n"
#define FIVE                                                                  \
  "data: {\"t\":0}\n\ndata: {\"t\":1}\n\ndata: {\"t\":2}\n\n"                 \
  "data: {\"t\":3}\n\ndata: {\"t\":4}\n\n" DONE

/* Guards against answers that are not whole and not marked so, resumed
   streams with lost or doubled tokens, and wrong refusals.  */
static void
test_answers (void)
{
  static const struct exchange_case cases[] = {
    { "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":true}", NULL, FIVE,
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
    { "{\"model\":\"r\",\"prompt\":\"cut\",\"stream\":true}", NULL, FIVE,
      "error", 200, HTTP_COMPLETE },
    { "{\"model\":\"m\",\"prompt\":\"hang\"}", "tight",
      "\"reason\":\"deadline\",\"not_run\":false", DONE, 504, HTTP_COMPLETE },
    { "{\"model\":\"cold\",\"prompt\":\"x\"}", "tight",
      "\"reason\":\"queue_deadline\",\"not_run\":true", DONE, 503,
      HTTP_COMPLETE },
    /* An adapter that is not loaded is not routed to its model.  */
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

  demanded = 0;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct exchange_case *c = &cases[i];
      struct got got;

      engine_calls = 0;
      (void)call (&got, c->body == NULL ? "/v1/models" : "/v1/completions",
                  c->class, c->body);
      CU_ASSERT_TRUE_FATAL (run_until (is_set, &got.done));
      if (got.status != c->status || strstr (got.body->str, c->has) == NULL
          || strstr (got.body->str, c->lacks) != NULL
          || got.outcome != c->outcome)
        {
          printf ("\n    %s: %u %s %s", c->body, got.status,
                  http_outcome_text (got.outcome), got.body->str);
          CU_FAIL ("answer");
        }
      g_string_free (got.body, TRUE);
    }
  CU_ASSERT_TRUE (demanded > 0);
  CU_ASSERT_TRUE (suspected >= 2);
  CU_ASSERT_EQUAL (cd_requests_active (&daemon_parts), 0);
}

/* Guards against engine work that goes on for a caller who left before the
   first byte.  */
static void
test_gone (void)
{
  struct got got;
  struct http_call *caller;

  engine_calls = 0;
  engine_gone = 0;
  caller = call (&got, "/v1/completions", NULL,
                 "{\"model\":\"m\",\"prompt\":\"hang\"}");
  while (engine_calls == 0)
    uv_run (daemon_parts.loop, UV_RUN_ONCE);
  CU_ASSERT_PTR_NOT_NULL (strstr (last_body, "\"priority\":7"));
  http_cancel (caller);
  CU_ASSERT_TRUE (run_until (is_idle, NULL));
  CU_ASSERT_EQUAL (
      ctr_get (daemon_parts.counters, "requests_gone_total{class=\"c\"}"), 1);
  g_string_free (got.body, TRUE);
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

/* Guards against an answer that grows without bound for a caller who does not
   read it.  */
static void
test_slow (void)
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
  uv_tcp_init (daemon_parts.loop, &socket);
  connect.data = &ready;
  uv_tcp_connect (&connect, &socket, (struct sockaddr *)&to, on_connected);
  CU_ASSERT_TRUE_FATAL (run_until (is_set, &ready));
  data = uv_buf_init (text, (unsigned)strlen (text));
  CU_ASSERT_EQUAL (uv_try_write ((uv_stream_t *)&socket, &data, 1),
                   (int)strlen (text));
  CU_ASSERT_TRUE (run_until (has_slow_caller, NULL));
  CU_ASSERT_EQUAL (cd_requests_active (&daemon_parts), 0);
  ready = false;
  socket.data = &ready;
  uv_close ((uv_handle_t *)&socket, on_closed);
  CU_ASSERT_TRUE (run_until (is_set, &ready));
  g_free (text);
}

/* Guards against a status that does not show what the part holds.  */
static void
test_status (void)
{
  struct json_object *out = json_object_new_object ();
  struct json_object *endpoints;

  cd_requests_status (&daemon_parts, out);
  CU_ASSERT_TRUE (json_object_object_get_ex (out, "endpoints", &endpoints));
  CU_ASSERT_EQUAL (json_object_object_length (endpoints), ENGINES);
  CU_ASSERT_EQUAL (cd_requests_quiesce (&daemon_parts, "m", addresses[0]), 0);
  json_object_put (out);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "begin", begin },        { "answers", test_answers },
          { "gone", test_gone },     { "slow", test_slow },
          { "status", test_status }, { NULL, NULL } };

  return unit_main ("requests", tests);
}
