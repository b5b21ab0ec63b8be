#ifndef COWSLIP_LG_H
#define COWSLIP_LG_H

#include <stdint.h>

/* Numbered log events; lg_events.def holds the catalogue.  */
enum lg_event
{
#define LG_EVENT(name, number, severity, text) LG_##name = (number),
#include "lg_events.def"
#undef LG_EVENT
};

/* Syslog severities that the events use.  */
enum lg_severity
{
  LG_ERR = 3,
  LG_WARNING = 4,
  LG_NOTICE = 5,
  LG_INFO = 6,
  LG_DEBUG = 7
};

void lg_open (const char *ident);
void lg_limit (uint32_t lines_per_s);
uint64_t lg_dropped (void);
void lg_set_threshold (enum lg_severity threshold);
void lg_write (enum lg_event event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
