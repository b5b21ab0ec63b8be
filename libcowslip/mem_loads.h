#ifndef COWSLIP_MEM_LOADS_H
#define COWSLIP_MEM_LOADS_H

/* Rebuilds the engine loads of one peer from its heartbeats.  */

#include <stdbool.h>
#include <stdint.h>

#include "cowslip.h"

struct mem_loads;

typedef void (*mem_loads_visitor) (void *arg, const cs_load *load);

struct mem_loads *mem_loads_new (void);
void mem_loads_free (void *arg);
bool mem_loads_apply (struct mem_loads *loads, uint64_t incarnation,
                      const cs_beat *beat);
void mem_loads_foreach (const struct mem_loads *loads, mem_loads_visitor visit,
                        void *arg);

#endif
