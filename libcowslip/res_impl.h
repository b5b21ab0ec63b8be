#ifndef COWSLIP_RES_IMPL_H
#define COWSLIP_RES_IMPL_H

#include "res.h"

/* Shared by the res*.c files only.  */

#define RES_US_PER_MS UINT64_C (1000)
/* Concurrent loads from the weight store.  How many the store serves at full
   speed depends on the platform (2 or 4) and is not configured; above that it
   slows all loads in proportion, so the limit is adjusted to how long loads
   take.  */
#define RES_STORE_LOADS_INITIAL 4
#define RES_STORE_LOADS_MIN     2
#define RES_STORE_LOADS_MAX     8

enum res_phase
{
  RES_IDLE,
  RES_SENT,        /* an order was sent and has no response yet */
  RES_EXECUTING,   /* an accepted order is in progress */
  RES_UNCONFIRMED, /* an order got no response */
  RES_INHERITED    /* an order of an earlier leader is in progress */
};

/* The leader's state of an engine.  */
struct res_engine
{
  char *id;
  uint64_t started_ms; /* of the engine's process */
  enum res_phase phase;
  uint64_t phase_us; /* start of the phase */
  /* The order for a model that is sent, in progress or unconfirmed.  */
  uint64_t order;
  enum prt_order_kind kind;
  char *model;
  bool from_store;
  uint64_t expected_us; /* estimated completion of the order */
  uint64_t next_refresh_us;
  bool refreshing;
  uint64_t verified_us;   /* last report read because requests still waited */
  char *assumed_unloaded; /* model whose unload is assumed complete by the
                             load that was ordered after it, or NULL */
  bool early_attempted;   /* a load was ordered early during this unload */
  uint64_t not_before_us; /* backoff after a failed order */
  char *reserved;         /* model for which the engine is reserved, or
                             NULL */
  uint64_t reserved_us;
  bool reserved_store; /* that model comes from the weight store */
  GArray *incoming;    /* struct res_incoming */
  double request_rate; /* per second, as of the last step */
  /* As of USAGE_GENERATION: used memory, and the model that costs least to
     evict, a string of the report, or NULL if there is none.  */
  uint64_t usage_generation;
  uint32_t used_mb;
  char *victim;
  double victim_ms;         /* cost of evicting it */
  uint32_t victim_replicas; /* of it, on which that cost is based */
  /* The order for an adapter that has no response yet; 0: none.  */
  uint64_t adapter_order;
  enum prt_order_kind adapter_kind;
  char *adapter_model;
  char *adapter;
};

/* An adapter that an engine is fetching.  */
struct res_incoming
{
  char *model;
  char *adapter;
  uint64_t ready_us;
};

/* Total demand for a model or adapter.  */
struct res_item
{
  char *name; /* MODEL or MODEL/ADAPTER */
  char *model;
  char *adapter; /* NULL: the model itself */
  double rate;   /* requests per second, exponential moving average */
  uint64_t rate_us;
  double recent_rate; /* the same over a shorter time */
  /* Both, decayed to the time of this step.  */
  double step_rate;
  double step_recent_rate;
  uint64_t used_us;     /* last request */
  uint64_t notified_us; /* last repeated notice */
  /* Sums over the instances.  */
  uint32_t active;
  uint32_t waiting;
  uint64_t waiting_since_us;
};

/* Demand for an item in the last report of one instance.  */
struct res_report
{
  struct res_item *item;
  uint32_t active;
  uint32_t waiting;
  uint64_t waiting_since_us;
};

struct res_instance
{
  GArray *reports; /* struct res_report */
  uint64_t reported_us;
};

struct res_table
{
  struct tm_service *tm;
  struct flt_fleet *fleet;
  struct res_callbacks callbacks;
  void *arg;
  const struct rte_config *config;
  GHashTable *engines;   /* id -> struct res_engine */
  GHashTable *items;     /* name -> struct res_item */
  GHashTable *instances; /* name -> struct res_instance */
  uint64_t next_order;
  uint32_t store_max;    /* limit of concurrent loads from the weight store */
  GPtrArray *available;  /* usable engines of the service, for this step */
  GHashTable *replicas;  /* model -> those of them that hold it (GPtrArray) */
  GHashTable *pending;   /* model -> number of engines that load it or are
                            reserved for it */
  uint64_t generation;   /* incremented when replicas are counted */
  GPtrArray *no_engines; /* empty list, for models without a copy */
  GHashTable *copies;    /* model -> engines with a copy (GPtrArray) */
  bool copies_valid;     /* COPIES is valid for this step */
  uint64_t next_prefetch_us; /* next search for models without a copy */
  uint32_t store_searches;   /* in this step; see RES_STORE_SEARCHES_MAX */
};

static inline uint64_t
res_now (const struct res_table *table)
{
  return tm_now_us (table->tm);
}

/* res_demand.c */
void res_sum_demand (struct res_table *table);
double res_rate (const struct res_table *table, const char *name);
struct res_item *res_item (struct res_table *table, const char *name);
void res_notify_again (struct res_table *table, struct res_item *item,
                       struct flt_endpoint *endpoint);

/* res_replica.c */
bool res_is_available (struct res_table *table,
                       const struct rte_service *service,
                       const struct flt_endpoint *endpoint);
uint32_t res_replicas (const struct res_table *table, const char *model);
const GPtrArray *res_replica_holders (const struct res_table *table,
                                      const char *model);
void res_replica_evicted (struct res_table *table,
                          struct flt_endpoint *endpoint, const char *model);
uint32_t res_pending (const struct res_table *table, const char *model);
void res_add_pending (struct res_table *table, const char *model);
void res_count_replicas (struct res_table *table,
                         const struct rte_service *service);
GPtrArray *res_copy_holders (struct res_table *table, const char *model);

/* res_capacity.c */
const char *res_loading_model (const struct res_engine *engine);
uint32_t res_used_mb (struct res_table *table,
                      const struct rte_service *service,
                      struct flt_endpoint *endpoint);
bool res_adapter_ordered (const struct res_engine *engine, const char *model,
                          const char *adapter);
uint32_t res_adapter_count (struct res_table *table,
                            struct flt_endpoint *endpoint);
uint32_t res_load_ms (const struct flt_endpoint *endpoint,
                      const struct rte_model *model, bool *from_store);

/* res_engine.c */
struct res_engine *res_engine (struct res_table *table,
                               struct flt_endpoint *endpoint);
void res_engine_free (gpointer data);
void res_clear_reservation (struct res_engine *engine);
void res_refresh (struct res_table *table, struct res_engine *engine);
struct flt_endpoint *res_endpoint (struct res_table *table,
                                   const struct res_engine *engine);
uint32_t res_store_loads (struct res_table *table);
void res_engine_step (struct res_table *table, struct res_engine *engine);
bool res_can_order (const struct res_table *table,
                    const struct res_engine *engine,
                    const struct flt_endpoint *endpoint);
bool res_may_load_early (struct res_table *table,
                         const struct rte_service *service,
                         struct flt_endpoint *endpoint);
void res_load_early (struct res_table *table, struct res_engine *engine);
void res_order_model (struct res_table *table, struct res_engine *engine,
                      enum prt_order_kind kind, const char *model,
                      const char *reason);
void res_order_adapter (struct res_table *table, struct res_engine *engine,
                        enum prt_order_kind kind, const char *model,
                        const char *adapter, const char *reason);

/* res_model.c */
void res_step_models (struct res_table *table,
                      const struct rte_service *service);

/* res_adapter.c */
void res_step_adapters (struct res_table *table,
                        const struct rte_service *service);

#endif
