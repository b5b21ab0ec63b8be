#include <stdlib.h>
#include <string.h>

#include "arrivals.h"

#define LD_US_PER_S  1e6
#define LD_MS_PER_S  1e3
#define LD_US_PER_MS 1000

/* A line of a replay file.  */
struct ld_replay_entry
{
  uint64_t at_us;
  const struct ld_mix *mix; /* NULL: drawn by weight */
};

struct ld_arrivals
{
  const struct ld_experiment *experiment;
  gsl_rng *random;
  gsl_ran_discrete_t *weights;
  double next_single_s; /* time of the next single arrival */
  double next_burst_s;  /* time of the next burst */
  uint32_t burst_remaining;
  GArray *replay;
  guint replay_next;
};

/* Return the rate of single arrivals at TIME_S, in requests per second.  */
static double
ld_rate_at (const struct ld_arrival *arrival, double time_s)
{
  double elapsed_s = time_s - arrival->at_s;
  double peak_rate = arrival->rate * arrival->factor;
  double slope;

  if (arrival->kind != LD_SWING || elapsed_s < 0)
    return arrival->rate;
  slope = arrival->rise_s > 0 ? (peak_rate - arrival->rate) / arrival->rise_s
                              : 0;
  if (elapsed_s < arrival->rise_s)
    return arrival->rate + slope * elapsed_s;
  elapsed_s -= arrival->rise_s + arrival->hold_s;
  if (elapsed_s < 0)
    return peak_rate;
  if (elapsed_s < arrival->rise_s)
    return peak_rate - slope * elapsed_s;
  return arrival->rate;
}

/* Draw the next single arrival.  A varying rate is produced by thinning:
   candidates are drawn at the peak rate and accepted with probability rate /
   peak rate.  */
static void
ld_schedule_single (struct ld_arrivals *arrivals)
{
  const struct ld_arrival *arrival = &arrivals->experiment->arrival;
  double peak_rate
      = arrival->rate
        * (arrival->kind == LD_SWING && arrival->factor > 1 ? arrival->factor
                                                            : 1);

  if (peak_rate <= 0)
    {
      arrivals->next_single_s = arrivals->experiment->duration_s;
      return;
    }
  do
    arrivals->next_single_s
        += gsl_ran_exponential (arrivals->random, 1 / peak_rate);
  while (arrivals->next_single_s < arrivals->experiment->duration_s
         && gsl_rng_uniform (arrivals->random) * peak_rate
                >= ld_rate_at (arrival, arrivals->next_single_s));
}

static const struct ld_mix *
ld_mix_find (const struct ld_experiment *experiment, const char *name)
{
  for (guint i = 0; i < experiment->mix->len; i++)
    {
      const struct ld_mix *mix = experiment->mix->pdata[i];

      if (strcmp (mix->name, name) == 0)
        return mix;
    }
  return NULL;
}

static bool
ld_replay_line (struct ld_arrivals *arrivals, char *line, GError **error)
{
  struct ld_replay_entry entry = { 0 };
  char *end;

  g_strstrip (line);
  if (line[0] == '\0' || line[0] == '#')
    return true;
  entry.at_us = (uint64_t)(strtod (line, &end) * LD_US_PER_MS);
  if (*end == ',')
    entry.mix = ld_mix_find (arrivals->experiment, end + 1);
  if (end == line || (*end != '\0' && entry.mix == NULL))
    {
      g_set_error (error, LD_ERROR, 0, "replay: invalid line \"%s\"", line);
      return false;
    }
  g_array_append_val (arrivals->replay, entry);
  return true;
}

static gint
ld_replay_compare (gconstpointer a, gconstpointer b)
{
  const struct ld_replay_entry *x = a;
  const struct ld_replay_entry *y = b;

  return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* A line is "MILLISECONDS" or "MILLISECONDS,NAME"; NAME is a name in the
   mix.  */
static bool
ld_replay_load (struct ld_arrivals *arrivals, const char *file, GError **error)
{
  char *text;
  char **lines;
  bool ok = true;

  if (!g_file_get_contents (file, &text, NULL, error))
    return false;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; ok && *line != NULL; line++)
    ok = ld_replay_line (arrivals, *line, error);
  g_strfreev (lines);
  g_free (text);
  g_array_sort (arrivals->replay, ld_replay_compare);
  return ok;
}

static gsl_ran_discrete_t *
ld_mix_weights (const GPtrArray *mix)
{
  double *weights = g_new (double, mix->len);
  gsl_ran_discrete_t *table;

  for (guint i = 0; i < mix->len; i++)
    weights[i] = ((const struct ld_mix *)mix->pdata[i])->weight;
  table = gsl_ran_discrete_preproc (mix->len, weights);
  g_free (weights);
  return table;
}

/* Return the arrivals of EXPERIMENT, drawn from RANDOM.  Return NULL and set
   ERROR if the replay file is unreadable or invalid.  */
struct ld_arrivals *
ld_arrivals_new (const struct ld_experiment *experiment, gsl_rng *random,
                 GError **error)
{
  struct ld_arrivals *arrivals = g_new0 (struct ld_arrivals, 1);
  const struct ld_arrival *arrival = &experiment->arrival;

  arrivals->experiment = experiment;
  arrivals->random = random;
  arrivals->weights = ld_mix_weights (experiment->mix);
  arrivals->replay
      = g_array_new (FALSE, FALSE, sizeof (struct ld_replay_entry));
  if (arrival->kind == LD_REPLAY
      && !ld_replay_load (arrivals, arrival->file, error))
    {
      ld_arrivals_free (arrivals);
      return NULL;
    }
  arrivals->burst_remaining = arrival->burst;
  ld_schedule_single (arrivals);
  return arrivals;
}

void
ld_arrivals_free (struct ld_arrivals *arrivals)
{
  if (arrivals == NULL)
    return;
  gsl_ran_discrete_free (arrivals->weights);
  g_array_free (arrivals->replay, TRUE);
  g_free (arrivals);
}

static double
ld_next_generated (struct ld_arrivals *arrivals)
{
  const struct ld_arrival *arrival = &arrivals->experiment->arrival;
  double at_s = arrivals->next_single_s;

  if (arrival->kind != LD_BURST || at_s < arrivals->next_burst_s)
    {
      ld_schedule_single (arrivals);
      return at_s;
    }
  at_s = arrivals->next_burst_s;
  if (--arrivals->burst_remaining == 0)
    {
      arrivals->burst_remaining = arrival->burst;
      arrivals->next_burst_s += arrival->every_ms / LD_MS_PER_S;
    }
  return at_s;
}

/* Set AT_US to the time of the next arrival, in microseconds since the
   start, and MIX to the kind of its request.  Return false after the last
   arrival.  */
bool
ld_arrivals_next (struct ld_arrivals *arrivals, uint64_t *at_us,
                  const struct ld_mix **mix)
{
  const struct ld_experiment *experiment = arrivals->experiment;

  *mix = NULL;
  if (experiment->arrival.kind == LD_REPLAY)
    {
      const struct ld_replay_entry *entry;

      if (arrivals->replay_next >= arrivals->replay->len)
        return false;
      entry = &g_array_index (arrivals->replay, struct ld_replay_entry,
                              arrivals->replay_next++);
      *at_us = entry->at_us;
      *mix = entry->mix;
    }
  else
    *at_us = (uint64_t)(ld_next_generated (arrivals) * LD_US_PER_S);
  if (*mix == NULL)
    *mix = experiment->mix
               ->pdata[gsl_ran_discrete (arrivals->random, arrivals->weights)];
  return (double)*at_us < experiment->duration_s * LD_US_PER_S;
}
