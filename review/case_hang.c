/* Requesters of a plain service with sound engines, and the check that requests
   are answered at the end of their route's time.  The disruption is up to the
   engines and writers that the script starts.  */

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#include "caller.h"

#define CHANNELS    6 /* kept channels to each gateway */
#define CHATS       4 /* the same for streams */
#define LENGTH_S    26.0
#define TIMEOUT_S   1.5 /* TimeoutMs of the route */
#define LATER_S     0.5 /* rule CONFIG */
#define DEADLINE_MS 3000
#define COUNT_MIN   4 /* fewer show nothing */

static atomic_bool done;
static atomic_int sent;
static atomic_int unanswered; /* at TimeoutMs */
static atomic_int unanswered_later;

static void
book_once (struct caller_channel *channel, uint16_t port)
{
  struct caller_call call = { .kind = "book",
                              .path = "/book/x",
                              .fields = "",
                              .deadline_ms = DEADLINE_MS };
  double took_s;

  caller_send (channel, port, &call);
  took_s = call.answered_at - call.sent_at;
  sent++;
  if (took_s <= TIMEOUT_S)
    return;
  unanswered++;
  if (took_s <= TIMEOUT_S + LATER_S)
    return;
  unanswered_later++;
  rig_record ("CONFIG: %s, sent to port %u, had no answer for %.3f s; its "
              "route allows %.3f s",
              call.id, port, took_s, TIMEOUT_S);
}

static void *
book (void *arg)
{
  uint16_t port = caller_ports[(long)arg % caller_port_count];
  struct caller_channel *channel = calloc (1, sizeof *channel);

  while (!done)
    {
      book_once (channel, port);
      rig_sleep (0.05);
    }
  return NULL;
}

static void *
chat (void *arg)
{
  uint16_t port = caller_ports[(long)arg % caller_port_count];
  struct caller_channel *channel = calloc (1, sizeof *channel);

  while (!done)
    {
      struct caller_call call = { .kind = "chat",
                                  .path = "/chat/x",
                                  .fields = "X-Cowslipcove-Model: m0\r\n",
                                  .deadline_ms = 12000 };

      caller_send (channel, port, &call);
      rig_sleep (0.05);
    }
  return NULL;
}

int
caller_hang (void)
{
  for (long i = 0; i < (long)CHANNELS * caller_port_count; i++)
    caller_start (book, (void *)i);
  for (long i = 0; i < (long)CHATS * caller_port_count; i++)
    caller_start (chat, (void *)i);
  rig_sleep (LENGTH_S);
  done = true;
  rig_sleep (DEADLINE_MS / 1000.0 + 2.5);
  rig_record ("requests sent: %d; unanswered at TimeoutMs: %d; without an "
              "answer half a second later: %d",
              sent, unanswered, unanswered_later);
  if (sent < 100)
    return 2;
  if (caller_has_trouble () && caller_count ("answers badly", NULL) == 0
      && caller_count ("another writer wrote", NULL) == 0)
    return 2;
  return unanswered >= COUNT_MIN && unanswered_later * 2 > unanswered ? 1 : 0;
}
