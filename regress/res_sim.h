#ifndef REGRESS_RES_SIM_H
#define REGRESS_RES_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "res.h"

/* Engines that load and unload models as the users' platform describes it, and
   a leader that decides about them, on a clock driven by hand.  */

#define RSM_US_PER_MS UINT64_C (1000)

struct rsm_engine
{
  char *name;
  char *zone;
  uint64_t started_ms;
  uint64_t orders; /* accepted */
  struct flt_weights held;
  bool busy;
  enum prt_order_kind kind;
  char *model;
  uint64_t end_us;  /* of the order under way */
  GArray *incoming; /* struct rsm_incoming */
  bool leaving;
};

struct rsm_incoming
{
  char *model;
  char *adapter;
  uint64_t end_us;
};

/* Shares of orders that go wrong, in percent.  */
struct rsm_faults
{
  uint32_t answer_lost; /* carried out, not answered */
  uint32_t late;        /* not answered, carried out 2 to 12 s later */
};

struct rsm
{
  struct tm_service *tm;
  gsl_rng *random;
  struct rte_config *config;
  struct rte_service *service;
  struct flt_fleet *fleet; /* the leader's */
  struct res_table *res;
  GPtrArray *engines; /* struct rsm_engine */
  struct rsm_faults faults;
  uint32_t store_slow; /* factor of load times from the weight store */
  struct tm_timer step;
  GHashTable *messages; /* set of messages on their way */
  bool may_order;
  uint32_t term; /* of the leader; answers of earlier terms are dropped */
  /* What must stay 0.  */
  uint32_t over_limit;
  /* Loads from the weight store, as they began.  */
  GArray *store_loads; /* uint64_t */
  uint32_t loads;
  uint32_t unloads;
};

struct rsm *rsm_new (uint64_t seed, uint32_t weights_mb,
                     uint32_t adapter_slots);
void rsm_free (struct rsm *sim);
void rsm_add_model (struct rsm *sim, const char *name, uint32_t weights_mb,
                    uint32_t adapters);
struct rsm_engine *rsm_add_engine (struct rsm *sim, const char *name,
                                   const char *zone);
struct rsm_engine *rsm_find (struct rsm *sim, const char *name);
void rsm_hold (struct rsm_engine *engine, const char *model);
void rsm_copy (struct rsm_engine *engine, const char *model);
void rsm_restart (struct rsm *sim, struct rsm_engine *engine);
void rsm_announce (struct rsm *sim, struct rsm_engine *engine);
void rsm_take_over (struct rsm *sim);
void rsm_advance (struct rsm *sim, uint64_t ms);
bool rsm_serves (struct rsm *sim, const char *model, const char *adapter);

#endif
