#ifndef COWSLIP_RT_PREFIX_H
#define COWSLIP_RT_PREFIX_H

#include <stdint.h>

#include <glib.h>

#include "rt.h"

/* Rendezvous hashing of prompt prefixes in logarithmic time, over replicas
   sorted by the hash of their endpoint.  */

void rt_prefix_sort (GPtrArray *sorted);
struct rt_replica *rt_prefix_pick (const GPtrArray *sorted, uint64_t prefix);

#endif
