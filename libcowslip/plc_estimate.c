#include <math.h>

#include "plc_estimate.h"

#define PLC_LEARN_SHARE 0.3
/* A slow weight store recovers; without forgetting, loads that the estimate
   forbids would never be tried again.  */
#define PLC_FORGET_HALF_US 60e6

/* Rates in bytes per ms before anything was observed: memory, disk, remote. */
static const double plc_first_rate[PLC_ESTIMATE_TIERS] = { 20e6, 4e6, 2e6 };

static double
plc_rate (const struct plc_estimate *estimate, uint32_t tier, uint64_t now_us)
{
  double age_us = (double)(now_us - estimate->learnt_us[tier]);
  double weight;

  if (estimate->rate[tier] <= 0)
    return plc_first_rate[tier];
  weight = exp2 (-age_us / PLC_FORGET_HALF_US);
  return pow (estimate->rate[tier], weight)
         * pow (plc_first_rate[tier], 1 - weight);
}

/* Learn that loading BYTES from TIER took DURATION_US microseconds.  */
void
plc_estimate_learn (struct plc_estimate *estimate, uint32_t tier,
                    uint64_t bytes, uint64_t duration_us, uint64_t now_us)
{
  double rate;

  if (duration_us == 0 || bytes == 0)
    return;
  rate = (double)bytes * 1000 / (double)duration_us;
  if (estimate->rate[tier] > 0)
    rate = exp (PLC_LEARN_SHARE * log (rate)
                + (1 - PLC_LEARN_SHARE)
                      * log (plc_rate (estimate, tier, now_us)));
  estimate->rate[tier] = rate;
  estimate->learnt_us[tier] = now_us;
}

/* Return how long loading BYTES from TIER is expected to take, in
   microseconds.  */
uint64_t
plc_estimate_us (const struct plc_estimate *estimate, uint32_t tier,
                 uint64_t bytes, uint64_t now_us)
{
  return (uint64_t)((double)bytes * 1000 / plc_rate (estimate, tier, now_us));
}
