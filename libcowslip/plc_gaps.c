#include <math.h>

#include <glib.h>

#include "plc_gaps.h"

#define PLC_GAP_BUCKET_MIN_US 0.5e6
#define PLC_GAP_SAMPLES_MIN   4
/* Weight of the load time, for which callers wait, relative to idle
   accelerator time.  */
#define PLC_RELOAD_COST_FACTOR 3.0
/* All counts are halved at this total, so that the keep-alive time adapts to
   changes in usage.  */
#define PLC_GAP_SAMPLES_MAX 256
#define PLC_US_PER_MS       UINT64_C (1000)

static uint64_t
plc_gap_upper_us (uint32_t bucket)
{
  return (uint64_t)(PLC_GAP_BUCKET_MIN_US * exp2 ((bucket + 1) / 2.0));
}

/* Add a gap of GAP_US microseconds.  Gaps below half a second are within a
   burst and are ignored.  */
void
plc_gaps_add (struct plc_gaps *gaps, uint64_t gap_us)
{
  double bucket = floor (2 * log2 ((double)gap_us / PLC_GAP_BUCKET_MIN_US));

  if (gap_us < PLC_GAP_BUCKET_MIN_US)
    return;
  if (bucket > PLC_GAP_BUCKETS - 1)
    bucket = PLC_GAP_BUCKETS - 1;
  gaps->counts[(uint32_t)bucket]++;
  if (++gaps->total < PLC_GAP_SAMPLES_MAX)
    return;
  gaps->total = 0;
  for (uint32_t i = 0; i < PLC_GAP_BUCKETS; i++)
    {
      gaps->counts[i] /= 2;
      gaps->total += gaps->counts[i];
    }
}

/* Return the cost in microseconds of a keep-alive time of KEEP_US over the
   recorded gaps: the time for which the replica is idle, plus RELOAD_US for
   each request that finds it unloaded.  */
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
   cost over the recorded gaps.  A load that takes LOAD_US costs as much as
   several times LOAD_US of idle time, because callers wait for it.  With fewer
   than PLC_GAP_SAMPLES_MIN gaps the keep-alive time equals the cost of a
   reload, which is at most twice as expensive as the optimum.  */
uint64_t
plc_gaps_keep_alive_us (const struct plc_gaps *gaps, uint64_t load_us,
                        uint32_t min_ms, uint32_t max_ms)
{
  uint64_t low_us = min_ms * PLC_US_PER_MS;
  uint64_t high_us = MAX (max_ms * PLC_US_PER_MS, low_us);
  double reload_us = (double)load_us * PLC_RELOAD_COST_FACTOR;
  uint64_t best_us = low_us;

  if (gaps->total < PLC_GAP_SAMPLES_MIN)
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
