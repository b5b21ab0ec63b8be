#ifndef COWSLIP_CLM_BATCH_IMPL_H
#define COWSLIP_CLM_BATCH_IMPL_H

/* State and functions shared by the clm_batch*.c files only.  */

#include "clm_batch.h"
#include "clm_item.h"

/* With one read per claim, a transaction stays below etcd's limit of 128
   operations.  */
#define CLM_BATCH_CLAIMS 60

struct clm_batch
{
  struct clm_batch_config config;
  char *prefix;
  GQueue waiting;     /* struct clm_item */
  GPtrArray *current; /* items of the current transaction */
  struct tm_timer timer;
  int64_t lease;
  uint64_t lease_granted_us;
  uint32_t conflict_retries;
  bool lease_checked;
  bool call_in_flight;
  bool closed;
  struct clm_batch_stats stats;
};

void clm_batch_write (struct clm_batch *batch);
void clm_batch_end (struct clm_batch *batch);
void clm_batch_fail (struct clm_batch *batch);
void clm_batch_destroy (struct clm_batch *batch);

#endif
