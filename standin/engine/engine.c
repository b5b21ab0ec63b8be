#include <string.h>

#include "engine.h"

static void
eng_list_models (struct engine *engine, struct http_exchange *exchange)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *data = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct eng_model *model = value;
      struct json_object *entry;

      if (model->state != ENG_LOADED)
        continue;
      entry = json_object_new_object ();
      stand_add_string (entry, "id", model->name);
      stand_add_string (entry, "object", "model");
      json_object_array_add (data, entry);
    }
  stand_add_string (body, "object", "list");
  json_object_object_add (body, "data", data);
  stand_reply (exchange, 200, body);
}

static void
eng_faults_changed (struct engine *engine)
{
  struct eng_records *records = &engine->records;

  if (stand_fault_value (&engine->faults, "leaving") == 0)
    {
      if (records->leaving_us != 0)
        eng_log (engine, "back", json_object_new_object ());
      records->leaving_us = 0;
    }
  else if (records->leaving_us == 0)
    {
      records->leaving_us = stand_now_us ();
      eng_log (engine, "leaving", json_object_new_object ());
    }
}

/* Handle a request to the engine ARG.  */
void
eng_handle (void *arg, struct http_exchange *exchange)
{
  struct engine *engine = arg;

  if (stand_faults_serve (&engine->faults, exchange))
    eng_faults_changed (engine);
  else if (stand_request_is (exchange, "POST", "/v1/completions"))
    eng_generate (engine, exchange, false);
  else if (stand_request_is (exchange, "POST", "/v1/chat/completions"))
    eng_generate (engine, exchange, true);
  else if (stand_request_is (exchange, "GET", "/v1/models"))
    eng_list_models (engine, exchange);
  else if (stand_request_is (exchange, "GET", "/admin/state"))
    stand_reply (exchange, 200, eng_state_json (engine));
  else if (stand_request_is (exchange, "GET", "/admin/report"))
    eng_report_serve (engine, exchange);
  else if (stand_request_is (exchange, "GET", "/admin/cache_events"))
    eng_cache_events_serve (engine, exchange);
  else if (stand_request_is (exchange, "GET", "/records"))
    eng_records_serve (engine, exchange);
  else if (!eng_order_handle (engine, exchange))
    stand_reply_error (exchange, 404, "not found");
}

/* Initialize ENGINE, which is number INDEX of this process.  */
void
eng_init (struct engine *engine, struct stand_host *host,
          const struct eng_options *options, uint32_t index)
{
  engine->host = host;
  engine->options = options;
  stand_faults_init (&engine->faults,
                     "{\"slow_factor\": 1, \"crash_on\": \"\", \"refuse\": 0,"
                     " \"leaving\": false, \"cut_after_tokens\": 0,"
                     " \"pause_orders_ms\": 0}");
  if (options->crash_on != NULL)
    stand_add_string (engine->faults.values, "crash_on", options->crash_on);
  eng_records_init (&engine->records);
  engine->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (engine->rng, options->seed + index);
  (void)g_snprintf (engine->incarnation, sizeof engine->incarnation,
                    "%016" G_GINT64_MODIFIER "x",
                    ((uint64_t)g_random_int () << 32) | g_random_int ());
  engine->models = g_hash_table_new (g_str_hash, g_str_equal);
  engine->adapters = g_hash_table_new (g_str_hash, g_str_equal);
  engine->running = g_ptr_array_new ();
  engine->waiting = g_sequence_new (NULL);
  engine->scratch = g_string_new (NULL);
  engine->resume_seed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  engine->prefixes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  eng_snapshots_start (engine);
  eng_log_start (engine);
}
