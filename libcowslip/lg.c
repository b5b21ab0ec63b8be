#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
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
static int lg_descriptor = STDERR_FILENO;

/* A budget of lines that refills with time.  Serious events are always
   written.  */
static struct
{
  uint32_t per_s; /* 0: no limit */
  double left;
  double refilled_s;
  uint64_t dropped;
} lg_budget;

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

/* Write to standard output from now on, at most LINES_PER_S lines a second,
   and never wait for its reader: what does not fit is counted and dropped.  */
void
lg_limit (uint32_t lines_per_s)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  lg_descriptor = STDOUT_FILENO;
  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  lg_budget.per_s = lines_per_s;
  lg_budget.left = lines_per_s;
}

/* Return how many lines were dropped.  */
uint64_t
lg_dropped (void)
{
  return lg_budget.dropped;
}

/* Return whether a line of SEVERITY may be written at NOW.  */
static bool
lg_may_write (enum lg_severity severity, const struct timespec *now)
{
  double now_s = (double)now->tv_sec + (double)now->tv_nsec / 1e9;
  double passed_s = now_s - lg_budget.refilled_s;

  if (lg_budget.per_s == 0)
    return true;
  /* The time of day may jump.  */
  if (passed_s < 0 || passed_s > 1)
    passed_s = 1;
  lg_budget.refilled_s = now_s;
  lg_budget.left += passed_s * lg_budget.per_s;
  if (lg_budget.left > lg_budget.per_s)
    lg_budget.left = lg_budget.per_s;
  if (lg_budget.left < 1 && severity > LG_ERR)
    {
      lg_budget.dropped++;
      return false;
    }
  lg_budget.left--;
  return true;
}

static void
lg_emit (const char *line, int bytes, int max_bytes)
{
  int length = bytes < max_bytes ? bytes : max_bytes - 1;

  if (write (lg_descriptor, line, (size_t)length) != length)
    lg_budget.dropped++;
}

/* Write only events whose severity is THRESHOLD or more severe.  */
void
lg_set_threshold (enum lg_severity threshold)
{
  lg_threshold = threshold;
}

/* Write EVENT with details made from FORMAT as one syslog-style line:
   "<severity>time ident[pid]: E404 text: details".  It goes to standard error,
   or to standard output after lg_limit.  Longer lines are cut.  */
void
lg_write (enum lg_event event, const char *format, ...)
{
  const struct lg_entry *entry = lg_find (event);
  char details[LG_LINE_MAX_BYTES];
  char line[LG_LINE_MAX_BYTES + 256];
  char stamp[32];
  struct timespec now;
  struct tm utc;
  va_list ap;
  int bytes;

  if (entry->severity > lg_threshold)
    return;
  clock_gettime (CLOCK_REALTIME, &now);
  if (!lg_may_write (entry->severity, &now))
    return;
  va_start (ap, format);
  (void)vsnprintf (details, sizeof details, format, ap);
  va_end (ap);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  bytes = snprintf (line, sizeof line, "<%d>%s.%03ldZ %s[%ld]: E%u %s: %s\n",
                    entry->severity, stamp, now.tv_nsec / 1000000, lg_ident,
                    (long)getpid (), entry->number, entry->text, details);
  lg_emit (line, bytes, sizeof line);
}
