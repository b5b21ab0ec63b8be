#include <string.h>

#include "claims.h"
#include "clm.h"
#include "fake_kv.h"
#include "mem_record.h"
#include "peers.h"
#include "services.h"
#include "unit.h"

/* Tests service calls over real connections between callers, one instance and
   a service.  */

struct fixture
{
  uv_loop_t loop;
  struct cd_daemon daemon;
  struct set_settings settings;
  struct fake_kv *kv;
  struct http_server *service;
  char front_address[32];
  char service_address[32];
  struct env_document *document;
  uint32_t runs;
  bool new_connection; /* the last call used a new connection */
  char last_key[256];  /* idempotency key of the last call */
  bool done;
  enum http_outcome outcome;
  uint16_t status;
  GString *body;
};

static struct fixture fixture;
/* Stubs for peers.c.  Without members an instance acts as its own claim
   keeper.  */

const struct mem_table *
cd_members (const struct cd_daemon *daemon)
{
  (void)daemon;
  return NULL;
}

struct env_document *
cd_document (const struct cd_daemon *daemon)
{
  (void)daemon;
  return fixture.document;
}

/* Publish a document.  Its second endpoint is unreachable: nothing listens on
   port 9, that of the discard service.  */
static void
publish_document (bool deduplicates)
{
  char *text = g_strdup_printf (
      "{\"name\": \"a\", \"classes\": {\"counter\": {\"deadline_ms\": 4000, "
      "\"expected_ms\": 800, \"priority\": 1}}, \"pools\": {}, \"models\": "
      "{}, "
      "\"adapters\": {}, \"services\": {\"booking\": {\"class\": \"counter\", "
      "\"repeatable\": false, \"deduplicates\": %s, \"endpoints\": "
      "[{\"address\": "
      "\"%s\", \"zone\": \"a\"}, {\"address\": \"127.0.0.1:9\", \"zone\": "
      "\"a\"}]}}, \"limits\": {\"waiting_max\": 10, \"retry_percent\": 50, "
      "\"adapter_loads_max\": 1, \"weight_loads_max\": 1}}",
      deduplicates ? "true" : "false", fixture.service_address);
  GError *error = NULL;

  env_unref (fixture.document);
  fixture.document = env_parse (text, strlen (text), &error);
  g_assert_no_error (error);
  g_free (text);
  cd_publish (&fixture.daemon, CD_DOCUMENT, fixture.document);
}

/* The service counts its runs; the path selects the response.  */

static void
service_respond (void *arg, struct http_exchange *exchange)
{
  const char *path = http_path (exchange);
  bool is_large = strcmp (path, "/large") == 0;
  char *text = is_large ? g_strnfill (100000, '.')
                        : g_strdup_printf ("run %u", ++fixture.runs);

  const char *connection = http_header_value (exchange, "connection");
  const char *key = http_header_value (exchange, "idempotency-key");

  (void)arg;
  fixture.new_connection = g_strcmp0 (connection, "close") == 0;
  g_strlcpy (fixture.last_key, key == NULL ? "" : key,
             sizeof fixture.last_key);
  if (strcmp (path, "/cut") == 0)
    {
      http_stream_start (exchange, 200, "text/plain");
      http_stream_write (exchange, text, strlen (text));
      http_stream_end (exchange, false);
    }
  else
    http_respond (exchange, 200, "text/plain", text, strlen (text));
  g_free (text);
}

static void
front_request (void *arg, struct http_exchange *exchange)
{
  cd_services_handle (arg, exchange);
}

static void
on_head (void *arg, uint16_t status, const char *content_type)
{
  (void)arg;
  (void)content_type;
  fixture.status = status;
}

static void
on_body (void *arg, const char *data, size_t bytes)
{
  (void)arg;
  g_string_append_len (fixture.body, data, (gssize)bytes);
}

static void
on_done (void *arg, enum http_outcome outcome, bool sent)
{
  (void)arg;
  (void)sent;
  fixture.outcome = outcome;
  fixture.done = true;
}

/* Make a call and wait until it ends.  The caller disconnects after
   CANCEL_AFTER_MS unless it is 0.  */
static void
call (const char *method, const char *path, const char *key, const char *body,
      uint32_t cancel_after_ms)
{
  static const struct http_handlers handlers = { on_head, on_body, on_done };
  struct http_header headers[]
      = { { key == NULL ? NULL : "idempotency-key", key }, { NULL, NULL } };
  struct http_request request = { .method = method,
                                  .address = fixture.front_address,
                                  .path = path,
                                  .headers = headers,
                                  .body = body,
                                  .body_bytes = strlen (body),
                                  .timeout_ms = cancel_after_ms };

  fixture.done = false;
  fixture.status = 0;
  g_string_truncate (fixture.body, 0);
  http_start (fixture.daemon.client, &request, &handlers, NULL);
  while (!fixture.done)
    uv_run (&fixture.loop, UV_RUN_ONCE);
}

static void
wait_idle (void)
{
  while (cd_services_active (&fixture.daemon) > 0
         || cd_claims_pending (&fixture.daemon) > 0)
    uv_run (&fixture.loop, UV_RUN_ONCE);
}

static void
set_up (void)
{
  struct cd_daemon *d = &fixture.daemon;
  struct rpc_config rpc
      = { .instance = "an instance with a key of 32 bytes or more",
          .incarnation = 7,
          .address = "127.0.0.1:0" };

  uv_loop_init (&fixture.loop);
  tm_uv_start (&d->clock, &fixture.loop);
  d->loop = &fixture.loop;
  d->tm = d->clock.service;
  d->counters = ctr_new ();
  d->budget = mbg_new (d->tm, mbg_machine_bytes ());
  d->settings = &fixture.settings;
  d->random = gsl_rng_alloc (gsl_rng_mt19937);
  d->incarnation = 7;
  d->client = http_client_new (&fixture.loop, d->tm);
  fixture.kv = fake_kv_new (d->tm, 1000);
  rpc.key = rpc.instance;
  rpc.key_bytes = strlen (rpc.instance);
  d->rpc = rpc_node_new (&fixture.loop, d->tm, d->counters, &rpc, NULL);
  d->kv = fake_kv_store (fixture.kv);
  fixture.settings.instance = fixture.settings.zone
      = fixture.settings.environment = "a";
  fixture.body = g_string_new (NULL);
  fixture.service = http_server_new (&fixture.loop, d->tm, "127.0.0.1:0",
                                     1 << 20, service_respond, NULL, NULL);
  d->server = http_server_new (&fixture.loop, d->tm, "127.0.0.1:0", 1 << 20,
                               front_request, d, NULL);
  g_snprintf (fixture.service_address, sizeof fixture.service_address,
              "127.0.0.1:%u", http_server_port (fixture.service));
  g_snprintf (fixture.front_address, sizeof fixture.front_address,
              "127.0.0.1:%u", http_server_port (d->server));
  d->claims = cd_claims_new (d);
  d->services = cd_services_new (d);
  publish_document (false);
}

/* Guards against duplicate runs, lost responses and wrong refusals when one of
   two endpoints of a service is unreachable.  */
static void
test_calls (void)
{
  static const struct
  {
    const char *method, *path, *key, *body;
    const char *expected;
    uint32_t runs;
    uint16_t status;
  } cases[] = {
    { "POST", "/svc/booking/ok", NULL, "x", "\"key_missing\",\"not_run\":true",
      0, 400 },
    { "POST", "/svc/other/ok", "k1", "x", "\"not_found\",\"not_run\":true", 0,
      404 },
    { "POST", "/svc/booking/ok", "k1", "x", "run 1", 1, 200 },
    { "POST", "/svc/booking/ok", "k1", "x", "run 1", 1, 200 },
    { "POST", "/svc/booking/ok", "k1", "y", "\"key_reused\",\"not_run\":false",
      1, 422 },
    { "POST", "/svc/booking/ok?a=1", "k1", "x",
      "\"key_reused\",\"not_run\":false", 1, 422 },
    { "POST", "/svc/booking/cut", "k2", "x",
      "\"outcome_unknown\",\"not_run\":false", 2, 502 },
    { "POST", "/svc/booking/cut", "k2", "x",
      "\"outcome_unknown\",\"not_run\":false", 2, 502 },
    { "POST", "/svc/booking/large", "k3", "x", NULL, 2, 200 },
    { "POST", "/svc/booking/large", "k3", "x",
      "\"answer_not_kept\",\"not_run\":false", 2, 410 },
    { "GET", "/svc/booking/ok", NULL, "", "run 3", 3, 200 },
    { "PUT", "/svc/booking", "k4", "", "run 4", 4, 200 },
    { "GET", "/svc/booking/cut", NULL, "", "\"answer_cut\",\"not_run\":false",
      5, 502 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      call (cases[i].method, cases[i].path, cases[i].key, cases[i].body, 0);
      CU_ASSERT_EQUAL (fixture.status, cases[i].status);
      CU_ASSERT_EQUAL (fixture.runs, cases[i].runs);
      if (cases[i].expected != NULL)
        CU_ASSERT_PTR_NOT_NULL (strstr (fixture.body->str, cases[i].expected));
    }
  call ("POST", "/svc/booking/large", "k5", "x", 0);
  CU_ASSERT_EQUAL (fixture.outcome, HTTP_COMPLETE);
  CU_ASSERT_EQUAL (fixture.body->len, 100000);
  wait_idle ();
}

/* Guards against sending a non-repeatable call on a pooled connection: if the
   service closes that connection at the same time, it is unknown whether the
   call ran.  Also guards against an idempotency key that is not forwarded to
   the service.  */
static void
test_connection (void)
{
  for (int i = 0; i < 2; i++)
    {
      call ("GET", "/svc/booking/ok", NULL, "", 0);
      CU_ASSERT_FALSE (fixture.new_connection);
    }
  call ("POST", "/svc/booking/ok", "fresh", "x", 0);
  CU_ASSERT_TRUE (fixture.new_connection);
  CU_ASSERT_STRING_EQUAL (fixture.last_key, "fresh");
}

/* Guards against calls to a leaving endpoint, and against an idempotency key
   that stays claimed after a refusal with "not_run".  */
static void
test_leaving (void)
{
  struct cd_leaving leaving = { fixture.service_address, true };
  uint32_t runs = fixture.runs;

  cd_publish (&fixture.daemon, CD_LEAVING, &leaving);
  call ("POST", "/svc/booking/ok", "leaving", "x", 0);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.body->str, "\"no_endpoint\",\"not_run\":true"));
  CU_ASSERT_EQUAL (fixture.runs, runs);
  leaving.leaving = false;
  cd_publish (&fixture.daemon, CD_LEAVING, &leaving);
  call ("POST", "/svc/booking/ok", "leaving", "x", 0);
  CU_ASSERT_EQUAL (fixture.status, 200);
  CU_ASSERT_EQUAL (fixture.runs, runs + 1);
}

/* Guards against a call that is aborted when its caller disconnects.  The call
   must complete and its response be stored.  */
static void
test_disconnect (void)
{
  uint32_t runs = fixture.runs;

  call ("POST", "/svc/booking/ok", "gone", "x", 20);
  CU_ASSERT_EQUAL (fixture.outcome, HTTP_TIMEOUT);
  wait_idle ();
  CU_ASSERT_EQUAL (fixture.runs, runs + 1);
  call ("POST", "/svc/booking/ok", "gone", "x", 0);
  CU_ASSERT_EQUAL (fixture.status, 200);
  CU_ASSERT_EQUAL (fixture.runs, runs + 1);
}

/* Guards against a run without a claim during an outage of the key-value
   service, unless the service deduplicates, and against a HEAD call that waits
   for a body.  */
static void
test_outage (void)
{
  uint32_t runs = fixture.runs;

  fake_kv_set_fault (fixture.kv, FAKE_KV_UNAVAILABLE);
  call ("POST", "/svc/booking/ok", "outage", "x", 0);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.body->str, "\"claim_unavailable\",\"not_run\":true"));
  CU_ASSERT_EQUAL (fixture.runs, runs);
  publish_document (true);
  call ("POST", "/svc/booking/ok", "outage", "x", 0);
  CU_ASSERT_EQUAL (fixture.status, 200);
  CU_ASSERT_EQUAL (fixture.runs, runs + 1);
  fake_kv_set_fault (fixture.kv, FAKE_KV_NONE);
  call ("HEAD", "/svc/booking/ok", NULL, "", 2000);
  CU_ASSERT_EQUAL (fixture.status, 200);
  wait_idle ();
}

static void
store_claim (const char *key)
{
  char *claim_key = clm_key ("booking", key);
  char *name = g_strconcat ("cowslip/a/claims/", claim_key, NULL);
  char owner[] = "b/b-1";
  cs_claim claim
      = { .claim_id = 1,
          .owner = owner,
          .owner_incarnation = 5,
          .request_digest = clm_digest ("POST", "/ok", "", "x", 1) };
  char *value = clm_encode (&claim);

  fake_kv_put (fixture.kv, name, value);
  g_free (claim_key);
  g_free (name);
  g_free (value);
}

/* Guards against reporting an unknown outcome for a call that an instance of
   another zone is running, and against waiting for a claim owner that has
   restarted.  */
static void
test_owner (void)
{
  struct mem_member owner = { .instance = "b-1",
                              .zone = "b",
                              .rpc_address = "127.0.0.1:2",
                              .http_address = "127.0.0.1:3",
                              .number = 1,
                              .incarnation = 5 };
  uint32_t runs = fixture.runs;

  store_claim ("held");
  for (int i = 0; i < 2; i++)
    {
      char *record = mem_record_format (&owner);

      fake_kv_put (fixture.kv, "cowslip/a/members/b/b-1", record);
      call ("POST", "/svc/booking/ok", "held", "x", 0);
      CU_ASSERT_EQUAL (fixture.status, i == 0 ? 409 : 502);
      owner.incarnation++;
      g_free (record);
    }
  CU_ASSERT_EQUAL (fixture.runs, runs);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "calls", test_calls },
                                            { "connection", test_connection },
                                            { "leaving", test_leaving },
                                            { "disconnect", test_disconnect },
                                            { "outage", test_outage },
                                            { "owner", test_owner },
                                            { NULL, NULL } };

  set_up ();
  return unit_main ("services", tests);
}
