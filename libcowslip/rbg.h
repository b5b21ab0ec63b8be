#ifndef COWSLIP_RBG_H
#define COWSLIP_RBG_H

#include <stdbool.h>
#include <stdint.h>

#include "tm.h"

/* Budgets of repeated sends, one per service.  All instances together may
   repeat a share of the requests of a window, and a few more; each takes its
   part, so that the sum keeps the bound when they cannot hear each other.  */
struct rbg_budgets;

struct rbg_limits
{
  double ratio;   /* repeats per request */
  uint32_t extra; /* repeats beyond that, of all instances together */
  uint32_t window_ms;
  uint32_t instances;
};

struct rbg_budgets *rbg_new (struct tm_service *tm);
void rbg_free (struct rbg_budgets *budgets);
void rbg_set_limits (struct rbg_budgets *budgets,
                     const struct rbg_limits *limits);
void rbg_request (struct rbg_budgets *budgets, const char *service);
bool rbg_take (struct rbg_budgets *budgets, const char *service);

#endif
