#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

/* Return the time since the start of the run, in seconds.  All processes of a
   run get its start in RIG_START.  */
double
rig_now (void)
{
  const char *start = getenv ("RIG_START");
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9
         - (start == NULL ? 0 : strtod (start, NULL));
}

void
rig_sleep (double seconds)
{
  struct timespec left
      = { (time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9) };

  if (seconds > 0)
    while (nanosleep (&left, &left) != 0 && errno == EINTR)
      continue;
}

/* Append a line with the time to the record of the run, RIG_RECORD.  */
void
rig_record (const char *format, ...)
{
  const char *file = getenv ("RIG_RECORD");
  char line[2048];
  int bytes = snprintf (line, sizeof line, "%8.3f ", rig_now ());
  va_list arguments;
  int fd;

  va_start (arguments, format);
  bytes += vsnprintf (line + bytes, sizeof line - (size_t)bytes - 1, format,
                      arguments);
  va_end (arguments);
  if (bytes > (int)sizeof line - 2)
    bytes = (int)sizeof line - 2;
  line[bytes++] = '\n';
  fd = open (file == NULL ? "/dev/stderr" : file,
             O_WRONLY | O_APPEND | O_CREAT, 0644);
  if (fd < 0)
    return;
  if (write (fd, line, (size_t)bytes) != bytes)
    abort ();
  close (fd);
}

static struct sockaddr_in
rig_address (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

/* Listen on PORT of the loopback address.  Exit if that is not possible.  */
int
rig_listen (uint16_t port)
{
  struct sockaddr_in address = rig_address (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 1024) != 0)
    {
      rig_record ("cannot listen on port %u: %s", port, strerror (errno));
      exit (2);
    }
  return fd;
}

/* Connect to PORT of the loopback address.  Return -1 if that fails.  */
int
rig_connect (uint16_t port)
{
  struct sockaddr_in address = rig_address (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/* Accept connections for ever and call HANDLER for each in a thread with a
   struct rig_conn, which it owns.  */
void
rig_serve (int listener, void *(*handler) (void *conn))
{
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      struct rig_conn *conn;
      pthread_attr_t attributes;
      pthread_t thread;
      int on = 1;

      if (fd < 0)
        {
          rig_sleep (0.01);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      conn = calloc (1, sizeof *conn);
      conn->fd = fd;
      pthread_attr_init (&attributes);
      pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
      pthread_attr_setstacksize (&attributes, 256 << 10);
      if (pthread_create (&thread, &attributes, handler, conn) != 0)
        abort ();
      pthread_attr_destroy (&attributes);
    }
}

/* Read more bytes.  Return their number, 0 at the end, or -1.  */
ssize_t
rig_fill (struct rig_conn *conn)
{
  ssize_t count;

  if (conn->begin > 0)
    {
      memmove (conn->buffer, conn->buffer + conn->begin,
               conn->end - conn->begin);
      conn->end -= conn->begin;
      conn->begin = 0;
    }
  if (conn->end == sizeof conn->buffer)
    return -1;
  count = recv (conn->fd, conn->buffer + conn->end,
                sizeof conn->buffer - conn->end, 0);
  if (count > 0)
    conn->end += (size_t)count;
  return count;
}

/* Read a head, its blank line included, into HEAD.  */
bool
rig_read_head (struct rig_conn *conn, char *head)
{
  for (;;)
    {
      char *start = conn->buffer + conn->begin;
      char *blank = memmem (start, conn->end - conn->begin, "\r\n\r\n", 4);
      size_t bytes = blank == NULL ? 0 : (size_t)(blank - start) + 4;

      if (bytes >= RIG_HEAD_MAX)
        return false;
      if (bytes > 0)
        {
          memcpy (head, start, bytes);
          head[bytes] = '\0';
          conn->begin += bytes;
          return true;
        }
      if (rig_fill (conn) <= 0)
        return false;
    }
}

bool
rig_read_exactly (struct rig_conn *conn, char *data, size_t bytes)
{
  while (bytes > 0)
    {
      size_t count = conn->end - conn->begin;

      if (count == 0 && rig_fill (conn) <= 0)
        return false;
      count = conn->end - conn->begin;
      count = count < bytes ? count : bytes;
      memcpy (data, conn->buffer + conn->begin, count);
      conn->begin += count;
      data += count;
      bytes -= count;
    }
  return true;
}

/* Return the value of the field NAME of HEAD in VALUE, or NULL.  */
const char *
rig_field (const char *head, const char *name, char *value, size_t bytes)
{
  size_t name_bytes = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      const char *end;
      size_t length;

      line += 2;
      if (strncasecmp (line, name, name_bytes) != 0
          || line[name_bytes] != ':')
        continue;
      line += name_bytes + 1;
      line += strspn (line, " \t");
      end = strstr (line, "\r\n");
      length = end == NULL ? strlen (line) : (size_t)(end - line);
      if (length >= bytes)
        return NULL;
      memcpy (value, line, length);
      value[length] = '\0';
      return value;
    }
  return NULL;
}

/* Read a request with a length or without a body.  Free MESSAGE's body.  */
bool
rig_read_request (struct rig_conn *conn, struct rig_message *message)
{
  char value[64];

  message->body = NULL;
  message->body_bytes = 0;
  if (!rig_read_head (conn, message->head)
      || sscanf (message->head, "%15s %1023s", message->method,
                 message->target)
             != 2)
    return false;
  if (rig_field (message->head, "Content-Length", value, sizeof value) != NULL)
    message->body_bytes = strtoul (value, NULL, 10);
  message->body = calloc (1, message->body_bytes + 1);
  if (rig_read_exactly (conn, message->body, message->body_bytes))
    return true;
  free (message->body);
  message->body = NULL;
  return false;
}

bool
rig_write (int fd, const void *data, size_t bytes)
{
  const char *from = data;

  while (bytes > 0)
    {
      ssize_t count = send (fd, from, bytes, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      from += count;
      bytes -= (size_t)count;
    }
  return true;
}

bool
rig_print (int fd, const char *format, ...)
{
  char *text = NULL;
  va_list arguments;
  bool sent;
  int bytes;

  va_start (arguments, format);
  bytes = vasprintf (&text, format, arguments);
  va_end (arguments);
  sent = bytes >= 0 && rig_write (fd, text, (size_t)bytes);
  free (text);
  return sent;
}

/* Return DATA in base64, to be freed.  */
char *
rig_base64 (const char *data, size_t bytes)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  char *text = malloc (bytes / 3 * 4 + 8);
  size_t at = 0;

  for (size_t i = 0; i < bytes; i += 3)
    {
      uint32_t word = (uint32_t)(unsigned char)data[i] << 16;

      if (i + 1 < bytes)
        word |= (uint32_t)(unsigned char)data[i + 1] << 8;
      if (i + 2 < bytes)
        word |= (uint32_t)(unsigned char)data[i + 2];
      text[at++] = digits[word >> 18 & 63];
      text[at++] = digits[word >> 12 & 63];
      text[at++] = i + 1 < bytes ? digits[word >> 6 & 63] : '=';
      text[at++] = i + 2 < bytes ? digits[word & 63] : '=';
    }
  text[at] = '\0';
  return text;
}

/* Send BODY to PATH of the store at PORT.  Return the status, or 0.  */
int
rig_post_store (uint16_t port, const char *path, const char *body)
{
  struct rig_conn *conn = calloc (1, sizeof *conn);
  char head[RIG_HEAD_MAX];
  int status = 0;

  conn->fd = rig_connect (port);
  if (conn->fd >= 0)
    {
      if (rig_print (conn->fd,
                     "POST %s HTTP/1.1\r\nHost: store\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     path, strlen (body), body)
          && rig_read_head (conn, head))
        (void)sscanf (head, "HTTP/1.1 %d", &status);
      close (conn->fd);
    }
  free (conn);
  return status;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc > 1 && strcmp (argv[1], "store") == 0)
    return rig_store_main (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "engine") == 0)
    return rig_engine_main (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "keep") == 0)
    return rig_keep_main (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "caller") == 0)
    return rig_caller_main (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "writer") == 0)
    return rig_writer_main (argc - 1, argv + 1);
  if (argc > 2 && strcmp (argv[1], "ports") == 0)
    return rig_ports_main (atoi (argv[2]));
  fprintf (stderr, "usage: rig store|engine|keep|caller|writer|ports ...\n");
  return 2;
}
