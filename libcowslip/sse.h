#ifndef COWSLIP_SSE_H
#define COWSLIP_SSE_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

#include "rq.h"

/* Splits an engine's stream of server-sent events into complete events and
   determines the kind of each.  */
struct sse_parser
{
  GString *pending;
  size_t scanned;
};

/* DATA is the event including its closing blank line.  Return whether to
   continue.  */
typedef bool (*sse_event) (void *arg, enum rq_event_kind kind,
                           const char *data, size_t bytes);

void sse_init (struct sse_parser *parser);
void sse_clear (struct sse_parser *parser);
bool sse_feed (struct sse_parser *parser, const char *data, size_t bytes,
               sse_event event, void *arg);

#endif
