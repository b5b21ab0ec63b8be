#ifndef COWSLIP_EVS_H
#define COWSLIP_EVS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Splits a stream of server-sent events into complete events and records the
   id of the last one, so that a response can be resumed at another
   endpoint.  */
struct evs_parser
{
  GString *partial;   /* incomplete last event */
  size_t scanned;     /* bytes of PARTIAL that were searched for its end */
  bool at_line_start; /* a line ends at SCANNED */
  bool after_cr;      /* with CR alone */
  bool numbered;      /* set by the owner: all events have ids */
  bool too_long;      /* PARTIAL exceeded the limit and was dropped */
  bool out_of_place;  /* an event that cannot come next was dropped */
  bool has_last_id;   /* LAST_ID is valid */
  uint64_t last_id;
  uint64_t id_count;    /* events with ids that were passed on */
  bool consecutive;     /* these ids rise by 1 */
  bool resumed;         /* the current endpoint continues the stream */
  bool reached;         /* it has sent the event LAST_ID or a later one */
  uint64_t event_count; /* complete events of the current endpoint */
};

/* Called for each complete event, its blank line included.  */
typedef void (*evs_handler) (void *arg, const char *data, size_t bytes);

bool evs_is_stream_type (const char *content_type);
void evs_init (struct evs_parser *parser);
void evs_clear (struct evs_parser *parser);
void evs_reset (struct evs_parser *parser);
void evs_feed (struct evs_parser *parser, const char *data, size_t bytes,
               evs_handler handler, void *arg);
bool evs_is_within_event (const struct evs_parser *parser);
bool evs_is_short (const struct evs_parser *parser);

#endif
