#include <string.h>

#include "lg.h"
#include "rpc_impl.h"

/* Limit on queued bytes for a peer that does not read.  */
#define RPC_CONN_QUEUE_MAX_BYTES (8U << 20)
#define RPC_CONN_LOG_INTERVAL_US 1000000

struct rpc_write
{
  uv_write_t request;
  struct mbg_budget *budget; /* NULL: RECORD is not counted */
  GByteArray *record;
};

/* Count the memory of the incomplete record of CONN.  It is not refused: it
   belongs to control, or to a request that an instance has accepted.  */
static void
rpc_conn_count_input (struct rpc_conn *conn)
{
  struct mbg_budget *budget = conn->node->budget;
  size_t bytes = conn->input.data->len;

  if (budget == NULL)
    return;
  if (bytes > conn->input_taken)
    mbg_add (budget, bytes - conn->input_taken);
  else
    mbg_give (budget, conn->input_taken - bytes);
  conn->input_taken = bytes;
}

/* Return an unconnected connection that accepts records of up to
   MAX_BYTES.  */
struct rpc_conn *
rpc_conn_new (struct rpc_node *node, uint32_t max_bytes)
{
  struct rpc_conn *conn = g_new0 (struct rpc_conn, 1);

  conn->node = node;
  conn->last_input_us = tm_now_us (node->tm);
  rpc_record_init (&conn->input, max_bytes);
  uv_tcp_init (node->loop, &conn->tcp);
  conn->tcp.data = conn;
  return conn;
}

static void
rpc_conn_closed (uv_handle_t *handle)
{
  struct rpc_conn *conn = handle->data;

  rpc_record_clear (&conn->input);
  g_free (conn);
}

/* Close CONN.  Its on_closed callback is called immediately; its memory is
   freed by the loop.  */
void
rpc_conn_close (struct rpc_conn *conn)
{
  if (conn->closing)
    return;
  conn->closing = true;
  tm_cancel (conn->node->tm, &conn->timeout);
  rpc_record_next (&conn->input);
  rpc_conn_count_input (conn);
  uv_close ((uv_handle_t *)&conn->tcp, rpc_conn_closed);
  conn->on_closed (conn);
}

/* Count and log a protocol violation by the peer of CONN.  At most one line
   is logged a second, because unauthenticated peers can cause it.  */
void
rpc_conn_report_error (struct rpc_conn *conn, const char *reason)
{
  struct rpc_node *node = conn->node;
  uint64_t now_us = tm_now_us (node->tm);
  struct sockaddr_in peer = { 0 };
  char *counter = g_strdup_printf ("rpc_bad_total{reason=\"%s\"}", reason);
  char host[64] = "?";
  int bytes = sizeof peer;

  ctr_add (node->counters, counter, 1);
  g_free (counter);
  node->unlogged++;
  if (now_us < node->next_log_us)
    return;
  if (uv_tcp_getpeername (&conn->tcp, (struct sockaddr *)&peer, &bytes) == 0)
    uv_ip4_name (&peer, host, sizeof host);
  lg_write (LG_RPC_PROTOCOL_ERROR, "peer=%s:%u reason=%s count=%u", host,
            ntohs (peer.sin_port), reason, node->unlogged);
  node->next_log_us = now_us + RPC_CONN_LOG_INTERVAL_US;
  node->unlogged = 0;
}

static void
rpc_conn_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct rpc_conn *conn = handle->data;

  (void)suggested;
  *buffer
      = uv_buf_init (conn->node->read_buffer, sizeof conn->node->read_buffer);
}

static void
rpc_conn_on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct rpc_conn *conn = stream->data;
  const uint8_t *data = (const uint8_t *)buffer->base;
  size_t bytes;

  if (count < 0)
    {
      rpc_conn_close (conn);
      return;
    }
  bytes = (size_t)count;
  conn->node->bytes_received += bytes;
  conn->last_input_us = tm_now_us (conn->node->tm);
  while (bytes > 0 && !conn->closing)
    {
      enum rpc_record_state state
          = rpc_record_feed (&conn->input, &data, &bytes);

      if (state == RPC_RECORD_INCOMPLETE)
        break;
      if (state == RPC_RECORD_MALFORMED)
        rpc_conn_report_error (conn, "record");
      if (state == RPC_RECORD_MALFORMED
          || !conn->on_record (conn, conn->input.data->data,
                               conn->input.data->len))
        {
          rpc_conn_close (conn);
          return;
        }
      rpc_record_next (&conn->input);
    }
  if (!conn->closing)
    rpc_conn_count_input (conn);
}

/* Start reading records from CONN.  */
void
rpc_conn_read (struct rpc_conn *conn)
{
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->tcp, rpc_conn_alloc, rpc_conn_on_read);
}

static void
rpc_conn_on_write (uv_write_t *request, int status)
{
  struct rpc_write *write = request->data;

  (void)status;
  if (write->budget != NULL)
    mbg_give (write->budget, write->record->len);
  mbg_unref (write->budget);
  g_byte_array_free (write->record, TRUE);
  g_free (write);
}

/* Send RECORD and free it.  Return false, without sending, if the send queue
   is full.  */
bool
rpc_conn_write (struct rpc_conn *conn, GByteArray *record)
{
  struct rpc_write *write;
  uv_buf_t buffer = uv_buf_init ((char *)record->data, record->len);

  if (conn->closing
      || uv_stream_get_write_queue_size ((uv_stream_t *)&conn->tcp)
             > RPC_CONN_QUEUE_MAX_BYTES)
    {
      g_byte_array_free (record, TRUE);
      return false;
    }
  write = g_new0 (struct rpc_write, 1);
  write->record = record;
  if (conn->node->budget != NULL)
    {
      write->budget = mbg_ref (conn->node->budget);
      mbg_add (write->budget, record->len);
    }
  write->request.data = write;
  conn->node->bytes_sent += record->len;
  uv_write (&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
            rpc_conn_on_write);
  return true;
}
