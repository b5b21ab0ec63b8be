#include <stdlib.h>
#include <string.h>

#include "evs.h"

/* Events are some hundred bytes long; a faulty endpoint sends one without
   end.  */
#define EVS_EVENT_MAX_BYTES (256U << 10)

/* Return whether CONTENT_TYPE, which may be NULL, is that of a stream of
   server-sent events.  */
bool
evs_is_stream_type (const char *content_type)
{
  static const char type[] = "text/event-stream";

  return content_type != NULL
         && g_ascii_strncasecmp (content_type, type, sizeof type - 1) == 0;
}

/* Initialize PARSER.  */
void
evs_init (struct evs_parser *parser)
{
  *parser = (struct evs_parser){ .partial = g_string_new (NULL) };
}

/* Free the contents of PARSER.  */
void
evs_clear (struct evs_parser *parser)
{
  if (parser->partial != NULL)
    g_string_free (parser->partial, TRUE);
  parser->partial = NULL;
}

/* Forget the incomplete event of PARSER.  */
static void
evs_drop_partial (struct evs_parser *parser)
{
  g_string_truncate (parser->partial, 0);
  parser->scanned = 0;
  parser->at_line_start = false;
  parser->after_cr = false;
}

/* Prepare for the response of another endpoint, which begins with a complete
   event.  The id of the last event is kept.  */
void
evs_reset (struct evs_parser *parser)
{
  evs_drop_partial (parser);
  parser->too_long = false;
  parser->out_of_place = false;
  parser->resumed = parser->has_last_id;
  parser->reached = false;
  parser->event_count = 0;
}

/* Search the part of PARTIAL that was not searched before for the end of an
   event and return its offset, or 0 if there is none yet.  A blank line ends
   an event; lines end with LF, CR LF or CR.  */
static size_t
evs_find_end (struct evs_parser *parser)
{
  const char *text = parser->partial->str;
  size_t bytes = parser->partial->len;

  while (parser->scanned < bytes)
    {
      size_t i = parser->scanned;
      bool cr = text[i] == '\r';
      bool blank = parser->at_line_start;

      if (!cr && text[i] != '\n')
        {
          parser->at_line_start = false;
          parser->after_cr = false;
          parser->scanned++;
          continue;
        }
      /* An LF may follow, unless lines end with CR alone.  */
      if (cr && i + 1 == bytes && !parser->after_cr)
        return 0;
      if (cr && i + 1 < bytes && text[i + 1] == '\n')
        {
          cr = false;
          i++;
        }
      parser->scanned = i + 1;
      parser->at_line_start = !blank;
      parser->after_cr = cr && !blank;
      if (blank)
        return parser->scanned;
    }
  return 0;
}

/* Return the end of the line at TEXT, or END if the line is not complete.  */
static const char *
evs_line_end (const char *text, const char *end)
{
  while (text < end && *text != '\n' && *text != '\r')
    text++;
  return text;
}

/* Return whether a line of TEXT is neither blank nor a comment.  */
static bool
evs_has_field (const char *text, size_t bytes)
{
  const char *line = text;
  const char *end = text + bytes;

  while (line < end)
    {
      const char *line_end = evs_line_end (line, end);

      if (line_end > line && *line != ':')
        return true;
      line = line_end == end ? end : line_end + 1;
    }
  return false;
}

/* Store the id of the event at TEXT in ID.  Return false if it has no numeric
   id.  */
static bool
evs_event_id (const char *text, size_t bytes, uint64_t *id)
{
  static const char name[] = "id:";
  const char *line = text;
  const char *end = text + bytes;

  while (line < end)
    {
      const char *line_end = evs_line_end (line, end);

      if ((size_t)(end - line) > sizeof name
          && strncmp (line, name, sizeof name - 1) == 0)
        {
          char *end_of_id;

          *id = strtoull (line + sizeof name - 1, &end_of_id, 10);
          return end_of_id != line + sizeof name - 1;
        }
      line = line_end == end ? end : line_end + 1;
    }
  return false;
}

/* Pass on the event at TEXT unless an endpoint that continues the stream has
   repeated it.  Return false if it cannot come next: it misses an id that the
   others have, or an event is missing before it.  */
static bool
evs_accept (struct evs_parser *parser, const char *text, size_t bytes,
            evs_handler handler, void *arg)
{
  bool has_field = evs_has_field (text, bytes);
  uint64_t id;
  bool is_next;

  if (has_field)
    parser->event_count++;
  if (!evs_event_id (text, bytes, &id))
    {
      if (has_field && parser->numbered && parser->has_last_id)
        return false;
      handler (arg, text, bytes);
      return true;
    }
  if (parser->has_last_id && id <= parser->last_id)
    {
      parser->reached = parser->reached || id == parser->last_id;
      return true;
    }
  is_next = parser->has_last_id && id == parser->last_id + 1;
  if (parser->numbered && parser->resumed && parser->consecutive
      && parser->id_count > 1 && !is_next)
    return false;
  parser->consecutive
      = parser->id_count == 0 || (parser->consecutive && is_next);
  parser->id_count++;
  parser->reached = true;
  parser->has_last_id = true;
  parser->last_id = id;
  handler (arg, text, bytes);
  return true;
}

/* Append DATA to the stream and call HANDLER for each event that is complete.
   Events are dropped if their id is not above the last one passed on, because
   a resumed stream may repeat events.  An event that exceeds 256 KiB is
   dropped with all that follows, and TOO_LONG is set; one that cannot come
   next in a numbered stream likewise, and OUT_OF_PLACE is set.  */
void
evs_feed (struct evs_parser *parser, const char *data, size_t bytes,
          evs_handler handler, void *arg)
{
  size_t begin = 0;
  size_t end;

  if (parser->too_long || parser->out_of_place)
    return;
  g_string_append_len (parser->partial, data, (gssize)bytes);
  while ((end = evs_find_end (parser)) > 0)
    {
      if (!evs_accept (parser, parser->partial->str + begin, end - begin,
                       handler, arg))
        {
          parser->out_of_place = true;
          evs_drop_partial (parser);
          return;
        }
      begin = end;
    }
  if (begin > 0)
    {
      g_string_erase (parser->partial, 0, (gssize)begin);
      parser->scanned -= begin;
    }
  parser->too_long = parser->partial->len > EVS_EVENT_MAX_BYTES;
  if (parser->too_long)
    evs_drop_partial (parser);
}

/* Return whether the last event received is not complete: its blank line is
   missing.  Blank lines and comments between events do not count.  */
bool
evs_is_within_event (const struct evs_parser *parser)
{
  const char *text = parser->partial->str;
  size_t bytes = parser->partial->len;

  if (bytes == 0)
    return parser->too_long || parser->out_of_place;
  return evs_has_field (text, bytes)
         || (text[bytes - 1] != '\n' && text[bytes - 1] != '\r');
}

/* Return whether the current endpoint, which continues the stream, has sent
   neither the last event that was passed on nor a later one: its end is not
   the end of the stream.  */
bool
evs_is_short (const struct evs_parser *parser)
{
  return parser->resumed && !parser->reached;
}
