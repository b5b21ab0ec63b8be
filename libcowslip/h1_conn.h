#ifndef COWSLIP_H1_CONN_H
#define COWSLIP_H1_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>
#include <uv.h>

#include "h1_body.h"
#include "tm.h"

/* One TCP connection on a libuv loop, with its queue of unsent bytes.  */
struct h1_conn;

struct h1_conn_events
{
  void (*connected) (void *arg); /* NULL for accepted connections */
  void (*data) (void *arg, const char *data, size_t bytes);
  /* The peer closed the connection (RESET is false) or the connection was
     lost.  The connection is freed after this call.  */
  void (*closed) (void *arg, bool reset);
  /* All queued bytes were handed to the kernel; may be NULL.  */
  void (*flushed) (void *arg);
  /* While bytes are queued: the kernel has taken BYTES since the last call;
     may be NULL.  */
  void (*taken) (void *arg, size_t bytes);
};

struct h1_conn *h1_conn_accept (uv_stream_t *listener, struct tm_service *tm,
                                const struct h1_conn_events *events,
                                void *arg);
struct h1_conn *h1_conn_connect (uv_loop_t *loop, struct tm_service *tm,
                                 const struct sockaddr_in *address,
                                 uint32_t timeout_ms,
                                 const struct h1_conn_events *events,
                                 void *arg);
void h1_conn_write (struct h1_conn *conn, const char *data, size_t bytes);
void h1_conn_write_body (struct h1_conn *conn, struct h1_body *body);
void h1_conn_set_budget (struct h1_conn *conn, struct mbg_budget *budget);
void h1_conn_limit_listener (uv_tcp_t *listener, size_t receive_bytes);
size_t h1_conn_pending_bytes (const struct h1_conn *conn);
bool h1_conn_has_unread (struct h1_conn *conn);
bool h1_conn_is_quiet (struct h1_conn *conn);
void h1_conn_set_reading (struct h1_conn *conn, bool enabled);
void h1_conn_shutdown (struct h1_conn *conn);
void h1_conn_close (struct h1_conn *conn);
void h1_conn_reset (struct h1_conn *conn);

#endif
