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

/* Request dispatch: runs each request through admission, routing, retries and
   hedging, endpoint health checks and the detection of poison requests.  */
struct dsp;
struct dsp_request;

/* Parameters of one request.  The strings must remain valid until the request
   ends.  */
struct dsp_spec
{
  const char *model; /* or adapter */
  const char *pool;
  const char *class_name;
  int32_t priority;
  uint32_t deadline_ms;
  uint32_t first_token_ms; /* 0: no target */
  uint32_t expected_ms;
  bool stream;
  bool can_resume;
  uint64_t fingerprint;
  uint64_t prefix; /* hash of the prompt prefix; 0: no preference */
};

struct dsp_launch
{
  uint64_t attempt;
  const char *address;
  uint32_t resume_from; /* tokens already sent to the caller */
  bool new_connection;  /* do not reuse an idle connection */
};

struct dsp_suspect
{
  uint64_t fingerprint;
  uint32_t crashes; /* 0: the suspicion was cleared */
};

/* Callbacks of the dispatcher.  OWNER is the argument of dsp_request_new, ARG
   that of dsp_new.  The first six must not call back into the same
   request.  */
struct dsp_actions
{
  void (*launch) (void *owner, const struct dsp_launch *launch);
  void (*cancel) (void *owner, uint64_t attempt);
  void (*send) (void *owner, const char *data, size_t bytes);
  void (*response) (void *owner, const struct rq_response *response);
  void (*refuse) (void *owner, enum rsn_refusal reason, bool not_run,
                  bool started);
  /* The request is freed when this returns.  */
  void (*done) (void *owner, enum rq_outcome outcome);
  /* Send SUSPECTS to all peers.  Unless TICKET is 0, call dsp_report_acked
     with it once every reachable peer has acknowledged them.  */
  void (*suspects) (void *arg, const struct dsp_suspect *suspects,
                    uint32_t count, uint64_t ticket);
  /* Send one small request for MODEL to ADDRESS, then call dsp_probe_done.  */
  void (*probe) (void *arg, const char *address, const char *model);
  void (*ejected) (void *arg, const char *address, bool ejected);
  /* A connection to ADDRESS could not be opened.  */
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
void dsp_apply_view (struct dsp *dsp, const struct vw_view *view);
void dsp_report_load (struct dsp *dsp, const char *address, uint32_t running,
                      uint32_t waiting, uint32_t age_ms);
void dsp_set_leaving (struct dsp *dsp, const char *address, bool leaving);
uint32_t dsp_quiesce (struct dsp *dsp, const char *model, const char *address);
void dsp_probe_done (struct dsp *dsp, const char *address, bool responded,
                     uint64_t first_byte_us);
void dsp_merge_suspect (struct dsp *dsp, uint64_t fingerprint,
                        uint32_t crashes, uint32_t age_ms);
void dsp_report_acked (struct dsp *dsp, uint64_t ticket);
uint32_t dsp_active (const struct dsp *dsp);

struct dsp_request *dsp_request_new (struct dsp *dsp,
                                     const struct dsp_spec *spec, void *owner);
void dsp_request_start (struct dsp_request *request);
void dsp_response_head (struct dsp_request *request, uint64_t attempt);
void dsp_event (struct dsp_request *request, uint64_t attempt,
                enum rq_event_kind kind, const char *data, size_t bytes);
void dsp_response (struct dsp_request *request, uint64_t attempt,
                   const struct rq_response *response);
void dsp_attempt_failed (struct dsp_request *request, uint64_t attempt,
                         enum rq_failure failure, bool sent);
void dsp_caller_disconnected (struct dsp_request *request);
void dsp_caller_too_slow (struct dsp_request *request);

/* Access to the state of the modules, for status output.  */
struct rt_table *dsp_routes (const struct dsp *dsp);
struct psn_table *dsp_suspicions (const struct dsp *dsp);
struct adm_queues *dsp_queues (const struct dsp *dsp);

#endif
