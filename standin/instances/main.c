#include <argp.h>
#include <stdlib.h>

#include "standin.h"

/* A list that was set but not published yet.  */
struct ins_change
{
  struct ins *list;
  struct json_object *value;
  struct tm_timer timer;
};

/* Stand-in for the instance list, which publishes changes with a delay.  */
struct ins
{
  struct stand_host host;
  struct stand_faults faults;
  struct json_object *published;
  uint64_t reads;
  uint64_t changes;
};

static const struct argp_option options[]
    = { { "listen", 'l', "ADDRESS", 0, "listen on ADDRESS (IP:PORT)", 0 },
        { "lag-ms", 't', "MS", 0,
          "publish changes after MS milliseconds (default 1000)", 0 },
        { 0 } };

static const char *listen_address = "127.0.0.1:7002";
static uint32_t lag_ms = 1000;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'l':
      listen_address = arg;
      return 0;
    case 't':
      lag_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
ins_publish (void *arg)
{
  struct ins_change *change = arg;

  json_object_put (change->list->published);
  change->list->published = change->value;
  g_free (change);
}

static void
ins_set (struct ins *list, struct http_exchange *exchange)
{
  struct json_object *value = stand_parse_body (exchange);
  struct ins_change *change;

  if (!json_object_is_type (json_object_object_get (value, "instances"),
                            json_type_array))
    {
      json_object_put (value);
      stand_reply_error (exchange, 400, "instances missing or not an array");
      return;
    }
  list->changes++;
  change = g_new0 (struct ins_change, 1);
  change->list = list;
  change->value = value;
  tm_after (list->host.tm, &change->timer, (uint64_t)lag_ms * STAND_US_PER_MS,
            ins_publish, change);
  stand_reply (exchange, 200, json_object_get (value));
}

static void
ins_records_serve (struct ins *list, struct http_exchange *exchange)
{
  struct json_object *body = json_object_new_object ();

  stand_add_int (body, "reads", (int64_t)list->reads);
  stand_add_int (body, "changes", (int64_t)list->changes);
  stand_reply (exchange, 200, body);
}

static void
ins_handle (void *arg, struct http_exchange *exchange)
{
  struct ins *list = arg;

  if (stand_faults_serve (&list->faults, exchange))
    return;
  if (stand_request_is (exchange, "POST", "/set"))
    ins_set (list, exchange);
  else if (stand_request_is (exchange, "GET", "/records"))
    ins_records_serve (list, exchange);
  else if (!stand_request_is (exchange, "GET", "/instances"))
    stand_reply_error (exchange, 404, "not found");
  else if (stand_fault_value (&list->faults, "outage") != 0)
    stand_reply_error (exchange, 503, "outage");
  else
    {
      list->reads++;
      stand_reply (exchange, 200, json_object_get (list->published));
    }
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option, NULL, "Stand-in for the instance list.",
          NULL,    NULL,         NULL };
  static struct ins list;

  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  stand_init (&list.host, "standin-instances");
  stand_faults_init (&list.faults, "{\"outage\": 0}");
  list.published = json_tokener_parse ("{\"instances\": []}");
  if (!stand_listen (&list.host, listen_address, ins_handle, &list))
    return EXIT_FAILURE;
  stand_run (&list.host);
  return EXIT_SUCCESS;
}
