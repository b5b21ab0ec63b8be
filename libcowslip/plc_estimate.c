#include <math.h>

#include "plc_estimate.h"

#define PLC_RATE_SMOOTHING 0.3
/* Rates decay to their defaults: a slow weight store recovers, and loads that
   an old estimate rules out have to be tried again.  */
#define PLC_RATE_HALF_LIFE_US 60e6

/* Initial rates in bytes per ms: memory, disk, remote.  */
static const double plc_default_rate[PLC_ESTIMATE_TIERS] = { 20e6, 4e6, 2e6 };

static double
plc_rate (const struct plc_estimate *estimate, uint32_t tier, uint64_t now_us)
{
  double age_us = (double)(now_us - estimate->updated_us[tier]);
  double weight;

  if (estimate->rate[tier] <= 0)
    return plc_default_rate[tier];
  weight = exp2 (-age_us / PLC_RATE_HALF_LIFE_US);
  return pow (estimate->rate[tier], weight)
         * pow (plc_default_rate[tier], 1 - weight);
}

/* Update the rate of TIER with a load of BYTES that took DURATION_US
   microseconds.  */
void
plc_estimate_update (struct plc_estimate *estimate, uint32_t tier,
                     uint64_t bytes, uint64_t duration_us, uint64_t now_us)
{
  double rate;

  if (duration_us == 0 || bytes == 0)
    return;
  rate = (double)bytes * 1000 / (double)duration_us;
  if (estimate->rate[tier] > 0)
    rate = exp (PLC_RATE_SMOOTHING * log (rate)
                + (1 - PLC_RATE_SMOOTHING)
                      * log (plc_rate (estimate, tier, now_us)));
  estimate->rate[tier] = rate;
  estimate->updated_us[tier] = now_us;
}

/* Return how long loading BYTES from TIER is expected to take, in
   microseconds.  */
uint64_t
plc_estimate_us (const struct plc_estimate *estimate, uint32_t tier,
                 uint64_t bytes, uint64_t now_us)
{
  return (uint64_t)((double)bytes * 1000 / plc_rate (estimate, tier, now_us));
}
