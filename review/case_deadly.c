/* Two parts of prompts crash engines.  Sound requests share the first part of
   those prompts.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "caller.h"

#define INTERVAL_S 1.4
#define BEFORE     22 /* sound requests before the disruption */
#define DURING     42
#define STABLE_S   3.0 /* StableWindowMs */
#define JUDGED_MIN 20
#define SOUND_MAX  (BEFORE + DURING)

static struct caller_call sound[SOUND_MAX];
static int prompts;

struct request
{
  struct caller_call *call;
  struct caller_call own;
  char fields[256];
  uint16_t port;
};

static void *
run (void *arg)
{
  struct request *request = arg;
  struct caller_channel *channel = calloc (1, sizeof *channel);

  caller_send (channel, request->port, request->call);
  caller_close (channel);
  free (channel);
  return NULL;
}

/* Send a request whose prompt has the shared part, then PART, then one of its
   own, to the next gateway.  CALL is NULL if its outcome does not matter.  */
static void
send_prompt (struct caller_call *call, const char *kind, const char *part)
{
  struct request *request = calloc (1, sizeof *request);

  request->call = call == NULL ? &request->own : call;
  snprintf (request->fields, sizeof request->fields,
            "X-Cowslipcove-Model: m0\r\n"
            "X-Cowslipcove-Token-Usage: 1460,80\r\n"
            "X-Cowslipcove-Prompt-Prefix: 5c1e07a2:800,%s:410,%08x:250\r\n",
            part, 0x1000 + prompts);
  request->port = caller_ports[prompts % caller_port_count];
  prompts++;
  *request->call = (struct caller_call){ .kind = kind,
                                         .path = "/chat/x",
                                         .fields = request->fields,
                                         .deadline_ms = 12000 };
  caller_start (run, request);
}

static void
send_sound (int index)
{
  char part[32];

  snprintf (part, sizeof part, "%08x", 0x91bd0000 + index % 7);
  send_prompt (&sound[index], "sound", part);
}

int
caller_deadly (void)
{
  double begin = rig_now ();
  double last_crash = 0;
  double last_deadly = 0;
  int crashes;
  int judged = 0;
  int served = 0;
  int judged_before = 0;
  int served_before = 0;

  for (int i = 0; i < SOUND_MAX; i++)
    {
      rig_sleep (begin + i * INTERVAL_S - rig_now ());
      send_sound (i);
      if (!caller_has_trouble ())
        continue;
      /* Each of the two parts is in less than 1 of 20 requests.  */
      if (i == BEFORE || i == SOUND_MAX - 12)
        {
          rig_sleep (0.3);
          send_prompt (NULL, "first-deadly", "dead0001");
        }
      if (i == BEFORE || i == SOUND_MAX - 2)
        {
          rig_sleep (0.15);
          send_prompt (NULL, "second-deadly", "dead0002");
          last_deadly = rig_now ();
        }
    }
  rig_sleep (3);
  if (!caller_has_trouble ())
    {
      for (int i = 0; i < SOUND_MAX; i++)
        served += caller_runs (sound[i].id) > 0;
      rig_record ("%d of %d sound requests began", served, SOUND_MAX);
      return served * 2 < SOUND_MAX ? 1 : 0;
    }
  crashes = caller_count (" crashes on ", &last_crash);
  for (int i = 0; i < SOUND_MAX; i++)
    {
      bool began = caller_runs (sound[i].id) > 0;

      if (i < BEFORE)
        {
          judged_before++;
          served_before += began;
        }
      else if (sound[i].sent_at > last_crash + 2 * STABLE_S
               && sound[i].sent_at < last_deadly)
        {
          judged++;
          served += began;
        }
    }
  rig_record ("crashes: %d, the last at %.3f; sound requests with the same "
              "first part that began: %d of %d before, %d of %d from 2 x "
              "StableWindowMs after the last crash on",
              crashes, last_crash, served_before, judged_before, served,
              judged);
  if (crashes == 0 || judged < JUDGED_MIN || judged_before < JUDGED_MIN)
    return 2;
  return (double)served / judged < 0.5 * served_before / judged_before ? 1 : 0;
}
