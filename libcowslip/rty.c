#include <glib.h>

#include "rty.h"

/* At low request rates, the budget is refilled over time up to this many
   tokens, so that a few retries are always possible.  */
#define RTY_MIN_TOKENS            5.0
#define RTY_MIN_TOKENS_PER_SECOND 0.2
/* Maximum burst: the unused tokens of this many requests.  */
#define RTY_BURST_REQUESTS 2000
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
  double ratio;
  uint64_t allowed[RTY_REASON_COUNT];
  uint64_t denied;
};

static void
rty_budget_free (gpointer data)
{
  struct rty_budget *budget = data;

  g_free (budget->class_name);
  g_free (budget);
}

/* Return budgets that allow no retries until rty_set_percent is called.  */
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

/* Allow PERCENT retries per 100 requests; 0 allows none at all.  */
void
rty_set_percent (struct rty_budgets *budgets, uint32_t percent)
{
  budgets->ratio = percent / 100.0;
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
      budget->tokens = RTY_MIN_TOKENS;
      budget->refilled_us = now_us;
      g_hash_table_insert (budgets->budgets, budget->class_name, budget);
      return budget;
    }
  if (budget->tokens < RTY_MIN_TOKENS)
    budget->tokens
        = MIN (RTY_MIN_TOKENS, budget->tokens
                                   + (double)(now_us - budget->refilled_us)
                                         / RTY_US_PER_SECOND
                                         * RTY_MIN_TOKENS_PER_SECOND);
  budget->refilled_us = now_us;
  return budget;
}

/* Credit the budget of CLASS_NAME with one request.  */
void
rty_count_request (struct rty_budgets *budgets, const char *class_name)
{
  struct rty_budget *budget = rty_budget (budgets, class_name);
  double most = MAX (RTY_MIN_TOKENS, budgets->ratio * RTY_BURST_REQUESTS);

  budget->tokens = MIN (most, budget->tokens + budgets->ratio);
}

/* Consume one retry for REASON from the budget of CLASS_NAME; return false if
   the budget is exhausted.  */
bool
rty_consume (struct rty_budgets *budgets, const char *class_name,
             enum rty_reason reason)
{
  struct rty_budget *budget = rty_budget (budgets, class_name);

  if (budgets->ratio <= 0 || budget->tokens < 1)
    {
      budgets->denied++;
      return false;
    }
  budget->tokens -= 1;
  budgets->allowed[reason]++;
  return true;
}

/* Return the number of retries allowed for REASON.  */
uint64_t
rty_consumed (const struct rty_budgets *budgets, enum rty_reason reason)
{
  return budgets->allowed[reason];
}

/* Return the number of retries denied.  */
uint64_t
rty_denied (const struct rty_budgets *budgets)
{
  return budgets->denied;
}
