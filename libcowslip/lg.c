#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "lg.h"

#define LG_LINE_MAX_BYTES 1024

struct lg_entry
{
  uint16_t number;
  enum lg_severity severity;
  const char *text;
};

static const struct lg_entry lg_entries[] = {
#define LG_EVENT(name, number, severity, text) { number, severity, text },
#include "lg_events.def"
#undef LG_EVENT
};

static const char *lg_ident = "cowslip";
static enum lg_severity lg_threshold = LG_INFO;

static const struct lg_entry *
lg_find (enum lg_event event)
{
  for (size_t i = 0; i < sizeof lg_entries / sizeof lg_entries[0]; i++)
    if (lg_entries[i].number == (uint16_t)event)
      return &lg_entries[i];
  return &lg_entries[0];
}

/* Set the program name that starts each line.  IDENT must stay valid.  */
void
lg_open (const char *ident)
{
  lg_ident = ident;
}

/* Write only events whose severity is THRESHOLD or more severe.  */
void
lg_set_threshold (enum lg_severity threshold)
{
  lg_threshold = threshold;
}

/* Write EVENT with details made from FORMAT as one syslog-style line to
   standard error: "<severity>time ident[pid]: E404 text: details".  Lines
   longer than 1,024 bytes are cut.  */
void
lg_write (enum lg_event event, const char *format, ...)
{
  const struct lg_entry *entry = lg_find (event);
  char details[LG_LINE_MAX_BYTES];
  char stamp[32];
  struct timespec now;
  struct tm utc;
  va_list ap;

  if (entry->severity > lg_threshold)
    return;

  va_start (ap, format);
  (void)vsnprintf (details, sizeof details, format, ap);
  va_end (ap);

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  fprintf (stderr, "<%d>%s.%03ldZ %s[%ld]: E%u %s: %s\n", entry->severity,
           stamp, now.tv_nsec / 1000000, lg_ident, (long)getpid (),
           entry->number, entry->text, details);
}
