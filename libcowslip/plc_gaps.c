#include <math.h>

#include "plc_gaps.h"

#define PLC_GAP_FIRST_US 0.5e6
#define PLC_GAP_QUANTILE 0.9
#define PLC_GAP_KNOWN    4
/* Older gaps lose weight, so that the time follows a change of use.  */
#define PLC_GAP_FORGET     256
#define PLC_GAP_DEFAULT_MS 30000
#define PLC_US_PER_MS      UINT64_C (1000)

static uint64_t
plc_gap_upper_us (uint32_t bucket)
{
  return (uint64_t)(PLC_GAP_FIRST_US * exp2 ((bucket + 1) / 2.0));
}

/* Add a gap of GAP_US microseconds.  Gaps below half a second are within one
   burst and do not count.  */
void
plc_gaps_add (struct plc_gaps *gaps, uint64_t gap_us)
{
  double bucket = floor (2 * log2 ((double)gap_us / PLC_GAP_FIRST_US));

  if (gap_us < PLC_GAP_FIRST_US)
    return;
  if (bucket > PLC_GAP_BUCKETS - 1)
    bucket = PLC_GAP_BUCKETS - 1;
  gaps->counts[(uint32_t)bucket]++;
  if (++gaps->total < PLC_GAP_FORGET)
    return;
  gaps->total = 0;
  for (uint32_t i = 0; i < PLC_GAP_BUCKETS; i++)
    {
      gaps->counts[i] /= 2;
      gaps->total += gaps->counts[i];
    }
}

/* Return how long a replica stays loaded after its model's last request, in
   microseconds: a high quantile of the gaps, at least MIN_MS and at most
   MAX_MS.  */
uint64_t
plc_gaps_keep_alive_us (const struct plc_gaps *gaps, uint32_t min_ms,
                        uint32_t max_ms)
{
  uint64_t keep_us = PLC_GAP_DEFAULT_MS * PLC_US_PER_MS;
  uint32_t below = 0;

  for (uint32_t i = 0; gaps->total >= PLC_GAP_KNOWN && i < PLC_GAP_BUCKETS;
       i++)
    {
      below += gaps->counts[i];
      keep_us = plc_gap_upper_us (i);
      if (below >= PLC_GAP_QUANTILE * gaps->total)
        break;
    }
  if (keep_us > max_ms * PLC_US_PER_MS)
    keep_us = max_ms * PLC_US_PER_MS;
  return keep_us < min_ms * PLC_US_PER_MS ? min_ms * PLC_US_PER_MS : keep_us;
}
