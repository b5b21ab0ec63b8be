#ifndef COWSLIPLOAD_EXPERIMENT_H
#define COWSLIPLOAD_EXPERIMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_randist.h>

#define LD_ERROR (ld_error_quark ())

enum ld_kind
{
  LD_COMPLETION,
  LD_CHAT,
  LD_SERVICE
};

enum ld_arrival_kind
{
  LD_POISSON,
  LD_BURST,
  LD_SWING,
  LD_REPLAY
};

/* Description of an experiment: arrivals, request mix, targets and limits.  */

/* Arrival process.  Rates are in requests per second.  */
struct ld_arrival
{
  enum ld_arrival_kind kind;
  double rate;
  uint32_t burst; /* requests per burst */
  uint32_t every_ms;
  double factor; /* peak rate / rate of a swing */
  double at_s;
  double rise_s;
  double hold_s;
  char *file; /* replay file */
};

/* A kind of request in the mix.  */
struct ld_mix
{
  char *name;
  char *class_name; /* NULL: the model's default class */
  char *tally;      /* name of the class in the report */
  enum ld_kind kind;
  double weight;
  GPtrArray *names; /* models, adapters or services */
  double skew;      /* exponent of the popularity distribution, 0: uniform */
  gsl_ran_discrete_t *popularity;
  uint32_t tokens_min;
  uint32_t tokens_max;
  double long_percent; /* requests with long_factor times more tokens */
  uint32_t long_factor;
  uint32_t prompt_bytes;
  uint32_t prefixes; /* number of shared prompt prefixes, 0: none shared */
  bool stream;
  char *method;
  char *path;
  bool key;              /* send an Idempotency-Key header */
  double repeat_percent; /* calls sent twice with the same key */
  char *marker;          /* text added to marker_percent of the prompts */
  double marker_percent;
  uint32_t deadline_ms;
};

/* An experiment read from a file.  */
struct ld_experiment
{
  uint64_t seed;
  double duration_s;
  uint32_t requests_max;
  uint32_t in_flight_max;
  bool resend;
  bool follow_ready;  /* send only to targets that report ready */
  GPtrArray *targets; /* "IP:PORT" */
  struct ld_arrival arrival;
  GPtrArray *mix; /* struct ld_mix */
};

GQuark ld_error_quark (void);
struct ld_experiment *ld_experiment_load (const char *file, GError **error);
struct ld_experiment *ld_experiment_parse (const char *text, GError **error);
void ld_experiment_free (struct ld_experiment *experiment);

#endif
