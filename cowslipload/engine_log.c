#include <string.h>

#include <glib.h>

#include "engine_log.h"

/* State while the log file of an engine is read.  */
struct ld_engine_log
{
  struct inv *invariants;
  const char *file;
  const char *zone;
  struct json_object *records; /* of the current incarnation */
  uint32_t incarnations;
};

static int64_t
ld_log_time_us (struct json_object *entry)
{
  return json_object_get_int64 (json_object_object_get (entry, "time_us"));
}

static struct json_object *
ld_log_get_list (struct json_object *records, const char *name)
{
  struct json_object *list = json_object_object_get (records, name);

  if (list == NULL)
    {
      list = json_object_new_array ();
      json_object_object_add (records, name, list);
    }
  return list;
}

static void
ld_log_add_int (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

/* Pass the records of the current incarnation to the checks.  It ended at its
   logged end, or at ENDED_US, the start of the next one, if no end was
   logged.  */
static void
ld_log_end_incarnation (struct ld_engine_log *log, int64_t ended_us)
{
  if (log->records == NULL)
    return;
  if (ended_us > 0
      && json_object_object_get (log->records, "ended_us") == NULL)
    ld_log_add_int (log->records, "ended_us", ended_us);
  inv_engine (log->invariants, log->file, log->zone, log->records);
  json_object_put (log->records);
  log->records = NULL;
}

static void
ld_log_start_incarnation (struct ld_engine_log *log, struct json_object *entry)
{
  ld_log_end_incarnation (log, ld_log_time_us (entry));
  log->records = json_object_get (entry);
  log->incarnations++;
}

/* Start a leaving period unless one is open: the earliest leaving entry counts
   until the engine returns.  */
static void
ld_log_add_leaving (struct json_object *records, struct json_object *entry)
{
  struct json_object *periods = ld_log_get_list (records, "signs");
  size_t count = json_object_array_length (periods);
  struct json_object *last
      = count == 0 ? NULL : json_object_array_get_idx (periods, count - 1);
  struct json_object *period;

  if (last != NULL && json_object_object_get (last, "back_us") == NULL)
    return;
  period = json_object_new_object ();
  ld_log_add_int (period, "leaving_us", ld_log_time_us (entry));
  json_object_array_add (periods, period);
}

static void
ld_log_end_leaving (struct json_object *records, struct json_object *entry)
{
  struct json_object *periods = ld_log_get_list (records, "signs");
  size_t count = json_object_array_length (periods);
  struct json_object *last
      = count == 0 ? NULL : json_object_array_get_idx (periods, count - 1);

  if (last != NULL && json_object_object_get (last, "back_us") == NULL)
    ld_log_add_int (last, "back_us", ld_log_time_us (entry));
}

static void
ld_log_entry (struct ld_engine_log *log, struct json_object *entry)
{
  const char *list
      = json_object_get_string (json_object_object_get (entry, "list"));

  if (list == NULL)
    return;
  if (strcmp (list, "start") == 0)
    ld_log_start_incarnation (log, entry);
  else if (log->records == NULL)
    return;
  else if (strcmp (list, "ended") == 0)
    ld_log_add_int (log->records, "ended_us", ld_log_time_us (entry));
  else if (strcmp (list, "leaving") == 0)
    ld_log_add_leaving (log->records, entry);
  else if (strcmp (list, "back") == 0)
    ld_log_end_leaving (log->records, entry);
  else
    json_object_array_add (ld_log_get_list (log->records, list),
                           json_object_get (entry));
}

/* Pass the records of all incarnations in FILE, the log file of an engine in
   ZONE, to INVARIANTS and return the number of incarnations.  A truncated last
   line is ignored: the engine was killed while it wrote the line.  */
uint32_t
ld_engine_log (struct inv *invariants, const char *file, const char *zone)
{
  struct ld_engine_log log
      = { .invariants = invariants, .file = file, .zone = zone };
  char *text;
  char **lines;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    return 0;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      struct json_object *entry = json_tokener_parse (*line);

      if (json_object_is_type (entry, json_type_object))
        ld_log_entry (&log, entry);
      json_object_put (entry);
    }
  ld_log_end_incarnation (&log, 0);
  g_strfreev (lines);
  g_free (text);
  return log.incarnations;
}
