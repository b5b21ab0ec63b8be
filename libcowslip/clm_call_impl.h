#ifndef COWSLIP_CLM_CALL_IMPL_H
#define COWSLIP_CLM_CALL_IMPL_H

/* State and functions shared by the clm_call*.c files only.  */

#include "clm_call.h"
#include "evs.h"

enum clm_state
{
  CLM_CLAIMING,
  CLM_RUNNING,
  CLM_FINISHED
};

struct clm_call
{
  struct clm_call_config config;
  cs_claim *claim;
  struct tm_timer timer;
  enum clm_state state;
  bool holds_claim;
  bool was_sent;  /* an attempt may have sent data */
  bool responded; /* responded to or refused, or the caller disconnected */
  bool streaming; /* response exceeds the buffer and is streamed */
  bool head_received;
  bool too_large;
  uint32_t status;
  char *content_type;
  bool event_stream;
  struct evs_parser events; /* of the response, if it is an event stream */
  GString *body;
};

void clm_call_finish (struct clm_call *call);
void clm_call_refuse (struct clm_call *call, enum rsn_refusal reason,
                      bool not_run);
void clm_call_respond (struct clm_call *call,
                       const struct clm_response *response);
void clm_call_end_stream (struct clm_call *call, bool complete);
void clm_call_release (struct clm_call *call);
void clm_call_complete (struct clm_call *call, uint32_t status,
                        bool with_body);
void clm_call_interrupted (struct clm_call *call, bool timeout);

#endif
