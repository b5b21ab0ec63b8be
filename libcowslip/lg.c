#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "lg.h"

#define LG_LINE_MAX_BYTES 1024
#define LG_DELETE         0x7f

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

/* Token bucket for log lines.  Errors are written even if it is empty.  */
static struct
{
  uint32_t per_s; /* 0: no limit */
  double tokens;
  double refilled_s;
  uint64_t dropped;
} lg_bucket;

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
   without blocking.  Lines over the limit, or that the reader does not accept
   in time, are counted and dropped.  */
void
lg_set_rate_limit (uint32_t lines_per_s)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  lg_descriptor = STDOUT_FILENO;
  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  lg_bucket.per_s = lines_per_s;
  lg_bucket.tokens = lines_per_s;
}

/* Return the number of dropped lines.  */
uint64_t
lg_dropped_lines (void)
{
  return lg_bucket.dropped;
}

/* Return whether a line of SEVERITY may be written at NOW.  */
static bool
lg_may_write (enum lg_severity severity, const struct timespec *now)
{
  double now_s = (double)now->tv_sec + (double)now->tv_nsec / 1e9;
  double elapsed_s = now_s - lg_bucket.refilled_s;

  if (lg_bucket.per_s == 0)
    return true;
  /* CLOCK_REALTIME may be set back or forward.  */
  if (elapsed_s < 0 || elapsed_s > 1)
    elapsed_s = 1;
  lg_bucket.refilled_s = now_s;
  lg_bucket.tokens += elapsed_s * lg_bucket.per_s;
  if (lg_bucket.tokens > lg_bucket.per_s)
    lg_bucket.tokens = lg_bucket.per_s;
  if (lg_bucket.tokens < 1 && severity > LG_ERR)
    {
      lg_bucket.dropped++;
      return false;
    }
  lg_bucket.tokens--;
  return true;
}

/* Replace the control characters in TEXT, which may come from other programs,
   so that it stays within its line.  */
static void
lg_replace_controls (char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < ' ' || *text == LG_DELETE)
      *text = '?';
}

static void
lg_emit (const char *line, int bytes, int max_bytes)
{
  int length = bytes < max_bytes ? bytes : max_bytes - 1;

  if (write (lg_descriptor, line, (size_t)length) != length)
    lg_bucket.dropped++;
}

/* Suppress events less severe than THRESHOLD.  */
void
lg_set_threshold (enum lg_severity threshold)
{
  lg_threshold = threshold;
}

/* Write EVENT with details from FORMAT as one syslog-style line:
   "<severity>time ident[pid]: E404 text: details".  It goes to standard
   error, or to standard output after lg_set_rate_limit.  Longer lines are
   truncated, and control characters replaced.  */
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
  lg_replace_controls (details);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  bytes = snprintf (line, sizeof line, "<%d>%s.%03ldZ %s[%ld]: E%u %s: %s\n",
                    entry->severity, stamp, now.tv_nsec / 1000000, lg_ident,
                    (long)getpid (), entry->number, entry->text, details);
  lg_emit (line, bytes, sizeof line);
}
