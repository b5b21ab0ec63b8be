#ifndef COWSLIP_ENV_H
#define COWSLIP_ENV_H

/* Parses and checks environment documents: the pools, models, adapters and
   services of one environment, its request classes and its limits.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define ENV_DIGEST_CHARS       16
#define ENV_DOCUMENT_MAX_BYTES (700U * 1000U)

#define ENV_ERROR (env_error_quark ())

enum env_error
{
  ENV_ERROR_SYNTAX,
  ENV_ERROR_VALUE,
  ENV_ERROR_TOO_LARGE
};

/* Deadline, latency objectives and priority of one class of requests.  */
struct env_class
{
  char *name;
  uint32_t deadline_ms;       /* for the complete response, from arrival */
  uint32_t first_token_ms;    /* 0: no objective */
  uint32_t between_tokens_ms; /* 0: no objective */
  uint32_t expected_ms; /* usual duration; slower requests are stragglers */
  int32_t priority;     /* higher is served first */
};

/* One endpoint of a pool or service.  */
struct env_endpoint
{
  char *address; /* "IP:PORT" */
  char *zone;
  char *environment; /* NULL: belongs to every environment */
};

/* A pool of engines of the same kind.  */
struct env_pool
{
  char *name;
  uint64_t memory_bytes; /* of each engine */
  uint32_t batch;        /* requests that an engine runs concurrently */
  bool checks_fencing;
  bool can_resume;
  GPtrArray *endpoints; /* struct env_endpoint */
};

/* Maximum number of replicas of a model in one zone.  */
struct env_budget
{
  char *zone;
  uint32_t replicas;
};

struct env_model
{
  char *name;
  char *version;
  const struct env_pool *pool;
  const struct env_class *default_class;
  uint64_t bytes;
  uint64_t adapter_bytes; /* reserved with each replica */
  uint32_t keep_alive_min_ms;
  uint32_t keep_alive_max_ms;
  GPtrArray *budgets; /* struct env_budget */
};

struct env_adapter
{
  char *name;
  char *version;
  const struct env_model *model;
  uint64_t bytes;
};

/* A service that is not a model engine.  */
struct env_service
{
  char *name;
  const struct env_class *default_class;
  bool repeatable; /* all methods are safe to retry; GET and HEAD always are */
  bool deduplicates;    /* the service itself honours Idempotency-Key */
  GPtrArray *endpoints; /* struct env_endpoint */
};

struct env_limits
{
  uint32_t waiting_max;       /* requests waiting in one instance */
  uint32_t retry_percent;     /* retries and hedges per 100 requests */
  uint32_t adapter_loads_max; /* in flight across all engines */
  uint32_t weight_loads_max;  /* fetches from the weight store in flight */
};

/* A parsed environment document, immutable and reference-counted.  */
struct env_document;

GQuark env_error_quark (void);
struct env_document *env_parse (const char *text, size_t bytes,
                                GError **error);
struct env_document *env_parse_for (const char *text, size_t bytes,
                                    const char *environment, GError **error);
struct env_document *env_ref (struct env_document *document);
void env_unref (struct env_document *document);

const char *env_name (const struct env_document *document);
const char *env_text (const struct env_document *document, size_t *bytes);
const char *env_digest (const struct env_document *document);
const struct env_limits *env_limits (const struct env_document *document);
const struct env_class *env_class (const struct env_document *document,
                                   const char *name);
const struct env_pool *env_pool (const struct env_document *document,
                                 const char *name);
const struct env_model *env_model (const struct env_document *document,
                                   const char *name);
const struct env_adapter *env_adapter (const struct env_document *document,
                                       const char *name);
const struct env_service *env_service (const struct env_document *document,
                                       const char *name);
const GPtrArray *env_pools (const struct env_document *document);
const GPtrArray *env_models (const struct env_document *document);
const GPtrArray *env_adapters (const struct env_document *document);
const GPtrArray *env_services (const struct env_document *document);
const GPtrArray *env_zones (const struct env_document *document);
uint32_t env_budget (const struct env_model *model, const char *zone);

#endif
