#ifndef REGRESS_RAW_H
#define REGRESS_RAW_H

#include <stddef.h>

#include <uv.h>

#include "h1_pool.h"

/* Shared by tests whose endpoint is a plain TCP listener.  */

#define RAW_ADDRESS_BYTES 32

void raw_listen (uv_loop_t *loop, uv_tcp_t *listener,
                 uv_connection_cb on_connection,
                 char address[RAW_ADDRESS_BYTES]);
void raw_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buffer);
void raw_ignore_head (void *arg, const struct h1_head *head);
void raw_ignore_body (void *arg, const char *data, size_t bytes);

#endif
