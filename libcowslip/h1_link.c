#include <netinet/tcp.h>
#include <string.h>

#include <glib.h>

#include "h1_link.h"

#define H1_READ_BYTES 16384
#define H1_US_PER_MS  UINT64_C (1000)
/* Time for a peer to close its side after the last answer.  */
#define H1_FINISH_US 1000000
/* A peer that acknowledges nothing for this long is gone.  Retransmissions on
   a lossy link need less than a second.  */
#define H1_USER_TIMEOUT_MS 4000U

struct h1_link
{
  uv_tcp_t tcp;
  struct tm_service *tm;
  const struct h1_link_events *events; /* NULL: the owner closed the link */
  void *arg;
  uv_connect_t connect;
  uv_shutdown_t shutdown;
  struct tm_timer timer;
  size_t pending_bytes;
  bool connected;
  bool reading;
  bool finishing;
};

struct h1_write
{
  uv_write_t request;
  struct h1_link *link;
  size_t bytes;
  char data[];
};

static void
h1_link_free (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Close LINK without a report.  The memory stays until libuv has closed it. */
void
h1_link_close (struct h1_link *link)
{
  link->events = NULL;
  tm_cancel (link->tm, &link->timer);
  if (!uv_is_closing ((uv_handle_t *)&link->tcp))
    uv_close ((uv_handle_t *)&link->tcp, h1_link_free);
}

static void
h1_link_report_closed (struct h1_link *link, bool reset)
{
  const struct h1_link_events *events = link->events;
  void *arg = link->arg;

  h1_link_close (link);
  if (events != NULL)
    events->closed (arg, reset);
}

static void
h1_link_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  /* One loop on one thread: the data is used before the next read.  */
  static char memory[H1_READ_BYTES];

  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (memory, sizeof memory);
}

/* Return whether the connection ended with a reset.  libuv reports the end of
   the stream for a reset that arrives together with data, and leaves the error
   on the socket.  */
static bool
h1_link_was_reset (struct h1_link *link, ssize_t status)
{
  uv_os_fd_t fd;
  char byte;

  if (status != UV_EOF || uv_fileno ((uv_handle_t *)&link->tcp, &fd) != 0)
    return true;
  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) != 0;
}

static void
h1_link_on_read (uv_stream_t *stream, ssize_t bytes, const uv_buf_t *buffer)
{
  struct h1_link *link = stream->data;

  if (bytes < 0)
    h1_link_report_closed (link, h1_link_was_reset (link, bytes));
  else if (bytes > 0 && link->events != NULL && !link->finishing)
    link->events->data (link->arg, buffer->base, (size_t)bytes);
}

/* Let reports of received data begin or stop.  */
void
h1_link_read (struct h1_link *link, bool enabled)
{
  if (enabled == link->reading || !link->connected)
    return;
  link->reading = enabled;
  if (enabled)
    uv_read_start ((uv_stream_t *)&link->tcp, h1_link_alloc, h1_link_on_read);
  else
    uv_read_stop ((uv_stream_t *)&link->tcp);
}

static struct h1_link *
h1_link_new (uv_loop_t *loop, struct tm_service *tm,
             const struct h1_link_events *events, void *arg)
{
  struct h1_link *link = g_new0 (struct h1_link, 1);

  link->tm = tm;
  link->events = events;
  link->arg = arg;
  uv_tcp_init (loop, &link->tcp);
  link->tcp.data = link;
  return link;
}

static void
h1_link_open (struct h1_link *link)
{
  unsigned int timeout_ms = H1_USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  link->connected = true;
  uv_tcp_nodelay (&link->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&link->tcp, &fd) == 0)
    (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                      sizeof timeout_ms);
  h1_link_read (link, true);
}

/* Accept the next connection of LISTENER and read from it.  Return NULL if
   there is none.  */
struct h1_link *
h1_link_accept (uv_stream_t *listener, struct tm_service *tm,
                const struct h1_link_events *events, void *arg)
{
  struct h1_link *link = h1_link_new (listener->loop, tm, events, arg);

  if (uv_accept (listener, (uv_stream_t *)&link->tcp) != 0)
    {
      h1_link_close (link);
      return NULL;
    }
  h1_link_open (link);
  return link;
}

static void
h1_link_on_connect (uv_connect_t *request, int status)
{
  struct h1_link *link = request->data;

  if (link->events == NULL)
    return;
  tm_cancel (link->tm, &link->timer);
  if (status != 0)
    {
      h1_link_report_closed (link, true);
      return;
    }
  h1_link_open (link);
  link->events->connected (link->arg);
}

static void
h1_link_late (void *arg)
{
  h1_link_report_closed (arg, true);
}

/* Connect to ADDRESS within TIMEOUT_MS milliseconds.  Return NULL if the
   system has no socket to give.  */
struct h1_link *
h1_link_connect (uv_loop_t *loop, struct tm_service *tm,
                 const struct sockaddr_in *address, uint32_t timeout_ms,
                 const struct h1_link_events *events, void *arg)
{
  struct h1_link *link = h1_link_new (loop, tm, events, arg);

  link->connect.data = link;
  if (uv_tcp_connect (&link->connect, &link->tcp,
                      (const struct sockaddr *)address, h1_link_on_connect)
      != 0)
    {
      h1_link_close (link);
      return NULL;
    }
  tm_after (tm, &link->timer, timeout_ms * H1_US_PER_MS, h1_link_late, link);
  return link;
}

static void
h1_link_on_write (uv_write_t *request, int status)
{
  struct h1_write *write = request->data;
  struct h1_link *link = write->link;

  link->pending_bytes -= write->bytes;
  g_free (write);
  if (link->events == NULL)
    return;
  if (status != 0)
    h1_link_report_closed (link, true);
  else if (link->pending_bytes == 0 && link->events->flushed != NULL)
    link->events->flushed (link->arg);
}

/* Queue a copy of BYTES of DATA.  A failure is reported as a broken
   connection, later.  */
void
h1_link_write (struct h1_link *link, const char *data, size_t bytes)
{
  struct h1_write *write;
  uv_buf_t buffer;
  int sent = 0;

  if (link->pending_bytes == 0)
    {
      buffer = uv_buf_init ((char *)data, (unsigned int)bytes);
      sent = uv_try_write ((uv_stream_t *)&link->tcp, &buffer, 1);
      sent = sent < 0 ? 0 : sent;
    }
  if ((size_t)sent == bytes)
    return;
  write = g_malloc (sizeof *write + bytes - (size_t)sent);
  write->request.data = write;
  write->link = link;
  write->bytes = bytes - (size_t)sent;
  memcpy (write->data, data + sent, write->bytes);
  link->pending_bytes += write->bytes;
  buffer = uv_buf_init (write->data, (unsigned int)write->bytes);
  if (uv_write (&write->request, (uv_stream_t *)&link->tcp, &buffer, 1,
                h1_link_on_write)
      != 0)
    {
      link->pending_bytes -= write->bytes;
      g_free (write);
    }
}

/* Return how many bytes wait to be sent.  */
size_t
h1_link_pending_bytes (const struct h1_link *link)
{
  return link->pending_bytes;
}

static void
h1_link_on_shutdown (uv_shutdown_t *request, int status)
{
  (void)request;
  (void)status;
}

/* Send what is queued, then close in order.  Data of the peer is read and
   dropped meanwhile, because unread bytes would turn the close into a reset.
   There is no further report.  */
void
h1_link_finish (struct h1_link *link)
{
  if (link->finishing || uv_is_closing ((uv_handle_t *)&link->tcp))
    return;
  link->finishing = true;
  link->events = NULL;
  h1_link_read (link, true);
  if (uv_shutdown (&link->shutdown, (uv_stream_t *)&link->tcp,
                   h1_link_on_shutdown)
      != 0)
    h1_link_close (link);
  else
    tm_after (link->tm, &link->timer, H1_FINISH_US, h1_link_late, link);
}
