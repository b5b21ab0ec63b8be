#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <json-c/json.h>

#include "rig.h"
#include "store.h"

/* LIMIT.  Two of seven orders to an engine get no answer and are carried out
   seconds later.  No order may ask the engine to load more than it holds.  */

#define CAPACITY_MB    200000
#define SETTLE_MS      3000
#define REPORT_LAG_MS  300  /* a report is some hundred ms old */
#define LATE_LOAD_MS   2100 /* of 2 to 12 s */
#define LATE_UNLOAD_MS 6000
#define SECOND_MS                                                             \
  1150 /* from the request for "short" to those for "next"                    \
        */
#define MODELS      3
#define HISTORY_MAX 256
#define NAMES_BYTES 256

struct model
{
  const char *name;
  uint32_t mb;
  uint32_t warm_ms;
};

/* "held" is what the engine starts with; "next" needs its room; "short" fits
   beside it.  */
static const struct model models[MODELS] = { { "held", 120000, 420 },
                                             { "next", 120000, 420 },
                                             { "short", 60000, 200 } };

/* What the engine says of itself from AT_MS on.  */
struct state
{
  uint64_t at_ms;
  char models[NAMES_BYTES * 2];
  uint64_t seq;
  bool busy;
};

static struct rig_machine machine;
static char *address;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct state history[HISTORY_MAX];
static size_t history_count;
static bool holds[MODELS];
static char adapters[NAMES_BYTES];
static int loading = -1; /* index of the model, or -1 */
static uint64_t seq;
static uint64_t born_ms;
static uint32_t orders;
static uint32_t model_orders;
static bool over_limit;
static bool crashed;

static int
model_index (const char *name)
{
  for (int i = 0; i < MODELS; i++)
    if (strcmp (models[i].name, name) == 0)
      return i;
  return -1;
}

/* Remember the present state, for reports.  */
static void
remember (void)
{
  struct state *state = &history[history_count++ % HISTORY_MAX];

  state->at_ms = rig_now_ms ();
  state->seq = seq;
  state->busy = loading >= 0;
  state->models[0] = '\0';
  for (int i = 0; i < MODELS; i++)
    if (holds[i])
      (void)snprintf (state->models + strlen (state->models),
                      sizeof state->models - strlen (state->models),
                      "%s{\"Name\":\"%s\",\"Version\":1,\"Adapters\":[%s]}",
                      state->models[0] == '\0' ? "" : ",", models[i].name,
                      i == 0 ? adapters : "");
}

static const struct state *
state_before (uint64_t at_ms)
{
  size_t i = history_count;

  while (i > 1 && history[(i - 1) % HISTORY_MAX].at_ms > at_ms)
    i--;
  return &history[(i - 1) % HISTORY_MAX];
}

static void *
finish_load (void *arg)
{
  int index = (int)(intptr_t)arg;

  rig_sleep_ms (models[index].warm_ms);
  pthread_mutex_lock (&lock);
  holds[index] = true;
  loading = -1;
  remember ();
  rig_note ("engine: %s is loaded", models[index].name);
  pthread_mutex_unlock (&lock);
  return NULL;
}

static uint32_t
used_mb (void)
{
  uint32_t total_mb = 0;

  for (int i = 0; i < MODELS; i++)
    total_mb += holds[i] ? models[i].mb : 0;
  return total_mb;
}

static void
begin_load (int index)
{
  uint32_t needed_mb = used_mb () + models[index].mb;

  rig_note ("engine: begins to load %s; with what it holds that is %u of %u "
            "MB",
            models[index].name, needed_mb, CAPACITY_MB);
  if (needed_mb > CAPACITY_MB)
    {
      over_limit = true;
      crashed = true;
      rig_note ("engine: is ordered to load more than it holds, and crashes");
      return;
    }
  loading = index;
  remember ();
  rig_thread (finish_load, (void *)(intptr_t)index);
}

/* Carry out an order.  Return the status of the answer.  */
static int
carry_out (const char *op, const char *model, const char *adapter,
           uint64_t precondition)
{
  bool load = strcmp (op, "model_load") == 0;
  int index = model_index (model);

  if (index < 0)
    return 400;
  if (precondition != seq || loading >= 0)
    return 409;
  if (adapter == NULL && load == holds[index])
    return 200;
  seq++;
  if (adapter != NULL)
    {
      if (load)
        (void)snprintf (adapters + strlen (adapters),
                        sizeof adapters - strlen (adapters), "%s\"%s\"",
                        adapters[0] == '\0' ? "" : ",", adapter);
      remember ();
    }
  else if (load)
    begin_load (index);
  else
    {
      holds[index] = false;
      adapters[0] = '\0';
      remember ();
      rig_note ("engine: %s is unloaded", model);
    }
  return 202;
}

struct order
{
  char op[16];
  char model[32];
  char adapter[32];
  uint64_t precondition;
  uint32_t delay_ms;
};

static const char *
order_adapter (const struct order *order)
{
  return order->adapter[0] == '\0' ? NULL : order->adapter;
}

static void *
carry_out_late (void *arg)
{
  struct order *order = arg;
  int status;

  rig_sleep_ms (order->delay_ms);
  pthread_mutex_lock (&lock);
  rig_note ("engine: the late order %s %s is due", order->op, order->model);
  status = carry_out (order->op, order->model, order_adapter (order),
                      order->precondition);
  if (status == 409)
    rig_note ("engine: refuses it, its count has changed");
  pthread_mutex_unlock (&lock);
  free (order);
  return NULL;
}

static const char *
text_of (struct json_object *json, const char *name)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (json, name, &value)
             ? json_object_get_string (value)
             : "";
}

static struct order *
read_order (const char *body)
{
  struct order *order = calloc (1, sizeof *order);
  struct json_object *json = json_tokener_parse (body);
  struct json_object *value = NULL;

  (void)snprintf (order->op, sizeof order->op, "%s", text_of (json, "Op"));
  (void)snprintf (order->model, sizeof order->model, "%s",
                  text_of (json, "Model"));
  (void)snprintf (order->adapter, sizeof order->adapter, "%s",
                  text_of (json, "Adapter"));
  if (json_object_object_get_ex (json, "Precondition", &value))
    order->precondition = (uint64_t)json_object_get_int64 (value);
  json_object_put (json);
  return order;
}

/* Return whether ORDER, which has just arrived, gets no answer: the first two
   for models.  Four for adapters came before.  */
static bool
is_lost (struct order *order)
{
  if (order_adapter (order) != NULL || ++model_orders > 2
      || !rig_has_trouble ())
    return false;
  order->delay_ms = model_orders == 1 ? LATE_LOAD_MS : LATE_UNLOAD_MS;
  return true;
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

static bool
answer_report (int fd, const struct rig_message *message)
{
  const struct state *state;
  char body[1024];

  pthread_mutex_lock (&lock);
  state = state_before (rig_now_ms () - REPORT_LAG_MS);
  (void)snprintf (body, sizeof body,
                  "{\"Stage\":\"prefill_decode\",\"Models\":[%s],"
                  "\"Busy\":%s,\"Seq\":%llu,\"Queued\":0,\"Active\":0,"
                  "\"KvUsed\":0,\"KvTotal\":140899,\"Handles\":0,"
                  "\"Available\":{\"InMemory\":[\"held\",\"next\",\"short\"],"
                  "\"OnDisk\":[\"held\",\"next\",\"short\"]}}",
                  state->models, state->busy ? "true" : "false",
                  (unsigned long long)state->seq);
  rig_note ("report: models=%s busy=%d seq=%llu",
            strstr (state->models, "short") != NULL ? "held,short" : "held",
            state->busy, (unsigned long long)state->seq);
  pthread_mutex_unlock (&lock);
  return answer (fd, 200, message, "", body);
}

static bool
answer_order (int fd, const struct rig_message *message)
{
  struct order *order = read_order (message->body);
  int status = 0;

  pthread_mutex_lock (&lock);
  orders++;
  if (is_lost (order))
    {
      rig_note ("order %u: %s %s, count %llu: gets no answer, is carried out "
                "%u ms later",
                orders, order->op, order->model,
                (unsigned long long)order->precondition, order->delay_ms);
      rig_thread (carry_out_late, order);
    }
  else
    {
      rig_note ("order %u: %s %s%s%s, count %llu", orders, order->op,
                order->model, order->adapter[0] == '\0' ? "" : "/",
                order->adapter, (unsigned long long)order->precondition);
      status = carry_out (order->op, order->model, order_adapter (order),
                          order->precondition);
      rig_note ("order %u is answered %d", orders, status);
      free (order);
    }
  pthread_mutex_unlock (&lock);
  if (status != 0 && !crashed)
    return answer (fd, status, message, "", "");
  /* Nothing more is returned on this connection.  */
  while (recv (fd, &(char){ 0 }, 1, 0) > 0)
    ;
  return false;
}

static bool
answer_request (int fd, const struct rig_message *message)
{
  char name[64] = "";
  char *slash;
  bool held;

  (void)rig_field (message, "X-Cowslipcove-Model", name, sizeof name);
  slash = strchr (name, '/');
  pthread_mutex_lock (&lock);
  held = slash == NULL || strstr (adapters, slash + 1) != NULL;
  if (slash != NULL)
    *slash = '\0';
  held = held && model_index (name) >= 0 && holds[model_index (name)];
  pthread_mutex_unlock (&lock);
  if (!held)
    return answer (fd, 421, message, "", "");
  rig_sleep_ms (60);
  return answer (fd, 200, message, "X-Cowslipcove-Response-Seal: s\r\n",
                 "styled");
}

static void
serve_engine (void *arg, int fd)
{
  struct rig_message message = { 0 };
  bool ok = true;

  (void)arg;
  while (ok && !crashed && rig_read_head (fd, &message)
         && rig_read_body (fd, &message))
    {
      if (strncmp (message.head, "GET /api/report", 15) == 0)
        ok = answer_report (fd, &message);
      else if (strncmp (message.head, "POST /api/order", 15) == 0)
        ok = answer_order (fd, &message);
      else
        ok = answer_request (fd, &message);
      rig_message_clear (&message);
    }
  rig_message_clear (&message);
  rig_close (fd);
}

static void
put_entry (uint32_t entry_seq)
{
  char text[2048];

  pthread_mutex_lock (&lock);
  (void)snprintf (
      text, sizeof text,
      "{\"Service\":\"styling-llm\",\"Address\":\"%s\",\"Zone\":\"port-"
      "louis\","
      "\"Version\":\"1\",\"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,"
      "\"Seq\":%u,\"born\":%llu,\"Models\":[%s],"
      "\"Available\":{\"InMemory\":[\"held\",\"next\",\"short\"],"
      "\"OnDisk\":[\"held\",\"next\",\"short\"]}}",
      address, entry_seq, (unsigned long long)born_ms,
      state_before (rig_now_ms ())->models);
  pthread_mutex_unlock (&lock);
  store_put ("servers/i-1", text);
}

static void *
beat (void *arg)
{
  (void)arg;
  for (uint32_t entry_seq = 2; !crashed; entry_seq++)
    {
      rig_sleep_ms (1200);
      put_entry (entry_seq);
    }
  return NULL;
}

static void
write_config (void)
{
  char list[1024] = "";
  char text[4096];

  for (int i = 0; i < MODELS; i++)
    (void)snprintf (list + strlen (list), sizeof list - strlen (list),
                    "%s{\"Name\":\"%s\",\"WeightsMb\":%u,\"LoadTimeS\":6.0,"
                    "\"WarmS\":%.2f,\"DiskS\":0.8,\"Adapters\":4,"
                    "\"AdapterSizeMb\":40}",
                    i == 0 ? "" : ",", models[i].name, models[i].mb,
                    models[i].warm_ms / 1000.0);
  (void)snprintf (
      text, sizeof text,
      "{\"Version\":3,\"Routes\":[{\"Name\":\"r-style\",\"Host\":\"shop."
      "example\",\"PathPrefix\":\"/style/\",\"Kind\":\"idempotent\","
      "\"TimeoutMs\":8000,\"TargetLatencyMs\":500,\"Priority\":1,"
      "\"MaxAttempts\":2,\"Sticky\":true,\"Service\":\"styling-llm\"}],"
      "\"Services\":[{\"Name\":\"styling-llm\",\"MaxConns\":370,\"Engine\":{"
      "\"Slots\":64,\"WeightsMb\":%u,\"AdapterSlots\":8,\"LoadsPerS\":4.5,"
      "\"Models\":[%s]}}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}}",
      CAPACITY_MB, list);
  store_put ("op/config", text);
}

struct request
{
  const char *model;
  uint32_t number;
  uint32_t deadline_ms;
};

static void *
call (void *arg)
{
  const struct request *request = arg;
  struct rig_message message = { 0 };
  char text[512];
  int fd = rig_connect (machine.front);

  (void)snprintf (text, sizeof text,
                  "POST /style/2f HTTP/1.1\r\nHost: shop.example\r\n"
                  "X-Cowslipcove-Request-Id: %016x\r\n"
                  "X-Cowslipcove-Model: %s\r\n"
                  "X-Cowslipcove-Deadline-Remaining: %u\r\n"
                  "Content-Length: 2\r\n\r\nhi",
                  request->number, request->model, request->deadline_ms);
  rig_note ("request %u for %s", request->number, request->model);
  if (fd >= 0 && rig_write (fd, text, strlen (text))
      && rig_read_response (fd, &message))
    rig_note ("request %u is answered %d", request->number,
              rig_status (&message));
  else
    rig_note ("request %u gets no answer", request->number);
  rig_message_clear (&message);
  rig_close (fd);
  return NULL;
}

static void
ask (const char *model, uint32_t deadline_ms)
{
  static struct request requests[64];
  static uint32_t count;

  requests[count] = (struct request){ model, count, deadline_ms };
  rig_thread (call, &requests[count++]);
}

static void
ask_for_models (void)
{
  static const char *const names[]
      = { "held/a1", "held/a2", "held/a3", "held/a4" };
  uint64_t start_ms;

  for (size_t i = 0; i < 4; i++)
    {
      ask (names[i], 8000);
      rig_sleep_ms (300);
    }
  rig_sleep_ms (1500);
  start_ms = rig_now_ms ();
  ask ("short", 1000);
  rig_sleep_until (start_ms + SECOND_MS);
  for (int i = 0; i < 4; i++)
    {
      ask ("next", 8000);
      rig_sleep_ms (100);
    }
  rig_sleep_until (start_ms + LATE_UNLOAD_MS + 3000);
}

int
main (int argc, char **argv)
{
  char *store;

  rig_begin (argc > 1 ? argv[1] : ".");
  store = store_start (rig_ip (250));
  write_config ();
  holds[0] = true;
  born_ms = rig_unix_ms ();
  remember ();
  address = rig_listen (rig_ip (200), serve_engine, NULL);
  put_entry (1);
  rig_thread (beat, NULL);
  rig_machine_set (&machine, "edge-port-louis-1", "port-louis", 10);
  rig_machine_start (&machine, store);
  rig_machine_await (&machine);
  rig_sleep_ms (SETTLE_MS);
  ask_for_models ();
  printf ("LIMIT: %s\n",
          over_limit ? "ordered to load more than it holds" : "held");
  if (orders < 6)
    rig_skip ("too few orders were sent");
  rig_end (over_limit ? 1 : 0);
}
