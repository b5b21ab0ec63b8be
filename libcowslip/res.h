#ifndef COWSLIP_RES_H
#define COWSLIP_RES_H

#include <stdbool.h>
#include <stdint.h>

#include "flt.h"
#include "prt.h"
#include "rte.h"
#include "tm.h"

/* Model residency for the gateway: decides, from the demand that the instances
   report, which engine loads and unloads which models and adapters.  Used by
   the leader only.  */
struct res_table;

/* Demand for one model or adapter at one instance.  */
struct res_demand
{
  const char *name;   /* MODEL or MODEL/ADAPTER */
  uint32_t arrivals;  /* requests since the last report */
  uint32_t active;    /* sent, no complete response yet */
  uint32_t waiting;   /* waiting for the load */
  uint32_t oldest_ms; /* age of the oldest waiting request */
};

struct res_order
{
  uint64_t id;
  enum prt_order_kind kind;
  const char *endpoint;
  const char *model;
  const char *adapter; /* NULL: the model */
  const char *reason;  /* for the log */
};

struct res_callbacks
{
  /* Send the order; completed by res_order_result.  */
  void (*order) (void *arg, const struct res_order *order);
  /* Read the engine's report into the fleet; completed by
     res_refresh_done.  */
  void (*refresh) (void *arg, const char *endpoint);
  /* Notify all instances.  */
  void (*notice) (void *arg, const char *endpoint, enum flt_notice_kind notice,
                  const char *model, const char *adapter);
  /* Return whether an order may be sent now.  */
  bool (*may_order) (void *arg);
};

struct res_table *res_new (struct tm_service *tm, struct flt_fleet *fleet,
                           const struct res_callbacks *callbacks, void *arg);
void res_free (struct res_table *table);
void res_configure (struct res_table *table, const struct rte_config *config);
void res_start_term (struct res_table *table);
void res_demand_begin (struct res_table *table, const char *instance);
void res_demand_add (struct res_table *table, const char *instance,
                     const struct res_demand *demand);
bool res_has_demand (struct res_table *table, const char *instance,
                     const char *model);
void res_step (struct res_table *table);
void res_order_result (struct res_table *table, uint64_t id,
                       enum prt_order_result result);
void res_refresh_done (struct res_table *table, const char *endpoint_id,
                       bool ok);

#endif
