#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "mem_load.h"

#define MEM_LOAD_RUNNING_SHIFT 20
#define MEM_LOAD_WAITING_SHIFT 8
#define MEM_LOAD_AGE_MASK      0xffU
/* Reports are read and heartbeats sent once a second each, so the age varies
   with the phase between the two.  The weight of a report in routing halves
   every 2 s; a difference of 500 ms changes it by less than a fifth.  */
#define MEM_LOAD_AGE_TOLERANCE_STEPS (500 / MEM_LOAD_AGE_STEP_MS)

/* Return the hash that identifies ENDPOINT in heartbeats.  */
uint64_t
mem_load_hash (const char *endpoint)
{
  return XXH3_64bits (endpoint, strlen (endpoint));
}

/* Return the packed load of RUNNING and WAITING requests as of AGE_MS ago.
   Values too large for their field are capped.  */
uint32_t
mem_load_pack (uint32_t running, uint32_t waiting, uint64_t age_ms)
{
  return MIN (running, MEM_LOAD_COUNT_MAX) << MEM_LOAD_RUNNING_SHIFT
         | MIN (waiting, MEM_LOAD_COUNT_MAX) << MEM_LOAD_WAITING_SHIFT
         | (uint32_t)MIN (age_ms / MEM_LOAD_AGE_STEP_MS, MEM_LOAD_AGE_MAX);
}

uint32_t
mem_load_running (uint32_t packed)
{
  return packed >> MEM_LOAD_RUNNING_SHIFT;
}

uint32_t
mem_load_waiting (uint32_t packed)
{
  return packed >> MEM_LOAD_WAITING_SHIFT & MEM_LOAD_COUNT_MAX;
}

uint32_t
mem_load_age_ms (uint32_t packed)
{
  return (packed & MEM_LOAD_AGE_MASK) * MEM_LOAD_AGE_STEP_MS;
}

/* Return whether PACKED says that its sender no longer reads the reports of
   the engine.  */
bool
mem_load_is_removed (uint32_t packed)
{
  return (packed & MEM_LOAD_AGE_MASK) == MEM_LOAD_REMOVED;
}

/* Return whether B differs enough from A that a peer that has A needs B.  */
bool
mem_load_differs (uint32_t a, uint32_t b)
{
  uint32_t age_a = a & MEM_LOAD_AGE_MASK;
  uint32_t age_b = b & MEM_LOAD_AGE_MASK;

  return (a ^ b) >> MEM_LOAD_WAITING_SHIFT != 0
         || MAX (age_a, age_b) - MIN (age_a, age_b)
                > MEM_LOAD_AGE_TOLERANCE_STEPS;
}
