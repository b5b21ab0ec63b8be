#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "baseline.h"
#include "call.h"
#include "check.h"
#include "figures.h"
#include "run.h"
#include "slopes.h"

#define LD_SEED_LINE "seed %" PRIu64 "\n"

enum option_key
{
  OPTION_RESEND = 256,
  OPTION_KEYS,
  OPTION_NOT_RUN,
  OPTION_BROKEN,
  OPTION_FOLLOW_READY,
  OPTION_TRACE
};

/* Parsed command line.  */
struct ld_arguments
{
  const char *experiment;
  const char *csv;
  const char *png;
  const char *keys;
  const char *not_run;
  const char *broken;
  const char *trace;
  bool follow_ready;
  GPtrArray *targets;
  const char *seed;
  const char *duration;
  const char *rate;
  bool resend;
};

static const struct argp_option options[] = {
  { "target", 't', "ADDRESS", 0, "send to ADDRESS (IP:PORT); may be repeated",
    0 },
  { "seed", 's', "NUMBER", 0, "seed of all random choices", 0 },
  { "duration", 'd', "SECONDS", 0, "send for SECONDS", 0 },
  { "rate", 'r', "NUMBER", 0, "requests per second", 0 },
  { "resend", OPTION_RESEND, NULL, 0,
    "resend requests after a lost connection", 0 },
  { "csv", 'c', "FILE", 0, "write the counts and times to FILE", 0 },
  { "plot", 'p', "FILE.png", 0,
    "write gnuplot commands for FILE.png to FILE.gp", 0 },
  { "keys", OPTION_KEYS, "FILE", 0,
    "write the calls and results of each idempotency key to FILE", 0 },
  { "not-run", OPTION_NOT_RUN, "FILE", 0,
    "write the seeds of requests refused as not run to FILE", 0 },
  { "broken", OPTION_BROKEN, "FILE", 0,
    "write the time (us), the target and whether the request was sent to "
    "FILE for each lost connection",
    0 },
  { "trace", OPTION_TRACE, "FILE", 0,
    "write one line per request to FILE, for cowslipload figures", 0 },
  { "follow-ready", OPTION_FOLLOW_READY, NULL, 0,
    "send only to targets whose /readyz answers 200, like a load balancer",
    0 },
  { 0 }
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct ld_arguments *arguments = state->input;

  switch (key)
    {
    case 't':
      g_ptr_array_add (arguments->targets, g_strdup (arg));
      return 0;
    case 's':
      arguments->seed = arg;
      return 0;
    case 'd':
      arguments->duration = arg;
      return 0;
    case 'r':
      arguments->rate = arg;
      return 0;
    case OPTION_RESEND:
      arguments->resend = true;
      return 0;
    case 'c':
      arguments->csv = arg;
      return 0;
    case 'p':
      arguments->png = arg;
      return 0;
    case OPTION_KEYS:
      arguments->keys = arg;
      return 0;
    case OPTION_NOT_RUN:
      arguments->not_run = arg;
      return 0;
    case OPTION_BROKEN:
      arguments->broken = arg;
      return 0;
    case OPTION_FOLLOW_READY:
      arguments->follow_ready = true;
      return 0;
    case OPTION_TRACE:
      arguments->trace = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->experiment != NULL)
        argp_usage (state);
      arguments->experiment = arg;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static bool
apply_arguments (struct ld_experiment *experiment,
                 struct ld_arguments *arguments)
{
  if (arguments->seed != NULL)
    experiment->seed = strtoull (arguments->seed, NULL, 10);
  if (arguments->duration != NULL)
    experiment->duration_s = strtod (arguments->duration, NULL);
  if (arguments->rate != NULL)
    experiment->arrival.rate = strtod (arguments->rate, NULL);
  if (arguments->resend)
    experiment->resend = true;
  if (arguments->follow_ready)
    experiment->follow_ready = true;
  if (arguments->targets->len > 0)
    {
      g_ptr_array_free (experiment->targets, TRUE);
      experiment->targets = arguments->targets;
    }
  return experiment->targets->len > 0 && experiment->duration_s > 0
         && (experiment->arrival.rate > 0
             || experiment->arrival.kind == LD_REPLAY
             || experiment->arrival.kind == LD_BURST);
}

static FILE *
open_output (const char *file)
{
  FILE *out = fopen (file, "w");

  if (out == NULL)
    fprintf (stderr, "cowslipload: %s: cannot write\n", file);
  return out;
}

/* Open FILE for *OUT unless FILE is NULL.  */
static bool
open_optional (const char *file, FILE **out)
{
  return file == NULL || (*out = open_output (file)) != NULL;
}

static bool
open_outputs (const struct ld_arguments *arguments, struct ld_outputs *outputs)
{
  return open_optional (arguments->keys, &outputs->keys)
         && open_optional (arguments->not_run, &outputs->not_run)
         && open_optional (arguments->broken, &outputs->broken)
         && open_optional (arguments->trace, &outputs->trace);
}

static bool
close_output (FILE *out)
{
  return out == NULL || fclose (out) == 0;
}

static bool
write_csv (const GPtrArray *tallies, const char *file)
{
  FILE *out = open_output (file);

  if (out == NULL)
    return false;
  ld_report_csv (tallies, out);
  return fclose (out) == 0;
}

static bool
write_plot (const GPtrArray *tallies, const char *png)
{
  size_t bytes
      = strlen (png) - (g_str_has_suffix (png, ".png") ? strlen (".png") : 0);
  char *file = g_strdup_printf ("%.*s.gp", (int)bytes, png);
  FILE *out = open_output (file);
  bool written = false;

  if (out != NULL)
    {
      ld_report_plot (tallies, png, out);
      written = fclose (out) == 0;
      printf ("run \"gnuplot %s\" to draw %s\n", file, png);
    }
  g_free (file);
  return written;
}

/* Return whether at least one request was sent and none was lost, doubled or
   wrong.  */
static bool
passed (const GPtrArray *tallies)
{
  uint64_t sent = 0;
  uint64_t failed = 0;

  for (guint i = 0; i < tallies->len; i++)
    {
      const struct ld_tally *tally = tallies->pdata[i];

      sent += tally->sent;
      failed += tally->lost + tally->doubled + tally->wrong;
    }
  return sent > 0 && failed == 0;
}

static bool
run (const struct ld_arguments *arguments,
     const struct ld_experiment *experiment)
{
  GPtrArray *tallies = g_ptr_array_new_with_free_func (ld_tally_free);
  struct ld_outputs outputs = { 0 };
  GError *error = NULL;
  bool ok;

  if (!open_outputs (arguments, &outputs))
    return false;
  printf (LD_SEED_LINE, experiment->seed);
  ok = ld_run (experiment, tallies, &outputs, &error);
  ok = close_output (outputs.keys) && ok;
  ok = close_output (outputs.not_run) && ok;
  ok = close_output (outputs.broken) && ok;
  ok = close_output (outputs.trace) && ok;
  if (error != NULL)
    {
      fprintf (stderr, "cowslipload: %s\n", error->message);
      g_error_free (error);
    }
  else
    {
      ld_report_table (tallies, stdout);
      ok = ok && passed (tallies);
      if (arguments->csv != NULL)
        ok = write_csv (tallies, arguments->csv) && ok;
      if (arguments->png != NULL)
        ok = write_plot (tallies, arguments->png) && ok;
    }
  g_ptr_array_free (tallies, TRUE);
  return ok;
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options,
          parse_option,
          "EXPERIMENT",
          "Send the requests of an experiment and report their outcomes."
          "\vSee also: cowslipload check --help, cowslipload call --help, "
          "cowslipload slopes --help, cowslipload baseline --help, "
          "cowslipload figures --help",
          NULL,
          NULL,
          NULL };
  struct ld_arguments arguments = { 0 };
  struct ld_experiment *experiment;
  GError *error = NULL;
  bool ok;

  (void)signal (SIGPIPE, SIG_IGN);
  if (argc > 1 && strcmp (argv[1], "check") == 0)
    return ld_check (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "slopes") == 0)
    return ld_slopes (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "baseline") == 0)
    return bl_main (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "figures") == 0)
    return fig_main (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "call") == 0)
    return ld_call (argc - 1, argv + 1);
  arguments.targets = g_ptr_array_new_with_free_func (g_free);
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  experiment = ld_experiment_load (arguments.experiment, &error);
  if (experiment == NULL)
    {
      fprintf (stderr, "cowslipload: %s\n", error->message);
      return EXIT_FAILURE;
    }
  if (!apply_arguments (experiment, &arguments))
    {
      fprintf (stderr, "cowslipload: missing target, duration or rate\n");
      return EXIT_FAILURE;
    }
  ok = run (&arguments, experiment);
  ld_experiment_free (experiment);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
