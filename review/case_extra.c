/* An engine sends bytes after a complete answer, once, while requesters use
   kept channels.  */

#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "caller.h"

#define CHANNELS 4 /* kept channels to each gateway */
#define LENGTH_S 15.0
#define PAUSE_MS 40 /* between an answer and the next request */

static atomic_bool done;
static atomic_int sent;
static atomic_int foreign;

/* Return whether bytes come on CHANNEL while no request waits for an answer,
   and record them.  They stay there.  */
static bool
has_foreign_bytes (struct caller_channel *channel,
                   const struct caller_call *call)
{
  struct rig_conn *conn = &channel->conn;
  struct pollfd poll_fd = { conn->fd, POLLIN, 0 };
  char bytes[64] = "";

  if (conn->end == conn->begin)
    {
      if (poll (&poll_fd, 1, PAUSE_MS) <= 0
          || recv (conn->fd, bytes, sizeof bytes - 1, MSG_PEEK) <= 0)
        return false;
    }
  else
    snprintf (bytes, sizeof bytes, "%.*s", (int)(conn->end - conn->begin),
              conn->buffer + conn->begin);
  rig_record ("MIXED: bytes on the channel of %s, whose answer (%d) is "
              "complete, while no request waits: \"%s\"",
              call->id, call->status, bytes);
  return true;
}

static void *
book (void *arg)
{
  uint16_t port = caller_ports[(long)arg % caller_port_count];
  struct caller_channel *channel = calloc (1, sizeof *channel);
  bool desynchronized = false;

  while (!done)
    {
      struct caller_call call = { .kind = "book",
                                  .path = "/book/x",
                                  .fields = "",
                                  .deadline_ms = 3000 };

      caller_send (channel, port, &call);
      sent++;
      if (desynchronized)
        {
          rig_record ("%s, the next on that channel, ran on %d engines and "
                      "its answer cannot be read",
                      call.id, caller_runs (call.id));
          caller_close (channel);
          desynchronized = false;
        }
      else if (call.complete && channel->conn.fd > 0
               && has_foreign_bytes (channel, &call))
        {
          foreign++;
          desynchronized = true;
        }
    }
  return NULL;
}

int
caller_extra (void)
{
  for (long i = 0; i < (long)CHANNELS * caller_port_count; i++)
    caller_start (book, (void *)i);
  rig_sleep (LENGTH_S);
  done = true;
  rig_sleep (1.0);
  rig_record ("requests sent: %d; answers followed by bytes that are no "
              "answer: %d (allowed: none)",
              sent, foreign);
  if (caller_has_trouble () && caller_count ("answers badly", NULL) != 1)
    return 2;
  return foreign > 0 ? 1 : 0;
}
