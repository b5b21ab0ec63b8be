#ifndef COWSLIP_RBG_H
#define COWSLIP_RBG_H

#include <stdbool.h>
#include <stdint.h>

#include "tm.h"

/* Retry budgets, one per service.  All instances together may retry a share of
   the requests of a time window and a fixed number more.  Each instance uses
   only its own share, so that the total stays within the limit when instances
   cannot reach each other.  */
struct rbg_budgets;

struct rbg_limits
{
  double ratio;   /* retries per request */
  uint32_t extra; /* further retries per window, of all instances together */
  uint32_t window_ms;
  uint32_t instances;
};

struct rbg_budgets *rbg_new (struct tm_service *tm);
void rbg_free (struct rbg_budgets *budgets);
void rbg_set_limits (struct rbg_budgets *budgets,
                     const struct rbg_limits *limits);
void rbg_count_request (struct rbg_budgets *budgets, const char *service);
bool rbg_acquire (struct rbg_budgets *budgets, const char *service);

#endif
