#ifndef COWSLIPCOVED_SERVICES_IMPL_H
#define COWSLIPCOVED_SERVICES_IMPL_H

/* Internals of calls to plain services, shared by services*.c.  */

#include "clm_call.h"
#include "services_call.h"

#define CD_FORWARDED_HEADERS 4
/* Memory of a call beside its body: its state, a response that is kept, and
   what the kernel keeps for it.  */
#define CD_CALL_BYTES (128U << 10)

struct cd_call
{
  struct cd_call_config config;
  struct http_exchange *exchange; /* NULL: ended or disconnected */
  struct clm_call *machine;
  char *service;
  char *class_name;
  char *method;
  char *target;
  struct h1_body *body;               /* NULL: empty */
  char *values[CD_FORWARDED_HEADERS]; /* NULL: not given */
  GPtrArray *tried;                   /* struct clm_endpoint */
  struct clm_endpoint *endpoint;      /* of the current attempt */
  struct clm_endpoint *next_endpoint; /* already picked; NULL: none */
  struct http_call *attempt;
  bool is_streaming;
  struct tm_timer caller_timer;
  uint64_t deadline_us;
  cs_claim_reply held_claim; /* while the owner's record is read */
  bool is_owner_recorded;    /* as of that record */
};

extern const char *const cd_forwarded_headers[CD_FORWARDED_HEADERS];

bool cd_act_attempt (void *context);
bool cd_act_has_endpoint (void *context);
void cd_act_cancel_attempt (void *context);
bool cd_act_may_retry (void *context, enum rty_reason reason);

char *cd_owner_name (const struct set_settings *settings);
bool cd_act_is_owner_alive (void *context, const char *owner,
                            uint64_t incarnation);
void cd_owner_read (struct cd_call *call, const cs_claim_reply *reply);

void cd_caller_watch (struct cd_call *call);
void cd_act_respond (void *context, const struct clm_response *response);
void cd_act_refuse (void *context, enum rsn_refusal reason, bool not_run);
void cd_act_stream_start (void *context, uint32_t status,
                          const char *content_type);
void cd_act_stream_data (void *context, const char *data, size_t bytes);
void cd_act_stream_end (void *context, bool complete);

#endif
