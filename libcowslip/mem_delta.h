#ifndef COWSLIP_MEM_DELTA_H
#define COWSLIP_MEM_DELTA_H

/* Tracks the engine loads sent to one peer, so that most heartbeats carry only
   the loads that changed.  */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cowslip.h"

/* Interval of full heartbeats, which carry the sender's identity and all
   loads.  They are acknowledged and so detect a dead connection, too.  */
#define MEM_FULL_HEARTBEAT_US 5000000

struct mem_delta;

struct mem_delta *mem_delta_new (void);
void mem_delta_free (void *arg);
bool mem_delta_needs_full (const struct mem_delta *delta, uint64_t connection,
                           uint64_t now_us);
void mem_delta_sent_full (struct mem_delta *delta, uint32_t number,
                          const GArray *loads, uint64_t now_us);
GArray *mem_delta_encode (struct mem_delta *delta, uint32_t number,
                          const GArray *loads, uint32_t *previous);
void mem_delta_full_acked (struct mem_delta *delta, uint64_t connection);

#endif
