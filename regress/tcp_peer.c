#include <stdlib.h>
#include <string.h>

#include "tcp_peer.h"

struct tcp_peer
{
  uv_tcp_t listener;
  char address[32];
  const struct tcp_script *scripts;
  size_t script_count;
  uint32_t requests;
  GString *last_request;
  GPtrArray *connections; /* struct tcp_connection */
};

struct tcp_connection
{
  uv_tcp_t tcp;
  struct tcp_peer *peer;
  GString *input;
  char read_buffer[4096];
};

static void
tcp_connection_closed (uv_handle_t *handle)
{
  struct tcp_connection *connection = handle->data;

  g_string_free (connection->input, TRUE);
  g_free (connection);
}

static void
tcp_connection_close (struct tcp_connection *connection)
{
  g_ptr_array_remove (connection->peer->connections, connection);
  uv_close ((uv_handle_t *)&connection->tcp, tcp_connection_closed);
}

static void
tcp_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct tcp_connection *connection = handle->data;

  (void)suggested;
  *buffer
      = uv_buf_init (connection->read_buffer, sizeof connection->read_buffer);
}

static void
tcp_write (struct tcp_connection *connection, const char *data, size_t bytes)
{
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned)bytes);

  (void)uv_try_write ((uv_stream_t *)&connection->tcp, &buffer, 1);
}

/* Return the length in bytes of the first request in INPUT, 0 if it is
   incomplete.  */
static size_t
tcp_request_bytes (const GString *input)
{
  const char *end = strstr (input->str, "\r\n\r\n");
  const char *length = strcasestr (input->str, "content-length: ");
  size_t bytes;

  if (end == NULL)
    return 0;
  bytes = (size_t)(end - input->str) + 4;
  if (length != NULL && length < end)
    bytes += strtoul (length + strlen ("content-length: "), NULL, 10);
  return input->len >= bytes ? bytes : 0;
}

static char *
tcp_format_response (const struct tcp_script *script)
{
  if (script->body == NULL)
    return g_strdup_printf (
        "HTTP/1.1 %s x\r\ntransfer-encoding: chunked\r\n\r\n", script->status);
  return g_strdup_printf ("HTTP/1.1 %s x\r\ncontent-length: %zu\r\n\r\n%s",
                          script->status, strlen (script->body), script->body);
}

static void
tcp_respond (struct tcp_connection *connection)
{
  struct tcp_peer *peer = connection->peer;
  struct tcp_script script;
  char *text;
  size_t bytes;

  if (peer->script_count == 0)
    return;
  script = *peer->scripts++;
  peer->script_count--;
  if (script.status == NULL)
    return;
  text = tcp_format_response (&script);
  bytes = strlen (text);
  tcp_write (connection, text,
             script.close_after_bytes > 0
                 ? MIN (script.close_after_bytes, bytes)
                 : bytes);
  g_free (text);
  if (script.close_after_bytes > 0)
    tcp_connection_close (connection);
}

static void
tcp_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct tcp_connection *connection = stream->data;
  struct tcp_peer *peer = connection->peer;
  size_t bytes;

  if (count < 0)
    {
      tcp_connection_close (connection);
      return;
    }
  g_string_append_len (connection->input, buffer->base, count);
  bytes = tcp_request_bytes (connection->input);
  if (bytes == 0)
    return;
  g_string_truncate (peer->last_request, 0);
  g_string_append_len (peer->last_request, connection->input->str,
                       (gssize)bytes);
  g_string_erase (connection->input, 0, (gssize)bytes);
  peer->requests++;
  tcp_respond (connection);
}

static void
tcp_accept (uv_stream_t *listener, int status)
{
  struct tcp_peer *peer = listener->data;
  struct tcp_connection *connection = g_new0 (struct tcp_connection, 1);

  (void)status;
  connection->peer = peer;
  connection->input = g_string_new (NULL);
  uv_tcp_init (listener->loop, &connection->tcp);
  connection->tcp.data = connection;
  g_ptr_array_add (peer->connections, connection);
  if (uv_accept (listener, (uv_stream_t *)&connection->tcp) == 0)
    uv_read_start ((uv_stream_t *)&connection->tcp, tcp_alloc, tcp_read);
}

/* Listen on a free port of 127.0.0.1.  */
struct tcp_peer *
tcp_peer_new (uv_loop_t *loop)
{
  struct tcp_peer *peer = g_new0 (struct tcp_peer, 1);
  struct sockaddr_in address;
  int bytes = sizeof address;

  peer->last_request = g_string_new (NULL);
  peer->connections = g_ptr_array_new ();
  uv_tcp_init (loop, &peer->listener);
  peer->listener.data = peer;
  (void)uv_ip4_addr ("127.0.0.1", 0, &address);
  uv_tcp_bind (&peer->listener, (struct sockaddr *)&address, 0);
  uv_listen ((uv_stream_t *)&peer->listener, 16, tcp_accept);
  uv_tcp_getsockname (&peer->listener, (struct sockaddr *)&address, &bytes);
  g_snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u",
              ntohs (address.sin_port));
  return peer;
}

static void
tcp_peer_closed (uv_handle_t *handle)
{
  struct tcp_peer *peer = handle->data;

  g_string_free (peer->last_request, TRUE);
  g_ptr_array_free (peer->connections, TRUE);
  g_free (peer);
}

/* Close PEER and its connections.  The memory is freed by the next iteration
   of the loop.  */
void
tcp_peer_free (struct tcp_peer *peer)
{
  tcp_peer_close_connections (peer);
  uv_close ((uv_handle_t *)&peer->listener, tcp_peer_closed);
}

/* Return the address of PEER, "IP:PORT".  */
const char *
tcp_peer_address (const struct tcp_peer *peer)
{
  return peer->address;
}

/* Respond to the next COUNT requests with SCRIPTS, one for each.  Later
   requests get no response.  */
void
tcp_peer_set_scripts (struct tcp_peer *peer, const struct tcp_script *scripts,
                      size_t count)
{
  peer->scripts = scripts;
  peer->script_count = count;
}

/* Send DATA on all connections.  */
void
tcp_peer_send (struct tcp_peer *peer, const char *data, size_t bytes)
{
  for (guint i = 0; i < peer->connections->len; i++)
    tcp_write (g_ptr_array_index (peer->connections, i), data, bytes);
}

/* Close all connections.  */
void
tcp_peer_close_connections (struct tcp_peer *peer)
{
  while (peer->connections->len > 0)
    tcp_connection_close (g_ptr_array_index (peer->connections, 0));
}

/* Return the number of complete requests received.  */
uint32_t
tcp_peer_requests (const struct tcp_peer *peer)
{
  return peer->requests;
}

/* Return the last complete request.  */
const char *
tcp_peer_last_request (const struct tcp_peer *peer)
{
  return peer->last_request->str;
}
