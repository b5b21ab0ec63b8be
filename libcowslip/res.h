#ifndef COWSLIP_RES_H
#define COWSLIP_RES_H

#include <stdbool.h>
#include <stdint.h>

#include "flt.h"
#include "prt.h"
#include "rte.h"
#include "tm.h"

/* Residency: decides which engine loads and unloads which model or adapter,
   from what callers ask for.  Used by the leader only.  */
struct res_table;

/* What one instance saw of the requests for a model or adapter.  */
struct res_demand
{
  const char *name;   /* MODEL or MODEL/ADAPTER */
  uint32_t arrivals;  /* since its last report */
  uint32_t active;    /* sent and not answered */
  uint32_t waiting;   /* for it to be loaded */
  uint32_t oldest_ms; /* how long the oldest of these has waited */
};

struct res_order
{
  uint64_t id;
  enum prt_order_kind kind;
  const char *endpoint;
  const char *model;
  const char *adapter; /* NULL: the model */
  /* Why: what the decision rested on, for the log.  */
  const char *reason;
};

struct res_callbacks
{
  /* Answered by res_answered.  */
  void (*order) (void *arg, const struct res_order *order);
  /* Read the engine's report and give it to the fleet; answered by
     res_refreshed.  */
  void (*refresh) (void *arg, const char *endpoint);
  /* Tell all instances.  */
  void (*news) (void *arg, const char *endpoint, enum flt_news news,
                const char *model, const char *adapter);
  /* Return whether an order may be sent now.  */
  bool (*may_order) (void *arg);
};

struct res_table *res_new (struct tm_service *tm, struct flt_fleet *fleet,
                           const struct res_callbacks *callbacks, void *arg);
void res_free (struct res_table *table);
void res_configure (struct res_table *table, const struct rte_config *config);
void res_begin (struct res_table *table);
void res_demand_begin (struct res_table *table, const char *instance);
void res_demanded (struct res_table *table, const char *instance,
                   const struct res_demand *demand);
bool res_is_interested (struct res_table *table, const char *instance,
                        const char *model);
void res_step (struct res_table *table);
void res_answered (struct res_table *table, uint64_t id,
                   enum prt_order_result result);
void res_refreshed (struct res_table *table, const char *endpoint_id,
                    bool good);

#endif
