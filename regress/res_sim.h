#ifndef REGRESS_RES_SIM_H
#define REGRESS_RES_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "res.h"

/* A simulation of engines that load and unload models as the platform
   specifies, and of the leader that decides on their loads, on a simulated
   clock.  */

#define RSM_US_PER_MS UINT64_C (1000)

struct rsm_engine
{
  char *name;
  char *zone;
  uint64_t started_ms;
  uint64_t orders; /* accepted */
  struct flt_weights resident;
  bool busy;
  enum prt_order_kind kind;
  char *model;
  uint64_t end_us;  /* of the order in progress */
  GArray *incoming; /* struct rsm_incoming */
  bool leaving;
};

struct rsm_incoming
{
  char *model;
  char *adapter;
  uint64_t end_us;
};

/* Percentages of orders that fail.  */
struct rsm_faults
{
  uint32_t reply_lost; /* executed, reply lost */
  uint32_t delayed;    /* reply lost, executed 2 to 12 s later */
};

struct rsm
{
  struct tm_service *tm;
  gsl_rng *random;
  struct rte_config *config;
  struct rte_service *service;
  struct flt_fleet *fleet; /* as known to the leader */
  struct res_table *res;
  GPtrArray *engines; /* struct rsm_engine */
  struct rsm_faults faults;
  uint32_t store_slowdown; /* factor of load times from the weight store */
  struct tm_timer step;
  GHashTable *messages; /* set of messages in transit */
  bool may_order;
  uint32_t term; /* of the leader; replies to earlier terms are dropped */
  /* Orders that exceeded the capacity of an engine; must stay 0.  */
  uint32_t over_capacity;
  /* Start times of loads from the weight store, in microseconds.  */
  GArray *store_loads; /* uint64_t */
  uint32_t loads;
  uint32_t unloads;
};

/* Sizes of a large fleet.  The first COPIED models have copies on disks.  */
struct rsm_sizes
{
  uint32_t engines;
  uint32_t models;
  uint32_t copied;
};

/* Models that each engine of a large fleet holds.  */
#define RSM_LARGE_LOADED 3

struct rsm *rsm_new_large (const struct rsm_sizes *sizes);
const char *rsm_model_name (uint32_t model);
struct rsm *rsm_new (uint64_t seed, uint32_t weights_mb,
                     uint32_t adapter_slots);
void rsm_free (struct rsm *sim);
void rsm_add_model (struct rsm *sim, const char *name, uint32_t weights_mb,
                    uint32_t adapters);
struct rsm_engine *rsm_add_engine (struct rsm *sim, const char *name,
                                   const char *zone);
struct rsm_engine *rsm_find_engine (struct rsm *sim, const char *name);
void rsm_set_loaded (struct rsm_engine *engine, const char *model);
void rsm_add_disk_copy (struct rsm_engine *engine, const char *model);
void rsm_restart (struct rsm *sim, struct rsm_engine *engine);
void rsm_announce (struct rsm *sim, struct rsm_engine *engine);
void rsm_take_over (struct rsm *sim);
void rsm_advance (struct rsm *sim, uint64_t ms);
bool rsm_is_available (struct rsm *sim, const char *model,
                       const char *adapter);

#endif
