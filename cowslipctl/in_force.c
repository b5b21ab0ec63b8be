#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "ctl.h"

#define IN_FORCE_POLL_US   200000
#define IN_FORCE_US_PER_MS 1000
#define IN_FORCE_METRIC    "\ncowslip_configuration_generation "

/* Return the generation that the instance at ADDRESS has in force, -1 if the
   instance does not respond.  */
static int64_t
in_force_generation (const struct ctl_options *options, const char *address)
{
  struct ctl_options other = *options;
  struct ctl_response response;
  const char *line = NULL;
  int64_t generation = -1;

  other.address = address;
  response = ctl_call (&other, "GET", "/metrics", NULL, 0);
  if (response.status == 200)
    line = strstr (response.body, IN_FORCE_METRIC);
  if (line != NULL)
    generation = g_ascii_strtoll (line + strlen (IN_FORCE_METRIC), NULL, 10);
  ctl_response_clear (&response);
  return generation;
}

/* Query every instance that has a member record and is not in DONE, and add
   those that have GENERATION in force to DONE.  Return the number of member
   records, 0 if they cannot be read.  */
static size_t
in_force_poll (const struct ctl_options *options, int64_t generation,
               GHashTable *done)
{
  struct ctl_response response
      = ctl_call (options, "GET", "/admin/v1/members", NULL, 0);
  size_t count = 0;

  if (response.status == 200)
    count = json_object_array_length (response.object);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *member
          = json_object_array_get_idx (response.object, i);
      const char *address = ctl_get_string (member, "http_address");

      if (!g_hash_table_contains (done, address)
          && in_force_generation (options, address) >= generation)
        g_hash_table_add (done, g_strdup (address));
    }
  ctl_response_clear (&response);
  return count;
}

static bool
in_force_same_environment (const struct ctl_options *options)
{
  struct ctl_response response
      = ctl_call (options, "GET", "/admin/v1/status", NULL, 0);
  bool same = strcmp (ctl_get_string (response.object, "environment"),
                      options->environment)
              == 0;

  ctl_response_clear (&response);
  return same;
}

/* Wait until every instance that has a member record reports that GENERATION
   is in force, at most for the wait time in OPTIONS.  */
enum ctl_status
ctl_await_in_force (const struct ctl_options *options, int64_t generation)
{
  gint64 deadline_us = g_get_monotonic_time ()
                       + (gint64)options->wait_ms * IN_FORCE_US_PER_MS;
  GHashTable *done
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t members = 0;
  size_t current = 0;

  if (!in_force_same_environment (options))
    {
      printf ("generation %lld accepted; the queried instance serves "
              "another environment\n",
              (long long)generation);
      g_hash_table_destroy (done);
      return CTL_OK;
    }
  for (;;)
    {
      members = in_force_poll (options, generation, done);
      current = g_hash_table_size (done);
      if ((members > 0 && current >= members)
          || g_get_monotonic_time () >= deadline_us)
        break;
      usleep (IN_FORCE_POLL_US);
    }
  g_hash_table_destroy (done);
  if (members > 0 && current >= members)
    {
      printf ("generation %lld in force on %zu of %zu instances\n",
              (long long)generation, current, members);
      return CTL_OK;
    }
  fprintf (stderr,
           "cowslipctl: generation %lld accepted, but in force on only "
           "%zu of %zu instances\n",
           (long long)generation, current, members);
  return CTL_NOT_IN_FORCE;
}
