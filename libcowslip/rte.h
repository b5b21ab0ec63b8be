#ifndef COWSLIP_RTE_H
#define COWSLIP_RTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* The gateway's configuration: routes from host and path to services, and the
   services with their models.  */

/* How often a request of a route may run.  */
enum rte_kind
{
  RTE_IDEMPOTENT,   /* may run more than once */
  RTE_AT_MOST_ONCE, /* runs at most once */
  RTE_STREAM        /* event stream; at most once unless it can be resumed */
};

struct rte_target
{
  char *service;
  uint32_t weight;
};

struct rte_route
{
  char *name;
  char *host;
  char *prefix; /* of the path; begins and ends with a slash */
  enum rte_kind kind;
  bool resumable;
  bool sticky;           /* requests share prompt prefixes */
  uint32_t timeout_ms;   /* total time limit of a request */
  uint32_t target_ms;    /* latency objective */
  uint32_t gap_ms;       /* maximum gap between events; 0: unlimited */
  uint32_t priority;     /* 0 is the highest */
  uint32_t attempts_max; /* endpoints on which one request may run */
  GArray *targets;       /* struct rte_target */
};

struct rte_model
{
  char *name;
  uint32_t weights_mb;
  uint32_t adapter_mb;
  uint32_t adapters; /* named a1, a2, ... */
  /* Load times from the weight store, the engine's disk and its host
     memory.  */
  uint32_t store_ms;
  uint32_t disk_ms;
  uint32_t memory_ms;
};

struct rte_service
{
  char *name;
  uint32_t connections_max; /* per endpoint, over all callers */
  bool engines;             /* serves models; the members below are valid */
  uint32_t slots;
  uint32_t weights_mb; /* capacity for weights and adapters */
  uint32_t adapter_slots;
  double store_loads_per_s; /* rate limit of the weight store */
  GPtrArray *models;        /* struct rte_model */
  GHashTable *by_name;      /* model name -> struct rte_model */
  uint32_t adapter_mb_max;  /* largest of all models */
};

struct rte_config
{
  uint32_t references;
  uint64_t version;
  GPtrArray *routes;   /* struct rte_route */
  GPtrArray *services; /* struct rte_service */
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
};

struct rte_config *rte_config_new (void);
struct rte_config *rte_config_ref (struct rte_config *config);
void rte_config_unref (struct rte_config *config);
struct rte_route *rte_route_new (void);
struct rte_service *rte_service_new (void);
void rte_model_free (gpointer data);
void rte_add_model (struct rte_service *service, struct rte_model *model);
const struct rte_route *rte_match (const struct rte_config *config,
                                   const char *host, const char *target);
const char *rte_pick_service (const struct rte_route *route, double draw);
const struct rte_service *rte_service (const struct rte_config *config,
                                       const char *name);
const struct rte_model *rte_model (const struct rte_service *service,
                                   const char *name);
bool rte_may_retry (const struct rte_route *route);

#endif
