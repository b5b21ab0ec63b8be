/* An engine of models answers one order badly, while requesters of a plain
   service with sound engines use kept channels.  */

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#include "caller.h"

#define CHANNELS   8   /* kept channels to each gateway */
#define WARM_S     9.0 /* then the disruption begins */
#define AFTER_S    5.0
#define LOST_MAX   3 /* rule LOST: more than three times */
#define MODELS     5 /* m0 to m4 are held by engines, m5 is not */
#define LOST_SAVED 256

static atomic_bool done;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct caller_call lost[LOST_SAVED];
static int lost_count;

static void *
book (void *arg)
{
  uint16_t port = caller_ports[(long)arg % caller_port_count];
  struct caller_channel *channel = calloc (1, sizeof *channel);

  while (!done)
    {
      struct caller_call call = { .kind = "book",
                                  .path = "/book/x",
                                  .fields = "",
                                  .deadline_ms = 3000 };

      caller_send (channel, port, &call);
      if (call.status == 0 && call.kept)
        {
          pthread_mutex_lock (&lock);
          if (lost_count < LOST_SAVED)
            lost[lost_count++] = call;
          pthread_mutex_unlock (&lock);
        }
      if (call.status == 0)
        rig_sleep (0.2);
    }
  return NULL;
}

static void *
chat (void *arg)
{
  long model = (long)arg % MODELS;
  uint16_t port = caller_ports[model % caller_port_count];
  struct caller_channel *channel = calloc (1, sizeof *channel);
  char fields[128];

  snprintf (fields, sizeof fields, "X-Cowslipcove-Model: m%ld\r\n", model);
  while (!done)
    {
      struct caller_call call = { .kind = "chat",
                                  .path = "/chat/x",
                                  .fields = fields,
                                  .deadline_ms = 12000 };

      caller_send (channel, port, &call);
      rig_sleep (0.05);
    }
  return NULL;
}

static void
start_requesters (void)
{
  for (long i = 0; i < (long)CHANNELS * caller_port_count; i++)
    caller_start (book, (void *)i);
  rig_sleep (WARM_S);
}

/* Wait, then return the result.  */
static int
judge (void)
{
  int broken = 0;

  rig_sleep (AFTER_S);
  done = true;
  rig_sleep (1.0);
  for (int i = 0; i < lost_count; i++)
    if (caller_runs (lost[i].id) > 0)
      {
        rig_record ("LOST: %s, from a kept channel, was passed on and its "
                    "channel closed without an answer",
                    lost[i].id);
        broken++;
      }
  rig_record ("requests from kept channels that were passed on and not "
              "answered: %d (allowed: %d); gateways that ended by themselves: "
              "%d",
              broken, LOST_MAX, caller_count ("ended by itself", NULL));
  return broken > LOST_MAX ? 1 : 0;
}

int
caller_bad_answer (void)
{
  struct caller_channel *channel = calloc (1, sizeof *channel);
  struct caller_call cold = { .kind = "cold",
                              .path = "/chat/x",
                              .fields = "X-Cowslipcove-Model: m5\r\n",
                              .deadline_ms = 12000 };
  int result;

  for (long i = 0; i < 2 * MODELS; i++)
    caller_start (chat, (void *)i);
  start_requesters ();
  caller_send (channel, caller_ports[0], &cold);
  result = judge ();
  if (caller_has_trouble () && caller_count ("answers badly", NULL) != 1)
    {
      rig_record ("no engine has answered badly");
      return 2;
    }
  return result;
}
