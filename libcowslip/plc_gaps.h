#ifndef COWSLIP_PLC_GAPS_H
#define COWSLIP_PLC_GAPS_H

#include <stdint.h>

/* Chooses how long an unused replica stays loaded, from the intervals between
   past requests for its model.  */

#define PLC_GAP_BUCKETS 32

/* Histogram of the gaps between a model's requests, with two buckets per
   factor of two from half a second up.  */
struct plc_gaps
{
  uint32_t counts[PLC_GAP_BUCKETS];
  uint32_t total;
};

void plc_gaps_add (struct plc_gaps *gaps, uint64_t gap_us);
uint64_t plc_gaps_keep_alive_us (const struct plc_gaps *gaps, uint64_t load_us,
                                 uint32_t min_ms, uint32_t max_ms);

#endif
