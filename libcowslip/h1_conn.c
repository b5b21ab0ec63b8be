#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>

#include <glib.h>

#include "h1_conn.h"

#define H1_READ_BYTES 16384
#define H1_US_PER_MS  UINT64_C (1000)
/* Time for a peer to close its side after the last response was sent.  */
#define H1_LINGER_US 1000000
/* While the last response is sent, its progress is checked at this interval.
   A peer that has taken no bytes for some of them is considered dead.  */
#define H1_FLUSH_CHECK_US   1000000
#define H1_FLUSH_STALLS_MAX 4
/* Limits on the kernel's buffers of a connection to an endpoint and, for sent
   bytes, of all connections.  Without them they grow to megabytes if this
   process or the peer does not read.  */
#define H1_RECEIVE_BUFFER_BYTES (64 << 10)
#define H1_SEND_BUFFER_BYTES    (128 << 10)
/* A peer that acknowledges no data for this long is considered dead.
   Retransmissions on a lossy network path take less than a second.  */
#define H1_USER_TIMEOUT_MS 4000U

struct h1_conn
{
  uv_tcp_t tcp;
  struct tm_service *tm;
  const struct h1_conn_events *events; /* NULL: closed by the owner */
  void *arg;
  uv_connect_t connect;
  uv_shutdown_t shutdown;
  struct tm_timer timer;
  struct mbg_budget *budget; /* for queued bytes; NULL: not counted */
  size_t pending_bytes;
  uint64_t queued_bytes;  /* ever */
  uint64_t flushed_bytes; /* of them, at the last check */
  uint32_t flush_stalls;
  bool connected;
  bool reading;
  bool shutting_down;
  bool is_server; /* accepted */
};

struct h1_write
{
  uv_write_t request;
  struct h1_conn *conn;
  struct h1_body *body; /* NULL: DATA is sent */
  struct mbg_budget *budget;
  size_t bytes;
  char data[];
};

static void h1_conn_check_flush (void *arg);

static void
h1_conn_free (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Close CONN without a callback.  The memory is freed when libuv has closed
   the handle.  */
void
h1_conn_close (struct h1_conn *conn)
{
  conn->events = NULL;
  tm_cancel (conn->tm, &conn->timer);
  if (!uv_is_closing ((uv_handle_t *)&conn->tcp))
    uv_close ((uv_handle_t *)&conn->tcp, h1_conn_free);
}

/* Close CONN with a reset, without a callback.  Bytes that a cut link holds up
   are dropped, whereas a normal close leaves them to be delivered when the
   link heals.  */
void
h1_conn_reset (struct h1_conn *conn)
{
  conn->events = NULL;
  tm_cancel (conn->tm, &conn->timer);
  if (uv_is_closing ((uv_handle_t *)&conn->tcp))
    return;
  if (!conn->connected || uv_tcp_close_reset (&conn->tcp, h1_conn_free) != 0)
    uv_close ((uv_handle_t *)&conn->tcp, h1_conn_free);
}

static void
h1_conn_report_closed (struct h1_conn *conn, bool reset)
{
  const struct h1_conn_events *events = conn->events;
  void *arg = conn->arg;

  h1_conn_close (conn);
  if (events != NULL)
    events->closed (arg, reset);
}

static void
h1_conn_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  /* Safe on one loop in one thread: the data is consumed before the next
     read.  */
  static char memory[H1_READ_BYTES];

  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (memory, sizeof memory);
}

/* Return whether bytes have arrived that were not read yet.  */
bool
h1_conn_has_unread (struct h1_conn *conn)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
         && recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Return whether nothing has arrived that was not read yet, neither bytes nor
   the end of the connection.  */
bool
h1_conn_is_quiet (struct h1_conn *conn)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
         && recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Return whether the connection ended with a reset.  If a reset arrives
   together with data, libuv reports the end of the stream and leaves the
   error pending on the socket.  */
static bool
h1_conn_was_reset (struct h1_conn *conn, ssize_t status)
{
  uv_os_fd_t fd;
  char byte;

  if (status != UV_EOF || uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0)
    return true;
  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) != 0;
}

static void
h1_conn_on_read (uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buffer)
{
  struct h1_conn *conn = stream->data;

  if (bytes < 0)
    h1_conn_report_closed (conn, h1_conn_was_reset (conn, bytes));
  else if (bytes > 0 && conn->events != NULL)
    conn->events->data (conn->arg, buffer->base, (size_t)bytes);
}

/* Start or stop reading from CONN.  */
void
h1_conn_set_reading (struct h1_conn *conn, bool enabled)
{
  if (enabled == conn->reading || !conn->connected)
    return;
  conn->reading = enabled;
  if (enabled)
    uv_read_start ((uv_stream_t *)&conn->tcp, h1_conn_alloc, h1_conn_on_read);
  else
    uv_read_stop ((uv_stream_t *)&conn->tcp);
}

static struct h1_conn *
h1_conn_new (struct tm_service *tm, const struct h1_conn_events *events,
             void *arg)
{
  struct h1_conn *conn = g_new0 (struct h1_conn, 1);

  conn->tm = tm;
  conn->events = events;
  conn->arg = arg;
  conn->tcp.data = conn;
  return conn;
}

/* Limit the kernel's buffers of SOCKET.  Where that is not possible they have
   the kernel's own limits.  */
static void
h1_conn_limit_buffers (uv_tcp_t *socket, size_t receive_bytes)
{
  int receive = (int)receive_bytes;
  int send = H1_SEND_BUFFER_BYTES;

  (void)uv_recv_buffer_size ((uv_handle_t *)socket, &receive);
  (void)uv_send_buffer_size ((uv_handle_t *)socket, &send);
}

/* Limit the bytes that the kernel keeps for each connection of LISTENER until
   they are read to RECEIVE_BYTES.  */
void
h1_conn_limit_listener (uv_tcp_t *listener, size_t receive_bytes)
{
  h1_conn_limit_buffers (listener, receive_bytes);
}

static void
h1_conn_open (struct h1_conn *conn)
{
  unsigned int timeout_ms = H1_USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  conn->connected = true;
  uv_tcp_nodelay (&conn->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                      sizeof timeout_ms);
  h1_conn_set_reading (conn, true);
}

/* Accept a connection of LISTENER and start reading from it.  Return NULL if
   there is none.  */
struct h1_conn *
h1_conn_accept (uv_stream_t *listener, struct tm_service *tm,
                const struct h1_conn_events *events, void *arg)
{
  struct h1_conn *conn = h1_conn_new (tm, events, arg);

  uv_tcp_init (listener->loop, &conn->tcp);
  conn->is_server = true;
  if (uv_accept (listener, (uv_stream_t *)&conn->tcp) != 0)
    {
      h1_conn_close (conn);
      return NULL;
    }
  h1_conn_open (conn);
  return conn;
}

static void
h1_conn_on_connect (uv_connect_t *request, int status)
{
  struct h1_conn *conn = request->data;

  if (conn->events == NULL)
    return;
  tm_cancel (conn->tm, &conn->timer);
  if (status != 0)
    {
      h1_conn_report_closed (conn, true);
      return;
    }
  h1_conn_open (conn);
  conn->events->connected (conn->arg);
}

static void
h1_conn_timed_out (void *arg)
{
  h1_conn_report_closed (arg, true);
}

/* Connect to ADDRESS within TIMEOUT_MS milliseconds.  Return NULL if no
   socket can be opened.  */
struct h1_conn *
h1_conn_connect (uv_loop_t *loop, struct tm_service *tm,
                 const struct sockaddr_in *address, uint32_t timeout_ms,
                 const struct h1_conn_events *events, void *arg)
{
  struct h1_conn *conn = h1_conn_new (tm, events, arg);

  conn->connect.data = conn;
  if (uv_tcp_init_ex (loop, &conn->tcp, AF_INET) != 0)
    {
      g_free (conn);
      return NULL;
    }
  h1_conn_limit_buffers (&conn->tcp, H1_RECEIVE_BUFFER_BYTES);
  if (uv_tcp_connect (&conn->connect, &conn->tcp,
                      (const struct sockaddr *)address, h1_conn_on_connect)
      != 0)
    {
      h1_conn_close (conn);
      return NULL;
    }
  tm_after (tm, &conn->timer, timeout_ms * H1_US_PER_MS, h1_conn_timed_out,
            conn);
  return conn;
}

/* Free WRITE, whose bytes are no longer queued.  */
static void
h1_write_free (struct h1_write *write)
{
  if (write->body != NULL)
    h1_body_unref (write->body);
  else if (write->budget != NULL)
    {
      mbg_give (write->budget, write->bytes);
      mbg_unref (write->budget);
    }
  g_free (write);
}

static void
h1_conn_on_write (uv_write_t *request, int status)
{
  struct h1_write *write = request->data;
  struct h1_conn *conn = write->conn;

  conn->pending_bytes -= write->bytes;
  h1_write_free (write);
  if (conn->events == NULL)
    return;
  if (status != 0)
    h1_conn_report_closed (conn, true);
  else if (conn->pending_bytes == 0 && conn->events->flushed != NULL)
    conn->events->flushed (conn->arg);
}

/* Return how many of the bytes that were ever queued for CONN the kernel has
   taken.  */
static uint64_t
h1_conn_flushed_bytes (const struct h1_conn *conn)
{
  return conn->queued_bytes
         - uv_stream_get_write_queue_size ((const uv_stream_t *)&conn->tcp);
}

/* Check the progress of CONN's peer while bytes are queued for it.  */
static void
h1_conn_watch_flush (struct h1_conn *conn)
{
  if (!conn->is_server || conn->shutting_down || tm_pending (&conn->timer))
    return;
  conn->flush_stalls = 0;
  conn->flushed_bytes = h1_conn_flushed_bytes (conn);
  tm_after (conn->tm, &conn->timer, H1_FLUSH_CHECK_US, h1_conn_check_flush,
            conn);
}

/* Queue WRITE, which sends DATA.  */
static void
h1_conn_queue (struct h1_conn *conn, struct h1_write *write, const char *data)
{
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned int)write->bytes);

  write->request.data = write;
  write->conn = conn;
  conn->pending_bytes += write->bytes;
  conn->queued_bytes += write->bytes;
  if (uv_write (&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
                h1_conn_on_write)
      == 0)
    {
      h1_conn_watch_flush (conn);
      return;
    }
  conn->pending_bytes -= write->bytes;
  conn->queued_bytes -= write->bytes;
  h1_write_free (write);
  tm_after (conn->tm, &conn->timer, 0, h1_conn_timed_out, conn);
}

/* Queue a copy of BYTES of DATA.  An error is reported later by the CLOSED
   callback.  */
void
h1_conn_write (struct h1_conn *conn, const char *data, size_t bytes)
{
  struct h1_write *write;
  uv_buf_t buffer;
  int sent = 0;

  if (conn->pending_bytes == 0)
    {
      buffer = uv_buf_init ((char *)data, (unsigned int)bytes);
      sent = uv_try_write ((uv_stream_t *)&conn->tcp, &buffer, 1);
      sent = sent < 0 ? 0 : sent;
    }
  if ((size_t)sent == bytes)
    return;
  write = g_malloc (sizeof *write + bytes - (size_t)sent);
  write->body = NULL;
  write->bytes = bytes - (size_t)sent;
  write->budget = conn->budget == NULL ? NULL : mbg_ref (conn->budget);
  if (write->budget != NULL)
    mbg_add (write->budget, write->bytes);
  memcpy (write->data, data + sent, write->bytes);
  h1_conn_queue (conn, write, write->data);
}

/* Queue BODY, which is not copied.  */
void
h1_conn_write_body (struct h1_conn *conn, struct h1_body *body)
{
  struct h1_write *write = g_malloc (sizeof *write);
  const char *data = h1_body_data (body, &write->bytes);

  write->body = h1_body_ref (body);
  write->budget = NULL;
  h1_conn_queue (conn, write, data);
}

/* Take the bytes that are queued for CONN from BUDGET.  */
void
h1_conn_set_budget (struct h1_conn *conn, struct mbg_budget *budget)
{
  conn->budget = budget;
}

/* Return the number of bytes queued for sending.  */
size_t
h1_conn_pending_bytes (const struct h1_conn *conn)
{
  return conn->pending_bytes;
}

/* Close the connection ARG, for which bytes are queued or which is being shut
   down, if its peer takes no more bytes.  */
static void
h1_conn_check_flush (void *arg)
{
  struct h1_conn *conn = arg;
  uint64_t flushed_bytes = h1_conn_flushed_bytes (conn);
  size_t taken_bytes = (size_t)(flushed_bytes - conn->flushed_bytes);

  if (flushed_bytes == conn->queued_bytes && !conn->shutting_down)
    return;
  conn->flush_stalls = taken_bytes > 0 ? 0 : conn->flush_stalls + 1;
  conn->flushed_bytes = flushed_bytes;
  if (conn->flush_stalls >= H1_FLUSH_STALLS_MAX)
    {
      h1_conn_report_closed (conn, true);
      return;
    }
  tm_after (conn->tm, &conn->timer, H1_FLUSH_CHECK_US, h1_conn_check_flush,
            conn);
  if (conn->events != NULL && conn->events->taken != NULL)
    conn->events->taken (conn->arg, taken_bytes);
}

static void
h1_conn_on_shutdown (uv_shutdown_t *request, int status)
{
  struct h1_conn *conn = request->handle->data;

  if (uv_is_closing ((uv_handle_t *)&conn->tcp))
    return;
  if (status != 0)
    h1_conn_report_closed (conn, true);
  else
    tm_after (conn->tm, &conn->timer, H1_LINGER_US, h1_conn_timed_out, conn);
}

/* Send the queued bytes, then close gracefully.  Reading goes on meanwhile,
   because closing a socket with unread bytes sends a reset.  The CLOSED
   callback is called at the end.  */
void
h1_conn_shutdown (struct h1_conn *conn)
{
  if (conn->shutting_down || uv_is_closing ((uv_handle_t *)&conn->tcp))
    return;
  conn->shutting_down = true;
  h1_conn_set_reading (conn, true);
  conn->flush_stalls = 0;
  conn->flushed_bytes = h1_conn_flushed_bytes (conn);
  if (uv_shutdown (&conn->shutdown, (uv_stream_t *)&conn->tcp,
                   h1_conn_on_shutdown)
      != 0)
    tm_after (conn->tm, &conn->timer, 0, h1_conn_timed_out, conn);
  else
    tm_after (conn->tm, &conn->timer, H1_FLUSH_CHECK_US, h1_conn_check_flush,
              conn);
}
