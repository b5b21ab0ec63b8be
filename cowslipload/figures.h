#ifndef COWSLIPLOAD_FIGURES_H
#define COWSLIPLOAD_FIGURES_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/* Metrics of one run, computed from the trace of the load tool and the records
   of the engine stand-ins.  Times are on the monotonic clock.  */

/* A request in the output of cowslipload --trace.  */
struct fig_row
{
  uint64_t due_us;
  char class_name[48];
  char model[48];
  bool is_long;
  char outcome[48];
  double first_ms;
  double total_ms;
  double deadline_ms;
};

/* An interval during which an engine had a model loaded.  */
struct fig_span
{
  uint64_t from_us;
  uint64_t to_us;
};

struct fig_run
{
  GArray *rows;       /* struct fig_row */
  uint64_t from_us;   /* first arrival */
  uint64_t to_us;     /* last arrival */
  GHashTable *loaded; /* GArray of struct fig_span by model, any engine */
  double idle_s;      /* engine time, model loaded, none running */
  double serving_s;   /* engine time, request running */
  double idle_replica_s;
  double serving_replica_s;
  uint64_t engine_calls; /* since the first arrival */
  uint64_t loads;
};

int fig_main (int argc, char **argv);
bool fig_read_trace (struct fig_run *run, const char *file, GError **error);
bool fig_read_records (struct fig_run *run, const char *file, GError **error);
bool fig_is_cold (const struct fig_run *run, const struct fig_row *row);

#endif
