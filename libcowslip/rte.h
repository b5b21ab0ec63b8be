#ifndef COWSLIP_RTE_H
#define COWSLIP_RTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Configuration of the gateway: which requests go to which service, and what
   the services are.  */

/* What may be done with a request that may have run.  */
enum rte_kind
{
  RTE_IDEMPOTENT, /* may run more than once */
  RTE_ONCE,       /* runs at most once */
  RTE_STREAM      /* events; runs at most once unless it can be resumed */
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
  uint32_t timeout_ms;   /* longest wait of a caller */
  uint32_t target_ms;    /* latency objective */
  uint32_t gap_ms;       /* longest pause between events; 0: no bound */
  uint32_t priority;     /* 0: most urgent */
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
  uint32_t connections_max; /* per endpoint, of all callers together */
  bool engines;             /* the fields that follow hold */
  uint32_t slots;
  uint32_t weights_mb; /* room for weights and adapters */
  uint32_t adapter_slots;
  double store_loads_per_s; /* what the weight store allows */
  GPtrArray *models;        /* struct rte_model */
  GHashTable *by_name;      /* model name -> struct rte_model */
  uint32_t adapter_mb_max;  /* of all models */
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
bool rte_may_repeat (const struct rte_route *route);

#endif
