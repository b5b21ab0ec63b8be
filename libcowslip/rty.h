#ifndef COWSLIP_RTY_H
#define COWSLIP_RTY_H

#include <stdbool.h>
#include <stdint.h>

#include "rsn.h"
#include "tm.h"

/* Retry budgets: limit the retries and hedges of each request class of an
   environment to a share of its requests.  */
struct rty_budgets;

struct rty_budgets *rty_new (struct tm_service *tm);
void rty_free (struct rty_budgets *budgets);
void rty_set_percent (struct rty_budgets *budgets, uint32_t percent);
void rty_count_request (struct rty_budgets *budgets, const char *class_name);
bool rty_consume (struct rty_budgets *budgets, const char *class_name,
                  enum rty_reason reason);
uint64_t rty_consumed (const struct rty_budgets *budgets,
                       enum rty_reason reason);
uint64_t rty_denied (const struct rty_budgets *budgets);

#endif
