#include <string.h>

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "tally.h"

#define LD_US_PER_S 1000000U
/* Limit of the memory for the values of a very long run; later values are
   ignored.  */
#define LD_VALUES_MAX  8000000U
#define LD_SECONDS_MAX 7200U

/* Return an empty tally named NAME.  */
struct ld_tally *
ld_tally_new (const char *name)
{
  struct ld_tally *tally = g_new0 (struct ld_tally, 1);

  tally->name = g_strdup (name);
  tally->refused
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  tally->first_token_ms = g_array_new (FALSE, FALSE, sizeof (double));
  tally->between_ms = g_array_new (FALSE, FALSE, sizeof (double));
  tally->total_ms = g_array_new (FALSE, FALSE, sizeof (double));
  tally->seconds = g_array_new (FALSE, TRUE, sizeof (struct ld_second_counts));
  return tally;
}

void
ld_tally_free (gpointer memory)
{
  struct ld_tally *tally = memory;

  g_free (tally->name);
  g_hash_table_destroy (tally->refused);
  g_array_free (tally->first_token_ms, TRUE);
  g_array_free (tally->between_ms, TRUE);
  g_array_free (tally->total_ms, TRUE);
  g_array_free (tally->seconds, TRUE);
  g_free (tally);
}

/* Count a refusal with REASON.  */
void
ld_tally_add_refusal (struct ld_tally *tally, const char *reason)
{
  uint64_t *count = g_hash_table_lookup (tally->refused, reason);

  if (count == NULL)
    {
      count = g_new0 (uint64_t, 1);
      g_hash_table_insert (tally->refused, g_strdup (reason), count);
    }
  ++*count;
}

/* Return the number of refusals, whatever the reason.  */
uint64_t
ld_tally_refused_total (const struct ld_tally *tally)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t total = 0;

  g_hash_table_iter_init (&iter, tally->refused);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    total += *(const uint64_t *)value;
  return total;
}

/* Return the counts of the second that contains AT_US, a time since the start
   of the run.  */
struct ld_second_counts *
ld_tally_second (struct ld_tally *tally, uint64_t at_us)
{
  guint index = (guint)MIN (at_us / LD_US_PER_S, LD_SECONDS_MAX);

  if (index >= tally->seconds->len)
    g_array_set_size (tally->seconds, index + 1);
  return &g_array_index (tally->seconds, struct ld_second_counts, index);
}

void
ld_tally_add_value (GArray *values, double value_ms)
{
  if (values->len < LD_VALUES_MAX)
    g_array_append_val (values, value_ms);
}

/* Sort VALUES and return their QUANTILE (0 to 1), 0 if there are none.  */
double
ld_tally_quantile (GArray *values, double quantile)
{
  double *data = (double *)(void *)values->data;

  if (values->len == 0)
    return 0;
  gsl_sort (data, 1, values->len);
  return gsl_stats_quantile_from_sorted_data (data, 1, values->len, quantile);
}
