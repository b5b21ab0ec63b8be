#ifndef COWSLIP_HTTP_SERVER_H
#define COWSLIP_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "h1_server.h"

/* HTTP/1.1 server for the calls of callers and operators of this program
   itself, on an h1_server.  */
struct http_server;

/* A request and its response.  It is valid until http_respond,
   http_stream_end or http_stream_abort is called, or until the callback of
   http_on_disconnect.  Without a callback it stays valid when its caller
   disconnects, and the response is discarded.  */
struct http_exchange;

typedef void (*http_handler) (void *arg, struct http_exchange *exchange);

/* Callbacks beside the handler, with the same argument.  */
struct http_server_events
{
  /* Respond to a request that is rejected before it is complete.  It has no
     body, and its path is empty if it was not read.  */
  void (*rejected) (void *arg, struct http_exchange *exchange,
                    enum h1_rejection rejection);
  /* See struct h1_server_events.  */
  bool (*is_control) (void *arg, const struct h1_head *head);
};

struct http_server *http_server_new (uv_loop_t *loop, struct tm_service *tm,
                                     const char *address,
                                     size_t max_body_bytes,
                                     http_handler handler, void *arg,
                                     GError **error);
void http_server_set_limits (struct http_server *server,
                             struct mbg_budget *budget,
                             uint32_t connections_max,
                             const struct http_server_events *events);
void http_server_close_idle (struct http_server *server);
void http_server_stop_accepting (struct http_server *server);
void http_server_free (struct http_server *server);
uint32_t http_server_active (const struct http_server *server);
void http_server_report (const struct http_server *server,
                         struct ctr_set *counters);
uint16_t http_server_port (const struct http_server *server);

const char *http_method (const struct http_exchange *exchange);
const char *http_path (const struct http_exchange *exchange);
const char *http_query (const struct http_exchange *exchange);
const char *http_header_value (const struct http_exchange *exchange,
                               const char *name);
const char *http_body (const struct http_exchange *exchange);
size_t http_body_bytes (const struct http_exchange *exchange);
struct h1_body *http_shared_body (const struct http_exchange *exchange);

void http_on_disconnect (struct http_exchange *exchange,
                         void (*disconnected) (void *arg), void *arg);
bool http_peer_closed (const struct http_exchange *exchange);
void http_add_header (struct http_exchange *exchange, const char *name,
                      const char *value);
void http_respond (struct http_exchange *exchange, uint16_t status,
                   const char *content_type, const char *body, size_t bytes);
void http_stream_start (struct http_exchange *exchange, uint16_t status,
                        const char *content_type);
void http_stream_write (struct http_exchange *exchange, const char *data,
                        size_t bytes);
void http_stream_end (struct http_exchange *exchange, bool complete);
void http_stream_abort (struct http_exchange *exchange);
size_t http_stream_pending_bytes (const struct http_exchange *exchange);

#endif
