#ifndef REGRESS_CROWD_H
#define REGRESS_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "crowd_process.h"

/* Clients that do not behave, many at once, against a process of the
   system.  */

/* What each client of a crowd sends on its connection, which it then leaves
   open.  */
struct crowd_plan
{
  const char *name;
  uint32_t clients;
  const char *head; /* sent first */
  const char *unit; /* sent UNITS times after it */
  size_t unit_bytes;
  uint32_t units;
  bool reads;       /* false: nothing that the process sends is read */
  uint32_t returns; /* how often a client connects again after the process has
                       closed its connection */
};

/* A request that must get status 200 beside the crowd and after it.  */
struct crowd_request
{
  uint16_t port;
  const char *text; /* NULL: end of a list */
};

/* What must hold.  */
struct crowd_bounds
{
  uint64_t memory_bytes;
  uint32_t descriptors;
  const struct crowd_request *requests; /* of ordinary clients, the load
                                           balancer and operators */
};

void crowd_run (struct crowd_process *process, const struct crowd_plan *plan,
                const struct crowd_bounds *bounds);
char *crowd_chunks (size_t chunk_bytes, size_t total_bytes,
                    size_t *text_bytes);
char *crowd_repeat (const char *text, size_t total_bytes, size_t *text_bytes);

#endif
