#include <glib.h>

#include "hst.h"

#define HST_NAME_BYTES 256

static const uint32_t hst_bounds_ms[]
    = { 1,   2,   5,   10,   20,   50,   100,   200,
        370, 500, 800, 1500, 3000, 6000, 15000, 60000 };

#define HST_BOUNDS (sizeof hst_bounds_ms / sizeof hst_bounds_ms[0])

/* Observations since the last flush.  */
struct hst_histogram
{
  uint64_t counts[HST_BOUNDS + 1];
  uint64_t total;
  uint64_t sum_us;
};

struct hst_set
{
  char *name;
  GHashTable *by_class;
};

/* Return empty histograms, which are exported as the counters NAME_bucket,
   NAME_count and NAME_sum_us.  */
struct hst_set *
hst_new (const char *name)
{
  struct hst_set *set = g_new0 (struct hst_set, 1);

  set->name = g_strdup (name);
  set->by_class
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return set;
}

void
hst_free (struct hst_set *set)
{
  if (set == NULL)
    return;
  g_hash_table_destroy (set->by_class);
  g_free (set->name);
  g_free (set);
}

/* Add an observation of DURATION_US for CLASS_NAME.  */
void
hst_observe (struct hst_set *set, const char *class_name, uint64_t duration_us)
{
  struct hst_histogram *histogram
      = g_hash_table_lookup (set->by_class, class_name);
  size_t i = 0;

  if (histogram == NULL)
    {
      histogram = g_new0 (struct hst_histogram, 1);
      g_hash_table_insert (set->by_class, g_strdup (class_name), histogram);
    }
  while (i < HST_BOUNDS && duration_us > hst_bounds_ms[i] * 1000ULL)
    i++;
  histogram->counts[i]++;
  histogram->total++;
  histogram->sum_us += duration_us;
}

static void
hst_flush_class (const struct hst_set *set, const char *class_name,
                 struct hst_histogram *histogram, struct ctr_set *counters)
{
  char name[HST_NAME_BYTES];
  uint64_t cumulative = 0;

  for (size_t i = 0; i < HST_BOUNDS; i++)
    {
      cumulative += histogram->counts[i];
      g_snprintf (name, sizeof name, "%s_bucket{class=\"%s\",le=\"%u\"}",
                  set->name, class_name, hst_bounds_ms[i]);
      ctr_add (counters, name, cumulative);
    }
  g_snprintf (name, sizeof name, "%s_bucket{class=\"%s\",le=\"+Inf\"}",
              set->name, class_name);
  ctr_add (counters, name, histogram->total);
  g_snprintf (name, sizeof name, "%s_count{class=\"%s\"}", set->name,
              class_name);
  ctr_add (counters, name, histogram->total);
  g_snprintf (name, sizeof name, "%s_sum_us{class=\"%s\"}", set->name,
              class_name);
  ctr_add (counters, name, histogram->sum_us);
  *histogram = (struct hst_histogram){ 0 };
}

/* Add the observations since the last flush to COUNTERS.  Formatting counter
   names is too expensive to do for each request, so this runs once a
   second.  */
void
hst_flush (struct hst_set *set, struct ctr_set *counters)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, set->by_class);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((struct hst_histogram *)value)->total > 0)
      hst_flush_class (set, key, value, counters);
}
