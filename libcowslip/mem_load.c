#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "mem_load.h"

#define MEM_LOAD_RUNNING_SHIFT 20
#define MEM_LOAD_WAITING_SHIFT 8
#define MEM_LOAD_AGE_MASK      0xffU
/* Reports are read and heartbeats sent once a second each, so the age varies
   by up to the shift between the two.  Routing weighs a report down with a
   half-life of 2 s; 500 ms change its weight by less than a fifth.  */
#define MEM_LOAD_AGE_SLACK_STEPS (500 / MEM_LOAD_AGE_STEP_MS)

/* Return the number by which heartbeats name ENDPOINT.  */
uint64_t
mem_load_hash (const char *endpoint)
{
  return XXH3_64bits (endpoint, strlen (endpoint));
}

/* Return a load of RUNNING and WAITING requests that was true AGE_MS ago.
   What is larger than its field counts as the largest value.  */
uint32_t
mem_load_pack (uint32_t running, uint32_t waiting, uint64_t age_ms)
{
  return MIN (running, MEM_LOAD_COUNT_MAX) << MEM_LOAD_RUNNING_SHIFT
         | MIN (waiting, MEM_LOAD_COUNT_MAX) << MEM_LOAD_WAITING_SHIFT
         | (uint32_t)MIN (age_ms / MEM_LOAD_AGE_STEP_MS, MEM_LOAD_AGE_MAX);
}

/* Return the running requests of PACKED.  */
uint32_t
mem_load_running (uint32_t packed)
{
  return packed >> MEM_LOAD_RUNNING_SHIFT;
}

/* Return the waiting requests of PACKED.  */
uint32_t
mem_load_waiting (uint32_t packed)
{
  return packed >> MEM_LOAD_WAITING_SHIFT & MEM_LOAD_COUNT_MAX;
}

/* Return the age of PACKED in ms.  */
uint32_t
mem_load_age_ms (uint32_t packed)
{
  return (packed & MEM_LOAD_AGE_MASK) * MEM_LOAD_AGE_STEP_MS;
}

/* Return whether PACKED says that its sender reads the engine no longer.  */
bool
mem_load_is_gone (uint32_t packed)
{
  return (packed & MEM_LOAD_AGE_MASK) == MEM_LOAD_GONE;
}

/* Return whether a peer that was told A must be told B.  */
bool
mem_load_differs (uint32_t a, uint32_t b)
{
  uint32_t age_a = a & MEM_LOAD_AGE_MASK;
  uint32_t age_b = b & MEM_LOAD_AGE_MASK;

  return (a ^ b) >> MEM_LOAD_WAITING_SHIFT != 0
         || MAX (age_a, age_b) - MIN (age_a, age_b) > MEM_LOAD_AGE_SLACK_STEPS;
}
