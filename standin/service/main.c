#include <argp.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "standin.h"

/* Command-line options.  */
struct svc_options
{
  const char *address;
  uint32_t run_ms; /* duration of a run */
  uint32_t records_max;
  bool deduplicate;
};

/* Stand-in for a plain service.  It counts the executions of calls, which the
   checker compares with the requests that were sent.  */
struct svc
{
  struct stand_host host;
  struct stand_faults faults;
  struct json_object *runs;
  GHashTable *responses; /* body of the first response by idempotency key */
  uint64_t run_count;
  uint64_t refused;
  uint64_t repeated; /* answered from RESPONSES */
  uint64_t dropped;  /* records that exceeded records_max */
};

/* A run whose response is sent after the duration of the run.  */
struct svc_run
{
  struct svc *service;
  struct http_exchange *exchange;
  char *response;
  struct tm_timer timer;
};

static const struct argp_option options[]
    = { { "listen", 'l', "ADDRESS", 0, "listen on ADDRESS (IP:PORT)", 0 },
        { "run-ms", 't', "MS", 0, "duration of a run (default 20)", 0 },
        { "deduplicate", 'd', NULL, 0,
          "run once per Idempotency-Key and replay the first response", 0 },
        { "records", 'r', "NUMBER", 0,
          "runs recorded at most (default 200000)", 0 },
        { 0 } };

static struct svc_options settings = { "127.0.0.1:7201", 20, 200000, false };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'l':
      settings.address = arg;
      return 0;
    case 't':
      settings.run_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case 'd':
      settings.deduplicate = true;
      return 0;
    case 'r':
      settings.records_max = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
svc_record_run (struct svc *service, struct http_exchange *exchange,
                const char *key)
{
  struct json_object *run;

  if (json_object_array_length (service->runs) >= settings.records_max)
    {
      service->dropped++;
      return;
    }
  run = json_object_new_object ();
  stand_add_int (run, "time_us", (int64_t)stand_now_us ());
  stand_add_int (run, "run", (int64_t)service->run_count);
  stand_add_string (run, "method", http_method (exchange));
  stand_add_string (run, "path", http_path (exchange));
  stand_add_string (run, "key", key);
  json_object_array_add (service->runs, run);
}

/* Execute the call of EXCHANGE and return the response: the number of the run,
   the key, and a digest of the request, by which the checker matches the
   response to its request.  */
static char *
svc_run (struct svc *service, struct http_exchange *exchange, const char *key)
{
  struct json_object *body = json_object_new_object ();
  char digest[17];
  char *text;

  service->run_count++;
  svc_record_run (service, exchange, key);
  (void)g_snprintf (digest, sizeof digest, "%016" PRIx64,
                    answer_request_digest (http_body (exchange),
                                           http_body_bytes (exchange)));
  stand_add_int (body, "run", (int64_t)service->run_count);
  stand_add_string (body, "path", http_path (exchange));
  stand_add_string (body, "key", key);
  stand_add_string (body, "request_digest", digest);
  text = g_strdup (json_object_to_json_string_ext (
      body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (body);
  return text;
}

static void
svc_respond (struct svc *service, struct http_exchange *exchange,
             const char *response)
{
  int64_t cut_after = stand_fault_value (&service->faults, "cut_after_bytes");
  size_t bytes = strlen (response);

  if (stand_fault_consume (&service->faults, "cut_before_answer"))
    {
      stand_reply_abort (exchange);
      return;
    }
  if (cut_after > 0)
    {
      http_stream_start (exchange, 200, "application/json");
      http_stream_write (exchange, response, MIN (bytes, (size_t)cut_after));
      http_stream_end (exchange, false);
      return;
    }
  if (stand_fault_consume (&service->faults, "refuse"))
    {
      stand_reply_error (exchange, 500,
                         "injected fault: failed after the run");
      return;
    }
  http_respond (exchange, 200, "application/json", response, bytes);
}

static void
svc_run_done (void *arg)
{
  struct svc_run *run = arg;

  svc_respond (run->service, run->exchange, run->response);
  g_free (run->response);
  g_free (run);
}

static void
svc_handle_call (struct svc *service, struct http_exchange *exchange)
{
  const char *key = http_header_value (exchange, "idempotency-key");
  uint64_t run_ms
      = settings.run_ms
        + (uint64_t)stand_fault_value (&service->faults, "slow_ms");
  const char *first = NULL;
  struct svc_run *run;

  if (key == NULL)
    key = "";
  if (settings.deduplicate && key[0] != '\0')
    first = g_hash_table_lookup (service->responses, key);
  run = g_new0 (struct svc_run, 1);
  run->service = service;
  run->exchange = exchange;
  run->response
      = first != NULL ? g_strdup (first) : svc_run (service, exchange, key);
  if (first != NULL)
    service->repeated++;
  else if (settings.deduplicate && key[0] != '\0')
    g_hash_table_insert (service->responses, g_strdup (key),
                         g_strdup (run->response));
  tm_after (service->host.tm, &run->timer, run_ms * STAND_US_PER_MS,
            svc_run_done, run);
}

static void
svc_records_serve (struct svc *service, struct http_exchange *exchange)
{
  struct json_object *body = json_object_new_object ();

  stand_add_int (body, "run_count", (int64_t)service->run_count);
  stand_add_int (body, "refused", (int64_t)service->refused);
  stand_add_int (body, "repeated", (int64_t)service->repeated);
  stand_add_int (body, "dropped", (int64_t)service->dropped);
  json_object_object_add (body, "runs", json_object_get (service->runs));
  stand_reply (exchange, 200, body);
}

static void
svc_refuse_before_run (struct svc *service, struct http_exchange *exchange)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *error = json_object_new_object ();

  service->refused++;
  json_object_object_add (error, "not_started", json_object_new_boolean (1));
  json_object_object_add (body, "error", error);
  stand_reply (exchange, 503, body);
}

static void
svc_handle (void *arg, struct http_exchange *exchange)
{
  struct svc *service = arg;

  if (stand_faults_serve (&service->faults, exchange))
    return;
  if (stand_request_is (exchange, "GET", "/records"))
    svc_records_serve (service, exchange);
  else if (stand_fault_consume (&service->faults, "refuse_before_run"))
    svc_refuse_before_run (service, exchange);
  else
    svc_handle_call (service, exchange);
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option, NULL, "Stand-in for a plain service.",
          NULL,    NULL,         NULL };
  static struct svc service;

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  stand_init (&service.host, "standin-service");
  stand_faults_init (&service.faults,
                     "{\"slow_ms\": 0, \"cut_before_answer\": 0,"
                     " \"cut_after_bytes\": 0, \"refuse\": 0,"
                     " \"refuse_before_run\": 0}");
  service.runs = json_object_new_array ();
  service.responses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (!stand_listen (&service.host, settings.address, svc_handle, &service))
    return EXIT_FAILURE;
  stand_run (&service.host);
  return EXIT_SUCCESS;
}
