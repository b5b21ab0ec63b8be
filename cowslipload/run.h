#ifndef COWSLIPLOAD_RUN_H
#define COWSLIPLOAD_RUN_H

#include <stdio.h>

#include <uv.h>

#include "arrivals.h"
#include "http_client.h"
#include "reply.h"
#include "tally.h"
#include "targets.h"
#include "tm_uv.h"

#define LD_KEY_BYTES 48

/* A run of an experiment: sends its requests and verifies the answers.  */

/* The calls with one idempotency key and their results.  */
struct ld_key
{
  char text[LD_KEY_BYTES];
  uint64_t run;   /* run number in the first answer, 0: none */
  uint32_t sends; /* calls with this key, without resends */
  uint32_t not_run;
};

/* Per-request output files for later checks.  NULL: not written.  */
struct ld_outputs
{
  FILE *keys;    /* results for each idempotency key */
  FILE *not_run; /* seeds of model requests refused as not run */
  FILE *broken; /* time, target and sent or unsent, for each lost connection */
  FILE *trace;  /* one line per request */
};

/* An experiment in progress.  */
struct ld_run
{
  const struct ld_experiment *experiment;
  uv_loop_t loop;
  struct tm_uv driver;
  struct tm_service *tm;
  struct http_client *client;
  uv_signal_t interrupt;
  gsl_rng *random;
  struct ld_arrivals *arrivals;
  GPtrArray *tallies;
  const struct ld_outputs *outputs;
  struct ld_targets *targets;
  GHashTable *keys; /* struct ld_key by text */
  uint64_t start_us;
  uint64_t next_arrival_us;
  const struct ld_mix *next_mix;
  struct tm_timer arrival;
  struct tm_timer progress;
  uint64_t serial;
  uint64_t sent;
  uint64_t in_flight;
  uint64_t not_sent; /* dropped because in_flight_max was reached */
  bool arrivals_done;
};

/* A request with all its attempts.  */
struct ld_request
{
  struct ld_run *run;
  const struct ld_mix *mix;
  struct ld_tally *tally;
  const char *name; /* name of the model or service */
  char *path;
  char *body;
  uint64_t seed; /* seed of the expected text */
  uint32_t tokens;
  bool is_long;        /* has long_factor times more tokens */
  const char *outcome; /* NULL: lost */
  struct ld_key *key;  /* NULL: none */
  uint64_t due_us;     /* planned arrival */
  uint64_t last_token_us;
  double first_token_ms;
  uint32_t tokens_received;
  guint target;
  uint32_t attempts;
  struct ld_reply reply;
  struct tm_timer resend;
};

bool ld_run (const struct ld_experiment *experiment, GPtrArray *tallies,
             const struct ld_outputs *outputs, GError **error);
void ld_run_stop_if_done (struct ld_run *run);

struct ld_request *ld_request_new (struct ld_run *run,
                                   const struct ld_mix *mix, uint64_t due_us);
struct ld_request *ld_request_repeat (const struct ld_request *first);
void ld_request_send (struct ld_request *request);

const char *ld_verify (struct ld_request *request);

#endif
