#ifndef REGRESS_GW_FIXTURE_H
#define REGRESS_GW_FIXTURE_H

#include "fake_kv.h"
#include "gw_impl.h"
#include "wire.h"

/* Runs a gateway between callers and two endpoints that exchange scripted
   bytes with it over loopback.  */

#define GWF_ID_NAME    "X-Cowslipcove-Request-Id"
#define GWF_ENDPOINTS  2
#define GWF_SEAL       "X-Cowslipcove-Response-Seal: s1\r\n"
#define GWF_ECHO_ID    GWF_ID_NAME ": {id}\r\n"
#define GWF_OK_HEAD    "HTTP/1.1 200 OK\r\n" GWF_SEAL GWF_ECHO_ID
#define GWF_RESPONSE_B GWF_OK_HEAD "Content-Length: 1\r\n\r\nB"
/* Head of an event stream, and the chunk of one event with the id N.  */
#define GWF_EVENTS                                                            \
  GWF_OK_HEAD                                                                 \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define GWF_EVENT(n) "f\r\nid: " n "\ndata: x\n\n\r\n"

/* Scripts of the two endpoints, and the expected response to the caller.  */
struct gwf_case
{
  const char *name;
  const char *path;
  struct wire_script first;
  struct wire_script second;
  uint16_t status;
  const char *body; /* the part that arrives */
  bool complete;
  bool uses_second; /* the second endpoint gets a request */
};

extern const char gwf_config_text[];
extern struct gw gwf_gw;
extern struct fake_kv *gwf_kv;
extern struct wire_endpoint *gwf_endpoints[GWF_ENDPOINTS];

char *gwf_unused_address (void);
void gwf_start (void);
void gwf_start_instance (struct gw *gw, const char *name);
void gwf_set_script (uint32_t index, const struct wire_script *script);
void gwf_reset_endpoints (void);
void gwf_restart_endpoint (uint32_t index);
void gwf_add_engine_service (void);
void gwf_announce_engine (const char *id, uint32_t index);
char *gwf_request_text (const char *path);
char *gwf_patient_request_text (const char *path, uint32_t deadline_ms);
bool gwf_call_is_done (const struct wire_caller *caller, uint32_t responses);
struct wire_caller *gwf_call_instance (const struct gw *gw, const char *bytes,
                                       uint32_t responses);
struct wire_caller *gwf_call (const char *bytes, uint32_t responses);
void gwf_end_call (struct wire_caller *caller);
void gwf_run_case (const struct gwf_case *test_case, const char *bytes);
void gwf_run_cases (const struct gwf_case *cases, size_t count);

#endif
