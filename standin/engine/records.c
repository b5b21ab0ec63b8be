#include "engine.h"

/* Initialize RECORDS.  */
void
eng_records_init (struct eng_records *records)
{
  records->orders = json_object_new_array ();
  records->changes = json_object_new_array ();
  records->runs = json_object_new_array ();
  records->overcommits = json_object_new_array ();
}

/* Append ENTRY of LIST with the time to the log file, if there is one.  Each
   line is flushed, so that the log of an engine that is killed is complete. */
static void
eng_log_line (struct engine *engine, const char *list,
              struct json_object *entry)
{
  FILE *log = engine->log;

  if (log == NULL)
    return;
  stand_add_string (entry, "list", list);
  stand_add_int (entry, "time_us", (int64_t)stand_now_us ());
  if (fprintf (log, "%s\n",
               json_object_to_json_string_ext (entry, JSON_C_TO_STRING_PLAIN))
          < 0
      || fflush (log) != 0)
    g_error ("%s: cannot write to the log file", engine->options->log_file);
}

/* Write ENTRY to the log file only, and free it.  */
void
eng_log (struct engine *engine, const char *list, struct json_object *entry)
{
  eng_log_line (engine, list, entry);
  json_object_put (entry);
}

/* Open the log file of ENGINE, if any, and log the start, at which the memory
   is empty.  */
void
eng_log_start (struct engine *engine)
{
  struct json_object *entry = json_object_new_object ();

  if (engine->options->log_file != NULL)
    engine->log = fopen (engine->options->log_file, "ae");
  if (engine->options->log_file != NULL && engine->log == NULL)
    g_error ("%s: cannot open the log file", engine->options->log_file);
  stand_add_string (entry, "incarnation", engine->incarnation);
  stand_add_int (entry, "memory_bytes",
                 (int64_t)engine->options->memory_bytes);
  eng_log (engine, "start", entry);
}

/* Log the event KIND of REQUEST.  */
void
eng_log_request (const struct eng_request *request, const char *kind)
{
  struct json_object *entry = json_object_new_object ();
  char seed[24];

  (void)g_snprintf (seed, sizeof seed, "%" G_GUINT64_FORMAT, request->seed);
  stand_add_string (entry, "id", request->id);
  stand_add_string (entry, "seed", seed);
  stand_add_string (entry, "model", request->name);
  eng_log (request->engine, kind, entry);
}

/* Append ENTRY with the time to LIST, whose name is NAME.  If the list is
   full, count the entry as dropped, which tells the checker that the records
   are incomplete.  */
void
eng_record (struct engine *engine, struct json_object *list, const char *name,
            struct json_object *entry)
{
  eng_log_line (engine, name, entry);
  if (json_object_array_length (list) >= engine->options->records_max)
    {
      engine->records.dropped++;
      json_object_put (entry);
      return;
    }
  stand_add_int (entry, "time_us", (int64_t)stand_now_us ());
  json_object_array_add (list, entry);
}

/* Record that MODEL entered STATE and the memory in use on ENGINE.  */
void
eng_record_state (struct engine *engine, const char *model, const char *state)
{
  struct json_object *change = json_object_new_object ();
  uint64_t used_bytes = eng_used_bytes (engine);
  uint64_t models = g_hash_table_size (engine->models);

  stand_add_string (change, "model", model);
  stand_add_string (change, "state", state);
  stand_add_int (change, "used_bytes", (int64_t)used_bytes);
  eng_record (engine, engine->records.changes, "changes", change);
  if (used_bytes > engine->records.used_peak_bytes)
    engine->records.used_peak_bytes = used_bytes;
  if (models > engine->records.models_peak)
    engine->records.models_peak = models;
}

/* Record the OUTCOME of REQUEST.  */
void
eng_record_run (struct eng_request *request, const char *outcome)
{
  struct json_object *run = json_object_new_object ();

  stand_add_string (run, "id", request->id);
  stand_add_string (run, "model", request->name);
  stand_add_string (run, "outcome", outcome);
  stand_add_int (run, "started", request->started);
  stand_add_int (run, "first_token", request->first);
  stand_add_int (run, "tokens", request->next - request->first);
  stand_add_int (run, "arrived_us", (int64_t)request->arrived_us);
  eng_record (request->engine, request->engine->records.runs, "runs", run);
}

/* Handle GET /records.  */
void
eng_records_serve (struct engine *engine, struct http_exchange *exchange)
{
  const struct eng_records *records = &engine->records;
  struct json_object *body = json_object_new_object ();

  stand_add_string (body, "incarnation", engine->incarnation);
  stand_add_int (body, "memory_bytes", (int64_t)engine->options->memory_bytes);
  stand_add_int (body, "used_peak_bytes", (int64_t)records->used_peak_bytes);
  stand_add_int (body, "models_peak", (int64_t)records->models_peak);
  stand_add_int (body, "refused_memory", (int64_t)records->refused_memory);
  stand_add_int (body, "stale_orders", (int64_t)records->stale_orders);
  stand_add_int (body, "after_leaving", (int64_t)records->after_leaving);
  stand_add_int (body, "last_after_leaving_ms",
                 (int64_t)records->last_after_leaving_ms);
  stand_add_int (body, "unloads_while_busy",
                 (int64_t)records->unloads_while_busy);
  stand_add_int (body, "dropped", (int64_t)records->dropped);
  json_object_object_add (body, "orders", json_object_get (records->orders));
  json_object_object_add (body, "changes", json_object_get (records->changes));
  json_object_object_add (body, "runs", json_object_get (records->runs));
  json_object_object_add (body, "overcommits",
                          json_object_get (records->overcommits));
  stand_reply (exchange, 200, body);
}
