#ifndef COWSLIP_PLC_ESTIMATE_H
#define COWSLIP_PLC_ESTIMATE_H

#include <stdint.h>

#define PLC_ESTIMATE_TIERS 3

/* Load rates per tier, learnt from observed loads.  */
struct plc_estimate
{
  double rate[PLC_ESTIMATE_TIERS]; /* bytes per ms; 0: nothing observed */
  uint64_t learnt_us[PLC_ESTIMATE_TIERS];
};

void plc_estimate_learn (struct plc_estimate *estimate, uint32_t tier,
                         uint64_t bytes, uint64_t duration_us,
                         uint64_t now_us);
uint64_t plc_estimate_us (const struct plc_estimate *estimate, uint32_t tier,
                          uint64_t bytes, uint64_t now_us);

#endif
