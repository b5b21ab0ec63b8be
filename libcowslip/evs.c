#include <stdlib.h>
#include <string.h>

#include "evs.h"

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

/* Discard a partial event: the stream is resumed at another endpoint, which
   begins with a complete event.  */
void
evs_reset (struct evs_parser *parser)
{
  g_string_truncate (parser->partial, 0);
}

/* Return the length of the first complete event in TEXT, its blank line
   included, or 0 if there is none.  */
static size_t
evs_event_bytes (const char *text, size_t bytes)
{
  for (size_t i = 0; i + 1 < bytes; i++)
    {
      if (text[i] != '\n')
        continue;
      if (text[i + 1] == '\n')
        return i + 2;
      if (i + 2 < bytes && text[i + 1] == '\r' && text[i + 2] == '\n')
        return i + 3;
    }
  return 0;
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
      const char *next = memchr (line, '\n', (size_t)(end - line));

      if ((size_t)(end - line) > sizeof name
          && strncmp (line, name, sizeof name - 1) == 0)
        {
          char *end_of_id;

          *id = strtoull (line + sizeof name - 1, &end_of_id, 10);
          return end_of_id != line + sizeof name - 1;
        }
      line = next == NULL ? end : next + 1;
    }
  return false;
}

/* Append DATA to the stream and call HANDLER for each event that is complete.
   Events are dropped if their id is not above the last one passed on, because
   a resumed stream may repeat events.  */
void
evs_feed (struct evs_parser *parser, const char *data, size_t bytes,
          evs_handler handler, void *arg)
{
  size_t begin = 0;
  size_t length;

  g_string_append_len (parser->partial, data, (gssize)bytes);
  while ((length = evs_event_bytes (parser->partial->str + begin,
                                    parser->partial->len - begin))
         > 0)
    {
      const char *event = parser->partial->str + begin;
      uint64_t id;

      if (!evs_event_id (event, length, &id))
        handler (arg, event, length);
      else if (!parser->has_last_id || id > parser->last_id)
        {
          parser->has_last_id = true;
          parser->last_id = id;
          handler (arg, event, length);
        }
      begin += length;
    }
  g_string_erase (parser->partial, 0, (gssize)begin);
}
