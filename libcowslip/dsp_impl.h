#ifndef COWSLIP_DSP_IMPL_H
#define COWSLIP_DSP_IMPL_H

#include "dsp.h"
#include "hlt.h"
#include "hst.h"
#include "psn.h"
#include "rt.h"
#include "rty.h"

/* Internal definitions of the dispatch module.  */

struct dsp
{
  struct tm_service *tm;
  struct ctr_set *counters;
  struct dsp_actions actions;
  void *arg;
  struct rt_table *routes;
  struct hlt_health *health;
  struct adm_queues *queues;
  struct rty_budgets *budgets;
  struct psn_table *suspicions;
  struct hst_set *first_token;
  struct hst_set *queue_time;
  GHashTable *models;       /* name to struct dsp_model */
  GHashTable *reporting;    /* ticket to struct dsp_request */
  GArray *changed_suspects; /* struct dsp_suspect, not yet sent to the peers */
  GArray *demands;          /* struct adm_demand */
  struct tm_timer suspects_timer;
  struct tm_timer second_timer;
  uint64_t next_attempt;
  uint32_t active;
};

/* Configuration and availability of one model or adapter in this zone.  */
struct dsp_model
{
  char *base; /* model of an adapter; NULL for a model */
  uint32_t budget;
  bool configured;
  enum adm_availability availability;
  uint64_t ready_us;
};

/* One attempt in flight.  */
struct dsp_attempt
{
  uint64_t attempt; /* 0: free */
  struct rt_replica *replica;
  struct psn_run run;
  uint64_t started_us;
  bool first_byte;
  bool straggler;
};

struct dsp_request
{
  struct dsp *dsp;
  void *owner;
  struct dsp_spec spec;
  struct rq_request rq;
  struct adm_entry entry;
  struct dsp_attempt attempts[RQ_LIVE_MAX];
  const struct rt_endpoint *tried[RQ_ATTEMPTS_MAX];
  uint32_t tried_count;
  struct rt_replica *chosen; /* replica for the next launch */
  uint64_t ticket;
  uint64_t arrived_us;
  uint64_t launched_us;   /* first launch, 0: none */
  uint64_t first_byte_us; /* first byte, 0: none */
};

void dsp_model_free (gpointer data);

extern const struct rq_actions dsp_request_actions;

enum adm_start dsp_admit (void *arg, struct adm_entry *entry);
void dsp_refuse_waiting (void *arg, struct adm_entry *entry,
                         enum rsn_refusal reason);
void dsp_wake_endpoint (struct dsp *dsp, const struct rt_endpoint *endpoint);
struct dsp_attempt *dsp_attempt (struct dsp_request *request,
                                 uint64_t attempt);
void dsp_end_attempt (struct dsp_request *request, uint64_t attempt,
                      bool complete);
void dsp_report_demand (struct dsp *dsp);
void dsp_count (struct dsp *dsp, const char *name, const char *class_name);

#endif
