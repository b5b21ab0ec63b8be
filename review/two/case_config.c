#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plain.h"
#include "rig.h"
#include "store.h"

/* CONFIG.  A configuration moves a route to another service.  As soon as the
   store has confirmed it, nine of fifteen machines lose power.  The others
   must use it after ConfigApplyMs.  */

#define MACHINES      15
#define LOST          9
#define APPLY_MS      2000
#define DOWN_MS       2000 /* for_s of herd_kill */
#define WATCHED_MS    4000
#define SETTLE_MS     6000
#define SEND_EVERY_MS 25
#define BEAT_MS       1200
#define WORK_MS       60
#define REQUESTS_MAX  8192
#define ENGINES       2

struct engine
{
  char id[16];
  const char *service;
  char *address;
  uint64_t born_ms;
};

struct request
{
  uint32_t number;
  const struct rig_machine *machine;
  uint64_t sent_ms;
  const struct engine *ran_at; /* NULL: not run */
  int status;
};

static struct rig_machine machines[MACHINES];
static struct engine engines[ENGINES]
    = { { .service = "booking-app" }, { .service = "booking-new" } };
static struct request requests[REQUESTS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
put_entries (uint32_t seq)
{
  for (size_t i = 0; i < ENGINES; i++)
    {
      const struct plain_entry entry = { .id = engines[i].id,
                                         .service = engines[i].service,
                                         .address = engines[i].address,
                                         .state = "ready",
                                         .slots = 64,
                                         .seq = seq,
                                         .born_ms = engines[i].born_ms };

      plain_put_entry (&entry);
    }
}

static void *
beat (void *arg)
{
  (void)arg;
  for (uint32_t seq = 2;; seq++)
    {
      rig_sleep_ms (BEAT_MS);
      put_entries (seq);
    }
  return NULL;
}

static void
serve_engine (void *arg, int fd)
{
  struct engine *engine = arg;
  struct rig_message message = { 0 };
  bool ok = true;

  while (ok && rig_read_head (fd, &message) && rig_read_body (fd, &message))
    {
      char id[64] = "-";
      uint32_t number;

      (void)rig_field (&message, "X-Cowslipcove-Request-Id", id, sizeof id);
      number = (uint32_t)strtoul (id, NULL, 16);
      pthread_mutex_lock (&lock);
      if (number < REQUESTS_MAX)
        requests[number].ran_at = engine;
      pthread_mutex_unlock (&lock);
      rig_sleep_ms (WORK_MS);
      ok = plain_answer (fd, 200, id, engine->id, "", "booked");
      rig_message_clear (&message);
    }
  rig_message_clear (&message);
  rig_close (fd);
}

static void *
call (void *arg)
{
  struct request *request = arg;
  struct rig_message message = { 0 };
  char text[512];
  int fd = rig_connect (request->machine->front);

  (void)snprintf (text, sizeof text,
                  "POST /book/2f HTTP/1.1\r\nHost: shop.example\r\n"
                  "X-Cowslipcove-Request-Id: %016x\r\n"
                  "X-Cowslipcove-Deadline-Remaining: 3000\r\n"
                  "Content-Length: 2\r\n\r\nhi",
                  request->number);
  request->sent_ms = rig_now_ms ();
  if (fd >= 0 && rig_write (fd, text, strlen (text))
      && rig_read_response (fd, &message))
    request->status = rig_status (&message);
  rig_message_clear (&message);
  rig_close (fd);
  return NULL;
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

static uint32_t
send_while (const char *store, const bool *lost, uint64_t changed_ms)
{
  bool back = !rig_has_trouble ();
  uint32_t count = 0;

  while (rig_now_ms () < changed_ms + WATCHED_MS)
    {
      uint64_t round_ms = rig_now_ms ();

      for (size_t i = 0; i < MACHINES && count < REQUESTS_MAX; i++)
        if (!lost[i])
          {
            requests[count].number = count;
            requests[count].machine = &machines[i];
            rig_thread (call, &requests[count++]);
          }
      if (!back && round_ms >= changed_ms + DOWN_MS)
        {
          for (size_t i = 0; i < MACHINES; i++)
            if (lost[i])
              rig_machine_start (&machines[i], store);
          rig_note ("the machines are back");
          back = true;
        }
      rig_sleep_until (round_ms + SEND_EVERY_MS);
    }
  return count;
}

static int
judge (uint32_t count, uint64_t changed_ms)
{
  uint32_t late = 0;
  uint64_t last_ms = 0;

  rig_sleep_ms (1000);
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct request *request = &requests[i];

      if (request->ran_at != &engines[0])
        continue;
      if (request->sent_ms > last_ms)
        last_ms = request->sent_ms;
      if (request->sent_ms <= changed_ms + APPLY_MS)
        continue;
      late++;
      rig_note (
          "request %016x: sent to %s %llu ms after the confirmation, run "
          "by the old service, answered %d",
          request->number, request->machine->name,
          (unsigned long long)(request->sent_ms - changed_ms),
          request->status);
    }
  pthread_mutex_unlock (&lock);
  rig_note ("%u requests sent; the last one that the old service runs is sent "
            "%lld ms after the confirmation; %u are sent later than "
            "ConfigApplyMs",
            count, last_ms == 0 ? 0 : (long long)(last_ms - changed_ms), late);
  printf ("CONFIG: the old service runs %u requests later than %d ms\n", late,
          APPLY_MS);
  return late > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  static const char *const zones[]
      = { "curepipe", "grand-baie", "port-louis" };
  bool lost[MACHINES] = { false };
  uint64_t changed_ms;
  char *store;

  rig_begin (argc > 1 ? argv[1] : ".");
  store = store_start (rig_ip (250));
  plain_put_config (3, "booking-app", "booking-new", 1500);
  for (size_t i = 0; i < ENGINES; i++)
    {
      (void)snprintf (engines[i].id, sizeof engines[i].id, "i-%zu", i + 1);
      engines[i].born_ms = rig_unix_ms ();
      engines[i].address
          = rig_listen (rig_ip (200 + (uint32_t)i), serve_engine, &engines[i]);
    }
  put_entries (1);
  rig_thread (beat, NULL);
  for (size_t i = 0; i < MACHINES; i++)
    {
      char name[64];

      (void)snprintf (name, sizeof name, "edge-%s-%zu", zones[i / 5],
                      1 + i % 5);
      rig_machine_set (&machines[i], name, zones[i / 5], 10 + (uint32_t)i);
      rig_machine_start (&machines[i], store);
    }
  for (size_t i = 0; i < MACHINES; i++)
    rig_machine_await (&machines[i]);
  rig_sleep_ms (SETTLE_MS);
  if (rig_has_trouble ())
    choose_lost (lost);
  plain_put_config (7, "booking-new", "booking-app", 1500);
  changed_ms = rig_now_ms ();
  rig_note ("the store confirms version 7: the route moves to booking-new");
  for (size_t i = 0; i < MACHINES; i++)
    if (lost[i])
      {
        rig_machine_kill (&machines[i]);
        rig_note ("%s loses power", machines[i].name);
      }
  rig_end (judge (send_while (store, lost, changed_ms), changed_ms));
}
