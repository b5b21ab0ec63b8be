#ifndef COWSLIP_MEM_BEAT_H
#define COWSLIP_MEM_BEAT_H

/* Schedules the heartbeats that this instance sends.  */

#include <stddef.h>

#include <gsl/gsl_rng.h>

#include "mem.h"

struct mem_beat;

/* Sends a heartbeat to INSTANCE at ADDRESS.  INSTANCE is NULL if its name is
   not known yet.  */
typedef void (*mem_beat_send) (void *arg, const char *address,
                               const char *instance);

struct mem_beat *mem_beat_new (struct tm_service *tm, struct mem_table *table,
                               gsl_rng *random, const char *const *peers,
                               size_t peer_count, mem_beat_send send,
                               void *arg);
void mem_beat_free (struct mem_beat *beat);
void mem_beat_now (struct mem_beat *beat);

#endif
