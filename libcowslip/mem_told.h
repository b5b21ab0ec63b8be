#ifndef COWSLIP_MEM_TOLD_H
#define COWSLIP_MEM_TOLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cowslip.h"

/* A heartbeat with the sender's names and all loads goes out this often.  It
   is answered, so it also shows a connection that is dead.  */
#define MEM_WHOLE_US 5000000

/* What one peer was told, and so what the next heartbeat to it must say.  */
struct mem_told;

struct mem_told *mem_told_new (void);
void mem_told_free (void *arg);
bool mem_told_is_whole (const struct mem_told *told, uint64_t connection,
                        uint64_t now_us);
void mem_told_whole (struct mem_told *told, uint32_t number,
                     const GArray *loads, uint64_t now_us);
GArray *mem_told_changes (struct mem_told *told, uint32_t number,
                          const GArray *loads, uint32_t *previous);
void mem_told_confirmed (struct mem_told *told, uint64_t connection);

#endif
