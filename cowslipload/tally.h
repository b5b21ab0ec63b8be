#ifndef COWSLIPLOAD_TALLY_H
#define COWSLIPLOAD_TALLY_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/* Counts and latencies of the requests of a run, and reports of them.  */

/* Outcomes of the requests that arrived in one second of the run.  */
struct ld_second_counts
{
  uint32_t sent;
  uint32_t in_time;
  uint32_t refused;
  uint32_t lost;
};

/* Outcomes of the requests of one class.  Times are in milliseconds.  */
struct ld_tally
{
  char *name;
  uint64_t sent;
  uint64_t complete; /* complete and correct answers */
  uint64_t in_time;
  uint64_t lost;    /* neither an answer nor a refusal */
  uint64_t doubled; /* the answer of a second run for the same key */
  uint64_t wrong;   /* not the expected answer */
  uint64_t broken;  /* lost connections */
  uint64_t resent;
  GHashTable *refused; /* count by reason */
  GArray *first_token_ms;
  GArray *between_ms;
  GArray *total_ms;
  GArray *seconds; /* struct ld_second_counts */
};

struct ld_tally *ld_tally_new (const char *name);
void ld_tally_free (gpointer memory);
void ld_tally_add_refusal (struct ld_tally *tally, const char *reason);
uint64_t ld_tally_refused_total (const struct ld_tally *tally);
struct ld_second_counts *ld_tally_second (struct ld_tally *tally,
                                          uint64_t at_us);
void ld_tally_add_value (GArray *values, double value_ms);
double ld_tally_quantile (GArray *values, double quantile);

void ld_report_table (const GPtrArray *tallies, FILE *out);
void ld_report_csv (const GPtrArray *tallies, FILE *out);
void ld_report_plot (const GPtrArray *tallies, const char *png, FILE *out);

#endif
