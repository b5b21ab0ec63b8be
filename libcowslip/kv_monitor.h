#ifndef COWSLIP_KV_MONITOR_H
#define COWSLIP_KV_MONITOR_H

#include "ctr.h"
#include "http_client.h"
#include "kv.h"

/* Counts calls to a key-value store by outcome, and logs when the store
   becomes unavailable and available again.  */
struct kv_monitor
{
  struct ctr_set *counters;
  bool failing; /* the last call failed */
};

void kv_monitor (struct kv_monitor *note, const char *call,
                 const struct http_response *response,
                 enum kv_outcome outcome);

#endif
