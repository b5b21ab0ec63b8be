/* Stand-in of one engine: a supervisor that starts the engine again, as a new
   process with a new id, some seconds after it has died.

   rig engine NAME PORT ZONE SERVICE STORE-PORT [OPTION=VALUE...]

   models=A,B    models it holds at the start; without any it is a plain
                 service whose answers are no streams
   first_ms=N    time until the answer or its first event
   events=N      events of a stream
   gap_ms=N      time between two events
   load_ms=N     time that a load takes
   spoil=TARGET  it is faulty: after its first 50 answers, one to a request for
                 TARGET is bytes that are no answer
   endless=1     those bytes come without end, in the body of a stream
   extra=1       the answer is whole, 204, and the bytes follow it  */

#include <json-c/json.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define BEAT_S       1.2
#define BACK_S       3.0
#define MODELS_MAX   16
#define SOUND_FIRST  50
#define CRASH_STATUS 134

static const char *service;
static const char *zone;
static uint16_t port;
static uint16_t store_port;
static char id[64];
static long long born_ms;
static double first_s = 0.1;
static double gap_s = 0.03;
static double load_s = 0.5;
static int events = 20;
static const char *spoil = "";
static bool endless;
static bool extra;
static char first_models[256] = "";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char models[MODELS_MAX][64];
static int model_count;
static bool busy;
static long orders;
static long beats;
static atomic_int active;
static atomic_long answers;
static atomic_bool spoilt;

static struct json_object *
models_json (void)
{
  struct json_object *list = json_object_new_array ();

  for (int i = 0; i < model_count; i++)
    {
      struct json_object *model = json_object_new_object ();

      json_object_object_add (model, "Name",
                              json_object_new_string (models[i]));
      json_object_object_add (model, "Version", json_object_new_int (1));
      json_object_object_add (model, "Adapters", json_object_new_array ());
      json_object_array_add (list, model);
    }
  return list;
}

static void
announce (void)
{
  struct json_object *json = json_object_new_object ();
  const char *text;
  char *value;
  char *body = NULL;
  char address[64];

  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  pthread_mutex_lock (&lock);
  json_object_object_add (json, "Service", json_object_new_string (service));
  json_object_object_add (json, "Address", json_object_new_string (address));
  json_object_object_add (json, "Zone", json_object_new_string (zone));
  json_object_object_add (json, "Version", json_object_new_string ("v1"));
  json_object_object_add (json, "Slots", json_object_new_int (64));
  json_object_object_add (json, "State", json_object_new_string ("ready"));
  json_object_object_add (json, "ColdLeftMs", json_object_new_int (0));
  json_object_object_add (json, "Seq", json_object_new_int64 (++beats));
  json_object_object_add (json, "Models", models_json ());
  json_object_object_add (json, "born", json_object_new_int64 (born_ms));
  pthread_mutex_unlock (&lock);
  text = json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN);
  value = rig_base64 (text, strlen (text));
  if (asprintf (&body,
                "{\"Precondition\":[],\"Puts\":[{\"Key\":\"servers/%s\","
                "\"Value\":\"%s\",\"Lease\":0}],\"Remove\":[]}",
                id, value)
      > 0)
    (void)rig_post_store (store_port, "/api/kv-txn", body);
  free (body);
  free (value);
  json_object_put (json);
}

static void *
beat (void *unused)
{
  (void)unused;
  for (;;)
    {
      announce ();
      rig_sleep (BEAT_S);
    }
  return NULL;
}

static int
find_model (const char *name)
{
  for (int i = 0; i < model_count; i++)
    if (strcmp (models[i], name) == 0)
      return i;
  return -1;
}

static void
add_model (const char *name)
{
  if (find_model (name) < 0 && model_count < MODELS_MAX)
    snprintf (models[model_count++], sizeof models[0], "%s", name);
}

/* Carry out the order ARG, "+MODEL" or "-MODEL".  */
static void *
execute (void *arg)
{
  char *order = arg;
  int at;

  rig_sleep (order[0] == '+' ? load_s : 0.05);
  pthread_mutex_lock (&lock);
  at = find_model (order + 1);
  if (order[0] == '+')
    add_model (order + 1);
  else if (at >= 0)
    memmove (models[at], models[--model_count], sizeof models[0]);
  busy = false;
  pthread_mutex_unlock (&lock);
  announce ();
  free (order);
  return NULL;
}

static int
take_order (const char *body)
{
  struct json_object *json = json_tokener_parse (body);
  struct json_object *op = NULL;
  struct json_object *model = NULL;
  struct json_object *seq = NULL;
  pthread_t thread;
  char *order;
  int status = 202;

  json_object_object_get_ex (json, "Op", &op);
  json_object_object_get_ex (json, "Model", &model);
  if (json_object_object_get_ex (json, "Precondition", &seq)
      && json_object_get_int64 (seq) != orders)
    status = 409;
  else if (op == NULL || model == NULL)
    status = 400;
  else if (busy)
    status = 409;
  else
    {
      bool load = strcmp (json_object_get_string (op), "model_load") == 0;

      orders++;
      busy = true;
      if (asprintf (&order, "%c%s", load ? '+' : '-',
                    json_object_get_string (model))
              < 0
          || pthread_create (&thread, NULL, execute, order) != 0)
        abort ();
      pthread_detach (thread);
    }
  rig_record ("%s answers %d to the order %s", id, status, body);
  json_object_put (json);
  return status;
}

static bool
answer_control (struct rig_conn *conn, const struct rig_message *message)
{
  struct json_object *json;
  const char *text;
  bool sent;
  int status;

  if (strcmp (message->target, "/api/order") == 0)
    {
      pthread_mutex_lock (&lock);
      status = take_order (message->body);
      pthread_mutex_unlock (&lock);
      return rig_print (conn->fd, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n",
                        status);
    }
  json = json_object_new_object ();
  pthread_mutex_lock (&lock);
  json_object_object_add (json, "Stage",
                          json_object_new_string ("prefill_decode"));
  json_object_object_add (json, "Models", models_json ());
  json_object_object_add (json, "Busy", json_object_new_boolean (busy));
  json_object_object_add (json, "Seq", json_object_new_int64 (orders));
  pthread_mutex_unlock (&lock);
  json_object_object_add (json, "Queued", json_object_new_int (0));
  json_object_object_add (json, "Active", json_object_new_int (active));
  json_object_object_add (json, "KvUsed", json_object_new_int (0));
  json_object_object_add (json, "KvTotal", json_object_new_int (100000));
  json_object_object_add (json, "Handles", json_object_new_int (0));
  text = json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN);
  sent = rig_print (conn->fd,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    strlen (text), text);
  json_object_put (json);
  return sent;
}

/* Return whether a part of the prompt but the last one crashes engines.  */
static bool
is_deadly (const char *head)
{
  char parts[1024];
  char *last;

  if (rig_field (head, "X-Cowslipcove-Prompt-Prefix", parts, sizeof parts)
      == NULL)
    return false;
  last = strrchr (parts, ',');
  if (last != NULL)
    *last = '\0';
  return last != NULL
         && (strncmp (parts, "dead", 4) == 0
             || strstr (parts, ",dead") != NULL);
}

static bool
answer_stream (struct rig_conn *conn, const char *request)
{
  if (!rig_print (conn->fd,
                  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  "X-Cowslipcove-Request-Id: %s\r\n"
                  "X-Cowslipcove-Response-Seal: seal-%s\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  request, request))
    return false;
  for (int i = 1; i <= events; i++)
    {
      char event[64];
      int bytes
          = snprintf (event, sizeof event, "id: %d\ndata: token\n\n", i);

      if (!rig_print (conn->fd, "%x\r\n%s\r\n", bytes, event))
        return false;
      rig_sleep (gap_s);
    }
  return rig_print (conn->fd, "0\r\n\r\n");
}

static bool
answer_request (struct rig_conn *conn, const struct rig_message *message)
{
  char request[128] = "-";
  char model[128];
  bool held = true;
  bool sent;

  (void)rig_field (message->head, "X-Cowslipcove-Request-Id", request,
                   sizeof request);
  if (rig_field (message->head, "X-Cowslipcove-Model", model, sizeof model)
      != NULL)
    {
      pthread_mutex_lock (&lock);
      held = find_model (model) >= 0;
      pthread_mutex_unlock (&lock);
    }
  if (!held)
    return rig_print (conn->fd,
                      "HTTP/1.1 421 M\r\nX-Cowslipcove-Request-Id: %s\r\n"
                      "X-Cowslipcove-Instance-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n",
                      request, id);
  rig_record ("%s runs %s", id, request);
  active++;
  rig_sleep (first_s);
  if (is_deadly (message->head))
    {
      rig_record ("%s crashes on %s", id, request);
      _exit (CRASH_STATUS);
    }
  if (first_models[0] != '\0')
    sent = answer_stream (conn, request);
  else
    sent = rig_print (conn->fd,
                      "HTTP/1.1 200 OK\r\nX-Cowslipcove-Request-Id: %s\r\n"
                      "X-Cowslipcove-Response-Seal: seal-%s\r\n"
                      "Content-Length: 4\r\n\r\ndone",
                      request, request);
  active--;
  return sent;
}

/* Send a stream whose body goes on, in small chunks, and never has an event,
   until the channel is closed.  */
static void
answer_without_end (struct rig_conn *conn, const struct rig_message *message)
{
  static const char chunk[] = "1\r\nx\r\n";
  static char chunks[(sizeof chunk - 1) * 1024];
  char request[128] = "-";
  long bytes = 0;

  (void)rig_field (message->head, "X-Cowslipcove-Request-Id", request,
                   sizeof request);
  for (size_t i = 0; i < sizeof chunks; i += sizeof chunk - 1)
    memcpy (chunks + i, chunk, sizeof chunk - 1);
  rig_record ("%s runs %s", id, request);
  rig_print (conn->fd,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "X-Cowslipcove-Request-Id: %s\r\n"
             "X-Cowslipcove-Response-Seal: seal-%s\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             request, request);
  while (rig_write (conn->fd, chunks, sizeof chunks))
    bytes += (long)sizeof chunks;
  rig_record ("%s: the channel of the answer without end was closed after "
              "%ld bytes",
              id, bytes);
}

/* Run a request and answer that it has no content.  Bytes follow the answer,
   which ends with its head.  */
static void
answer_with_extra (struct rig_conn *conn, const struct rig_message *message)
{
  char request[128] = "-";

  (void)rig_field (message->head, "X-Cowslipcove-Request-Id", request,
                   sizeof request);
  rig_record ("%s runs %s", id, request);
  rig_print (conn->fd,
             "HTTP/1.1 204 No Content\r\n"
             "X-Cowslipcove-Request-Id: %s\r\n"
             "X-Cowslipcove-Response-Seal: seal-%s\r\n"
             "Content-Length: 4\r\n\r\ndone",
             request, request);
}

/* Send bytes that are no answer, if it is time for that.  */
static bool
answer_badly (struct rig_conn *conn, const struct rig_message *message)
{
  if (strcmp (message->target, spoil) != 0 || answers < SOUND_FIRST
      || atomic_exchange (&spoilt, true))
    return false;
  rig_record ("%s answers badly to %s %s, after %ld sound answers", id,
              message->method, message->target, (long)answers);
  if (endless)
    answer_without_end (conn, message);
  else if (extra)
    answer_with_extra (conn, message);
  else
    rig_print (conn->fd,
               "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\n{}");
  return true;
}

static void *
serve (void *arg)
{
  struct rig_conn *conn = arg;
  struct rig_message *message = calloc (1, sizeof *message);
  char expected[128];

  while (rig_read_request (conn, message))
    {
      bool sent;

      if (rig_field (message->head, "X-Cowslipcove-Expect-Instance", expected,
                     sizeof expected)
              != NULL
          && strcmp (expected, id) != 0)
        sent = rig_print (conn->fd,
                          "HTTP/1.1 421 M\r\nX-Cowslipcove-Instance-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n",
                          id);
      else if (answer_badly (conn, message))
        sent = false;
      else if (strncmp (message->target, "/api/", 5) == 0)
        sent = answer_control (conn, message);
      else
        sent = answer_request (conn, message);
      answers++;
      free (message->body);
      if (!sent)
        break;
    }
  close (conn->fd);
  free (message);
  free (conn);
  return NULL;
}

static void
run (const char *name, int boot)
{
  struct timespec now;
  pthread_t thread;
  char *list = strdup (first_models);
  int listener;

  clock_gettime (CLOCK_REALTIME, &now);
  born_ms = (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  snprintf (id, sizeof id, "i-%s-%d", name, boot);
  /* Engines restart empty; this one is given its models again by the
     operator.  */
  for (char *model = strtok (list, ","); model != NULL;
       model = strtok (NULL, ","))
    add_model (model);
  free (list);
  listener = rig_listen (port);
  rig_record ("%s starts", id);
  if (pthread_create (&thread, NULL, beat, NULL) != 0)
    abort ();
  rig_serve (listener, serve);
}

static void
read_options (int argc, char **argv)
{
  for (int i = 0; i < argc; i++)
    {
      char *value = strchr (argv[i], '=');
      double number;

      if (value == NULL)
        exit (2);
      *value++ = '\0';
      number = strtod (value, NULL);
      if (strcmp (argv[i], "models") == 0)
        snprintf (first_models, sizeof first_models, "%s", value);
      else if (strcmp (argv[i], "first_ms") == 0)
        first_s = number / 1000;
      else if (strcmp (argv[i], "gap_ms") == 0)
        gap_s = number / 1000;
      else if (strcmp (argv[i], "load_ms") == 0)
        load_s = number / 1000;
      else if (strcmp (argv[i], "events") == 0)
        events = (int)number;
      else if (strcmp (argv[i], "spoil") == 0)
        spoil = value;
      else if (strcmp (argv[i], "endless") == 0)
        endless = number != 0;
      else if (strcmp (argv[i], "extra") == 0)
        extra = number != 0;
      else
        exit (2);
    }
}

int
rig_engine_main (int argc, char **argv)
{
  if (argc < 6)
    return 2;
  port = (uint16_t)atoi (argv[2]);
  zone = argv[3];
  service = argv[4];
  store_port = (uint16_t)atoi (argv[5]);
  read_options (argc - 6, argv + 6);
  for (int boot = 1;; boot++)
    {
      pid_t child = fork ();
      int status;

      if (child < 0)
        return 2;
      if (child == 0)
        {
          prctl (PR_SET_PDEATHSIG, SIGKILL);
          run (argv[1], boot);
        }
      waitpid (child, &status, 0);
      rig_sleep (BACK_S);
    }
}
