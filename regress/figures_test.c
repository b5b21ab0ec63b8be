#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "figures.h"
#include "unit.h"

#define TOLERANCE 1e-6

static char *
write_file (const char *text)
{
  GError *error = NULL;
  char *name = NULL;
  gint fd = g_file_open_tmp ("figures-XXXXXX", &name, &error);

  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_FATAL (g_file_set_contents (name, text, -1, &error));
  (void)close (fd);
  return name;
}

static void
free_spans (gpointer spans)
{
  g_array_free (spans, TRUE);
}

static struct fig_run
new_run (void)
{
  return (struct fig_run){ .rows = g_array_new (FALSE, FALSE,
                                                sizeof (struct fig_row)),
                           .loaded = g_hash_table_new_full (
                               g_str_hash, g_str_equal, g_free, free_spans) };
}

static void
clear_run (struct fig_run *run)
{
  g_array_free (run->rows, TRUE);
  g_hash_table_destroy (run->loaded);
}

static bool
read_with (bool (*reader) (struct fig_run *, const char *, GError **),
           struct fig_run *run, const char *text)
{
  char *file = write_file (text);
  GError *error = NULL;
  bool success = reader (run, file, &error);

  CU_ASSERT_EQUAL (success, error == NULL);
  g_clear_error (&error);
  (void)unlink (file);
  g_free (file);
  return success;
}

#define TRACE                                                                 \
  "due_us,class,model,long,outcome,first_ms,total_ms,deadline_ms\n"           \
  "1000000,c,m,0,whole,900.0,950.0,4000\n"                                    \
  "3000000,c,m,1,queue_deadline,0.0,10.0,4000\n"                              \
  "9000000,c,n,0,whole,5.0,6.0,4000\n"

/* The engine has m loaded from 2 s to 6 s, serves a request from 3 s to 4 s
   and has n loaded from 5 s on.  */
#define RECORDS                                                               \
  "{\"dropped\": 0, \"changes\": ["                                           \
  "{\"model\": \"m\", \"state\": \"loading\", \"time_us\": 1500000},"         \
  "{\"model\": \"m\", \"state\": \"loaded\", \"time_us\": 2000000},"          \
  "{\"model\": \"n\", \"state\": \"loaded\", \"time_us\": 5000000},"          \
  "{\"model\": \"m\", \"state\": \"unloading\", \"time_us\": 6000000},"       \
  "{\"model\": \"m\", \"state\": \"gone\", \"time_us\": 6050000}],"           \
  "\"runs\": [{\"model\": \"m\", \"started\": 1, \"arrived_us\": 3000000,"    \
  " \"time_us\": 4000000},"                                                   \
  "{\"model\": \"m\", \"started\": 0, \"arrived_us\": 500, \"time_us\": "     \
  "600}]}"

/* Guards against idle time that overlaps serving time or is counted twice when
   two models are loaded, and against warm requests classified as cold.  */
static void
test_figures (void)
{
  struct fig_run run = new_run ();
  const struct fig_row *rows;

  CU_ASSERT_FATAL (read_with (fig_read_trace, &run, TRACE));
  CU_ASSERT_FATAL (read_with (fig_read_records, &run, RECORDS));
  rows = (const struct fig_row *)(const void *)run.rows->data;
  CU_ASSERT_EQUAL (run.rows->len, 3);
  CU_ASSERT (fig_is_cold (&run, &rows[0]));
  CU_ASSERT_FALSE (fig_is_cold (&run, &rows[1]));
  CU_ASSERT (rows[1].is_long);
  CU_ASSERT_DOUBLE_EQUAL (run.serving_s, 1, TOLERANCE);
  CU_ASSERT_DOUBLE_EQUAL (run.idle_s, 6, TOLERANCE);
  CU_ASSERT_DOUBLE_EQUAL (run.idle_replica_s, 7, TOLERANCE);
  /* A call before the first arrival belongs to another run.  */
  CU_ASSERT_EQUAL (run.engine_calls, 1);
  CU_ASSERT_EQUAL (run.loads, 1);
  clear_run (&run);
}

/* Guards against figures computed from an incomplete trace or incomplete
   records.  */
static void
test_incomplete (void)
{
  struct fig_run run = new_run ();

  CU_ASSERT_FALSE (read_with (fig_read_trace, &run, "head\n1,c,m,0\n"));
  CU_ASSERT_FALSE (read_with (fig_read_trace, &run, "head\n"));
  CU_ASSERT_FALSE (
      read_with (fig_read_records, &run,
                 "{\"dropped\": 3, \"changes\": [], \"runs\": []}"));
  CU_ASSERT_FALSE (read_with (fig_read_records, &run, "{\"dropped\": 0}"));
  clear_run (&run);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "figures", test_figures },
                                            { "incomplete", test_incomplete },
                                            { NULL, NULL } };

  return unit_main ("figures", tests);
}
