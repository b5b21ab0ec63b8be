#ifndef REGRESS_GW_FIXTURE_H
#define REGRESS_GW_FIXTURE_H

#include "gw_impl.h"
#include "wire.h"

/* A gateway between two endpoints that answer byte by byte and callers that
   ask so.  */

#define GWF_ID_NAME   "X-Cowslipcove-Request-Id"
#define GWF_ENDPOINTS 2
#define GWF_SEAL      "X-Cowslipcove-Response-Seal: s1\r\n"
#define GWF_OWN_ID    GWF_ID_NAME ": {id}\r\n"
#define GWF_OK_HEAD   "HTTP/1.1 200 OK\r\n" GWF_SEAL GWF_OWN_ID
#define GWF_WHOLE_B   GWF_OK_HEAD "Content-Length: 1\r\n\r\nB"
/* A stream of events, and one event of it with the id N.  */
#define GWF_EVENTS                                                            \
  GWF_OK_HEAD                                                                 \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define GWF_EVENT(n) "f\r\nid: " n "\ndata: x\n\n\r\n"

extern struct gw gwf_gw;
extern struct wire_endpoint *gwf_endpoints[GWF_ENDPOINTS];

void gwf_start (void);
void gwf_play (uint32_t index, const struct wire_script *script);
void gwf_forgive (void);
char *gwf_ask (const char *path);
bool gwf_is_over (const struct wire_caller *caller, uint32_t answers);
struct wire_caller *gwf_call (const char *bytes, uint32_t answers);
void gwf_end_call (struct wire_caller *caller);

#endif
