#ifndef REGRESS_WIRE_H
#define REGRESS_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "h1_head.h"

/* Both ends of a gateway, byte by byte: endpoints that answer with fixed
   bytes, and callers that send them.  */

/* What an endpoint does after its bytes.  */
enum wire_then
{
  WIRE_KEEP,
  WIRE_CLOSE,
  WIRE_RESET
};

/* The answer to one request.  Each "{id}" stands for the value of the field
   ID_NAME of the request, and each "|" for a pause.  */
struct wire_script
{
  const char *bytes;
  enum wire_then then;
  bool early; /* after the head, before the body was read */
};

struct wire_endpoint;

struct wire_endpoint *wire_endpoint_new (uv_loop_t *loop, const char *id_name);
void wire_endpoint_play (struct wire_endpoint *endpoint,
                         const struct wire_script *scripts, size_t count);
uint16_t wire_endpoint_port (const struct wire_endpoint *endpoint);
uint32_t wire_endpoint_requests (const struct wire_endpoint *endpoint);
uint32_t wire_endpoint_connections (const struct wire_endpoint *endpoint);
uint32_t wire_endpoint_closed (const struct wire_endpoint *endpoint);
size_t wire_endpoint_unsent (const struct wire_endpoint *endpoint);
const struct h1_head *
wire_endpoint_head (const struct wire_endpoint *endpoint);
size_t wire_endpoint_body_bytes (const struct wire_endpoint *endpoint);

/* What a caller received.  */
struct wire_caller;

struct wire_caller *wire_caller_new (uv_loop_t *loop, uint16_t port,
                                     const char *bytes);
void wire_caller_read (struct wire_caller *caller, bool enabled);
void wire_caller_close (struct wire_caller *caller);
/* Answers that were received whole.  */
uint32_t wire_caller_whole (const struct wire_caller *caller);
bool wire_caller_closed (const struct wire_caller *caller);
uint16_t wire_caller_status (const struct wire_caller *caller);
const char *wire_caller_field (const struct wire_caller *caller,
                               const char *name);
const char *wire_caller_body (const struct wire_caller *caller);

#endif
