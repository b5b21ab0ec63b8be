#ifndef COWSLIP_PLC_ESTIMATE_H
#define COWSLIP_PLC_ESTIMATE_H

#include <stdint.h>

/* Estimates how long loading a model from each tier takes.  */

#define PLC_ESTIMATE_TIERS 3

/* Load rate of each tier, an exponential moving average of past loads.  */
struct plc_estimate
{
  double rate[PLC_ESTIMATE_TIERS]; /* bytes per ms; 0: no load yet */
  uint64_t updated_us[PLC_ESTIMATE_TIERS];
};

void plc_estimate_update (struct plc_estimate *estimate, uint32_t tier,
                          uint64_t bytes, uint64_t duration_us,
                          uint64_t now_us);
uint64_t plc_estimate_us (const struct plc_estimate *estimate, uint32_t tier,
                          uint64_t bytes, uint64_t now_us);

#endif
