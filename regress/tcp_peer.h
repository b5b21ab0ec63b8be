#ifndef REGRESS_TCP_PEER_H
#define REGRESS_TCP_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

/* A TCP server that records HTTP requests and sends scripted responses.  */
struct tcp_peer;

/* The response to one complete HTTP request.  */
struct tcp_script
{
  const char *status;       /* NULL: no response */
  const char *body;         /* NULL: the test sends a chunked body by
                               tcp_peer_send */
  size_t close_after_bytes; /* bytes sent before the connection is closed; 0:
                               the connection stays open */
};

struct tcp_peer *tcp_peer_new (uv_loop_t *loop);
void tcp_peer_free (struct tcp_peer *peer);
const char *tcp_peer_address (const struct tcp_peer *peer);
void tcp_peer_set_scripts (struct tcp_peer *peer,
                           const struct tcp_script *scripts, size_t count);
void tcp_peer_send (struct tcp_peer *peer, const char *data, size_t bytes);
void tcp_peer_close_connections (struct tcp_peer *peer);
uint32_t tcp_peer_requests (const struct tcp_peer *peer);
const char *tcp_peer_last_request (const struct tcp_peer *peer);

#endif
