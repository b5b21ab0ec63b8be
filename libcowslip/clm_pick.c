#include "clm_pick.h"

/* An endpoint that refuses connections is skipped for 250 ms, doubling up to 8
   s.  */
#define CLM_CONNECT_BACKOFF_US     (UINT64_C (250) * 1000)
#define CLM_CONNECT_BACKOFF_SHIFTS 5
/* Limits the search for a usable endpoint.  */
#define CLM_PICK_SCAN_MAX 64

struct clm_endpoint *
clm_endpoint_new (const char *address)
{
  struct clm_endpoint *endpoint = g_new0 (struct clm_endpoint, 1);

  endpoint->address = g_strdup (address);
  return endpoint;
}

void
clm_endpoint_free (void *endpoint)
{
  g_free (((struct clm_endpoint *)endpoint)->address);
  g_free (endpoint);
}

/* Reset the backoff of ENDPOINT after a connection succeeded.  */
void
clm_endpoint_connected (struct clm_endpoint *endpoint)
{
  endpoint->failures = 0;
  endpoint->backoff_until_us = 0;
}

/* Start or extend the backoff of ENDPOINT after a connection failed at
   NOW_US.  */
void
clm_endpoint_connect_failed (struct clm_endpoint *endpoint, uint64_t now_us)
{
  endpoint->backoff_until_us
      = now_us
        + (CLM_CONNECT_BACKOFF_US
           << MIN (endpoint->failures, (uint32_t)CLM_CONNECT_BACKOFF_SHIFTS));
  endpoint->failures++;
}

struct clm_endpoint_set *
clm_endpoint_set_new (void)
{
  struct clm_endpoint_set *set = g_new0 (struct clm_endpoint_set, 1);

  set->local_zone = g_ptr_array_new ();
  set->other_zones = g_ptr_array_new ();
  return set;
}

/* Free SET, but not its endpoints.  */
void
clm_endpoint_set_free (void *set)
{
  struct clm_endpoint_set *c = set;

  g_ptr_array_free (c->local_zone, TRUE);
  g_ptr_array_free (c->other_zones, TRUE);
  g_free (c);
}

/* Return the first usable endpoint of LIST, searching from index START, or
   NULL.  */
static struct clm_endpoint *
clm_find_usable (const GPtrArray *list, guint start, const GPtrArray *tried,
                 uint64_t now_us)
{
  guint steps = MIN (list->len, (guint)CLM_PICK_SCAN_MAX);

  for (guint i = 0; i < steps; i++)
    {
      struct clm_endpoint *endpoint
          = g_ptr_array_index (list, (start + i) % list->len);

      if (!endpoint->leaving && endpoint->backoff_until_us <= now_us
          && !g_ptr_array_find ((GPtrArray *)tried, endpoint, NULL))
        return endpoint;
    }
  return NULL;
}

static struct clm_endpoint *
clm_pick_from (const GPtrArray *list, const GPtrArray *tried, uint64_t now_us,
               gsl_rng *random)
{
  struct clm_endpoint *a;
  struct clm_endpoint *b;

  if (list->len == 0)
    return NULL;
  a = clm_find_usable (list, (guint)gsl_rng_uniform_int (random, list->len),
                       tried, now_us);
  b = clm_find_usable (list, (guint)gsl_rng_uniform_int (random, list->len),
                       tried, now_us);
  if (a == NULL || b == NULL)
    return a != NULL ? a : b;
  return b->in_flight < a->in_flight ? b : a;
}

/* Return an endpoint of SET, or NULL if there is none.  Of two random
   endpoints, the one with fewer calls in flight is returned; those in the
   local zone are preferred.  Endpoints that are leaving or in TRIED are
   skipped, and so are those in backoff unless there is no other.  */
struct clm_endpoint *
clm_pick (const struct clm_endpoint_set *set, const GPtrArray *tried,
          uint64_t now_us, gsl_rng *random)
{
  struct clm_endpoint *picked
      = clm_pick_from (set->local_zone, tried, now_us, random);

  if (picked == NULL)
    picked = clm_pick_from (set->other_zones, tried, now_us, random);
  if (picked == NULL)
    picked = clm_pick_from (set->local_zone, tried, UINT64_MAX, random);
  if (picked == NULL)
    picked = clm_pick_from (set->other_zones, tried, UINT64_MAX, random);
  return picked;
}
