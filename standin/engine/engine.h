#ifndef STANDIN_ENGINE_ENGINE_H
#define STANDIN_ENGINE_ENGINE_H

#include <stdio.h>

#include <gsl/gsl_rng.h>

#include "standin.h"

/* Stand-in for a model engine: it loads models and adapters within a memory
   limit, generates tokens by continuous batching, obeys orders with fencing
   numbers, and records what it did for the checker.  Memory, times and rates
   are simulated.  */

#define ENG_ID_BYTES 64

/* Command-line options; they apply to all engines of the process.  */
struct eng_options
{
  const char *address;
  const char *weights_address; /* NULL: load times follow from remote_rate */
  const char *log_file;        /* NULL: none */
  const char *crash_on;        /* initial value of the fault */
  uint32_t count;              /* number of engines, on consecutive ports */
  uint64_t memory_bytes;
  uint64_t host_bytes;  /* capacity of the checkpoint cache in host memory */
  uint64_t disk_bytes;  /* capacity of the checkpoint cache on disk */
  uint64_t memory_rate; /* bytes/s from host memory */
  uint64_t disk_rate;
  uint64_t remote_rate;
  uint32_t batch; /* requests in a batch at most */
  uint32_t waiting_max;
  uint32_t token_ms;   /* duration of a step of the batch */
  uint32_t prefill_ms; /* time to first token */
  uint32_t report_lag_ms;
  uint32_t cache_lag_ms;
  uint32_t cache_gap_percent; /* lost cache events */
  uint32_t adapter_ms;        /* load time; 0: random, 5 to 14 ms */
  uint32_t unload_ms;
  uint32_t records_max;
  uint32_t seed;
  bool adapters_from_store; /* the weight store determines load times */
  bool check_fencing;
  bool accept_overcommit; /* record it instead of refusing the load */
  bool resume_own_only;   /* refuse to resume requests of other engines */
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

/* A model that occupies memory of the engine.  */
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
  uint64_t ready_us; /* estimated end of the load */
  uint64_t serial;   /* detects a model that was replaced during a fetch */
  uint32_t running;  /* requests */
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
  GPtrArray *callers; /* exchanges awaiting the load */
};

/* A checkpoint in the cache, which holds the most recently loaded first.  */
struct eng_checkpoint
{
  char *name;
  char *version;
  uint64_t bytes;
  enum eng_tier tier;
};

/* A request for a completion.  */
struct eng_request
{
  struct engine *engine;
  struct http_exchange *exchange;
  char id[ENG_ID_BYTES];
  struct eng_model *model;
  char *name; /* requested model or adapter */
  char *name_json;
  char *prompt;
  uint64_t seed;
  uint32_t max_tokens;
  uint32_t next;  /* index of the next token */
  uint32_t first; /* index of the first token of the response */
  int32_t priority;
  uint64_t order; /* of arrival */
  uint64_t arrived_us;
  uint64_t prefilled_us; /* end of the prefill */
  bool chat;
  bool stream;
  bool started;
  GString *text;          /* tokens of a response that is not streamed */
  GSequenceIter *waiting; /* position in the queue, NULL once started */
};

/* Records for GET /records; each list has up to records_max entries.  */
struct eng_records
{
  struct json_object *orders;
  struct json_object *changes; /* state changes of models */
  struct json_object *runs;
  struct json_object *overcommits;
  uint64_t dropped; /* entries that exceeded records_max */
  uint64_t refused_memory;
  uint64_t stale_orders;
  uint64_t used_peak_bytes;
  uint64_t models_peak;
  uint64_t leaving_us;            /* when the fault was set, 0: not set */
  uint64_t after_leaving;         /* requests received since then */
  uint64_t last_after_leaving_ms; /* time from then to the last of them */
  uint64_t unloads_while_busy;
};

struct engine
{
  struct stand_host *host;
  const struct eng_options *options;
  struct stand_faults faults;
  struct eng_records records;
  FILE *log; /* NULL: none */
  gsl_rng *rng;
  char incarnation[17];
  char address[64];
  uint64_t fence; /* highest fencing number seen */
  uint64_t serial;
  GHashTable *models;   /* by name */
  GHashTable *adapters; /* by name */
  GQueue cached;        /* struct eng_checkpoint */
  GPtrArray *running;   /* struct eng_request */
  GSequence *waiting;   /* struct eng_request */
  struct tm_timer step_timer;
  uint32_t steps;
  GString *scratch;        /* output buffer */
  GHashTable *resume_seed; /* seed by request id */
  GQueue resume_order;     /* request ids, oldest first */
  GQueue snapshots;        /* oldest first */
  struct tm_timer snapshot_timer;
  GHashTable *prefixes; /* hashes of the cached prompt prefixes */
  GQueue prefix_order;  /* oldest first */
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
