#include "clm_pick.h"

/* An endpoint that refuses connections is asked again after 250 ms, doubling
   to 8 s.  */
#define CLM_AVOID_US     (UINT64_C (250) * 1000)
#define CLM_AVOID_SHIFTS 5
/* Bounds the search for a usable endpoint among many unusable ones.  */
#define CLM_PICK_STEPS 64

/* Return a new endpoint at ADDRESS.  */
struct clm_endpoint *
clm_endpoint_new (const char *address)
{
  struct clm_endpoint *endpoint = g_new0 (struct clm_endpoint, 1);

  endpoint->address = g_strdup (address);
  return endpoint;
}

/* Free ENDPOINT.  */
void
clm_endpoint_free (void *endpoint)
{
  g_free (((struct clm_endpoint *)endpoint)->address);
  g_free (endpoint);
}

/* A connection to ENDPOINT was made.  */
void
clm_endpoint_connected (struct clm_endpoint *endpoint)
{
  endpoint->failures = 0;
  endpoint->avoid_until_us = 0;
}

/* ENDPOINT did not take a connection at NOW_US.  */
void
clm_endpoint_refused (struct clm_endpoint *endpoint, uint64_t now_us)
{
  endpoint->avoid_until_us
      = now_us
        + (CLM_AVOID_US << MIN (endpoint->failures,
                                (uint32_t)CLM_AVOID_SHIFTS));
  endpoint->failures++;
}

/* Return an empty choice.  */
struct clm_choice *
clm_choice_new (void)
{
  struct clm_choice *choice = g_new0 (struct clm_choice, 1);

  choice->own = g_ptr_array_new ();
  choice->other = g_ptr_array_new ();
  return choice;
}

/* Free CHOICE, but not its endpoints.  */
void
clm_choice_free (void *choice)
{
  struct clm_choice *c = choice;

  g_ptr_array_free (c->own, TRUE);
  g_ptr_array_free (c->other, TRUE);
  g_free (c);
}

/* Return the first usable endpoint of LIST from START on, or NULL.  */
static struct clm_endpoint *
clm_usable (const GPtrArray *list, guint start, const GPtrArray *tried,
            uint64_t now_us)
{
  guint steps = MIN (list->len, (guint)CLM_PICK_STEPS);

  for (guint i = 0; i < steps; i++)
    {
      struct clm_endpoint *endpoint
          = g_ptr_array_index (list, (start + i) % list->len);

      if (!endpoint->leaving && endpoint->avoid_until_us <= now_us
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
  a = clm_usable (list, (guint)gsl_rng_uniform_int (random, list->len), tried,
                  now_us);
  b = clm_usable (list, (guint)gsl_rng_uniform_int (random, list->len), tried,
                  now_us);
  if (a == NULL || b == NULL)
    return a != NULL ? a : b;
  return b->in_flight < a->in_flight ? b : a;
}

/* Return the endpoint of CHOICE with the fewer calls in flight of two random
   ones, in the own zone if one is usable there.  Leaving and TRIED ones are
   passed over, and those that refused a connection a short time ago too,
   unless there is no other.  Return NULL if there is none.  */
struct clm_endpoint *
clm_pick (const struct clm_choice *choice, const GPtrArray *tried,
          uint64_t now_us, gsl_rng *random)
{
  struct clm_endpoint *picked
      = clm_pick_from (choice->own, tried, now_us, random);

  if (picked == NULL)
    picked = clm_pick_from (choice->other, tried, now_us, random);
  if (picked == NULL)
    picked = clm_pick_from (choice->own, tried, UINT64_MAX, random);
  if (picked == NULL)
    picked = clm_pick_from (choice->other, tried, UINT64_MAX, random);
  return picked;
}
