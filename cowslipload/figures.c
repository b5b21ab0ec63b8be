#include <argp.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "experiment.h"
#include "figures.h"
#include "tally.h"

#define FIG_TRACE_FIELDS 8
#define FIG_US_PER_S     1e6
#define FIG_P99          0.99

/* Parsed command line.  */
struct fig_arguments
{
  const char *trace;
  const char *label;
  double from_s;
  double to_s;
  GPtrArray *records;
};

/* A group of requests: a class, or all, in the whole run or in its peak.  */
struct fig_group
{
  uint32_t sent;
  uint32_t in_time;
  GArray *total_ms;
};

static const struct argp_option options[]
    = { { "trace", 't', "FILE", 0, "output of cowslipload --trace", 0 },
        { "label", 'l', "TEXT", 0, "first column of the output", 0 },
        { "from", 'f', "SECONDS", 0, "start of the peak (crest metrics)", 0 },
        { "to", 'u', "SECONDS", 0, "end of the peak", 0 },
        { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct fig_arguments *arguments = state->input;

  switch (key)
    {
    case 't':
      arguments->trace = arg;
      return 0;
    case 'l':
      arguments->label = arg;
      return 0;
    case 'f':
      arguments->from_s = strtod (arg, NULL);
      return 0;
    case 'u':
      arguments->to_s = strtod (arg, NULL);
      return 0;
    case ARGP_KEY_ARG:
      g_ptr_array_add (arguments->records, arg);
      return 0;
    case ARGP_KEY_END:
      if (arguments->trace == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static bool
fig_read_row (const char *line, struct fig_row *row)
{
  char **fields = g_strsplit (line, ",", FIG_TRACE_FIELDS);
  bool complete = g_strv_length (fields) == FIG_TRACE_FIELDS;

  if (complete)
    {
      row->due_us = g_ascii_strtoull (fields[0], NULL, 10);
      g_strlcpy (row->class_name, fields[1], sizeof row->class_name);
      g_strlcpy (row->model, fields[2], sizeof row->model);
      row->is_long = fields[3][0] == '1';
      g_strlcpy (row->outcome, fields[4], sizeof row->outcome);
      row->first_ms = g_ascii_strtod (fields[5], NULL);
      row->total_ms = g_ascii_strtod (fields[6], NULL);
      row->deadline_ms = g_ascii_strtod (fields[7], NULL);
    }
  g_strfreev (fields);
  return complete;
}

/* Read the trace FILE into RUN.  Return false and set ERROR if it contains no
   request or an incomplete line.  */
bool
fig_read_trace (struct fig_run *run, const char *file, GError **error)
{
  char *text;
  char **lines;
  bool ok = true;

  if (!g_file_get_contents (file, &text, NULL, error))
    return false;
  lines = g_strsplit (g_strchomp (text), "\n", -1);
  run->from_us = UINT64_MAX;
  for (guint i = 1; ok && lines[0] != NULL && lines[i] != NULL; i++)
    {
      struct fig_row row;

      ok = fig_read_row (lines[i], &row);
      if (!ok)
        continue;
      g_array_append_val (run->rows, row);
      run->from_us = MIN (run->from_us, row.due_us);
      run->to_us = MAX (run->to_us, row.due_us);
    }
  g_strfreev (lines);
  g_free (text);
  if (ok && run->rows->len > 0)
    return true;
  g_set_error (error, LD_ERROR, 0, "%s: trace empty or incomplete", file);
  return false;
}

static void
fig_print (const struct fig_arguments *arguments, const char *metric,
           double value)
{
  printf ("%s,%s,%.4f\n", arguments->label, metric, value);
}

static bool
fig_is_complete (const struct fig_row *row)
{
  return strcmp (row->outcome, "whole") == 0;
}

/* Return the latency of ROW: DELIVERED_MS, or at least the deadline if the
   request had no complete response, because its caller waited that long.  */
static double
fig_latency_ms (const struct fig_row *row, double delivered_ms)
{
  return fig_is_complete (row) ? delivered_ms
                               : MAX (row->total_ms, row->deadline_ms);
}

static void
fig_print_cold (const struct fig_arguments *arguments,
                const struct fig_run *run)
{
  GArray *first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *delivered_ms = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < run->rows->len; i++)
    {
      const struct fig_row *row
          = &g_array_index (run->rows, struct fig_row, i);

      if (!fig_is_cold (run, row))
        continue;
      ld_tally_add_value (first_ms, fig_latency_ms (row, row->first_ms));
      if (fig_is_complete (row))
        ld_tally_add_value (delivered_ms, row->first_ms);
    }
  fig_print (arguments, "cold_requests", first_ms->len);
  fig_print (arguments, "cold_delivered", delivered_ms->len);
  fig_print (arguments, "cold_p50_ms", ld_tally_quantile (first_ms, 0.5));
  fig_print (arguments, "cold_p99_ms", ld_tally_quantile (first_ms, FIG_P99));
  fig_print (arguments, "cold_p99_delivered_ms",
             ld_tally_quantile (delivered_ms, FIG_P99));
  g_array_free (first_ms, TRUE);
  g_array_free (delivered_ms, TRUE);
}

static void
fig_print_engines (const struct fig_arguments *arguments,
                   const struct fig_run *run)
{
  fig_print (arguments, "engine_idle_s", run->idle_s);
  fig_print (arguments, "engine_serving_s", run->serving_s);
  fig_print (arguments, "idle_per_serving",
             run->serving_s > 0 ? run->idle_s / run->serving_s : 0);
  fig_print (arguments, "replica_idle_s", run->idle_replica_s);
  fig_print (arguments, "replica_serving_s", run->serving_replica_s);
  fig_print (arguments, "replica_idle_per_serving",
             run->serving_replica_s > 0
                 ? run->idle_replica_s / run->serving_replica_s
                 : 0);
  fig_print (arguments, "engine_calls", (double)run->engine_calls);
  fig_print (arguments, "engine_calls_per_request",
             (double)run->engine_calls / run->rows->len);
  fig_print (arguments, "loads", (double)run->loads);
}

static void
fig_group_add (struct fig_group *group, const struct fig_row *row)
{
  if (group->total_ms == NULL)
    group->total_ms = g_array_new (FALSE, FALSE, sizeof (double));
  group->sent++;
  if (fig_is_complete (row) && row->total_ms <= row->deadline_ms)
    group->in_time++;
  ld_tally_add_value (group->total_ms, fig_latency_ms (row, row->total_ms));
}

static void
fig_print_group (const struct fig_arguments *arguments, const char *name,
                 const struct fig_group *group)
{
  const struct fig_metric
  {
    const char *name;
    double value;
  } metrics[] = { { "sent", group->sent },
                  { "in_time_share", (double)group->in_time / group->sent },
                  { "p50_ms", ld_tally_quantile (group->total_ms, 0.5) },
                  { "p99_ms", ld_tally_quantile (group->total_ms, FIG_P99) } };

  for (size_t i = 0; i < G_N_ELEMENTS (metrics); i++)
    {
      char *metric = g_strdup_printf ("%s_%s", name, metrics[i].name);

      fig_print (arguments, metric, metrics[i].value);
      g_free (metric);
    }
}

static struct fig_group *
fig_group (GHashTable *groups, char *name)
{
  struct fig_group *group = g_hash_table_lookup (groups, name);

  if (group != NULL)
    {
      g_free (name);
      return group;
    }
  group = g_new0 (struct fig_group, 1);
  g_hash_table_insert (groups, name, group);
  return group;
}

static void
fig_print_groups (const struct fig_arguments *arguments,
                  const struct fig_run *run)
{
  GHashTable *groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GList *names;

  for (guint i = 0; i < run->rows->len; i++)
    {
      const struct fig_row *row
          = &g_array_index (run->rows, struct fig_row, i);
      double at_s = (double)(row->due_us - run->from_us) / FIG_US_PER_S;

      fig_group_add (fig_group (groups, g_strdup ("all")), row);
      fig_group_add (fig_group (groups, g_strdup_printf (
                                            "%s_%s", row->class_name,
                                            row->is_long ? "long" : "short")),
                     row);
      if (at_s < arguments->from_s || at_s >= arguments->to_s)
        continue;
      fig_group_add (fig_group (groups, g_strdup ("crest_all")), row);
      fig_group_add (
          fig_group (groups, g_strdup_printf ("crest_%s", row->class_name)),
          row);
    }
  names = g_list_sort (g_hash_table_get_keys (groups), (GCompareFunc)strcmp);
  for (const GList *l = names; l != NULL; l = l->next)
    {
      struct fig_group *group = g_hash_table_lookup (groups, l->data);

      fig_print_group (arguments, l->data, group);
      g_array_free (group->total_ms, TRUE);
    }
  g_list_free (names);
  g_hash_table_destroy (groups);
}

static void
fig_spans_free (gpointer spans)
{
  g_array_free (spans, TRUE);
}

/* Print the metrics of a run as CSV lines with label, metric and value.  */
int
fig_main (int argc, char **argv)
{
  static const struct argp parser
      = { options,
          parse_option,
          "RECORDS...",
          "Compute the metrics of a run from its trace and the records of "
          "the engine stand-ins.",
          NULL,
          NULL,
          NULL };
  struct fig_arguments arguments
      = { .label = "run", .records = g_ptr_array_new () };
  struct fig_run run
      = { .rows = g_array_new (FALSE, FALSE, sizeof (struct fig_row)),
          .loaded = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           fig_spans_free) };
  GError *error = NULL;
  bool ok;

  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  ok = fig_read_trace (&run, arguments.trace, &error);
  for (guint i = 0; ok && i < arguments.records->len; i++)
    ok = fig_read_records (&run, arguments.records->pdata[i], &error);
  if (ok)
    {
      fig_print_cold (&arguments, &run);
      fig_print_engines (&arguments, &run);
      fig_print_groups (&arguments, &run);
    }
  else
    {
      fprintf (stderr, "cowslipload: %s\n", error->message);
      g_error_free (error);
    }
  g_array_free (run.rows, TRUE);
  g_hash_table_destroy (run.loaded);
  g_ptr_array_free (arguments.records, TRUE);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
