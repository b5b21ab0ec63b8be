#ifndef COWSLIP_MEM_LOADS_H
#define COWSLIP_MEM_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslip.h"

/* The loads that one peer reports, put together from its heartbeats.  */
struct mem_loads;

typedef void (*mem_loads_visit) (void *arg, const cs_load *load);

struct mem_loads *mem_loads_new (void);
void mem_loads_free (void *arg);
bool mem_loads_take (struct mem_loads *loads, uint64_t incarnation,
                     const cs_beat *beat);
void mem_loads_each (const struct mem_loads *loads, mem_loads_visit visit,
                     void *arg);

#endif
