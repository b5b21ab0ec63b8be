#include <pthread.h>
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plain.h"
#include "rig.h"
#include "store.h"

/* LOST.  Requesters send bodies of up to MaxBodyBytes on kept channels.  When
   2.4 times as many of them come, the machine must still answer what it has
   passed on to sound engines.  As on the platform, a process over MemoryMb is
   killed.  */

#define USUAL        14
#define BURST        34 /* 2.4 times as many, rounded up */
#define BODY_BYTES   4194304
#define MEMORY_BYTES (260UL << 20)
#define ENGINES      3
#define SLOTS        6
#define WORK_MS      250
#define SETTLE_MS    2000
#define USUAL_MS     5000
#define BURST_MS     5000
#define PAUSE_MS     300
#define REQUESTS_MAX 8192
#define LOST_MAX     3

struct engine
{
  char id[16];
  char *address;
  sem_t slots;
};

struct request
{
  bool passed_on; /* an engine has read its head */
  bool ran;
  bool answered;
};

static struct rig_machine machine;
static struct engine engines[ENGINES];
static struct request requests[REQUESTS_MAX];
static uint32_t request_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool stopping;
static volatile bool killed;
static uint64_t peak_bytes;
static char *payload;

/* An engine reads a request when one of its slots is free.  */
static void
serve_engine (void *arg, int fd)
{
  struct engine *engine = arg;
  struct rig_message message = { 0 };
  bool ok = true;

  while (ok && rig_read_head (fd, &message))
    {
      char id[64] = "-";
      uint32_t number;

      (void)rig_field (&message, "X-Cowslipcove-Request-Id", id, sizeof id);
      number = (uint32_t)strtoul (id, NULL, 16);
      pthread_mutex_lock (&lock);
      requests[number].passed_on = true;
      pthread_mutex_unlock (&lock);
      sem_wait (&engine->slots);
      ok = rig_read_body (fd, &message);
      if (ok)
        {
          pthread_mutex_lock (&lock);
          requests[number].ran = true;
          pthread_mutex_unlock (&lock);
          rig_sleep_ms (WORK_MS);
        }
      sem_post (&engine->slots);
      ok = ok && plain_answer (fd, 200, id, engine->id, "", "booked");
      rig_message_clear (&message);
    }
  rig_message_clear (&message);
  rig_close (fd);
}

/* Send a request with a body of BYTES on FD.  Return whether it was answered
   and the channel stays open.  */
static bool
ask (int fd, size_t bytes)
{
  struct rig_message message = { 0 };
  char text[512];
  uint32_t number;
  bool ok;

  pthread_mutex_lock (&lock);
  number = request_count++;
  pthread_mutex_unlock (&lock);
  (void)snprintf (text, sizeof text,
                  "POST /book/2f HTTP/1.1\r\nHost: shop.example\r\n"
                  "X-Cowslipcove-Request-Id: %016x\r\n"
                  "X-Cowslipcove-Deadline-Remaining: 20000\r\n"
                  "Content-Length: %zu\r\n\r\n",
                  number, bytes);
  ok = rig_write (fd, text, strlen (text)) && rig_write (fd, payload, bytes)
       && rig_read_response (fd, &message);
  requests[number].answered = ok;
  rig_message_clear (&message);
  return ok;
}

/* A requester with a kept channel.  */
static void *
requester (void *arg)
{
  (void)arg;
  while (!stopping && !killed)
    {
      int fd = rig_connect (machine.front);
      bool ok = fd >= 0 && ask (fd, 600);

      while (ok && !stopping && !killed)
        {
          ok = ask (fd, BODY_BYTES);
          rig_sleep_ms (PAUSE_MS);
        }
      rig_close (fd);
    }
  return NULL;
}

/* The platform's limit of memory.  */
static void *
watch_memory (void *arg)
{
  (void)arg;
  while (!stopping)
    {
      uint64_t bytes = rig_machine_memory (&machine);

      if (bytes > peak_bytes)
        peak_bytes = bytes;
      if (bytes > MEMORY_BYTES)
        {
          rig_note ("the process has %llu MB, over MemoryMb, and is killed",
                    (unsigned long long)(bytes >> 20));
          killed = true;
          rig_machine_kill (&machine);
          return NULL;
        }
      rig_sleep_ms (5);
    }
  return NULL;
}

static int
judge (void)
{
  uint32_t passed_on = 0;
  uint32_t lost = 0;
  uint32_t ran = 0;

  pthread_mutex_lock (&lock);
  for (uint32_t i = 0; i < request_count; i++)
    {
      passed_on += requests[i].passed_on;
      if (!requests[i].passed_on || requests[i].answered)
        continue;
      lost++;
      ran += requests[i].ran;
      rig_note ("request %016x: passed on to an engine%s, its kept channel "
                "ends without an answer",
                i, requests[i].ran ? " and run" : "");
    }
  pthread_mutex_unlock (&lock);
  rig_note ("%u requests, %u passed on, %u of these without an answer, %u of "
            "them had run; peak memory %llu MB",
            request_count, passed_on, lost, ran,
            (unsigned long long)(peak_bytes >> 20));
  printf ("LOST: %u requests, peak memory %llu MB\n", lost,
          (unsigned long long)(peak_bytes >> 20));
  return lost > LOST_MAX ? 1 : 0;
}

int
main (int argc, char **argv)
{
  char *store;

  rig_begin (argc > 1 ? argv[1] : ".");
  payload = malloc (BODY_BYTES);
  memset (payload, 'x', BODY_BYTES);
  store = store_start (rig_ip (250));
  plain_put_config (3, "booking-app", NULL, 20000);
  for (size_t i = 0; i < ENGINES; i++)
    {
      struct plain_entry entry = { .id = engines[i].id,
                                   .service = "booking-app",
                                   .state = "ready",
                                   .slots = SLOTS,
                                   .seq = 1,
                                   .born_ms = rig_unix_ms () };

      (void)snprintf (engines[i].id, sizeof engines[i].id, "i-%zu", i + 1);
      sem_init (&engines[i].slots, 0, SLOTS);
      engines[i].address
          = rig_listen (rig_ip (200 + (uint32_t)i), serve_engine, &engines[i]);
      entry.address = engines[i].address;
      plain_put_entry (&entry);
    }
  rig_machine_set (&machine, "edge-port-louis-1", "port-louis", 10);
  rig_machine_start (&machine, store);
  rig_machine_await (&machine);
  rig_sleep_ms (SETTLE_MS);
  rig_thread (watch_memory, NULL);
  rig_note ("%d requesters", USUAL);
  for (int i = 0; i < USUAL; i++)
    rig_thread (requester, NULL);
  rig_sleep_ms (USUAL_MS);
  rig_note ("memory at its peak so far: %llu MB",
            (unsigned long long)(peak_bytes >> 20));
  if (rig_has_trouble () && !killed)
    {
      rig_note ("%d requesters", BURST);
      for (int i = USUAL; i < BURST; i++)
        rig_thread (requester, NULL);
    }
  rig_sleep_ms (BURST_MS);
  stopping = true;
  /* What is under way may end.  */
  rig_sleep_ms (6000);
  rig_end (judge ());
}
