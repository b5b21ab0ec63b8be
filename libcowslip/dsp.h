#ifndef COWSLIP_DSP_H
#define COWSLIP_DSP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <gsl/gsl_rng.h>

#include "adm.h"
#include "ctr.h"
#include "rq.h"
#include "tm.h"
#include "vw.h"

/* Dispatch: joins the request state machine with routing, health, admission,
   retry budgets and suspicion.  Strings in a spec must live as long as the
   request.  */
struct dsp;
struct dsp_request;

struct dsp_spec
{
  const char *model; /* or adapter */
  const char *pool;
  const char *class_name;
  int32_t priority;
  uint32_t deadline_ms;
  uint32_t first_token_ms; /* 0: not promised */
  uint32_t expected_ms;
  bool stream;
  bool can_resume;
  uint64_t fingerprint;
  uint64_t prefix; /* hash of the prompt's beginning; 0: no preference */
};

struct dsp_launch
{
  uint64_t attempt;
  const char *address;
  uint32_t resume_from; /* tokens already sent to the caller */
  bool fresh;           /* use a new connection */
};

struct dsp_suspect
{
  uint64_t fingerprint;
  uint32_t crashes; /* 0: no longer suspected */
};

/* OWNER is the value given to dsp_request_new, ARG the one given to dsp_new.
   The first six must not call back into the same request.  */
struct dsp_actions
{
  void (*launch) (void *owner, const struct dsp_launch *launch);
  void (*cancel) (void *owner, uint64_t attempt);
  void (*send) (void *owner, const char *data, size_t bytes);
  void (*answer) (void *owner, const struct rq_answer *answer);
  void (*refuse) (void *owner, enum rsn_refusal reason, bool not_run,
                  bool started);
  /* The request is freed after this.  */
  void (*done) (void *owner, enum rq_outcome outcome);
  /* Tell all peers, then call dsp_reported with TICKET unless it is 0.  */
  void (*suspects) (void *arg, const struct dsp_suspect *suspects,
                    uint32_t count, uint64_t ticket);
  /* Send one small request for MODEL to ADDRESS, then call dsp_probed.  */
  void (*probe) (void *arg, const char *address, const char *model);
  void (*ejected) (void *arg, const char *address, bool ejected);
  /* ADDRESS refused a connection.  */
  void (*unreachable) (void *arg, const char *address);
  void (*demand) (void *arg, const struct adm_demand *demands, uint32_t count);
};

struct dsp *dsp_new (struct tm_service *tm, gsl_rng *random,
                     struct ctr_set *counters,
                     const struct dsp_actions *actions, void *arg);
void dsp_free (struct dsp *dsp);

void dsp_set_limits (struct dsp *dsp, uint32_t waiting_max,
                     uint32_t retry_percent);
void dsp_add_endpoint (struct dsp *dsp, const char *address, const char *pool,
                       uint32_t batch);
void dsp_configure_begin (struct dsp *dsp);
void dsp_add_model (struct dsp *dsp, const char *model, uint32_t budget);
void dsp_add_adapter (struct dsp *dsp, const char *adapter, const char *model,
                      uint32_t budget);
void dsp_configure_end (struct dsp *dsp);
void dsp_view (struct dsp *dsp, const struct vw_view *view);
void dsp_load (struct dsp *dsp, const char *address, uint32_t running,
               uint32_t waiting, uint32_t age_ms);
void dsp_leaving (struct dsp *dsp, const char *address, bool leaving);
uint32_t dsp_quiesce (struct dsp *dsp, const char *model, const char *address);
void dsp_probed (struct dsp *dsp, const char *address, bool answered,
                 uint64_t first_byte_us);
void dsp_merge_suspect (struct dsp *dsp, uint64_t fingerprint,
                        uint32_t crashes, uint32_t age_ms);
void dsp_reported (struct dsp *dsp, uint64_t ticket);
uint32_t dsp_active (const struct dsp *dsp);

struct dsp_request *dsp_request_new (struct dsp *dsp,
                                     const struct dsp_spec *spec, void *owner);
void dsp_request_start (struct dsp_request *request);
void dsp_head (struct dsp_request *request, uint64_t attempt);
void dsp_event (struct dsp_request *request, uint64_t attempt,
                enum rq_event_kind kind, const char *data, size_t bytes);
void dsp_answer (struct dsp_request *request, uint64_t attempt,
                 const struct rq_answer *answer);
void dsp_failed (struct dsp_request *request, uint64_t attempt,
                 enum rq_failure failure, bool sent);
void dsp_gone (struct dsp_request *request);
void dsp_slow (struct dsp_request *request);

/* For operators: what the parts know.  */
struct rt_table *dsp_routes (const struct dsp *dsp);
struct psn_table *dsp_suspicions (const struct dsp *dsp);
struct adm_queues *dsp_queues (const struct dsp *dsp);

#endif
