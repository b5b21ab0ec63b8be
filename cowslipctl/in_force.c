#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "ctl.h"

#define IN_FORCE_POLL_US   200000
#define IN_FORCE_US_PER_MS 1000
#define IN_FORCE_METRIC    "\ncowslip_configuration_generation "

/* Return the generation that the instance at ADDRESS has in force, -1 if it
   does not answer.  */
static int64_t
in_force_at (const struct ctl_options *options, const char *address)
{
  struct ctl_options other = *options;
  struct ctl_response answer;
  const char *line = NULL;
  int64_t generation = -1;

  other.address = address;
  answer = ctl_call (&other, "GET", "/metrics", NULL, 0);
  if (answer.status == 200)
    line = strstr (answer.body, IN_FORCE_METRIC);
  if (line != NULL)
    generation = g_ascii_strtoll (line + strlen (IN_FORCE_METRIC), NULL, 10);
  ctl_response_clear (&answer);
  return generation;
}

/* Ask every recorded instance that is not in DONE yet and add those that have
   GENERATION in force.  Return how many instances are recorded, 0 if that is
   not known.  */
static size_t
in_force_poll (const struct ctl_options *options, int64_t generation,
               GHashTable *done)
{
  struct ctl_response answer
      = ctl_call (options, "GET", "/admin/v1/members", NULL, 0);
  size_t count = 0;

  if (answer.status == 200)
    count = json_object_array_length (answer.object);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *member
          = json_object_array_get_idx (answer.object, i);
      const char *address = ctl_get_string (member, "http_address");

      if (!g_hash_table_contains (done, address)
          && in_force_at (options, address) >= generation)
        g_hash_table_add (done, g_strdup (address));
    }
  ctl_response_clear (&answer);
  return count;
}

static bool
in_force_same_environment (const struct ctl_options *options)
{
  struct ctl_response answer
      = ctl_call (options, "GET", "/admin/v1/status", NULL, 0);
  bool same = strcmp (ctl_get_string (answer.object, "environment"),
                      options->environment)
              == 0;

  ctl_response_clear (&answer);
  return same;
}

/* Wait until every instance that has a member record has GENERATION in force,
   as each says itself, at most for the time that OPTIONS give.  */
enum ctl_status
ctl_await_in_force (const struct ctl_options *options, int64_t generation)
{
  gint64 end_us = g_get_monotonic_time ()
                  + (gint64)options->wait_ms * IN_FORCE_US_PER_MS;
  GHashTable *done
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  size_t members = 0;
  size_t current = 0;

  if (!in_force_same_environment (options))
    {
      printf ("generation %lld accepted; the instance asked serves another "
              "environment\n",
              (long long)generation);
      g_hash_table_destroy (done);
      return CTL_OK;
    }
  for (;;)
    {
      members = in_force_poll (options, generation, done);
      current = g_hash_table_size (done);
      if ((members > 0 && current >= members)
          || g_get_monotonic_time () >= end_us)
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
           "cowslipctl: generation %lld accepted, in force on %zu of %zu "
           "instances only\n",
           (long long)generation, current, members);
  return CTL_NOT_IN_FORCE;
}
