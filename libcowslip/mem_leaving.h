#ifndef COWSLIP_MEM_LEAVING_H
#define COWSLIP_MEM_LEAVING_H

/* Detects endpoints that are about to stop or have stopped, from the instance
   list, engine reports, refused connections and the heartbeats of peers.  */

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "tm.h"

/* An endpoint is leaving as soon as one source reports it, until the same
   source withdraws the report or the report expires.  */
struct mem_leaving;

typedef void (*mem_leaving_changed) (void *arg, const char *endpoint,
                                     bool leaving);

struct mem_leaving *mem_leaving_new (struct tm_service *tm,
                                     mem_leaving_changed changed, void *arg);
void mem_leaving_free (struct mem_leaving *leaving);
void mem_leaving_list_begin (struct mem_leaving *leaving);
void mem_leaving_list_item (struct mem_leaving *leaving, const char *address,
                            bool is_leaving);
void mem_leaving_list_end (struct mem_leaving *leaving);
void mem_leaving_list_clear (struct mem_leaving *leaving);
void mem_leaving_engine_report (struct mem_leaving *leaving,
                                const char *address, bool is_leaving);
void mem_leaving_connect_refused (struct mem_leaving *leaving,
                                  const char *address, bool refused);
void mem_leaving_peer_report (struct mem_leaving *leaving,
                              const char *instance,
                              const char *const *endpoints, size_t count);
GPtrArray *mem_leaving_local (const struct mem_leaving *leaving);

#endif
