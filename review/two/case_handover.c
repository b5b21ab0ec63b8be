#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "rig.h"
#include "store.h"

/* ONE.  The leader is stopped as planned while an order of its is on its way
   over a link that is cut for a moment.  The engine must not get it after an
   order of the next leader, later than ThawSlackMs after the link has healed.
 */

#define MACHINES      4
#define SETTLE_MS     6000
#define TERM_AFTER_MS 20
/* The link is cut when the order is sent, and heals again.  TCP repeats what
   was lost after 200 ms, which is lost too, and after 400 ms more.  */
#define CUT_MS        250
#define RESENT_MS     600
#define LEASE_MS      3000
#define WATCHED_MS    2500
#define SEND_EVERY_MS 25
#define BEAT_MS       1200
#define WARM_MS       420
#define ORDERS_MAX    64
#define REQUESTS_MAX  2048

struct order
{
  uint64_t at_ms;
  char holder[64];
  uint64_t fence;
};

static struct rig_machine machines[MACHINES];
static char *engine_address;
static char *path_address;
static uint64_t born_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct order orders[ORDERS_MAX];
static size_t order_count;
static uint32_t orders_sent; /* that have entered the path */
static uint64_t seq;
static bool held; /* the wanted model */
static bool busy;
static uint64_t stop_ms; /* when the first leader is stopped; 0: not yet */
static char first_leader[64];

static void *
finish_load (void *arg)
{
  (void)arg;
  rig_sleep_ms (WARM_MS);
  pthread_mutex_lock (&lock);
  held = true;
  busy = false;
  pthread_mutex_unlock (&lock);
  return NULL;
}

static uint64_t
number_of (struct json_object *json, const char *name)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (json, name, &value)
             ? (uint64_t)json_object_get_int64 (value)
             : 0;
}

static const char *
text_of (struct json_object *json, const char *name)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (json, name, &value)
             ? json_object_get_string (value)
             : "";
}

static bool
answer (int fd, int status, const struct rig_message *message,
        const char *extra, const char *body)
{
  char id[64] = "-";
  char text[2048];

  (void)rig_field (message, "X-Cowslipcove-Request-Id", id, sizeof id);
  (void)snprintf (text, sizeof text,
                  "HTTP/1.1 %d X\r\nX-Cowslipcove-Instance-Id: i-1\r\n"
                  "X-Cowslipcove-Request-Id: %s\r\n%sContent-Length: %zu\r\n"
                  "\r\n%s",
                  status, id, extra, strlen (body), body);
  return rig_write (fd, text, strlen (text));
}

/* An order has arrived at the engine.  Return the status of the answer.  */
static int
take_order (const struct rig_message *message)
{
  struct json_object *json = json_tokener_parse (message->body);
  struct order *order;
  int status = 409;

  pthread_mutex_lock (&lock);
  order = &orders[order_count < ORDERS_MAX ? order_count++ : ORDERS_MAX - 1];
  order->at_ms = rig_now_ms ();
  order->fence = number_of (json, "Fence");
  (void)snprintf (order->holder, sizeof order->holder, "%s",
                  text_of (json, "Holder"));
  if (!busy && number_of (json, "Precondition") == seq)
    {
      status = held ? 200 : 202;
      if (!held)
        {
          seq++;
          busy = true;
          rig_thread (finish_load, NULL);
        }
    }
  rig_note ("engine: order of %s with generation number %llu: %s %s, answered "
            "%d",
            order->holder, (unsigned long long)order->fence,
            text_of (json, "Op"), text_of (json, "Model"), status);
  pthread_mutex_unlock (&lock);
  json_object_put (json);
  return status;
}

static void
list_models (char *text, size_t bytes)
{
  (void)snprintf (text, bytes,
                  "{\"Name\":\"busy\",\"Version\":1,\"Adapters\":"
                  "[]}%s",
                  held ? ",{\"Name\":\"rare\",\"Version\":1,\"Adapters\":[]}"
                       : "");
}

static bool
answer_report (int fd, const struct rig_message *message)
{
  char models[256];
  char body[1024];

  pthread_mutex_lock (&lock);
  list_models (models, sizeof models);
  (void)snprintf (body, sizeof body,
                  "{\"Stage\":\"prefill_decode\",\"Models\":[%s],"
                  "\"Busy\":%s,\"Seq\":%llu,\"Queued\":0,\"Active\":0,"
                  "\"KvUsed\":0,\"KvTotal\":140899,\"Handles\":0,"
                  "\"Available\":{\"InMemory\":[\"busy\",\"rare\"],"
                  "\"OnDisk\":[\"busy\",\"rare\"]}}",
                  models, busy ? "true" : "false", (unsigned long long)seq);
  pthread_mutex_unlock (&lock);
  return answer (fd, 200, message, "", body);
}

static void
serve_engine (void *arg, int fd)
{
  struct rig_message message = { 0 };
  bool ok = true;

  (void)arg;
  while (ok && rig_read_head (fd, &message) && rig_read_body (fd, &message))
    {
      if (strncmp (message.head, "GET /api/report", 15) == 0)
        ok = answer_report (fd, &message);
      else if (strncmp (message.head, "POST /api/order", 15) == 0)
        ok = answer (fd, take_order (&message), &message, "", "");
      else if (held)
        ok = answer (fd, 200, &message, "X-Cowslipcove-Response-Seal: s\r\n",
                     "styled");
      else
        ok = answer (fd, 421, &message, "", "");
      rig_message_clear (&message);
    }
  rig_message_clear (&message);
  rig_close (fd);
}

/* The first order enters the path: its sender is about to be stopped, and the
   link is cut.  */
static void
delay_first_order (const struct rig_message *message)
{
  struct json_object *json = json_tokener_parse (message->body);
  bool first;

  pthread_mutex_lock (&lock);
  first = orders_sent++ == 0;
  if (first)
    {
      (void)snprintf (first_leader, sizeof first_leader, "%s",
                      text_of (json, "Holder"));
      rig_note ("%s sends an order, generation number %llu", first_leader,
                (unsigned long long)number_of (json, "Fence"));
      stop_ms = rig_now_ms () + TERM_AFTER_MS;
    }
  pthread_mutex_unlock (&lock);
  json_object_put (json);
  if (!first || !rig_has_trouble ())
    return;
  rig_note ("the link from %s to the engine is cut", first_leader);
  rig_sleep_ms (CUT_MS);
  rig_note ("the link heals");
  rig_sleep_ms (RESENT_MS - CUT_MS);
}

/* The links between the machines and the engine.  */
static void
serve_path (void *arg, int fd)
{
  struct rig_message message = { 0 };
  int engine = rig_connect (engine_address);
  bool ok = engine >= 0;

  (void)arg;
  while (ok && rig_read_head (fd, &message) && rig_read_body (fd, &message))
    {
      struct rig_message response = { 0 };

      if (strncmp (message.head, "POST /api/order", 15) == 0)
        delay_first_order (&message);
      ok = rig_write (engine, message.head, message.head_bytes)
           && rig_write (engine, message.body, message.body_bytes)
           && rig_read_response (engine, &response)
           && rig_write (fd, response.head, response.head_bytes)
           && rig_write (fd, response.body, response.body_bytes);
      rig_message_clear (&response);
      rig_message_clear (&message);
    }
  rig_message_clear (&message);
  rig_close (engine);
  rig_close (fd);
}

static void
put_entry (uint32_t entry_seq)
{
  char models[256];
  char text[1024];

  pthread_mutex_lock (&lock);
  list_models (models, sizeof models);
  pthread_mutex_unlock (&lock);
  (void)snprintf (
      text, sizeof text,
      "{\"Service\":\"styling-llm\",\"Address\":\"%s\",\"Zone\":\"port-"
      "louis\","
      "\"Version\":\"1\",\"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":%u,\"born\":%llu,\"Models\":[%s],"
      "\"Available\":{\"InMemory\":[\"busy\",\"rare\"],"
      "\"OnDisk\":[\"busy\",\"rare\"]}}",
      path_address, entry_seq, (unsigned long long)born_ms, models);
  store_put ("servers/i-1", text);
}

static void *
beat (void *arg)
{
  (void)arg;
  for (uint32_t entry_seq = 2;; entry_seq++)
    {
      rig_sleep_ms (BEAT_MS);
      put_entry (entry_seq);
    }
  return NULL;
}

static void
write_config (void)
{
  store_put (
      "op/config",
      "{\"Version\":3,\"Routes\":[{\"Name\":\"r-style\",\"Host\":\"shop."
      "example\",\"PathPrefix\":\"/style/\",\"Kind\":\"idempotent\","
      "\"TimeoutMs\":8000,\"TargetLatencyMs\":500,\"Priority\":1,"
      "\"MaxAttempts\":2,\"Sticky\":true,\"Service\":\"styling-llm\"}],"
      "\"Services\":[{\"Name\":\"styling-llm\",\"MaxConns\":370,\"Engine\":{"
      "\"Slots\":64,\"WeightsMb\":200000,\"AdapterSlots\":8,\"LoadsPerS\":4.5,"
      "\"Models\":[{\"Name\":\"busy\",\"WeightsMb\":34300,\"LoadTimeS\":6.0,"
      "\"WarmS\":0.42,\"DiskS\":0.8,\"Adapters\":0,\"AdapterSizeMb\":0},"
      "{\"Name\":\"rare\",\"WeightsMb\":72700,\"LoadTimeS\":6.9,"
      "\"WarmS\":0.6,\"DiskS\":1.7,\"Adapters\":0,\"AdapterSizeMb\":0}]}}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}}");
}

struct request
{
  const struct rig_machine *machine;
  uint32_t number;
};

static void *
call (void *arg)
{
  const struct request *request = arg;
  struct rig_message message = { 0 };
  char text[512];
  int fd = rig_connect (request->machine->front);

  (void)snprintf (text, sizeof text,
                  "POST /style/2f HTTP/1.1\r\nHost: shop.example\r\n"
                  "X-Cowslipcove-Request-Id: %016x\r\n"
                  "X-Cowslipcove-Model: rare\r\n"
                  "X-Cowslipcove-Deadline-Remaining: 8000\r\n"
                  "Content-Length: 2\r\n\r\nhi",
                  request->number);
  if (fd >= 0 && rig_write (fd, text, strlen (text)))
    (void)rig_read_response (fd, &message);
  rig_message_clear (&message);
  rig_close (fd);
  return NULL;
}

static void
stop_first_leader (void)
{
  for (size_t i = 0; i < MACHINES; i++)
    if (strcmp (machines[i].name, first_leader) == 0)
      {
        (void)kill (machines[i].pid, SIGTERM);
        rig_note ("%s gets SIGTERM", first_leader);
      }
}

/* Ask all machines for a model that no engine holds.  */
static void
send_requests (void)
{
  static struct request requests[REQUESTS_MAX];
  uint64_t end_ms = rig_now_ms () + WATCHED_MS;
  uint32_t count = 0;
  bool stopped = false;

  while (rig_now_ms () < end_ms)
    {
      uint64_t round_ms = rig_now_ms ();

      for (size_t i = 0; i < MACHINES && count < REQUESTS_MAX; i++)
        {
          requests[count] = (struct request){ &machines[i], count };
          rig_thread (call, &requests[count++]);
        }
      for (int i = 0; i < SEND_EVERY_MS; i++)
        {
          if (!stopped && stop_ms != 0 && rig_now_ms () >= stop_ms)
            {
              stop_first_leader ();
              stopped = true;
            }
          rig_sleep_ms (1);
        }
      rig_sleep_until (round_ms + SEND_EVERY_MS);
    }
}

static int
judge (void)
{
  uint64_t highest = 0;
  uint32_t lower = 0;
  uint32_t turns = 0;

  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < order_count; i++)
    {
      lower += orders[i].fence < highest;
      if (orders[i].fence > highest)
        highest = orders[i].fence;
      for (size_t j = i; j-- > 1;)
        if (strcmp (orders[i].holder, orders[j].holder) != 0
            && strcmp (orders[i].holder, orders[j - 1].holder) == 0
            && orders[i].at_ms - orders[j - 1].at_ms < LEASE_MS)
          turns++;
    }
  pthread_mutex_unlock (&lock);
  rig_note ("%zu orders arrived, %u with a lower generation number after a "
            "higher one, %u turns within LeaseMs",
            order_count, lower, turns);
  printf ("ONE: %u orders with a lower generation number after a higher one\n",
          lower);
  if (order_count < 1 || stop_ms == 0)
    rig_skip ("no order was sent");
  return lower + turns > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  static const char *const names[MACHINES]
      = { "edge-curepipe-1", "edge-grand-baie-1", "edge-port-louis-1",
          "edge-port-louis-2" };
  static const char *const zones[MACHINES]
      = { "curepipe", "grand-baie", "port-louis", "port-louis" };
  char *store;

  rig_begin (argc > 1 ? argv[1] : ".");
  store = store_start (rig_ip (250));
  write_config ();
  born_ms = rig_unix_ms ();
  engine_address = rig_listen (rig_ip (200), serve_engine, NULL);
  path_address = rig_listen (rig_ip (201), serve_path, NULL);
  put_entry (1);
  rig_thread (beat, NULL);
  for (size_t i = 0; i < MACHINES; i++)
    {
      rig_machine_set (&machines[i], names[i], zones[i], 10 + (uint32_t)i);
      rig_machine_start (&machines[i], store);
    }
  for (size_t i = 0; i < MACHINES; i++)
    rig_machine_await (&machines[i]);
  rig_sleep_ms (SETTLE_MS);
  send_requests ();
  rig_end (judge ());
}
