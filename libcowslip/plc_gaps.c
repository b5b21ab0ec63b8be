#include <math.h>

#include <glib.h>

#include "plc_gaps.h"

#define PLC_GAP_FIRST_US 0.5e6
#define PLC_GAP_KNOWN    4
/* Idle accelerator time that a caller's wait for a load is worth.  */
#define PLC_RELOAD_WEIGHT 3.0
/* Older gaps lose weight, so that the time follows a change of use.  */
#define PLC_GAP_FORGET 256
#define PLC_US_PER_MS  UINT64_C (1000)

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

/* Return the cost of keeping an unused replica for KEEP_US after each of the
   known gaps, in microseconds: the time for which it is idle, and RELOAD_US
   for each request that then finds it unloaded.  */
static double
plc_gaps_cost (const struct plc_gaps *gaps, double keep_us, double reload_us)
{
  double cost_us = 0;

  for (uint32_t i = 0; i < PLC_GAP_BUCKETS; i++)
    {
      double gap_us = (double)plc_gap_upper_us (i);

      cost_us += gaps->counts[i]
                 * (gap_us <= keep_us ? gap_us : keep_us + reload_us);
    }
  return cost_us;
}

/* Return how long a replica stays loaded after its model's last request, in
   microseconds, at least MIN_MS and at most MAX_MS: the time with the lowest
   cost for the known gaps.  A load that takes LOAD_US costs as much as being
   idle for several times as long, because callers wait for it.  While too few
   gaps are known, a replica is kept for as long as a reload costs, which is at
   most twice as dear as the best choice.  */
uint64_t
plc_gaps_keep_alive_us (const struct plc_gaps *gaps, uint64_t load_us,
                        uint32_t min_ms, uint32_t max_ms)
{
  uint64_t low_us = min_ms * PLC_US_PER_MS;
  uint64_t high_us = MAX (max_ms * PLC_US_PER_MS, low_us);
  double reload_us = (double)load_us * PLC_RELOAD_WEIGHT;
  uint64_t best_us = low_us;

  if (gaps->total < PLC_GAP_KNOWN)
    return MIN (MAX ((uint64_t)reload_us, low_us), high_us);
  for (uint32_t i = 0; i < PLC_GAP_BUCKETS; i++)
    {
      uint64_t keep_us = MIN (MAX (plc_gap_upper_us (i), low_us), high_us);

      if (plc_gaps_cost (gaps, (double)keep_us, reload_us)
          < plc_gaps_cost (gaps, (double)best_us, reload_us))
        best_us = keep_us;
    }
  return best_us;
}
