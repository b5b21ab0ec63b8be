#include <glib.h>

#include "rbg.h"

#define RBG_US_PER_MS UINT64_C (1000)
/* A window is counted in this many slices.  One slice more is kept, so that
   any span of the window's length lies within what is counted.  */
#define RBG_SLICES 10
/* Part of the bound that is used.  The rest covers sends that arrive in a
   later window than the one in which they were counted.  */
#define RBG_USED 0.8

struct rbg_slice
{
  uint32_t requests;
  uint32_t repeats;
};

struct rbg_budget
{
  struct rbg_slice slices[RBG_SLICES + 1];
  uint64_t slice; /* number of the newest */
};

struct rbg_budgets
{
  struct tm_service *tm;
  struct rbg_limits limits;
  GHashTable *by_service;
};

/* Return budgets that allow no repeat until rbg_set_limits.  */
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

/* Keep to LIMITS from now on.  */
void
rbg_set_limits (struct rbg_budgets *budgets, const struct rbg_limits *limits)
{
  budgets->limits = *limits;
}

/* Return the budget of SERVICE with the slices up to the present one.  */
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

/* A request for SERVICE was taken from a caller.  */
void
rbg_request (struct rbg_budgets *budgets, const char *service)
{
  struct rbg_budget *budget = rbg_budget (budgets, service);

  budget->slices[budget->slice % (RBG_SLICES + 1)].requests++;
}

/* Return whether a request for SERVICE may be sent once more, and count it if
   so.  */
bool
rbg_take (struct rbg_budgets *budgets, const char *service)
{
  struct rbg_budget *budget = rbg_budget (budgets, service);
  const struct rbg_limits *limits = &budgets->limits;
  double allowed;
  uint32_t requests = 0;
  uint32_t repeats = 0;

  for (guint i = 0; i <= RBG_SLICES; i++)
    {
      requests += budget->slices[i].requests;
      repeats += budget->slices[i].repeats;
    }
  allowed = RBG_USED
            * (limits->ratio * requests
               + (double)limits->extra / MAX (limits->instances, 1));
  if (repeats + 1 > allowed)
    return false;
  budget->slices[budget->slice % (RBG_SLICES + 1)].repeats++;
  return true;
}
