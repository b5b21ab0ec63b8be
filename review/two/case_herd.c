#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"
#include "store.h"

/* DRAIN.  An engine leaves: its entry is removed.  At the same moment six of
   eight machines lose power.  The others must send the engine nothing that
   arrives later than DrainMs.  */

#define MACHINES       8
#define LOST           6
#define DRAIN_MS       2000
#define DOWN_MS        2000 /* for_s of herd_kill */
#define EXIT_MS        2150 /* the engine serves a little longer */
#define WATCHED_MS     4000
#define SETTLE_MS      6000
#define SEND_EVERY_MS  20
#define BEAT_MS        1200
#define EVENTS         10
#define EVENT_EVERY_MS 10
#define REQUESTS_MAX   4096
#define ENGINES        3

struct engine
{
  char id[16];
  char *address;
  const char *models;
  bool gone;
  uint64_t born_ms;
};

struct request
{
  uint32_t number;
  const struct rig_machine *machine;
  uint64_t sent_ms;
  uint64_t reached_ms; /* at the engine that leaves; 0: never */
  int status;
  bool complete;
};

static struct rig_machine machines[MACHINES];
static struct engine engines[ENGINES];
static struct request requests[REQUESTS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int open_fds[REQUESTS_MAX];
static size_t open_count;
static uint64_t removed_ms;

static void
put_entry (const struct engine *engine, uint32_t seq)
{
  char key[64];
  char text[1024];

  (void)snprintf (key, sizeof key, "servers/%s", engine->id);
  (void)snprintf (
      text, sizeof text,
      "{\"Service\":\"styling-llm\",\"Address\":\"%s\",\"Zone\":\"port-"
      "louis\","
      "\"Version\":\"1\",\"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":%u,\"born\":%llu,\"Models\":[%s],"
      "\"Available\":{\"InMemory\":[],\"OnDisk\":[\"busy\",\"rare\"]}}",
      engine->address, seq, (unsigned long long)engine->born_ms,
      engine->models);
  store_put (key, text);
}

static void *
beat (void *arg)
{
  (void)arg;
  for (uint32_t seq = 2;; seq++)
    {
      rig_sleep_ms (BEAT_MS);
      pthread_mutex_lock (&lock);
      for (size_t i = 0; i < ENGINES; i++)
        if (!engines[i].gone)
          put_entry (&engines[i], seq);
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

static bool
answer_report (int fd, const struct engine *engine)
{
  char body[512];
  char text[1024];

  (void)snprintf (body, sizeof body,
                  "{\"Stage\":\"prefill_decode\",\"Models\":[%s],"
                  "\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Active\":0,"
                  "\"KvUsed\":0,\"KvTotal\":140899,\"Handles\":0,"
                  "\"Available\":{\"InMemory\":[],"
                  "\"OnDisk\":[\"busy\",\"rare\"]}}",
                  engine->models);
  (void)snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nX-Cowslipcove-Instance-Id: %s\r\n"
                  "Content-Length: %zu\r\n\r\n%s",
                  engine->id, strlen (body), body);
  return rig_write (fd, text, strlen (text));
}

/* Answer with a short stream.  */
static bool
answer_stream (int fd, const struct engine *engine, const char *id)
{
  char text[512];

  (void)snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nX-Cowslipcove-Request-Id: %s\r\n"
                  "X-Cowslipcove-Response-Seal: s-%s\r\n"
                  "X-Cowslipcove-Instance-Id: %s\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  id, id, engine->id);
  if (!rig_write (fd, text, strlen (text)))
    return false;
  for (int i = 1; i <= EVENTS; i++)
    {
      char event[64];

      (void)snprintf (event, sizeof event, "id: %d\ndata: x\n\n", i);
      (void)snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event),
                      event);
      if (!rig_write (fd, text, strlen (text)))
        return false;
      rig_sleep_ms (EVENT_EVERY_MS);
    }
  return rig_write (fd, "0\r\n\r\n", 5);
}

static void
note_arrival (const struct engine *engine, const char *id)
{
  uint32_t number = (uint32_t)strtoul (id, NULL, 16);

  pthread_mutex_lock (&lock);
  if (engine == &engines[0] && number < REQUESTS_MAX)
    requests[number].reached_ms = rig_now_ms ();
  pthread_mutex_unlock (&lock);
}

static void
serve_engine (void *arg, int fd)
{
  struct engine *engine = arg;
  struct rig_message message = { 0 };
  bool ok = true;

  pthread_mutex_lock (&lock);
  if (engine == &engines[0] && engine->gone
      && rig_now_ms () >= removed_ms + EXIT_MS)
    ok = false;
  else if (engine == &engines[0] && open_count < REQUESTS_MAX)
    open_fds[open_count++] = fd;
  pthread_mutex_unlock (&lock);
  while (ok && rig_read_head (fd, &message) && rig_read_body (fd, &message))
    {
      char id[64] = "-";

      (void)rig_field (&message, "X-Cowslipcove-Request-Id", id, sizeof id);
      if (strncmp (message.head, "GET /api/report", 15) == 0)
        ok = answer_report (fd, engine);
      else
        {
          note_arrival (engine, id);
          ok = answer_stream (fd, engine, id);
        }
      rig_message_clear (&message);
    }
  rig_message_clear (&message);
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < open_count; i++)
    if (open_fds[i] == fd)
      open_fds[i] = -1;
  rig_close (fd);
  pthread_mutex_unlock (&lock);
}

static void *
call (void *arg)
{
  struct request *request = arg;
  struct rig_message message = { 0 };
  char text[512];
  int fd = rig_connect (request->machine->front);

  (void)snprintf (text, sizeof text,
                  "POST /style/2f HTTP/1.1\r\nHost: shop.example\r\n"
                  "X-Cowslipcove-Request-Id: %016x\r\n"
                  "X-Cowslipcove-Model: rare\r\n"
                  "X-Cowslipcove-Token-Usage: 1460,80\r\n"
                  "X-Cowslipcove-Prompt-Prefix: 5c1e07a2:800,%x:250\r\n"
                  "X-Cowslipcove-Deadline-Remaining: 15000\r\n"
                  "Content-Length: 2\r\n\r\nhi",
                  request->number, request->number + 4096);
  request->sent_ms = rig_now_ms ();
  request->complete = fd >= 0 && rig_write (fd, text, strlen (text))
                      && rig_read_response (fd, &message);
  request->status = rig_status (&message);
  rig_message_clear (&message);
  rig_close (fd);
  return NULL;
}

static void
write_config (void)
{
  store_put (
      "op/config",
      "{\"Version\":3,\"Routes\":[{\"Name\":\"r-style\",\"Host\":\"shop."
      "example\",\"PathPrefix\":\"/style/\",\"Kind\":\"streaming\","
      "\"TimeoutMs\":15000,\"TargetLatencyMs\":500,\"GapTargetMs\":250,"
      "\"Priority\":1,\"MaxAttempts\":1,\"Sticky\":true,"
      "\"Service\":\"styling-llm\"}],"
      "\"Services\":[{\"Name\":\"styling-llm\",\"MaxConns\":370,\"Engine\":{"
      "\"Slots\":64,\"WeightsMb\":200000,\"AdapterSlots\":8,\"LoadsPerS\":4.5,"
      "\"Models\":[{\"Name\":\"busy\",\"WeightsMb\":34300,\"LoadTimeS\":6.0,"
      "\"WarmS\":0.42,\"DiskS\":0.8,\"Adapters\":0,\"AdapterSizeMb\":0},"
      "{\"Name\":\"rare\",\"WeightsMb\":72700,\"LoadTimeS\":6.9,"
      "\"WarmS\":0.6,\"DiskS\":1.7,\"Adapters\":0,\"AdapterSizeMb\":0}]}}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}}");
}

static void
start_engines (void)
{
  static const char *const models[ENGINES]
      = { "{\"Name\":\"busy\",\"Version\":1,\"Adapters\":[]},"
          "{\"Name\":\"rare\",\"Version\":1,\"Adapters\":[]}",
          "{\"Name\":\"busy\",\"Version\":1,\"Adapters\":[]}",
          "{\"Name\":\"busy\",\"Version\":1,\"Adapters\":[]}" };

  for (size_t i = 0; i < ENGINES; i++)
    {
      struct engine *engine = &engines[i];

      (void)snprintf (engine->id, sizeof engine->id, "i-%zu", i + 1);
      engine->models = models[i];
      engine->born_ms = rig_unix_ms ();
      engine->address
          = rig_listen (rig_ip (200 + (uint32_t)i), serve_engine, engine);
      put_entry (engine, 1);
    }
  rig_thread (beat, NULL);
}

/* Choose the machines that lose power: the leader and the first others by
   name.  Any of them may be hit.  */
static void
choose_lost (bool *lost)
{
  char *leader = store_value ("cowslip/leader");
  size_t count = 0;

  for (size_t i = 0; i < MACHINES; i++)
    {
      char name[80];

      (void)snprintf (name, sizeof name, "\"%s\"", machines[i].name);
      lost[i] = leader != NULL && strstr (leader, name) != NULL;
      count += lost[i];
    }
  if (count != 1)
    rig_skip ("there is no leader");
  for (size_t i = 0; i < MACHINES && count < LOST; i++)
    if (!lost[i])
      {
        lost[i] = true;
        count++;
      }
  free (leader);
}

static void
exit_engine (void)
{
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < open_count; i++)
    if (open_fds[i] >= 0)
      (void)shutdown (open_fds[i], SHUT_RDWR);
  pthread_mutex_unlock (&lock);
  rig_note ("engine %s has left", engines[0].id);
}

static uint32_t
send_while (const char *store, const bool *lost)
{
  bool back = !rig_has_trouble ();
  bool left = false;
  uint32_t count = 0;

  while (rig_now_ms () < removed_ms + WATCHED_MS)
    {
      uint64_t round_ms = rig_now_ms ();

      for (size_t i = 0; i < MACHINES && count < REQUESTS_MAX; i++)
        if (!lost[i])
          {
            requests[count].number = count;
            requests[count].machine = &machines[i];
            rig_thread (call, &requests[count++]);
          }
      if (!back && round_ms >= removed_ms + DOWN_MS)
        {
          for (size_t i = 0; i < MACHINES; i++)
            if (lost[i])
              rig_machine_start (&machines[i], store);
          rig_note ("the machines are back");
          back = true;
        }
      if (!left && round_ms >= removed_ms + EXIT_MS)
        {
          exit_engine ();
          left = true;
        }
      rig_sleep_until (round_ms + SEND_EVERY_MS);
    }
  return count;
}

static int
judge (uint32_t count)
{
  uint32_t late = 0;
  uint32_t cut = 0;
  uint64_t last_ms = 0;

  rig_sleep_ms (1000);
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct request *request = &requests[i];

      if (request->reached_ms == 0)
        continue;
      if (request->reached_ms > last_ms)
        last_ms = request->reached_ms;
      if (request->reached_ms <= removed_ms + DRAIN_MS)
        continue;
      late++;
      cut += !request->complete;
      rig_note ("request %016x: sent to %s %llu ms after the removal, reaches "
                "the engine after %llu ms, answered %d, %s",
                request->number, request->machine->name,
                (unsigned long long)(request->sent_ms - removed_ms),
                (unsigned long long)(request->reached_ms - removed_ms),
                request->status, request->complete ? "whole" : "cut");
    }
  pthread_mutex_unlock (&lock);
  rig_note ("%u requests sent; the last one reaches the engine %lld ms after "
            "the removal; %u arrive later than DrainMs, %u of them are cut",
            count, last_ms == 0 ? 0 : (long long)(last_ms - removed_ms), late,
            cut);
  printf ("DRAIN: %u requests later than %d ms, %u of them cut\n", late,
          DRAIN_MS, cut);
  return late > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  static const char *const zones[]
      = { "curepipe", "grand-baie", "port-louis" };
  static const int per_zone[] = { 2, 3, 3 };
  bool lost[MACHINES] = { false };
  char *store;
  size_t count = 0;

  rig_begin (argc > 1 ? argv[1] : ".");
  store = store_start (rig_ip (250));
  write_config ();
  start_engines ();
  for (int zone = 0; zone < 3; zone++)
    for (int i = 1; i <= per_zone[zone]; i++, count++)
      {
        char name[64];

        (void)snprintf (name, sizeof name, "edge-%s-%d", zones[zone], i);
        rig_machine_set (&machines[count], name, zones[zone],
                         10 + (uint32_t)count);
        rig_machine_start (&machines[count], store);
      }
  for (size_t i = 0; i < MACHINES; i++)
    rig_machine_await (&machines[i]);
  rig_sleep_ms (SETTLE_MS);
  if (rig_has_trouble ())
    choose_lost (lost);
  pthread_mutex_lock (&lock);
  engines[0].gone = true;
  store_remove ("servers/i-1");
  removed_ms = rig_now_ms ();
  pthread_mutex_unlock (&lock);
  rig_note ("the entry of engine i-1 is removed");
  for (size_t i = 0; i < MACHINES; i++)
    if (lost[i])
      {
        rig_machine_kill (&machines[i]);
        rig_note ("%s loses power", machines[i].name);
      }
  rig_end (judge (send_while (store, lost)));
}
