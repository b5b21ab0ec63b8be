#ifndef COWSLIP_HTTP_SERVER_H
#define COWSLIP_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

/* HTTP/1.1 server on a libuv loop.  */
struct http_server;

/* A request and its response.  It is valid until http_respond,
   http_stream_end or http_stream_abort is called, or until the callback of
   http_on_disconnect.  */
struct http_exchange;

typedef void (*http_handler) (void *arg, struct http_exchange *exchange);

struct http_server *http_server_new (uv_loop_t *loop, const char *address,
                                     size_t max_body_bytes,
                                     http_handler handler, void *arg,
                                     GError **error);
void http_server_close_idle (struct http_server *server);
void http_server_stop_accepting (struct http_server *server);
void http_server_free (struct http_server *server);
uint32_t http_server_active (const struct http_server *server);
uint16_t http_server_port (const struct http_server *server);

const char *http_method (const struct http_exchange *exchange);
const char *http_path (const struct http_exchange *exchange);
const char *http_query (const struct http_exchange *exchange);
const char *http_header_value (const struct http_exchange *exchange,
                               const char *name);
const char *http_body (const struct http_exchange *exchange);
size_t http_body_bytes (const struct http_exchange *exchange);

void http_on_disconnect (struct http_exchange *exchange,
                         void (*disconnected) (void *arg), void *arg);
bool http_peer_closed (struct http_exchange *exchange);
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
