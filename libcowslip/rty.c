#include <glib.h>

#include "rty.h"

/* A few retries work at low request rates: up to this many tokens come back
   with time.  */
#define RTY_FLOOR_TOKENS     5.0
#define RTY_FLOOR_PER_SECOND 0.2
/* The unused share of this many requests may be spent at once.  */
#define RTY_SAVED_REQUESTS 2000
#define RTY_US_PER_SECOND  1000000.0

struct rty_budget
{
  char *class_name;
  double tokens;
  uint64_t refilled_us;
};

struct rty_budgets
{
  struct tm_service *tm;
  GHashTable *budgets;
  double share;
  uint64_t taken[RTY_REASON_COUNT];
  uint64_t denied;
};

static void
rty_budget_free (gpointer data)
{
  struct rty_budget *budget = data;

  g_free (budget->class_name);
  g_free (budget);
}

/* Return budgets that allow no repeated attempt beyond the floor until
   rty_set_percent.  */
struct rty_budgets *
rty_new (struct tm_service *tm)
{
  struct rty_budgets *budgets = g_new0 (struct rty_budgets, 1);

  budgets->tm = tm;
  budgets->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, rty_budget_free);
  return budgets;
}

/* Free BUDGETS.  */
void
rty_free (struct rty_budgets *budgets)
{
  if (budgets == NULL)
    return;
  g_hash_table_destroy (budgets->budgets);
  g_free (budgets);
}

/* Allow PERCENT repeated attempts per 100 requests; 0 allows none at all.  */
void
rty_set_percent (struct rty_budgets *budgets, uint32_t percent)
{
  budgets->share = percent / 100.0;
}

static struct rty_budget *
rty_budget (struct rty_budgets *budgets, const char *class_name)
{
  struct rty_budget *budget
      = g_hash_table_lookup (budgets->budgets, class_name);
  uint64_t now_us = tm_now_us (budgets->tm);

  if (budget == NULL)
    {
      budget = g_new0 (struct rty_budget, 1);
      budget->class_name = g_strdup (class_name);
      budget->tokens = RTY_FLOOR_TOKENS;
      budget->refilled_us = now_us;
      g_hash_table_insert (budgets->budgets, budget->class_name, budget);
      return budget;
    }
  if (budget->tokens < RTY_FLOOR_TOKENS)
    budget->tokens
        = MIN (RTY_FLOOR_TOKENS, budget->tokens
                                     + (double)(now_us - budget->refilled_us)
                                           / RTY_US_PER_SECOND
                                           * RTY_FLOOR_PER_SECOND);
  budget->refilled_us = now_us;
  return budget;
}

/* A request of class CLASS_NAME arrived.  */
void
rty_request (struct rty_budgets *budgets, const char *class_name)
{
  struct rty_budget *budget = rty_budget (budgets, class_name);
  double most = MAX (RTY_FLOOR_TOKENS, budgets->share * RTY_SAVED_REQUESTS);

  budget->tokens = MIN (most, budget->tokens + budgets->share);
}

/* Return whether the budget of CLASS_NAME allows one more attempt for REASON,
   and take it.  */
bool
rty_take (struct rty_budgets *budgets, const char *class_name,
          enum rty_reason reason)
{
  struct rty_budget *budget = rty_budget (budgets, class_name);

  if (budgets->share <= 0 || budget->tokens < 1)
    {
      budgets->denied++;
      return false;
    }
  budget->tokens -= 1;
  budgets->taken[reason]++;
  return true;
}

/* Return how many attempts were allowed for REASON.  */
uint64_t
rty_taken (const struct rty_budgets *budgets, enum rty_reason reason)
{
  return budgets->taken[reason];
}

/* Return how many attempts were not allowed.  */
uint64_t
rty_denied (const struct rty_budgets *budgets)
{
  return budgets->denied;
}
