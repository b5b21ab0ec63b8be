#include <string.h>

#include <xxhash.h>

#include "pck.h"

#define PCK_US_PER_MS UINT64_C (1000)
/* Maximum age of a load report; after that only the requests of this instance
   count.  */
#define PCK_LOAD_MAX_AGE_MS 400
/* Penalty for an endpoint in another zone, as a share of its slots.  An
   endpoint queues requests at 1, so requests leave the zone before they would
   wait.  */
#define PCK_ZONE_PENALTY 0.35
/* Maximum penalty by rank for the prompt prefix, in the same unit.  */
#define PCK_PREFIX_PENALTY 0.15
/* Penalties above any load: endpoints that were tried before, and last those
   without an entry.  */
#define PCK_UNLISTED_PENALTY 100.0
#define PCK_TRIED_PENALTY    50.0
#define PCK_PERCENT          100.0
#define PCK_SLOTS_DEFAULT    8
/* With up to this many instances, an endpoint's load is estimated as that of
   this instance times their number.  With more, an instance sees too few of an
   endpoint's requests for that.  */
#define PCK_SHARED_INSTANCES_MAX 16
/* Otherwise the mean load of the service counts as if this many requests had
   been seen.  */
#define PCK_PRIOR_REQUESTS 4.0
/* Random part of the score, in shares of the slots.  Hundreds of instances
   that know no loads would otherwise all choose the same endpoint for a
   prefix, and its zone's requests would not leave it.  */
#define PCK_JITTER 0.5
/* Load of a request without a response yet, in requests that are streaming.
   The engine stalls its streams while it reads the prompt, which takes about
   60 ms against 7 ms for a token of all streams.  */
#define PCK_PROMPT_WEIGHT 6

static bool
pck_is_large (const struct pck_criteria *criteria)
{
  return criteria->instances > PCK_SHARED_INSTANCES_MAX;
}

/* Return the estimated number of requests at an endpoint that has not reported
   its load recently, of which this instance has sent OWN.  In a large fleet
   that is the mean of a gamma distribution around the mean load of the service
   after OWN requests of this instance were seen.  */
static double
pck_estimate (const struct flt_fleet *fleet, double own,
              const struct pck_criteria *criteria)
{
  double mean = MAX (flt_mean_load (fleet, criteria->service), 1);

  if (!pck_is_large (criteria))
    return own * criteria->instances;
  return (PCK_PRIOR_REQUESTS + own)
         / (PCK_PRIOR_REQUESTS / mean + 1.0 / criteria->instances);
}

/* Return the share of the slots of ENDPOINT that one more request would bring
   into use, scaled by its pace.  */
static double
pck_load (const struct flt_fleet *fleet, const struct flt_endpoint *endpoint,
          uint64_t now_us, const struct pck_criteria *criteria)
{
  uint32_t slots
      = endpoint->entry.slots > 0 ? endpoint->entry.slots : criteria->slots;
  double own = endpoint->in_flight;
  double used;
  double pace = 1.0;

  if (slots == 0)
    slots = PCK_SLOTS_DEFAULT;
  if (criteria->model != NULL)
    own += (double)endpoint->outstanding * PCK_PROMPT_WEIGHT;
  used = pck_estimate (fleet, own, criteria);
  if (endpoint->load_reported_us != 0
      && now_us - endpoint->load_reported_us
             < PCK_LOAD_MAX_AGE_MS * PCK_US_PER_MS)
    {
      double reported = (double)endpoint->running + endpoint->waiting;

      used = MAX (reported, own);
      pace = endpoint->pace_percent / PCK_PERCENT;
    }
  return (used + 1) / slots * pace;
}

/* Return a number in [0, 1) that ranks ENDPOINT for PREFIX, the same on all
   instances (rendezvous hashing).  */
static double
pck_prefix_rank (const struct flt_endpoint *endpoint, uint64_t prefix)
{
  XXH64_hash_t hash
      = XXH64 (endpoint->entry.id, strlen (endpoint->entry.id), prefix);

  return (double)(hash >> 11) / (double)(UINT64_C (1) << 53);
}

static bool
pck_is_of_service (const struct flt_endpoint *endpoint,
                   const struct pck_criteria *criteria)
{
  return g_str_equal (endpoint->entry.service, criteria->service);
}

/* Return whether ENDPOINT holds the model that CRITERIA ask for, if any.  */
static bool
pck_holds_model (const struct flt_fleet *fleet,
                 const struct flt_endpoint *endpoint,
                 const struct pck_criteria *criteria)
{
  return criteria->model == NULL
         || flt_holds (fleet, endpoint, criteria->model, criteria->adapter);
}

static bool
pck_may_serve (const struct flt_fleet *fleet,
               const struct flt_endpoint *endpoint,
               const struct pck_criteria *criteria)
{
  return pck_is_of_service (endpoint, criteria) && flt_usable (fleet, endpoint)
         && pck_holds_model (fleet, endpoint, criteria);
}

/* Return the time until the first endpoint that meets CRITERIA takes requests
   again if all of them want none, in milliseconds; otherwise 0.  */
uint32_t
pck_pause_ms (struct flt_fleet *fleet, const struct pck_criteria *criteria)
{
  GPtrArray *all = flt_all (fleet);
  uint32_t shortest_ms = 0;

  for (guint i = 0; flt_has_pauses (fleet) && i < all->len; i++)
    {
      const struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      uint32_t pause_ms = flt_pause_ms (fleet, endpoint);

      if (!pck_is_of_service (endpoint, criteria) || endpoint->expired
          || endpoint->entry.leaving
          || !pck_holds_model (fleet, endpoint, criteria))
        continue;
      if (pause_ms == 0)
        return 0;
      if (shortest_ms == 0 || pause_ms < shortest_ms)
        shortest_ms = pause_ms;
    }
  return shortest_ms;
}

/* Return the least loaded endpoint that meets CRITERIA, with a preference for
   the own zone and for a cached prefix, or NULL if there is none.  */
struct flt_endpoint *
pck_choose (struct flt_fleet *fleet, struct tm_service *tm,
            const struct pck_criteria *criteria)
{
  GPtrArray *all = flt_all (fleet);
  uint64_t now_us = tm_now_us (tm);
  struct flt_endpoint *best = NULL;
  double best_score = 0;

  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      bool tried = criteria->tried != NULL
                   && flt_list_has (criteria->tried, endpoint->entry.id);
      double score;

      if (!pck_may_serve (fleet, endpoint, criteria)
          || (tried && criteria->only_untried))
        continue;
      score = pck_load (fleet, endpoint, now_us, criteria);
      if (criteria->random != NULL && pck_is_large (criteria))
        score += PCK_JITTER * gsl_rng_uniform (criteria->random);
      if (!g_str_equal (endpoint->entry.zone, criteria->zone))
        score += PCK_ZONE_PENALTY;
      if (criteria->prefix != 0)
        score += PCK_PREFIX_PENALTY
                 * pck_prefix_rank (endpoint, criteria->prefix);
      if (!endpoint->listed)
        score += PCK_UNLISTED_PENALTY;
      if (tried)
        score += PCK_TRIED_PENALTY;
      if (best == NULL || score < best_score)
        {
          best = endpoint;
          best_score = score;
        }
    }
  return best;
}
