#include <string.h>

#include <xxhash.h>

#include "pck.h"

#define PCK_US_PER_MS UINT64_C (1000)
/* What an endpoint told of its load counts this long; afterwards only the own
   requests are known.  */
#define PCK_LOAD_FRESH_MS 400
/* Used share of an endpoint's slots that bytes between zones are worth.  Its
   queue begins at 1, so work leaves the zone well before it waits.  */
#define PCK_OTHER_ZONE 0.35
/* Weight of a cached prompt prefix, in the same unit.  */
#define PCK_PREFIX 0.15
/* An endpoint whose entry was removed is the last choice.  */
#define PCK_UNLISTED      100.0
#define PCK_TRIED         50.0
#define PCK_PERCENT       100.0
#define PCK_SLOTS_DEFAULT 8
/* A request whose answer has not begun keeps an engine from its streams while
   its prompt is read, some 60 ms against 7 ms for a token of all streams
   (SYSTEM); it counts like this many that are being answered.  */
#define PCK_PROMPT_WEIGHT 6

/* Return how much of ENDPOINT is in use, 1 being all of its slots.  */
static double
pck_load (const struct flt_endpoint *endpoint, uint64_t now_us,
          const struct pck_wish *wish)
{
  uint32_t slots
      = endpoint->entry.slots > 0 ? endpoint->entry.slots : wish->slots;
  double own = endpoint->in_flight;
  double used;
  double pace = 1.0;

  if (slots == 0)
    slots = PCK_SLOTS_DEFAULT;
  if (wish->model != NULL)
    own += (double)endpoint->unanswered * PCK_PROMPT_WEIGHT;
  used = own * wish->instances;
  if (endpoint->load_us != 0
      && now_us - endpoint->load_us < PCK_LOAD_FRESH_MS * PCK_US_PER_MS)
    {
      double told = (double)endpoint->running + endpoint->waiting;

      used = MAX (told, own);
      pace = endpoint->pace_percent / PCK_PERCENT;
    }
  return (used + 1) / slots * pace;
}

/* Return a number from 0 to 1 that ranks ENDPOINT for the prefix, the same at
   all instances.  */
static double
pck_rank (const struct flt_endpoint *endpoint, uint64_t prefix)
{
  XXH64_hash_t hash
      = XXH64 (endpoint->entry.id, strlen (endpoint->entry.id), prefix);

  return (double)(hash >> 11) / (double)(UINT64_C (1) << 53);
}

static bool
pck_may_serve (const struct flt_fleet *fleet,
               const struct flt_endpoint *endpoint,
               const struct pck_wish *wish)
{
  if (!g_str_equal (endpoint->entry.service, wish->service)
      || !flt_usable (fleet, endpoint))
    return false;
  return wish->model == NULL
         || flt_holds (fleet, endpoint, wish->model, wish->adapter);
}

/* Return the endpoint that should serve WISH, the least loaded one with a
   preference for the own zone and for a cached prefix.  Return NULL if none
   can.  */
struct flt_endpoint *
pck_choose (struct flt_fleet *fleet, struct tm_service *tm,
            const struct pck_wish *wish)
{
  GPtrArray *all = flt_all (fleet);
  uint64_t now_us = tm_now_us (tm);
  struct flt_endpoint *best = NULL;
  double best_score = 0;

  for (guint i = 0; i < all->len; i++)
    {
      struct flt_endpoint *endpoint = g_ptr_array_index (all, i);
      bool tried = wish->tried != NULL
                   && flt_list_has (wish->tried, endpoint->entry.id);
      double score;

      if (!pck_may_serve (fleet, endpoint, wish)
          || (tried && wish->only_untried))
        continue;
      score = pck_load (endpoint, now_us, wish);
      if (!g_str_equal (endpoint->entry.zone, wish->zone))
        score += PCK_OTHER_ZONE;
      if (wish->prefix != 0)
        score += PCK_PREFIX * pck_rank (endpoint, wish->prefix);
      if (!endpoint->listed)
        score += PCK_UNLISTED;
      if (tried)
        score += PCK_TRIED;
      if (best == NULL || score < best_score)
        {
          best = endpoint;
          best_score = score;
        }
    }
  return best;
}
