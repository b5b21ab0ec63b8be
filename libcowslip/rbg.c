#include <glib.h>

#include "rbg.h"

#define RBG_US_PER_MS UINT64_C (1000)
/* Slices per window.  One more is kept, so that the counters cover any span of
   the length of a window.  */
#define RBG_SLICES 10
/* Share of the limit that is used.  The rest allows for retries that arrive in
   a later window than the one in which they were counted.  */
#define RBG_SAFETY_FACTOR 0.8

struct rbg_slice
{
  uint32_t requests;
  uint32_t retries;
};

struct rbg_budget
{
  struct rbg_slice slices[RBG_SLICES + 1];
  uint64_t slice; /* number of the newest slice */
};

struct rbg_budgets
{
  struct tm_service *tm;
  struct rbg_limits limits;
  GHashTable *by_service;
};

/* Return budgets that allow no retries until rbg_set_limits is called.  */
struct rbg_budgets *
rbg_new (struct tm_service *tm)
{
  struct rbg_budgets *budgets = g_new0 (struct rbg_budgets, 1);

  budgets->tm = tm;
  budgets->limits = (struct rbg_limits){ .window_ms = 10000, .instances = 1 };
  budgets->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budgets;
}

/* Free BUDGETS.  */
void
rbg_free (struct rbg_budgets *budgets)
{
  if (budgets == NULL)
    return;
  g_hash_table_destroy (budgets->by_service);
  g_free (budgets);
}

void
rbg_set_limits (struct rbg_budgets *budgets, const struct rbg_limits *limits)
{
  budgets->limits = *limits;
}

/* Return the budget of SERVICE, advanced to the current slice.  */
static struct rbg_budget *
rbg_budget (struct rbg_budgets *budgets, const char *service)
{
  struct rbg_budget *budget
      = g_hash_table_lookup (budgets->by_service, service);
  uint64_t slice_us = budgets->limits.window_ms * RBG_US_PER_MS / RBG_SLICES;
  uint64_t now = tm_now_us (budgets->tm) / MAX (slice_us, 1);

  if (budget == NULL)
    {
      budget = g_new0 (struct rbg_budget, 1);
      budget->slice = now;
      g_hash_table_insert (budgets->by_service, g_strdup (service), budget);
    }
  if (now - budget->slice > RBG_SLICES + 1)
    budget->slice = now - (RBG_SLICES + 1);
  while (budget->slice < now)
    {
      budget->slice++;
      budget->slices[budget->slice % (RBG_SLICES + 1)]
          = (struct rbg_slice){ 0 };
    }
  return budget;
}

/* Count a request for SERVICE that was accepted from a caller.  */
void
rbg_count_request (struct rbg_budgets *budgets, const char *service)
{
  struct rbg_budget *budget = rbg_budget (budgets, service);

  budget->slices[budget->slice % (RBG_SLICES + 1)].requests++;
}

/* Return whether a request for SERVICE may be retried, and count the retry if
   so.  */
bool
rbg_acquire (struct rbg_budgets *budgets, const char *service)
{
  struct rbg_budget *budget = rbg_budget (budgets, service);
  const struct rbg_limits *limits = &budgets->limits;
  double allowed;
  uint32_t requests = 0;
  uint32_t retries = 0;

  for (guint i = 0; i <= RBG_SLICES; i++)
    {
      requests += budget->slices[i].requests;
      retries += budget->slices[i].retries;
    }
  allowed = RBG_SAFETY_FACTOR
            * (limits->ratio * requests
               + (double)limits->extra / MAX (limits->instances, 1));
  if (retries + 1 > allowed)
    return false;
  budget->slices[budget->slice % (RBG_SLICES + 1)].retries++;
  return true;
}
