#include <stdlib.h>
#include <string.h>

#include "arrivals.h"

#define LD_US_PER_S  1e6
#define LD_MS_PER_S  1e3
#define LD_US_PER_MS 1000

/* One line of a replayed file.  */
struct ld_replayed
{
  uint64_t at_us;
  const struct ld_mix *mix; /* NULL: by weight */
};

struct ld_arrivals
{
  const struct ld_experiment *experiment;
  gsl_rng *random;
  gsl_ran_discrete_t *weights;
  double poisson_s; /* next single arrival */
  double burst_s;   /* next burst */
  uint32_t burst_left;
  GArray *replay;
  guint replay_next;
};

/* Return the rate of single arrivals at TIME_S.  */
static double
ld_rate_at (const struct ld_arrival *arrival, double time_s)
{
  double since_s = time_s - arrival->at_s;
  double high = arrival->rate * arrival->factor;
  double slope;

  if (arrival->kind != LD_SWING || since_s < 0)
    return arrival->rate;
  slope = arrival->rise_s > 0 ? (high - arrival->rate) / arrival->rise_s : 0;
  if (since_s < arrival->rise_s)
    return arrival->rate + slope * since_s;
  since_s -= arrival->rise_s + arrival->hold_s;
  if (since_s < 0)
    return high;
  if (since_s < arrival->rise_s)
    return high - slope * since_s;
  return arrival->rate;
}

/* A rate that changes is served by thinning: candidates come at the highest
   rate and are kept with the share of the rate of their time.  */
static void
ld_next_single (struct ld_arrivals *arrivals)
{
  const struct ld_arrival *arrival = &arrivals->experiment->arrival;
  double high
      = arrival->rate
        * (arrival->kind == LD_SWING && arrival->factor > 1 ? arrival->factor
                                                            : 1);

  if (high <= 0)
    {
      arrivals->poisson_s = arrivals->experiment->duration_s;
      return;
    }
  do
    arrivals->poisson_s += gsl_ran_exponential (arrivals->random, 1 / high);
  while (arrivals->poisson_s < arrivals->experiment->duration_s
         && gsl_rng_uniform (arrivals->random) * high
                >= ld_rate_at (arrival, arrivals->poisson_s));
}

static const struct ld_mix *
ld_mix_named (const struct ld_experiment *experiment, const char *name)
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
  struct ld_replayed entry = { 0 };
  char *end;

  g_strstrip (line);
  if (line[0] == '\0' || line[0] == '#')
    return true;
  entry.at_us = (uint64_t)(strtod (line, &end) * LD_US_PER_MS);
  if (*end == ',')
    entry.mix = ld_mix_named (arrivals->experiment, end + 1);
  if (end == line || (*end != '\0' && entry.mix == NULL))
    {
      g_set_error (error, LD_ERROR, 0, "replay: bad line \"%s\"", line);
      return false;
    }
  g_array_append_val (arrivals->replay, entry);
  return true;
}

static gint
ld_replay_compare (gconstpointer a, gconstpointer b)
{
  const struct ld_replayed *x = a;
  const struct ld_replayed *y = b;

  return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* A line is "MILLISECONDS" or "MILLISECONDS,NAME" with a name of the mix. */
static bool
ld_replay_load (struct ld_arrivals *arrivals, const char *file, GError **error)
{
  char *text;
  char **lines;
  bool good = true;

  if (!g_file_get_contents (file, &text, NULL, error))
    return false;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; good && *line != NULL; line++)
    good = ld_replay_line (arrivals, *line, error);
  g_strfreev (lines);
  g_free (text);
  g_array_sort (arrivals->replay, ld_replay_compare);
  return good;
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
   ERROR if the file to replay cannot be read.  */
struct ld_arrivals *
ld_arrivals_new (const struct ld_experiment *experiment, gsl_rng *random,
                 GError **error)
{
  struct ld_arrivals *arrivals = g_new0 (struct ld_arrivals, 1);
  const struct ld_arrival *arrival = &experiment->arrival;

  arrivals->experiment = experiment;
  arrivals->random = random;
  arrivals->weights = ld_mix_weights (experiment->mix);
  arrivals->replay = g_array_new (FALSE, FALSE, sizeof (struct ld_replayed));
  if (arrival->kind == LD_REPLAY
      && !ld_replay_load (arrivals, arrival->file, error))
    {
      ld_arrivals_free (arrivals);
      return NULL;
    }
  arrivals->burst_left = arrival->burst;
  ld_next_single (arrivals);
  return arrivals;
}

/* Free ARRIVALS.  */
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
ld_take_generated (struct ld_arrivals *arrivals)
{
  const struct ld_arrival *arrival = &arrivals->experiment->arrival;
  double at_s = arrivals->poisson_s;

  if (arrival->kind != LD_BURST || at_s < arrivals->burst_s)
    {
      ld_next_single (arrivals);
      return at_s;
    }
  at_s = arrivals->burst_s;
  if (--arrivals->burst_left == 0)
    {
      arrivals->burst_left = arrival->burst;
      arrivals->burst_s += arrival->every_ms / LD_MS_PER_S;
    }
  return at_s;
}

/* Set AT_US to the time of the next arrival, in microseconds from the start,
   and MIX to the kind of its request.  Return false after the last one.  */
bool
ld_arrivals_next (struct ld_arrivals *arrivals, uint64_t *at_us,
                  const struct ld_mix **mix)
{
  const struct ld_experiment *experiment = arrivals->experiment;

  *mix = NULL;
  if (experiment->arrival.kind == LD_REPLAY)
    {
      const struct ld_replayed *entry;

      if (arrivals->replay_next >= arrivals->replay->len)
        return false;
      entry = &g_array_index (arrivals->replay, struct ld_replayed,
                              arrivals->replay_next++);
      *at_us = entry->at_us;
      *mix = entry->mix;
    }
  else
    *at_us = (uint64_t)(ld_take_generated (arrivals) * LD_US_PER_S);
  if (*mix == NULL)
    *mix = experiment->mix
               ->pdata[gsl_ran_discrete (arrivals->random, arrivals->weights)];
  return (double)*at_us < experiment->duration_s * LD_US_PER_S;
}
