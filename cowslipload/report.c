#include <inttypes.h>
#include <string.h>

#include "tally.h"

static const double ld_quantiles[] = { 0.5, 0.95, 0.99 };
static const char *const ld_quantile_names[] = { "median", "p95", "p99" };

/* A latency of a tally.  */
struct ld_latency
{
  const char *name;
  size_t offset;
};

static const struct ld_latency ld_latencies[]
    = { { "first_token_ms", offsetof (struct ld_tally, first_token_ms) },
        { "between_tokens_ms", offsetof (struct ld_tally, between_ms) },
        { "total_ms", offsetof (struct ld_tally, total_ms) } };

struct ld_count
{
  const char *name;
  size_t offset;
};

static const struct ld_count ld_counts[]
    = { { "sent", offsetof (struct ld_tally, sent) },
        { "whole", offsetof (struct ld_tally, complete) },
        { "in_time", offsetof (struct ld_tally, in_time) },
        { "lost", offsetof (struct ld_tally, lost) },
        { "doubled", offsetof (struct ld_tally, doubled) },
        { "wrong", offsetof (struct ld_tally, wrong) },
        { "broken", offsetof (struct ld_tally, broken) },
        { "resent", offsetof (struct ld_tally, resent) } };

static uint64_t
ld_get_count (const struct ld_tally *tally, size_t i)
{
  return *(const uint64_t *)(const void *)((const char *)tally
                                           + ld_counts[i].offset);
}

static GArray *
ld_get_latency (const struct ld_tally *tally, size_t i)
{
  return *(GArray *const *)(const void *)((const char *)tally
                                          + ld_latencies[i].offset);
}

static void
ld_table_counts (const GPtrArray *tallies, FILE *out)
{
  fprintf (out, "%-14s", "class");
  for (size_t i = 0; i < G_N_ELEMENTS (ld_counts); i++)
    fprintf (out, " %8s", ld_counts[i].name);
  fprintf (out, " %8s\n", "refused");
  for (guint t = 0; t < tallies->len; t++)
    {
      const struct ld_tally *tally = tallies->pdata[t];

      fprintf (out, "%-14s", tally->name);
      for (size_t i = 0; i < G_N_ELEMENTS (ld_counts); i++)
        fprintf (out, " %8" PRIu64, ld_get_count (tally, i));
      fprintf (out, " %8" PRIu64 "\n", ld_tally_refused_total (tally));
    }
}

static void
ld_table_latencies (const struct ld_tally *tally, FILE *out)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ld_latencies); i++)
    {
      GArray *values = ld_get_latency (tally, i);

      if (values->len == 0)
        continue;
      fprintf (out, "%-14s %-18s", tally->name, ld_latencies[i].name);
      for (size_t q = 0; q < G_N_ELEMENTS (ld_quantiles); q++)
        fprintf (out, " %s %.1f", ld_quantile_names[q],
                 ld_tally_quantile (values, ld_quantiles[q]));
      fputc ('\n', out);
    }
}

static void
ld_table_refusals (const struct ld_tally *tally, FILE *out)
{
  GHashTableIter iter;
  gpointer reason;
  gpointer count;

  g_hash_table_iter_init (&iter, tally->refused);
  while (g_hash_table_iter_next (&iter, &reason, &count))
    fprintf (out, "%-14s refused: %s %" PRIu64 "\n", tally->name,
             (const char *)reason, *(const uint64_t *)count);
}

/* Print TALLIES to OUT as human-readable tables.  */
void
ld_report_table (const GPtrArray *tallies, FILE *out)
{
  ld_table_counts (tallies, out);
  for (guint t = 0; t < tallies->len; t++)
    ld_table_latencies (tallies->pdata[t], out);
  for (guint t = 0; t < tallies->len; t++)
    ld_table_refusals (tallies->pdata[t], out);
}

static void
ld_csv_tally (const struct ld_tally *tally, FILE *out)
{
  GHashTableIter iter;
  gpointer reason;
  gpointer count;

  for (size_t i = 0; i < G_N_ELEMENTS (ld_counts); i++)
    fprintf (out, "%s,%s,%" PRIu64 "\n", tally->name, ld_counts[i].name,
             ld_get_count (tally, i));
  for (size_t i = 0; i < G_N_ELEMENTS (ld_latencies); i++)
    for (size_t q = 0; q < G_N_ELEMENTS (ld_quantiles); q++)
      fprintf (out, "%s,%s_%s,%.3f\n", tally->name, ld_latencies[i].name,
               ld_quantile_names[q],
               ld_tally_quantile (ld_get_latency (tally, i), ld_quantiles[q]));
  g_hash_table_iter_init (&iter, tally->refused);
  while (g_hash_table_iter_next (&iter, &reason, &count))
    fprintf (out, "%s,refused_%s,%" PRIu64 "\n", tally->name,
             (const char *)reason, *(const uint64_t *)count);
}

/* Print TALLIES to OUT as CSV with the columns class, metric and value.  */
void
ld_report_csv (const GPtrArray *tallies, FILE *out)
{
  fputs ("class,metric,value\n", out);
  for (guint t = 0; t < tallies->len; t++)
    ld_csv_tally (tallies->pdata[t], out);
}

static void
ld_plot_data (const GPtrArray *tallies, FILE *out)
{
  for (guint t = 0; t < tallies->len; t++)
    {
      const struct ld_tally *tally = tallies->pdata[t];

      fprintf (out, "$class%u << EOD\n", t);
      for (guint s = 0; s < tally->seconds->len; s++)
        {
          const struct ld_second_counts *second
              = &g_array_index (tally->seconds, struct ld_second_counts, s);

          fprintf (out, "%u %u %u %u %u\n", s, second->sent, second->in_time,
                   second->refused, second->lost);
        }
      fputs ("EOD\n", out);
    }
}

/* Print gnuplot commands to OUT that plot the requests per second of TALLIES
   to the file PNG.  */
void
ld_report_plot (const GPtrArray *tallies, const char *png, FILE *out)
{
  static const char *const columns[] = { "sent", "in time", "refused" };

  fprintf (out, "set terminal png size 1000,600\nset output \"%s\"\n", png);
  fputs ("set xlabel \"time of arrival (s)\"\n"
         "set ylabel \"requests per second\"\nset key outside\n",
         out);
  ld_plot_data (tallies, out);
  for (guint t = 0; t < tallies->len; t++)
    for (size_t c = 0; c < G_N_ELEMENTS (columns); c++)
      fprintf (out, "%s $class%u using 1:%zu with lines title \"%s %s\"",
               t == 0 && c == 0 ? "plot" : ",", t, c + 2,
               ((const struct ld_tally *)tallies->pdata[t])->name, columns[c]);
  fputc ('\n', out);
}
