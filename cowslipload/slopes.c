#include <argp.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <gsl/gsl_multifit.h>

#include "slopes.h"

#define SLOPES_TERMS      5
#define SLOPES_COLUMNS    8
#define SLOPES_LINE_BYTES 256
#define SLOPES_ROLE_BYTES 16

/* A line of the output of capacity.sh: the sizes of the zone and the resource
   usage of one instance.  */
struct slopes_sample
{
  double instances;
  double engines;
  double models;
  char role[SLOPES_ROLE_BYTES];
  double values[SLOPES_COLUMNS];
};

/* The zone sizes to which the cost is extrapolated.  */
struct slopes_target
{
  double instances;
  double engines;
  double models;
};

struct slopes_arguments
{
  const char *file;
  struct slopes_target target;
};

static const char *const slopes_names[SLOPES_COLUMNS]
    = { "cpu_percent", "rss_kb",  "rpc_out",    "rpc_in",
        "http_out",    "http_in", "kv_calls_s", "kv_txn_s" };

static const char *const slopes_terms[SLOPES_TERMS]
    = { "constant", "per peer", "per peer and engine read",
        "per engine in the zone", "per model" };

static const struct argp_option slopes_options[] = {
  { "instances", 'i', "NUMBER", 0, "instances of the zone (default 33)", 0 },
  { "engines", 'e', "NUMBER", 0, "engines of the zone (default 292)", 0 },
  { "models", 'm', "NUMBER", 0, "models (default 110)", 0 },
  { 0 }
};

static error_t
slopes_parse_option (int key, char *argument, struct argp_state *state)
{
  struct slopes_arguments *arguments = state->input;

  switch (key)
    {
    case 'i':
      arguments->target.instances = strtod (argument, NULL);
      return 0;
    case 'e':
      arguments->target.engines = strtod (argument, NULL);
      return 0;
    case 'm':
      arguments->target.models = strtod (argument, NULL);
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->file != NULL)
        argp_usage (state);
      arguments->file = argument;
      return 0;
    case ARGP_KEY_END:
      if (arguments->file == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp slopes_argp
    = { slopes_options,
        slopes_parse_option,
        "FILE.csv",
        "Fit the control cost of an instance to the output of capacity.sh "
        "and extrapolate it to a larger zone.",
        NULL,
        NULL,
        NULL };

static bool
slopes_read_line (const char *line, struct slopes_sample *sample)
{
  double *v = sample->values;

  return sscanf (line, "%lf,%lf,%lf,%15[a-z],%lf,%lf,%lf,%lf,%lf,%lf,%lf,%lf",
                 &sample->instances, &sample->engines, &sample->models,
                 sample->role, &v[0], &v[1], &v[2], &v[3], &v[4], &v[5], &v[6],
                 &v[7])
         == 4 + SLOPES_COLUMNS;
}

/* Return the samples of ROLE in FILE, or NULL if it cannot be read.  */
static GArray *
slopes_read (const char *file, const char *role)
{
  GArray *samples = g_array_new (FALSE, FALSE, sizeof (struct slopes_sample));
  FILE *stream = fopen (file, "r");
  char line[SLOPES_LINE_BYTES];

  if (stream == NULL)
    {
      fprintf (stderr, "cowslipload: %s: cannot read\n", file);
      g_array_free (samples, TRUE);
      return NULL;
    }
  while (fgets (line, sizeof line, stream) != NULL)
    {
      struct slopes_sample sample;

      if (slopes_read_line (line, &sample) && strcmp (sample.role, role) == 0)
        g_array_append_val (samples, sample);
    }
  fclose (stream);
  return samples;
}

/* Set TERMS to the regressors for a zone of SIZE.  Heartbeats are sent to each
   peer and report the load of the engines that this instance polls; views list
   the replicas of the zone.  */
static void
slopes_regressors (const struct slopes_target *size, double *terms)
{
  double peers = size->instances - 1;

  terms[0] = 1;
  terms[1] = peers;
  terms[2] = peers * size->engines / size->instances;
  terms[3] = size->engines;
  terms[4] = size->models;
}

static void
slopes_print (const char *name, const gsl_vector *fit, const gsl_matrix *error,
              const struct slopes_target *target)
{
  gsl_vector *at = gsl_vector_alloc (SLOPES_TERMS);
  double terms[SLOPES_TERMS];
  double value;
  double deviation;

  slopes_regressors (target, terms);
  for (size_t t = 0; t < SLOPES_TERMS; t++)
    {
      gsl_vector_set (at, t, terms[t]);
      printf ("%-12s %-26s %12.4f +- %.4f\n", name, slopes_terms[t],
              gsl_vector_get (fit, t), sqrt (gsl_matrix_get (error, t, t)));
    }
  gsl_multifit_linear_est (at, fit, error, &value, &deviation);
  printf ("%-12s %-26s %12.4f +- %.4f\n\n", name, "AT THE TARGET", value,
          deviation);
  gsl_vector_free (at);
}

/* Fit each column of SAMPLES by least squares and print the result.  */
static void
slopes_fit (const GArray *samples, const struct slopes_target *target)
{
  gsl_matrix *x = gsl_matrix_alloc (samples->len, SLOPES_TERMS);
  gsl_vector *y = gsl_vector_alloc (samples->len);
  gsl_vector *fit = gsl_vector_alloc (SLOPES_TERMS);
  gsl_matrix *error = gsl_matrix_alloc (SLOPES_TERMS, SLOPES_TERMS);
  gsl_multifit_linear_workspace *work
      = gsl_multifit_linear_alloc (samples->len, SLOPES_TERMS);
  double chi2;

  for (size_t c = 0; c < SLOPES_COLUMNS; c++)
    {
      for (guint i = 0; i < samples->len; i++)
        {
          const struct slopes_sample *s
              = &g_array_index (samples, struct slopes_sample, i);
          struct slopes_target size = { s->instances, s->engines, s->models };
          double terms[SLOPES_TERMS];

          slopes_regressors (&size, terms);
          for (size_t t = 0; t < SLOPES_TERMS; t++)
            gsl_matrix_set (x, i, t, terms[t]);
          gsl_vector_set (y, i, s->values[c]);
        }
      gsl_multifit_linear (x, y, fit, error, &chi2, work);
      slopes_print (slopes_names[c], fit, error, target);
    }
  gsl_multifit_linear_free (work);
  gsl_matrix_free (x);
  gsl_matrix_free (error);
  gsl_vector_free (y);
  gsl_vector_free (fit);
}

static bool
slopes_print_role (const struct slopes_arguments *arguments, const char *role)
{
  GArray *samples = slopes_read (arguments->file, role);
  bool enough = samples != NULL && samples->len > SLOPES_TERMS;

  if (samples == NULL)
    return false;
  if (enough)
    {
      printf ("role %s, %u samples, target %.0f instances, %.0f engines, "
              "%.0f models in the zone\n\n",
              role, samples->len, arguments->target.instances,
              arguments->target.engines, arguments->target.models);
      slopes_fit (samples, &arguments->target);
    }
  else
    fprintf (stderr, "cowslipload: %s: too few samples of role %s\n",
             arguments->file, role);
  g_array_free (samples, TRUE);
  return enough;
}

/* Run "cowslipload slopes" and return its exit status.  */
int
ld_slopes (int argc, char **argv)
{
  struct slopes_arguments arguments = { .target = { 33, 292, 110 } };
  bool ok;

  argp_parse (&slopes_argp, argc, argv, 0, NULL, &arguments);
  ok = slopes_print_role (&arguments, "member");
  ok &= slopes_print_role (&arguments, "controller");
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
