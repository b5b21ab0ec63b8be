#ifndef COWSLIP_RES_IMPL_H
#define COWSLIP_RES_IMPL_H

#include "res.h"

/* Shared by the res*.c files only.  */

#define RES_US_PER_MS UINT64_C (1000)
/* Loads from the weight store at once.  How many it serves at full speed is
   not told (the sheets say 4 and 2); it slows all of them in proportion
   beyond, so the number follows from how long loads take.  */
#define RES_STORE_FIRST 4
#define RES_STORE_MIN   2
#define RES_STORE_MOST  8

enum res_phase
{
  RES_IDLE,
  RES_SENT,     /* an order waits for its answer */
  RES_WORKING,  /* a model is being loaded or unloaded */
  RES_DOUBTFUL, /* an order was not answered */
  RES_FOREIGN   /* an order of an earlier leader is carried out */
};

/* What the leader knows of an engine beside what the engine says.  */
struct res_engine
{
  char *id;
  uint64_t started_ms; /* of the engine's process */
  enum res_phase phase;
  uint64_t phase_us; /* since when */
  /* The order for a model that is sent, carried out or in doubt.  */
  uint64_t order;
  enum prt_order_kind kind;
  char *model;
  bool from_store;
  uint64_t expected_us; /* when the order should be carried out */
  uint64_t next_refresh_us;
  bool refreshing;
  char *unloaded;         /* model whose unload is taken for granted by the
                             load that was ordered after it, or NULL */
  bool tried_early;       /* such a load was refused */
  uint64_t not_before_us; /* after a failed order */
  char *reserved;         /* model for which room is made, or NULL */
  uint64_t reserved_us;
  bool reserved_store; /* it comes from the weight store */
  GArray *incoming;    /* struct res_incoming */
  double crowd;        /* requests per second, as counted by the last step */
  /* As of the count LOOKED: memory that is taken, and the model that costs
     least to unload, which belongs to the report; NULL: none.  */
  uint64_t looked;
  uint32_t used_mb;
  char *victim;
  double victim_ms;
  /* The order for an adapter that waits for its answer; 0: none.  */
  uint64_t adapter_order;
  enum prt_order_kind adapter_kind;
  char *adapter_model;
  char *adapter;
};

/* An adapter on its way to an engine.  */
struct res_incoming
{
  char *model;
  char *adapter;
  uint64_t ready_us;
};

/* All requests for a model or an adapter.  */
struct res_item
{
  char *name; /* MODEL or MODEL/ADAPTER */
  char *model;
  char *adapter; /* NULL: the model itself */
  double rate;   /* requests per second, exponentially averaged */
  uint64_t rate_us;
  uint64_t used_us; /* last request */
  uint64_t told_us; /* last repetition of news */
  /* Sums over the instances.  */
  uint32_t active;
  uint32_t waiting;
  uint64_t waiting_since_us;
};

/* The last report of one instance about one item.  */
struct res_share
{
  struct res_item *item;
  uint32_t active;
  uint32_t waiting;
  uint64_t waiting_since_us;
};

struct res_instance
{
  GArray *shares; /* struct res_share */
  uint64_t heard_us;
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
  uint32_t store_max;    /* loads from the weight store at once */
  GHashTable *replicas;  /* model -> engines that hold it, of the last step */
  GHashTable *under_way; /* set of models that are loaded or kept for */
  uint64_t counts;       /* how often replicas were counted */
  GPtrArray *nobody;     /* an empty list of engines */
  GHashTable *copies;    /* model -> engines that have one */
  bool copies_known;     /* COPIES is of this step */
  uint64_t ahead_us;     /* when to look for models without a copy again */
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
void res_repeat_ready (struct res_table *table, struct res_item *item,
                       const struct flt_endpoint *endpoint);

/* res_replica.c */
bool res_serves (struct res_table *table, const struct rte_service *service,
                 const struct flt_endpoint *endpoint);
uint32_t res_replicas (const struct res_table *table, const char *model);
bool res_is_under_way (const struct res_table *table, const char *model);
void res_count_replicas (struct res_table *table,
                         const struct rte_service *service);
GPtrArray *res_holders (struct res_table *table,
                        const struct rte_service *service, const char *model);

/* res_room.c */
const char *res_loads (const struct res_engine *engine);
uint32_t res_used_mb (struct res_table *table,
                      const struct rte_service *service,
                      struct flt_endpoint *endpoint);
bool res_sent_adapter (const struct res_engine *engine, const char *model,
                       const char *adapter);
uint32_t res_adapters (struct res_table *table, struct flt_endpoint *endpoint);
uint32_t res_load_ms (const struct flt_endpoint *endpoint,
                      const struct rte_model *model, bool *from_store);

/* res_engine.c */
struct res_engine *res_engine (struct res_table *table,
                               struct flt_endpoint *endpoint);
void res_engine_free (gpointer data);
void res_release (struct res_engine *engine);
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
