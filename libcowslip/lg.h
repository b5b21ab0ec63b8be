#ifndef COWSLIP_LG_H
#define COWSLIP_LG_H

#include <stdint.h>

/* Log with numbered events, which are listed in lg_events.def.  */
enum lg_event
{
#define LG_EVENT(name, number, severity, text) LG_##name = (number),
#include "lg_events.def"
#undef LG_EVENT
};

/* Syslog severities of the events.  */
enum lg_severity
{
  LG_ERR = 3,
  LG_WARNING = 4,
  LG_NOTICE = 5,
  LG_INFO = 6,
  LG_DEBUG = 7
};

void lg_open (const char *ident);
void lg_set_rate_limit (uint32_t lines_per_s);
uint64_t lg_dropped_lines (void);
void lg_set_threshold (enum lg_severity threshold);
void lg_write (enum lg_event event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
