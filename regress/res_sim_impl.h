#ifndef REGRESS_RES_SIM_IMPL_H
#define REGRESS_RES_SIM_IMPL_H

#include "res_sim.h"

/* Shared by the res_sim*.c files only.  */

#define RSM_STORE_MS   6000
#define RSM_DISK_MS    840
#define RSM_MEMORY_MS  630
#define RSM_ADAPTER_MB 66

/* An order, a report or an endpoint entry in transit.  */
struct rsm_message
{
  struct rsm *sim;
  struct tm_timer timer;
  char *engine;
  uint64_t started_ms;
  uint32_t term;
  uint64_t order;
  enum prt_order_kind kind;
  char *model;
  char *adapter;
  uint64_t orders;
  bool replied;
  enum prt_order_result result;
  struct flt_weights weights;
};

static inline uint64_t
rsm_now (const struct rsm *sim)
{
  return tm_now_us (sim->tm);
}

enum prt_order_result rsm_accept (struct rsm *sim, struct rsm_engine *engine,
                                  const struct rsm_message *order);
void rsm_fill_report (struct rsm *sim, struct rsm_engine *engine,
                      struct flt_weights *weights);
void rsm_engine_free (gpointer data);

#endif
