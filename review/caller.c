/* Requesters of the review's cases, and the check of each.

   rig caller SCENARIO PORT...        ports of the gateways' caller addresses
   rig ports COUNT                    prints ports that are free now

   TROUBLE=0 leaves the disruption out.  Exits with 1 if the rule was broken, 0
   if it held, and 2 if the case could not run.  */

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "caller.h"

uint16_t caller_ports[CALLER_PORTS_MAX];
int caller_port_count;

static atomic_int next_id;

/* Send a request on CHANNEL, which is opened to PORT if it is closed, and read
   the answer.  The outcome is stored in CALL and recorded.  */
void
caller_send (struct caller_channel *channel, uint16_t port,
             struct caller_call *call)
{
  struct timeval timeout = { call->deadline_ms / 1000 + 2, 0 };
  char head[RIG_HEAD_MAX];
  char value[64];
  char chunk[65536];
  size_t length = 0;
  bool chunked;

  snprintf (call->id, sizeof call->id, "%s%05d", call->kind, ++next_id);
  call->status = 0;
  call->complete = false;
  call->kept = channel->answers > 0;
  call->sent_at = rig_now ();
  if (channel->conn.fd <= 0)
    {
      memset (&channel->conn, 0, sizeof channel->conn);
      channel->answers = 0;
      call->kept = false;
      channel->conn.fd = rig_connect (port);
    }
  if (channel->conn.fd < 0)
    {
      rig_record ("%s: no connection to port %u", call->id, port);
      channel->conn.fd = 0;
      return;
    }
  setsockopt (channel->conn.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
              sizeof timeout);
  rig_record ("%s sent to port %u, %s%s", call->id, port, call->path,
              call->fields);
  if (!rig_print (channel->conn.fd,
                  "POST %s HTTP/1.1\r\nHost: h\r\n"
                  "X-Cowslipcove-Request-Id: %s\r\n%s"
                  "X-Cowslipcove-Deadline-Remaining: %d\r\n"
                  "Content-Length: %zu\r\n\r\n%s",
                  call->path, call->id, call->fields, call->deadline_ms,
                  strlen (call->id), call->id)
      || !rig_read_head (&channel->conn, head))
    goto end;
  (void)sscanf (head, "HTTP/1.1 %d", &call->status);
  call->sealed = rig_field (head, "X-Cowslipcove-Response-Seal", value,
                            sizeof value)
                 != NULL;
  chunked
      = rig_field (head, "Transfer-Encoding", value, sizeof value) != NULL;
  if (rig_field (head, "Content-Length", value, sizeof value) != NULL)
    length = strtoul (value, NULL, 10);
  /* These end with their heads, whatever the fields say (RFC 9112, 6.3).  */
  if (call->status == 204 || call->status == 304)
    {
      chunked = false;
      length = 0;
    }
  if (!chunked)
    call->complete = rig_read_exactly (&channel->conn, chunk, length);
  while (chunked)
    {
      char size[16];
      size_t at = 0;

      while (at + 1 < sizeof size
             && rig_read_exactly (&channel->conn, size + at, 1)
             && size[at] != '\n')
        at++;
      size[at] = '\0';
      if (at == 0)
        break;
      length = strtoul (size, NULL, 16);
      if (length > sizeof chunk - 2
          || !rig_read_exactly (&channel->conn, chunk, length + 2))
        break;
      if (length == 0)
        {
          call->complete = true;
          break;
        }
    }
end:
  call->answered_at = rig_now ();
  if (call->complete)
    channel->answers++;
  if (!call->complete
      || rig_field (head, "Connection", value, sizeof value) != NULL)
    caller_close (channel);
  rig_record ("%s: %s %d%s", call->id,
              call->status == 0 ? "closed without an answer,"
              : call->complete  ? "answered"
                                : "cut off,",
              call->status, call->sealed ? ", sealed" : "");
}

void
caller_close (struct caller_channel *channel)
{
  if (channel->conn.fd > 0)
    close (channel->conn.fd);
  memset (channel, 0, sizeof *channel);
}

bool
caller_has_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

/* Return how many lines of the record contain TEXT.  If LAST_AT is not NULL,
   store when the last one was written.  */
int
caller_count (const char *text, double *last_at)
{
  FILE *file = fopen (getenv ("RIG_RECORD"), "r");
  char line[4096];
  int count = 0;

  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (strstr (line, text) != NULL)
      {
        count++;
        if (last_at != NULL)
          *last_at = strtod (line, NULL);
      }
  if (file != NULL)
    fclose (file);
  return count;
}

/* Return on how many engines the request ID has run.  */
int
caller_runs (const char *id)
{
  char text[64];

  snprintf (text, sizeof text, "runs %s\n", id);
  return caller_count (text, NULL);
}

void
caller_start (void *(*run) (void *arg), void *arg)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, arg) != 0)
    abort ();
  pthread_detach (thread);
}

/* Wait until all gateways say that they are ready.  The ready address is the
   port after the callers' one.  */
bool
caller_wait_ready (double limit_s)
{
  double end = rig_now () + limit_s;

  for (int i = 0; i < caller_port_count;)
    {
      struct rig_conn *conn = calloc (1, sizeof *conn);
      char head[RIG_HEAD_MAX] = "";

      conn->fd = rig_connect ((uint16_t)(caller_ports[i] + 1));
      if (conn->fd >= 0
          && rig_print (conn->fd,
                        "GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n"))
        (void)rig_read_head (conn, head);
      if (conn->fd >= 0)
        close (conn->fd);
      free (conn);
      if (strncmp (head, "HTTP/1.1 200", 12) == 0)
        i++;
      else if (rig_now () > end)
        return false;
      else
        rig_sleep (0.1);
    }
  return true;
}

int
rig_ports_main (int count)
{
  /* Scripts that start at the same time look at different ports.  */
  int first = 20000 + getpid () % 170 * 64;

  for (int port = first; port < first + 1000; port += 64)
    {
      int free_ports = 0;

      for (int i = 0; i < count; i++)
        {
          struct sockaddr_in address = { .sin_family = AF_INET };
          int fd = socket (AF_INET, SOCK_STREAM, 0);

          address.sin_port = htons ((uint16_t)(port + i));
          address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
          if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
            free_ports++;
          close (fd);
        }
      if (free_ports == count)
        {
          printf ("%d\n", port);
          return 0;
        }
    }
  return 2;
}

int
rig_caller_main (int argc, char **argv)
{
  int result = 2;

  if (argc < 3)
    return 2;
  for (int i = 2; i < argc && caller_port_count < CALLER_PORTS_MAX; i++)
    caller_ports[caller_port_count++] = (uint16_t)atoi (argv[i]);
  if (!caller_wait_ready (15))
    {
      rig_record ("the gateways are not ready");
      return 2;
    }
  rig_sleep (4);
  rig_record ("begin of the traffic, %s",
              caller_has_trouble () ? "with the disruption" : "undisturbed");
  if (strcmp (argv[1], "bad-answer") == 0)
    result = caller_bad_answer ();
  else if (strcmp (argv[1], "deadly") == 0)
    result = caller_deadly ();
  else if (strcmp (argv[1], "extra") == 0)
    result = caller_extra ();
  else if (strcmp (argv[1], "hang") == 0)
    result = caller_hang ();
  rig_record ("result %d", result);
  return result;
}
