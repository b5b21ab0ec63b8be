#include "raw.h"

#define RAW_BACKLOG 8

/* Listen with LISTENER on a free port of the loopback interface and store the
   address in ADDRESS.  */
void
raw_listen (uv_loop_t *loop, uv_tcp_t *listener,
            uv_connection_cb on_connection, char address[RAW_ADDRESS_BYTES])
{
  struct sockaddr_in local;
  int size = sizeof local;

  uv_tcp_init (loop, listener);
  uv_ip4_addr ("127.0.0.1", 0, &local);
  uv_tcp_bind (listener, (const struct sockaddr *)&local, 0);
  uv_listen ((uv_stream_t *)listener, RAW_BACKLOG, on_connection);
  uv_tcp_getsockname (listener, (struct sockaddr *)&local, &size);
  g_snprintf (address, RAW_ADDRESS_BYTES, "127.0.0.1:%u",
              ntohs (local.sin_port));
}

/* Provide a buffer whose contents are not used.  */
void
raw_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
  static char bytes[4096];

  (void)handle;
  (void)size;
  *buffer = uv_buf_init (bytes, sizeof bytes);
}

void
raw_ignore_head (void *arg, const struct h1_head *head)
{
  (void)arg;
  (void)head;
}

void
raw_ignore_body (void *arg, const char *data, size_t bytes)
{
  (void)arg;
  (void)data;
  (void)bytes;
}
