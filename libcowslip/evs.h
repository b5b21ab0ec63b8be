#ifndef COWSLIP_EVS_H
#define COWSLIP_EVS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Cuts a stream of server-sent events into whole events and remembers the id
   of the last one, so that an answer can go on at another endpoint.  */
struct evs_cutter
{
  GString *partial; /* the event that is not whole yet */
  bool any;         /* an event with an id was passed on */
  uint64_t last_id;
};

typedef void (*evs_pass) (void *arg, const char *data, size_t bytes);

void evs_init (struct evs_cutter *cutter);
void evs_clear (struct evs_cutter *cutter);
void evs_restart (struct evs_cutter *cutter);
void evs_feed (struct evs_cutter *cutter, const char *data, size_t bytes,
               evs_pass pass, void *arg);

#endif
