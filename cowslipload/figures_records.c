#include <string.h>

#include <json-c/json.h>

#include "experiment.h"
#include "figures.h"

#define FIG_US_PER_S 1e6

/* A change in the numbers of loaded models and running requests.  */
struct fig_change
{
  uint64_t time_us;
  int32_t loaded;
  int32_t running;
};

/* State while the records of one engine are read.  */
struct fig_engine
{
  struct fig_run *run;
  GArray *changes;             /* struct fig_change of the engine */
  GHashTable *replica_changes; /* GArray of struct fig_change by model */
  GHashTable *loaded_since;    /* time of the load by model */
};

static uint64_t
fig_get_us (struct json_object *entry, const char *key)
{
  return (uint64_t)json_object_get_int64 (json_object_object_get (entry, key));
}

static const char *
fig_get_string (struct json_object *entry, const char *key)
{
  const char *text
      = json_object_get_string (json_object_object_get (entry, key));

  return text == NULL ? "" : text;
}

static GArray *
fig_get_array (GHashTable *table, const char *name, guint bytes)
{
  GArray *array = g_hash_table_lookup (table, name);

  if (array != NULL)
    return array;
  array = g_array_new (FALSE, FALSE, bytes);
  g_hash_table_insert (table, g_strdup (name), array);
  return array;
}

/* Record that a replica of MODEL was loaded from FROM_US to TO_US or, if
   RUNNING, that it ran a request.  */
static void
fig_add_span (struct fig_engine *engine, const char *model, uint64_t from_us,
              uint64_t to_us, bool running)
{
  GArray *replica_changes = fig_get_array (engine->replica_changes, model,
                                           sizeof (struct fig_change));
  struct fig_change start = { from_us, !running, running };
  struct fig_change end = { to_us, -!running, -running };

  g_array_append_val (engine->changes, start);
  g_array_append_val (engine->changes, end);
  g_array_append_val (replica_changes, start);
  g_array_append_val (replica_changes, end);
}

static void
fig_end_loaded_span (struct fig_engine *engine, const char *model,
                     uint64_t time_us)
{
  const uint64_t *loaded_since
      = g_hash_table_lookup (engine->loaded_since, model);
  struct fig_span span;

  if (loaded_since == NULL)
    return;
  span = (struct fig_span){ *loaded_since, time_us };
  fig_add_span (engine, model, span.from_us, span.to_us, false);
  g_array_append_val (
      fig_get_array (engine->run->loaded, model, sizeof (struct fig_span)),
      span);
  g_hash_table_remove (engine->loaded_since, model);
}

static void
fig_read_change (struct fig_engine *engine, struct json_object *entry)
{
  const char *model = fig_get_string (entry, "model");
  const char *state = fig_get_string (entry, "state");
  uint64_t time_us = fig_get_us (entry, "time_us");
  uint64_t *loaded_since;

  if (strcmp (state, "loading") == 0)
    engine->run->loads++;
  else if (strcmp (state, "loaded") == 0)
    {
      loaded_since = g_new (uint64_t, 1);
      *loaded_since = time_us;
      g_hash_table_insert (engine->loaded_since, g_strdup (model),
                           loaded_since);
    }
  else
    fig_end_loaded_span (engine, model, time_us);
}

static void
fig_read_execution (struct fig_engine *engine, struct json_object *entry)
{
  if (fig_get_us (entry, "arrived_us") >= engine->run->from_us)
    engine->run->engine_calls++;
  if (fig_get_us (entry, "started") != 0)
    fig_add_span (engine, fig_get_string (entry, "model"),
                  fig_get_us (entry, "arrived_us"),
                  fig_get_us (entry, "time_us"), true);
}

static gint
fig_compare (gconstpointer a, gconstpointer b)
{
  const struct fig_change *x = a;
  const struct fig_change *y = b;

  return (x->time_us > y->time_us) - (x->time_us < y->time_us);
}

/* Add to IDLE_S and SERVING_S, in seconds, the parts of the run during which
   CHANGES leave a model loaded without a request running, or a request
   running.  */
static void
fig_sweep (const struct fig_run *run, GArray *changes, double *idle_s,
           double *serving_s)
{
  uint64_t last_us = run->from_us;
  int32_t loaded = 0;
  int32_t running = 0;

  g_array_sort (changes, fig_compare);
  for (guint i = 0; i < changes->len; i++)
    {
      const struct fig_change *change
          = &g_array_index (changes, struct fig_change, i);
      uint64_t time_us = CLAMP (change->time_us, last_us, run->to_us);
      double seconds = (double)(time_us - last_us) / FIG_US_PER_S;

      if (running > 0)
        *serving_s += seconds;
      else if (loaded > 0)
        *idle_s += seconds;
      loaded += change->loaded;
      running += change->running;
      last_us = time_us;
    }
}

static void
fig_read_lists (struct fig_engine *engine, struct json_object *records)
{
  struct json_object *changes = json_object_object_get (records, "changes");
  struct json_object *runs = json_object_object_get (records, "runs");
  GHashTableIter iter;
  gpointer value;
  GList *still_loaded;

  for (size_t i = 0; i < json_object_array_length (changes); i++)
    fig_read_change (engine, json_object_array_get_idx (changes, i));
  still_loaded = g_hash_table_get_keys (engine->loaded_since);
  while (still_loaded != NULL)
    {
      fig_end_loaded_span (engine, still_loaded->data, engine->run->to_us);
      still_loaded = g_list_delete_link (still_loaded, still_loaded);
    }
  for (size_t i = 0; i < json_object_array_length (runs); i++)
    fig_read_execution (engine, json_object_array_get_idx (runs, i));
  fig_sweep (engine->run, engine->changes, &engine->run->idle_s,
             &engine->run->serving_s);
  g_hash_table_iter_init (&iter, engine->replica_changes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    fig_sweep (engine->run, value, &engine->run->idle_replica_s,
               &engine->run->serving_replica_s);
}

static void
fig_array_free (gpointer array)
{
  g_array_free (array, TRUE);
}

/* Add the records in FILE, the response of an engine stand-in to GET
   /records, to RUN.  Return false and set ERROR if they are unreadable or
   incomplete.  */
bool
fig_read_records (struct fig_run *run, const char *file, GError **error)
{
  struct json_object *records = json_object_from_file (file);
  struct fig_engine engine = { .run = run };

  if (records == NULL || json_object_object_get (records, "changes") == NULL
      || json_object_object_get (records, "runs") == NULL
      || fig_get_us (records, "dropped") != 0)
    {
      g_set_error (error, LD_ERROR, 0, "%s: records missing or incomplete",
                   file);
      json_object_put (records);
      return false;
    }
  engine.changes = g_array_new (FALSE, FALSE, sizeof (struct fig_change));
  engine.replica_changes = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  g_free, fig_array_free);
  engine.loaded_since
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fig_read_lists (&engine, records);
  g_array_free (engine.changes, TRUE);
  g_hash_table_destroy (engine.replica_changes);
  g_hash_table_destroy (engine.loaded_since);
  json_object_put (records);
  return true;
}

/* Return whether no engine had the model of ROW loaded when ROW arrived.  */
bool
fig_is_cold (const struct fig_run *run, const struct fig_row *row)
{
  const GArray *spans = g_hash_table_lookup (run->loaded, row->model);

  for (guint i = 0; spans != NULL && i < spans->len; i++)
    {
      const struct fig_span *span = &g_array_index (spans, struct fig_span, i);

      if (row->due_us >= span->from_us && row->due_us < span->to_us)
        return false;
    }
  return true;
}
