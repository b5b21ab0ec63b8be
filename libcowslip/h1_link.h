#ifndef COWSLIP_H1_LINK_H
#define COWSLIP_H1_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>
#include <uv.h>

#include "tm.h"

/* One TCP connection on the libuv loop, with its queue of unsent bytes.  */
struct h1_link;

struct h1_link_events
{
  void (*connected) (void *arg); /* NULL for accepted connections */
  void (*data) (void *arg, const char *data, size_t bytes);
  /* The peer closed in order (RESET is false) or the connection broke.  The
     link is gone after this call.  */
  void (*closed) (void *arg, bool reset);
  /* All queued bytes were handed to the kernel; may be NULL.  */
  void (*flushed) (void *arg);
};

struct h1_link *h1_link_accept (uv_stream_t *listener, struct tm_service *tm,
                                const struct h1_link_events *events,
                                void *arg);
struct h1_link *h1_link_connect (uv_loop_t *loop, struct tm_service *tm,
                                 const struct sockaddr_in *address,
                                 uint32_t timeout_ms,
                                 const struct h1_link_events *events,
                                 void *arg);
void h1_link_write (struct h1_link *link, const char *data, size_t bytes);
size_t h1_link_pending_bytes (const struct h1_link *link);
void h1_link_read (struct h1_link *link, bool enabled);
void h1_link_finish (struct h1_link *link);
void h1_link_close (struct h1_link *link);

#endif
