#ifndef REGRESS_WIRE_H
#define REGRESS_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "h1_head.h"

/* Scripted HTTP endpoints and callers that exchange exact bytes with the
   gateway under test.  */

/* What an endpoint does with the connection after a response.  */
enum wire_end_action
{
  WIRE_KEEP,
  WIRE_CLOSE,
  WIRE_RESET,
  WIRE_CRASH /* reset all connections and stop listening */
};

/* The response to one request.  In BYTES, each "{id}" is replaced by the value
   of the request's header field ID_NAME, and each "|" is a pause.  */
struct wire_script
{
  const char *bytes;
  enum wire_end_action end_action;
  bool early; /* respond after the head, before the body is read */
};

struct wire_endpoint;

struct wire_endpoint *wire_endpoint_new (uv_loop_t *loop, const char *id_name);
void wire_endpoint_set_scripts (struct wire_endpoint *endpoint,
                                const struct wire_script *scripts,
                                size_t count);
void wire_endpoint_set_pause (struct wire_endpoint *endpoint,
                              uint32_t pause_ms);
void wire_endpoint_restart (struct wire_endpoint *endpoint);
uint16_t wire_endpoint_port (const struct wire_endpoint *endpoint);
uint32_t wire_endpoint_requests (const struct wire_endpoint *endpoint);
uint32_t wire_endpoint_connections (const struct wire_endpoint *endpoint);
uint32_t wire_endpoint_disconnects (const struct wire_endpoint *endpoint);
size_t wire_endpoint_pending_bytes (const struct wire_endpoint *endpoint);
const struct h1_head *
wire_endpoint_head (const struct wire_endpoint *endpoint);
size_t wire_endpoint_body_bytes (const struct wire_endpoint *endpoint);

/* A caller and the responses it received.  */
struct wire_caller;

struct wire_caller *wire_caller_new (uv_loop_t *loop, uint16_t port,
                                     const char *bytes);
void wire_caller_send (struct wire_caller *caller, const char *bytes);
void wire_caller_set_reading (struct wire_caller *caller, bool enabled);
void wire_caller_close (struct wire_caller *caller);
uint32_t wire_caller_responses (const struct wire_caller *caller);
bool wire_caller_closed (const struct wire_caller *caller);
uint16_t wire_caller_status (const struct wire_caller *caller);
const char *wire_caller_field (const struct wire_caller *caller,
                               const char *name);
const char *wire_caller_body (const struct wire_caller *caller);

#endif
