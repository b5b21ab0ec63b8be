#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"

#define STATE_WATCH_US 1000000

static struct ctl_response
state_get (const struct ctl_options *options)
{
  return ctl_call (options, "GET", "/admin/v1/status", NULL, 0);
}

static size_t
state_list (struct json_object *status, const char *key,
            struct json_object **list)
{
  *list = NULL;
  if (!json_object_object_get_ex (status, key, list)
      || !json_object_is_type (*list, json_type_array))
    return 0;
  return json_object_array_length (*list);
}

static const char *
state_member_status (struct json_object *member)
{
  if (ctl_get_bool (member, "draining"))
    return "draining";
  if (ctl_get_bool (member, "reachable"))
    return "reachable";
  return ctl_get_bool (member, "recorded") ? "silent" : "gone";
}

static void
state_print_members (struct json_object *status)
{
  struct json_object *list;
  size_t count = state_list (status, "members", &list);

  printf ("%-20s %-14s %10s  %s\n", "INSTANCE", "ZONE", "GENERATION", "STATE");
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *member = json_object_array_get_idx (list, i);

      printf ("%-20s %-14s %10lld  %s\n", ctl_get_string (member, "instance"),
              ctl_get_string (member, "zone"),
              (long long)ctl_get_int (member, "generation"),
              state_member_status (member));
    }
}

/* Print the members of SECTION except lists and objects.  */
static void
state_print_section (struct json_object *status, const char *section)
{
  struct json_object *object = NULL;

  if (!json_object_object_get_ex (status, section, &object)
      || !json_object_is_type (object, json_type_object))
    return;
  printf ("%s:", section);
  json_object_object_foreach (object, key, value)
  {
    if (!json_object_is_type (value, json_type_object)
        && !json_object_is_type (value, json_type_array))
      printf (" %s %s", key, json_object_get_string (value));
  }
  putchar ('\n');
}

static void
state_print (struct json_object *status)
{
  const char *controller = ctl_get_string (status, "controller");

  printf ("environment %s, generation %lld, digest %s\n",
          ctl_get_string (status, "environment"),
          (long long)ctl_get_int (status, "generation"),
          ctl_get_string (status, "digest"));
  printf ("zone %s, controller %s, key-value service %s%s\n",
          ctl_get_string (status, "zone"),
          controller[0] == '\0' ? "unknown" : controller,
          ctl_get_bool (status, "kv_reachable") ? "reachable" : "unreachable",
          ctl_get_bool (status, "draining") ? ", draining" : "");
  state_print_section (status, "control");
  state_print_section (status, "requests");
  state_print_section (status, "services");
  state_print_members (status);
}

/* Print the status of the queried instance and of its zone.  */
enum ctl_status
ctl_state (const struct ctl_options *options, char **args)
{
  struct ctl_response response = state_get (options);

  (void)args;
  return ctl_print (options, &response, state_print);
}

/* Print the status every second until the instance does not respond.  */
enum ctl_status
ctl_watch (const struct ctl_options *options, char **args)
{
  enum ctl_status status;

  for (;;)
    {
      if (isatty (STDOUT_FILENO))
        fputs ("\033[H\033[2J", stdout);
      status = ctl_state (options, args);
      if (status != CTL_OK)
        return status;
      fflush (stdout);
      usleep (STATE_WATCH_US);
    }
}

static enum ctl_status
state_print_table (const struct ctl_options *options, const char *section,
                   const char *list_key, const char *const *columns)
{
  struct ctl_response response = state_get (options);
  enum ctl_status status = ctl_response_status (&response);
  struct json_object *object = NULL;
  struct json_object *list;
  size_t count = 0;

  if (status != CTL_OK)
    {
      status = ctl_print_error (&response);
      ctl_response_clear (&response);
      return status;
    }
  if (json_object_object_get_ex (response.object, section, &object))
    count = state_list (object, list_key, &list);
  if (options->json && count > 0)
    ctl_print_json (list);
  for (size_t i = 0; i < count && !options->json; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      for (size_t c = 0; columns[c] != NULL; c++)
        {
          struct json_object *value = NULL;

          json_object_object_get_ex (item, columns[c], &value);
          printf ("%-22s ",
                  value == NULL ? "-" : json_object_get_string (value));
        }
      putchar ('\n');
    }
  ctl_response_clear (&response);
  return CTL_OK;
}

/* Print the replicas in the zone of the queried instance.  */
enum ctl_status
ctl_models (const struct ctl_options *options, char **args)
{
  static const char *const columns[] = { "model", "endpoint", "state", NULL };

  (void)args;
  return state_print_table (options, "control", "slots", columns);
}

static void
state_print_endpoints (const struct ctl_options *options,
                       struct json_object *endpoints)
{
  if (options->json)
    {
      ctl_print_json (endpoints);
      return;
    }
  json_object_object_foreach (endpoints, address, entry)
  {
    printf (
        "%-22s in flight %lld, reported %s%s%s\n", address,
        (long long)ctl_get_int (entry, "in_flight"),
        json_object_get_string (json_object_object_get (entry, "reported")),
        ctl_get_bool (entry, "leaving") ? ", leaving" : "",
        ctl_get_bool (entry, "ejected") ? ", ejected" : "");
  }
}

/* Print the endpoints that the queried instance uses.  */
enum ctl_status
ctl_endpoints (const struct ctl_options *options, char **args)
{
  struct ctl_response response = state_get (options);
  enum ctl_status status = ctl_response_status (&response);
  struct json_object *requests = NULL;
  struct json_object *endpoints = NULL;

  (void)args;
  if (status != CTL_OK)
    status = ctl_print_error (&response);
  else if (json_object_object_get_ex (response.object, "requests", &requests)
           && json_object_object_get_ex (requests, "endpoints", &endpoints))
    state_print_endpoints (options, endpoints);
  ctl_response_clear (&response);
  return status;
}

/* Start a graceful shutdown of the queried instance.  */
enum ctl_status
ctl_drain (const struct ctl_options *options, char **args)
{
  struct ctl_response response
      = ctl_call (options, "POST", "/admin/v1/drain", "", 0);
  enum ctl_status status = ctl_response_status (&response);

  (void)args;
  if (status != CTL_OK)
    status = ctl_print_error (&response);
  ctl_response_clear (&response);
  return status;
}

/* Print the counters of the queried instance.  */
enum ctl_status
ctl_counters (const struct ctl_options *options, char **args)
{
  struct ctl_response response
      = ctl_call (options, "GET", "/metrics", NULL, 0);
  enum ctl_status status = ctl_response_status (&response);

  (void)args;
  if (status == CTL_OK)
    fputs (response.body, stdout);
  else
    status = ctl_print_error (&response);
  ctl_response_clear (&response);
  return status;
}
