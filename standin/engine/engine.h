#ifndef STANDIN_ENGINE_ENGINE_H
#define STANDIN_ENGINE_ENGINE_H

#include <stdio.h>

#include <gsl/gsl_rng.h>

#include "standin.h"

#define ENG_ID_BYTES 64

/* How the engines of this process behave; set by options.  */
struct eng_options
{
  const char *address;
  const char *weights_address; /* NULL: remote loads take bytes/remote_rate */
  const char *log_file;        /* NULL: none */
  const char *crash_on;        /* first value of the fault */
  uint32_t count;              /* engines, on consecutive ports */
  uint64_t memory_bytes;
  uint64_t host_bytes;  /* checkpoints kept in host memory */
  uint64_t disk_bytes;  /* checkpoints kept on disk */
  uint64_t memory_rate; /* bytes/s from host memory */
  uint64_t disk_rate;
  uint64_t remote_rate;
  uint32_t batch;
  uint32_t waiting_max;
  uint32_t token_ms;
  uint32_t prefill_ms;
  uint32_t report_lag_ms;
  uint32_t cache_lag_ms;
  uint32_t cache_gap_percent;
  uint32_t adapter_ms; /* 0: 5 to 14 ms at random */
  uint32_t unload_ms;
  uint32_t records_max;
  uint32_t seed;
  bool adapters_from_store; /* load time depends on loads of all engines */
  bool check_fencing;
  bool accept_overcommit;
  bool resume_own_only;
};

enum eng_state
{
  ENG_LOADING,
  ENG_LOADED,
  ENG_UNLOADING
};

enum eng_tier
{
  ENG_TIER_HOST_MEMORY,
  ENG_TIER_DISK,
  ENG_TIER_REMOTE
};

struct engine;

/* A model that uses this engine's memory.  */
struct eng_model
{
  struct engine *engine;
  char *name;
  char *version;
  uint64_t bytes;
  uint64_t adapter_bytes; /* reserved for adapters */
  enum eng_state state;
  enum eng_tier tier;
  struct tm_timer timer;
  uint64_t ready_us; /* estimate while loading */
  uint64_t serial;
  uint32_t running;
};

struct eng_adapter
{
  struct engine *engine;
  char *name;
  char *model;
  char *version;
  uint64_t bytes;
  bool loaded;
  struct tm_timer timer;
  uint64_t serial;
  GPtrArray *callers; /* exchanges that wait for the load */
};

/* A checkpoint kept in host memory or on disk, most recent first.  */
struct eng_checkpoint
{
  char *name;
  char *version;
  uint64_t bytes;
  enum eng_tier tier;
};

/* One request of a caller.  */
struct eng_request
{
  struct engine *engine;
  struct http_exchange *exchange;
  char id[ENG_ID_BYTES];
  struct eng_model *model;
  char *name; /* model or adapter as the caller named it */
  char *name_json;
  char *prompt;
  uint64_t seed;
  uint32_t max_tokens;
  uint32_t next;  /* token */
  uint32_t first; /* token of this answer */
  int32_t priority;
  uint64_t order;
  uint64_t arrived_us;
  uint64_t prefilled_us;
  bool chat;
  bool stream;
  bool started; /* runs */
  GString *text;
  GSequenceIter *waiting;
};

/* Lists that GET /records shows, each up to records_max long.  */
struct eng_records
{
  struct json_object *orders;
  struct json_object *changes; /* of the models' states */
  struct json_object *runs;
  struct json_object *overcommits;
  uint64_t dropped; /* did not fit */
  uint64_t refused_memory;
  uint64_t stale_orders;
  uint64_t used_peak_bytes;
  uint64_t models_peak;
  uint64_t leaving_us;
  uint64_t after_leaving;         /* requests */
  uint64_t last_after_leaving_ms; /* the latest of them */
  uint64_t unloads_while_busy;
};

struct engine
{
  struct stand_host *host;
  const struct eng_options *options;
  struct stand_faults faults;
  struct eng_records records;
  FILE *log; /* NULL: none */
  gsl_rng *random;
  char incarnation[17];
  char address[64];
  uint64_t fence;
  uint64_t serial;
  GHashTable *models;   /* by name */
  GHashTable *adapters; /* by name */
  GQueue cached;
  GPtrArray *running;
  GSequence *waiting;
  struct tm_timer step;
  uint32_t steps;
  GString *scratch;
  GHashTable *seen; /* seed by request id, for resume_from */
  GQueue seen_order;
  GQueue reports;
  struct tm_timer report_timer;
  GHashTable *prefixes;
  GQueue prefix_order;
  GQueue cache_events;
  uint64_t cache_sequence;
};

void eng_init (struct engine *engine, struct stand_host *host,
               const struct eng_options *options, uint32_t index);
void eng_handle (void *arg, struct http_exchange *exchange);

uint64_t eng_used_bytes (const struct engine *engine);
struct eng_model *eng_model (const struct engine *engine, const char *name);
struct eng_model *eng_model_find_serving (const struct engine *engine,
                                          const char *name);
uint16_t eng_model_load (struct engine *engine, struct json_object *order);
uint16_t eng_model_unload (struct engine *engine, const char *name);
void eng_model_finish_unload (struct eng_model *model);
bool eng_check_memory (struct engine *engine, uint64_t more_bytes);

struct eng_checkpoint *eng_checkpoint (struct engine *engine, const char *name,
                                       const char *version);
void eng_cache_put (struct engine *engine, const struct eng_model *model);

void eng_adapter_load (struct engine *engine, struct http_exchange *exchange,
                       struct json_object *order);
uint16_t eng_adapter_unload (struct engine *engine, const char *name);
void eng_adapters_unload_all (struct engine *engine, const char *model);
uint64_t eng_adapters_bytes (const struct engine *engine, const char *model);

bool eng_order_handle (struct engine *engine, struct http_exchange *exchange);
struct json_object *eng_state_json (const struct engine *engine);

void eng_generate (struct engine *engine, struct http_exchange *exchange,
                   bool chat);
void eng_refuse (struct http_exchange *exchange, uint16_t status,
                 const char *message);
void eng_enqueue (struct eng_request *request);
void eng_request_free (struct eng_request *request);

void eng_write_token (struct eng_request *request, const char *token);
void eng_write_end (struct eng_request *request);

bool eng_resume_allowed (const struct engine *engine, const char *id,
                         uint64_t seed);
void eng_resume_record (struct engine *engine,
                        const struct eng_request *request);

void eng_snapshots_start (struct engine *engine);
void eng_report_serve (struct engine *engine, struct http_exchange *exchange);
bool eng_prefix_use (struct engine *engine, const struct eng_request *request);
void eng_cache_events_serve (struct engine *engine,
                             struct http_exchange *exchange);

void eng_record (struct engine *engine, struct json_object *list,
                 const char *name, struct json_object *entry);
void eng_log (struct engine *engine, const char *list,
              struct json_object *entry);
void eng_log_start (struct engine *engine);
void eng_log_request (const struct eng_request *request, const char *kind);
void eng_records_init (struct eng_records *records);
void eng_record_state (struct engine *engine, const char *model,
                       const char *state);
void eng_record_run (struct eng_request *request, const char *outcome);
void eng_records_serve (struct engine *engine, struct http_exchange *exchange);

#endif
