#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "check.h"
#include "engine_log.h"
#include "http_client.h"
#include "invariants.h"
#include "tm_uv.h"

#define LD_FETCH_TIMEOUT_MS 10000

enum option_key
{
  OPTION_KV = 256,
  OPTION_ENGINE,
  OPTION_SERVICE,
  OPTION_STOPPED,
  OPTION_KEYS,
  OPTION_DOCUMENT,
  OPTION_BUDGETS,
  OPTION_ENGINE_LOG,
  OPTION_NOT_RUN
};

enum ld_source_kind
{
  LD_FROM_KV,
  LD_FROM_ENGINE,
  LD_FROM_SERVICE
};

/* A stand-in whose records are read.  */
struct ld_source
{
  struct ld_check *check;
  enum ld_source_kind kind;
  char *address;
  char *zone; /* zone of an engine */
};

/* A check in progress.  */
struct ld_check
{
  struct inv *invariants;
  uv_loop_t loop;
  struct tm_uv driver;
  struct http_client *client;
  GPtrArray *sources;
  GHashTable *stopped; /* addresses whose records may be unavailable */
  uint32_t pending;
  uint32_t unreadable;
  uint32_t engine_logs; /* engine incarnations read from log files */
  bool failed;          /* a file was unreadable or invalid */
};

static const struct argp_option options[]
    = { { "document", OPTION_DOCUMENT, "FILE", 0,
          "read budgets, engines and services from an environment document",
          0 },
        { "budgets", OPTION_BUDGETS, "FILE", 0,
          "read only the budgets from an environment document", 0 },
        { "engine-log", OPTION_ENGINE_LOG, "FILE@ZONE", 0,
          "log file of an engine stand-in, with all its incarnations", 0 },
        { "not-run", OPTION_NOT_RUN, "FILE", 0,
          "compare with the output of cowslipload --not-run", 0 },
        { "kv", OPTION_KV, "ADDRESS", 0, "key-value stand-in", 0 },
        { "engine", OPTION_ENGINE, "ADDRESS@ZONE", 0, "engine stand-in", 0 },
        { "service", OPTION_SERVICE, "ADDRESS", 0, "service stand-in", 0 },
        { "gone", OPTION_STOPPED, "ADDRESS", 0,
          "stopped stand-in, whose records may be unavailable", 0 },
        { "keys", OPTION_KEYS, "FILE", 0,
          "compare with the output of cowslipload --keys", 0 },
        { 0 } };

static void
add_source (struct ld_check *check, enum ld_source_kind kind,
            const char *address, const char *zone)
{
  struct ld_source *source = g_new0 (struct ld_source, 1);

  source->check = check;
  source->kind = kind;
  source->address = g_strdup (address);
  source->zone = g_strdup (zone);
  g_ptr_array_add (check->sources, source);
}

static void
add_endpoints (struct ld_check *check, struct json_object *owners,
               enum ld_source_kind kind)
{
  json_object_object_foreach (owners, name, owner)
  {
    struct json_object *list = json_object_object_get (owner, "endpoints");

    (void)name;
    if (!json_object_is_type (list, json_type_array))
      continue;
    for (size_t i = 0; i < json_object_array_length (list); i++)
      {
        struct json_object *endpoint = json_object_array_get_idx (list, i);

        add_source (check, kind,
                    json_object_get_string (
                        json_object_object_get (endpoint, "address")),
                    json_object_get_string (
                        json_object_object_get (endpoint, "zone")));
      }
  }
}

static void
add_budgets (struct ld_check *check, struct json_object *models)
{
  json_object_object_foreach (models, model, value)
  {
    struct json_object *replicas = json_object_object_get (value, "replicas");

    json_object_object_foreach (replicas, zone, budget)
    {
      inv_budget (check->invariants, model, zone,
                  (uint32_t)json_object_get_int (budget));
    }
  }
}

static void
read_document (struct ld_check *check, const char *file, bool endpoints)
{
  struct json_object *document = json_object_from_file (file);
  struct json_object *part;

  if (document == NULL)
    {
      fprintf (stderr, "cowslipload: %s: cannot read\n", file);
      check->failed = true;
      return;
    }
  if (json_object_object_get_ex (document, "models", &part))
    add_budgets (check, part);
  if (endpoints && json_object_object_get_ex (document, "pools", &part))
    add_endpoints (check, part, LD_FROM_ENGINE);
  if (endpoints && json_object_object_get_ex (document, "services", &part))
    add_endpoints (check, part, LD_FROM_SERVICE);
  json_object_put (document);
}

static bool
read_key_line (struct ld_check *check, const char *line)
{
  char **fields = g_strsplit (line, ",", -1);
  bool complete = g_strv_length (fields) == 4;

  if (complete)
    {
      struct inv_key key = { .text = fields[0],
                             .run = strtoull (fields[1], NULL, 10),
                             .sends = strtoull (fields[2], NULL, 10),
                             .not_run = strtoull (fields[3], NULL, 10) };

      inv_key (check->invariants, &key);
    }
  g_strfreev (fields);
  return complete;
}

/* Return the lines of FILE, to be freed.  If it is unreadable, print an error
   and return NULL.  */
static char **
read_lines (struct ld_check *check, const char *file)
{
  char **lines;
  char *text;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      fprintf (stderr, "cowslipload: %s: cannot read\n", file);
      check->failed = true;
      return NULL;
    }
  lines = g_strsplit (text, "\n", -1);
  g_free (text);
  return lines;
}

static void
read_not_run (struct ld_check *check, const char *file)
{
  char **lines = read_lines (check, file);

  for (char **line = lines; line != NULL && *line != NULL; line++)
    if ((*line)[0] != '\0')
      inv_not_run (check->invariants, *line);
  g_strfreev (lines);
}

static void
read_engine_log (struct ld_check *check, const char *file, const char *zone)
{
  uint32_t incarnations = ld_engine_log (check->invariants, file, zone);

  if (incarnations == 0)
    {
      fprintf (stderr, "cowslipload: %s: no engine records\n", file);
      check->failed = true;
    }
  check->engine_logs += incarnations;
}

static void
read_keys (struct ld_check *check, const char *file)
{
  char **lines = read_lines (check, file);

  /* Skip the header line.  */
  for (char **line = lines; line != NULL && *line != NULL; line++)
    if (line != lines && (*line)[0] != '\0' && !read_key_line (check, *line))
      check->failed = true;
  g_strfreev (lines);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct ld_check *check = state->input;
  char *at;

  switch (key)
    {
    case OPTION_DOCUMENT:
      read_document (check, arg, true);
      return 0;
    case OPTION_BUDGETS:
      read_document (check, arg, false);
      return 0;
    case OPTION_NOT_RUN:
      read_not_run (check, arg);
      return 0;
    case OPTION_ENGINE_LOG:
      at = strrchr (arg, '@');
      if (at == NULL)
        {
          argp_error (state, "missing zone: %s", arg);
          return 0;
        }
      *at = '\0';
      read_engine_log (check, arg, at + 1);
      return 0;
    case OPTION_KV:
      add_source (check, LD_FROM_KV, arg, NULL);
      return 0;
    case OPTION_ENGINE:
      at = strchr (arg, '@');
      if (at == NULL)
        argp_error (state, "missing zone: %s", arg);
      else
        {
          *at = '\0';
          add_source (check, LD_FROM_ENGINE, arg, at + 1);
        }
      return 0;
    case OPTION_SERVICE:
      add_source (check, LD_FROM_SERVICE, arg, NULL);
      return 0;
    case OPTION_STOPPED:
      g_hash_table_add (check->stopped, g_strdup (arg));
      return 0;
    case OPTION_KEYS:
      read_keys (check, arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
check_records (const struct ld_source *source, struct json_object *records)
{
  struct inv *invariants = source->check->invariants;

  switch (source->kind)
    {
    case LD_FROM_KV:
      inv_kv (invariants, source->address, records);
      return;
    case LD_FROM_ENGINE:
      inv_engine (invariants, source->address, source->zone, records);
      return;
    case LD_FROM_SERVICE:
      inv_service (invariants, source->address, records);
      return;
    }
}

static void
records_fetched (void *arg, const struct http_response *response)
{
  struct ld_source *source = arg;
  struct ld_check *check = source->check;
  struct json_object *records = NULL;

  if (response->outcome == HTTP_COMPLETE && response->status == 200)
    records = json_tokener_parse (response->body);
  if (records != NULL)
    check_records (source, records);
  else
    {
      printf ("cannot read records of %s: %s\n", source->address,
              http_outcome_text (response->outcome));
      if (!g_hash_table_contains (check->stopped, source->address))
        check->unreadable++;
    }
  json_object_put (records);
  if (--check->pending == 0)
    uv_stop (&check->loop);
}

static void
fetch_records (struct ld_check *check)
{
  uv_loop_init (&check->loop);
  tm_uv_start (&check->driver, &check->loop);
  check->client = http_client_new (&check->loop, check->driver.service);
  check->pending = check->sources->len;
  for (guint i = 0; i < check->sources->len; i++)
    {
      struct ld_source *source = check->sources->pdata[i];
      struct http_request request = { .method = "GET",
                                      .address = source->address,
                                      .path = "/records",
                                      .timeout_ms = LD_FETCH_TIMEOUT_MS };

      (void)http_fetch (check->client, &request, records_fetched, source);
    }
  if (check->pending > 0)
    uv_run (&check->loop, UV_RUN_DEFAULT);
}

static void
print_finding (void *arg, bool violation, const char *text)
{
  (void)arg;
  printf ("%s: %s\n", violation ? "violation" : "notice", text);
}

/* Read the records of the stand-ins on the command line and print the
   violations found in them.  Return EXIT_SUCCESS if there are none and all
   records were read.  */
int
ld_check (int argc, char **argv)
{
  static const struct argp parser = {
    options, parse_option,
    NULL,    "Check the records of the stand-ins for violated guarantees.",
    NULL,    NULL,
    NULL
  };
  static struct ld_check check;
  uint32_t violations;

  check.invariants = inv_new ();
  check.sources = g_ptr_array_new ();
  check.stopped
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  argp_parse (&parser, argc, argv, 0, NULL, &check);
  fetch_records (&check);
  violations = inv_report (check.invariants, print_finding, NULL);
  printf ("%u violations, records of %u of %u stand-ins missing, %u engine "
          "logs read\n",
          violations, check.unreadable, check.sources->len, check.engine_logs);
  inv_free (check.invariants);
  return violations == 0 && check.unreadable == 0 && !check.failed
                 && check.sources->len + check.engine_logs > 0
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}
