#ifndef COWSLIP_MEM_LOAD_H
#define COWSLIP_MEM_LOAD_H

/* Encodes the load of one engine as heartbeats carry it: 12 bits each for the
   running and the waiting requests, 8 bits for the age in steps of 50 ms.  */

#include <stdbool.h>
#include <stdint.h>

#include "cowslip.h"

#define MEM_LOAD_COUNT_MAX   0xfffU
#define MEM_LOAD_AGE_STEP_MS 50
#define MEM_LOAD_AGE_MAX     0xfeU
#define MEM_LOAD_REMOVED     0xffU /* instead of an age: no longer reported */

uint64_t mem_load_hash (const char *endpoint);
uint32_t mem_load_pack (uint32_t running, uint32_t waiting, uint64_t age_ms);
uint32_t mem_load_running (uint32_t packed);
uint32_t mem_load_waiting (uint32_t packed);
uint32_t mem_load_age_ms (uint32_t packed);
bool mem_load_is_removed (uint32_t packed);
bool mem_load_differs (uint32_t a, uint32_t b);

#endif
