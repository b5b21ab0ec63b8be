#ifndef COWSLIPCOVED_REQUESTS_IMPL_H
#define COWSLIPCOVED_REQUESTS_IMPL_H

/* Internals of request handling, shared by requests*.c.  */

#include "body.h"
#include "daemon.h"
#include "dsp.h"
#include "requests.h"
#include "sse.h"

struct cd_requests
{
  struct cd_daemon *daemon;
  struct dsp *dsp;
  uint64_t next_id;
  uint64_t drain_us; /* start of the graceful shutdown; 0: none */
};

struct cd_attempt;

/* One request of a caller.  */
struct cd_request
{
  struct cd_requests *requests;
  struct http_exchange *exchange; /* NULL: ended or disconnected */
  struct env_document *document;  /* owns the strings in the spec */
  struct dsp_request *request;    /* NULL: ended */
  struct cd_body body;
  size_t taken_bytes; /* of the budget, for BODY */
  char *path;
  char id[160]; /* X-Request-Id of every attempt */
  int32_t priority;
  uint32_t deadline_ms;
  bool streaming;
  bool slow;
  struct cd_attempt *attempts[RQ_LIVE_MAX];
};

extern const struct dsp_actions cd_requests_actions;

struct cd_request *cd_request_new (struct cd_requests *requests,
                                   struct http_exchange *exchange,
                                   struct cd_body *body, size_t taken_bytes,
                                   struct env_document *document);
void cd_request_start (struct cd_request *request,
                       const struct dsp_spec *spec);

/* requests_attempt.c */
void cd_request_launch (void *owner, const struct dsp_launch *launch);
void cd_request_cancel (void *owner, uint64_t attempt);
void cd_request_detach (struct cd_request *request);

/* requests_answer.c */
void cd_request_send (void *owner, const char *data, size_t bytes);
void cd_request_respond (void *owner, const struct rq_response *response);
void cd_request_refuse (void *owner, enum rsn_refusal reason, bool not_run,
                        bool started);
void cd_request_done (void *owner, enum rq_outcome outcome);

/* requests_zone.c */
void cd_requests_send_suspects (void *arg, const struct dsp_suspect *suspects,
                                uint32_t count, uint64_t ticket);
void cd_requests_send_probe (void *arg, const char *address,
                             const char *model);
void cd_requests_ejected (void *arg, const char *address, bool ejected);
void cd_requests_unreachable (void *arg, const char *address);
void cd_requests_report_demand (void *arg, const struct adm_demand *demands,
                                uint32_t count);
void cd_requests_subscribe (struct cd_requests *requests);

#endif
