#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plain.h"
#include "rig.h"
#include "store.h"

/* DRAIN.  An engine leaves and says so in all its answers.  Later than DrainMs
   after the machine has passed on such an answer, another writer replaces the
   entry of the engine by one without a field.  It names no engine to use.  */

#define MACHINES      2
#define ENGINES       3
#define DRAIN_MS      2000
#define BEAT_MS       1200
#define SETTLE_MS     3000
#define CALM_MS       1500
#define FOREIGN_MS    3000 /* after the leaving began */
#define WATCHED_MS    6000
#define EXIT_MS       6000 /* the engine serves many seconds longer */
#define SEND_EVERY_MS 25
#define WORK_MS       60
#define REQUESTS_MAX  4096

struct engine
{
  char id[16];
  char *address;
  uint64_t born_ms;
  uint32_t seq;
};

struct request
{
  uint32_t number;
  const struct rig_machine *machine;
  uint64_t sent_ms;
  uint64_t reached_ms; /* at the engine that leaves; 0: never */
  int status;
};

static struct rig_machine machines[MACHINES];
static struct engine engines[ENGINES];
static struct request requests[REQUESTS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t leaving_ms;          /* 0: not yet */
static uint64_t passed_ms[MACHINES]; /* first answer with the field */

/* Write the own entry of ENGINE.  */
static void
put_entry (struct engine *engine)
{
  const struct plain_entry entry
      = { .id = engine->id,
          .service = "booking-app",
          .address = engine->address,
          .state
          = engine == &engines[0] && leaving_ms != 0 ? "draining" : "ready",
          .slots = 6,
          .seq = ++engine->seq,
          .born_ms = engine->born_ms };

  plain_put_entry (&entry);
}

/* Another writer's entry: the field born is missing.  */
static void
put_foreign_entry (const struct engine *engine)
{
  const struct plain_entry entry = { .id = engine->id,
                                     .service = "booking-app",
                                     .address = engine->address,
                                     .state = "ready",
                                     .slots = 6,
                                     .seq = 1 };

  plain_put_entry (&entry);
}

static void *
beat (void *arg)
{
  (void)arg;
  for (;;)
    {
      rig_sleep_ms (BEAT_MS);
      pthread_mutex_lock (&lock);
      for (size_t i = 0; i < ENGINES; i++)
        put_entry (&engines[i]);
      pthread_mutex_unlock (&lock);
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
      bool leaves;

      (void)rig_field (&message, "X-Cowslipcove-Request-Id", id, sizeof id);
      number = (uint32_t)strtoul (id, NULL, 16);
      pthread_mutex_lock (&lock);
      leaves = engine == &engines[0] && leaving_ms != 0;
      if (leaves && number < REQUESTS_MAX)
        requests[number].reached_ms = rig_now_ms ();
      pthread_mutex_unlock (&lock);
      rig_sleep_ms (WORK_MS);
      ok = plain_answer (fd, 200, id, engine->id,
                         leaves ? "Server-Leaving: 1\r\n" : "", "booked");
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
  size_t machine = (size_t)(request->machine - machines);
  char value[8];
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
  pthread_mutex_lock (&lock);
  if (message.head != NULL && passed_ms[machine] == 0
      && rig_field (&message, "Server-Leaving", value, sizeof value))
    {
      passed_ms[machine] = rig_now_ms ();
      rig_note ("%s passes on the first answer with Server-Leaving",
                request->machine->name);
    }
  pthread_mutex_unlock (&lock);
  rig_message_clear (&message);
  rig_close (fd);
  return NULL;
}

static uint32_t
send_requests (uint64_t start_ms)
{
  uint32_t count = 0;
  bool left = false;
  bool foreign = !rig_has_trouble ();

  while (rig_now_ms () < start_ms + CALM_MS + WATCHED_MS)
    {
      uint64_t round_ms = rig_now_ms ();

      for (size_t i = 0; i < MACHINES && count < REQUESTS_MAX; i++)
        {
          requests[count].number = count;
          requests[count].machine = &machines[i];
          rig_thread (call, &requests[count++]);
        }
      pthread_mutex_lock (&lock);
      if (!left && round_ms >= start_ms + CALM_MS)
        {
          left = true;
          leaving_ms = rig_now_ms ();
          put_entry (&engines[0]);
          rig_note ("engine i-1 begins to leave: entry and answers say so");
        }
      if (!foreign && left && round_ms >= leaving_ms + FOREIGN_MS)
        {
          foreign = true;
          put_foreign_entry (&engines[0]);
          rig_note ("another writer's entry for i-1, without born");
        }
      pthread_mutex_unlock (&lock);
      rig_sleep_until (round_ms + SEND_EVERY_MS);
    }
  return count;
}

static int
judge (uint32_t count)
{
  uint32_t late = 0;

  rig_sleep_ms (1000);
  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct request *request = &requests[i];
      uint64_t since_ms = passed_ms[request->machine - machines];

      if (request->reached_ms == 0 || since_ms == 0
          || request->sent_ms <= since_ms + DRAIN_MS)
        continue;
      late++;
      rig_note ("request %016x: sent to %s %llu ms after it had passed on "
                "Server-Leaving, reaches i-1, answered %d",
                request->number, request->machine->name,
                (unsigned long long)(request->sent_ms - since_ms),
                request->status);
    }
  pthread_mutex_unlock (&lock);
  rig_note ("%u requests sent, %u of them reach i-1 later than DrainMs", count,
            late);
  printf ("DRAIN: %u requests reach the engine that leaves\n", late);
  if (passed_ms[0] == 0 && passed_ms[1] == 0)
    rig_skip ("no answer with Server-Leaving was passed on");
  return late > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  char *store;

  rig_begin (argc > 1 ? argv[1] : ".");
  store = store_start (rig_ip (250));
  plain_put_config (3, "booking-app", NULL, 1500);
  for (size_t i = 0; i < ENGINES; i++)
    {
      (void)snprintf (engines[i].id, sizeof engines[i].id, "i-%zu", i + 1);
      engines[i].born_ms = rig_unix_ms ();
      engines[i].address
          = rig_listen (rig_ip (200 + (uint32_t)i), serve_engine, &engines[i]);
      put_entry (&engines[i]);
    }
  rig_thread (beat, NULL);
  for (size_t i = 0; i < MACHINES; i++)
    {
      char name[64];

      (void)snprintf (name, sizeof name, "edge-port-louis-%zu", i + 1);
      rig_machine_set (&machines[i], name, "port-louis", 10 + (uint32_t)i);
      rig_machine_start (&machines[i], store);
    }
  for (size_t i = 0; i < MACHINES; i++)
    rig_machine_await (&machines[i]);
  rig_sleep_ms (SETTLE_MS);
  rig_end (judge (send_requests (rig_now_ms ())));
}
