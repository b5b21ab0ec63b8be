#include "flt_impl.h"

/* The loads that endpoints report with their responses.  */

/* Weight of a new load report in the mean of the service.  An instance of a
   large fleet receives about one a second.  */
#define FLT_MEAN_LOAD_WEIGHT 0.1

/* Return the mean load, running and waiting requests, that the endpoints of
   SERVICE have reported to this instance; 0: none yet.  */
double
flt_mean_load (const struct flt_fleet *fleet, const char *service)
{
  const double *mean = g_hash_table_lookup (fleet->loads, service);

  return mean == NULL ? 0 : *mean;
}

static void
flt_update_mean_load (struct flt_fleet *fleet, const char *service,
                      double load)
{
  double *mean = g_hash_table_lookup (fleet->loads, service);

  if (mean == NULL)
    {
      mean = g_new0 (double, 1);
      *mean = load;
      g_hash_table_insert (fleet->loads, g_strdup (service), mean);
    }
  *mean += FLT_MEAN_LOAD_WEIGHT * (load - *mean);
}

/* Store the load that ENDPOINT reported with a response.  PACE_PERCENT 0
   counts as 100.  */
void
flt_set_load (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
              uint32_t running, uint32_t waiting, uint32_t pace_percent)
{
  endpoint->running = running;
  endpoint->waiting = waiting;
  endpoint->pace_percent = pace_percent == 0 ? 100 : pace_percent;
  endpoint->load_reported_us = tm_now_us (fleet->tm);
  flt_update_mean_load (fleet, endpoint->entry.service,
                        (double)running + waiting);
}
