#include <string.h>

#include <json-c/json.h>

#include "sse.h"

#define SSE_EVENT_MAX_BYTES (1U << 20)

/* Initialize PARSER for a new stream.  */
void
sse_init (struct sse_parser *parser)
{
  parser->pending = g_string_new (NULL);
  parser->scanned = 0;
}

/* Free the contents of PARSER.  */
void
sse_clear (struct sse_parser *parser)
{
  if (parser->pending != NULL)
    g_string_free (parser->pending, TRUE);
  parser->pending = NULL;
}

/* Return the offset of the end of the first event in TEXT, searching from
   offset FROM, or 0 if there is none.  A blank line ends an event; lines end
   with LF or CRLF.  */
static size_t
sse_event_end (const char *text, size_t bytes, size_t from)
{
  for (size_t i = from; i + 1 < bytes; i++)
    {
      if (text[i] != '\n')
        continue;
      if (text[i + 1] == '\n')
        return i + 2;
      if (text[i + 1] == '\r' && i + 2 < bytes && text[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Return the value of the first data field of the event TEXT, and its size in
   SIZE, or NULL.  */
static const char *
sse_data (const char *text, size_t bytes, size_t *size)
{
  const char *end = text + bytes;

  while (text < end)
    {
      const char *line_end = memchr (text, '\n', (size_t)(end - text));
      const char *value = text + 5;

      if (line_end == NULL)
        return NULL;
      if (line_end - text >= 5 && memcmp (text, "data:", 5) == 0)
        {
          while (value < line_end && *value == ' ')
            value++;
          *size = (size_t)(line_end - value);
          if (*size > 0 && value[*size - 1] == '\r')
            (*size)--;
          return value;
        }
      text = line_end + 1;
    }
  return NULL;
}

static bool
sse_is_error (const char *data, size_t bytes)
{
  struct json_tokener *tokener;
  struct json_object *object;
  struct json_object *member = NULL;
  bool error;

  if (memmem (data, bytes, "\"error\"", 7) == NULL)
    return false;
  tokener = json_tokener_new ();
  object = json_tokener_parse_ex (tokener, data, (int)bytes);
  error = json_object_is_type (object, json_type_object)
          && json_object_object_get_ex (object, "error", &member)
          && member != NULL;
  json_object_put (object);
  json_tokener_free (tokener);
  return error;
}

static bool
sse_emit (const char *text, size_t bytes, sse_event event, void *arg)
{
  size_t size = 0;
  const char *data = sse_data (text, bytes, &size);

  /* Comments are keep-alives without content.  */
  if (data == NULL)
    return true;
  if (size == 6 && memcmp (data, "[DONE]", 6) == 0)
    return event (arg, RQ_EVENT_END, text, bytes);
  if (sse_is_error (data, size))
    return event (arg, RQ_EVENT_ERROR, text, bytes);
  return event (arg, RQ_EVENT_TOKEN, text, bytes);
}

/* Process BYTES of DATA and call EVENT with ARG for each complete event,
   until it returns false.  Return false if an event exceeds 1 MiB.  */
bool
sse_feed (struct sse_parser *parser, const char *data, size_t bytes,
          sse_event event, void *arg)
{
  GString *text = parser->pending;
  size_t start = 0;
  size_t end;

  g_string_append_len (text, data, (gssize)bytes);
  while ((end
          = sse_event_end (text->str, text->len, MAX (start, parser->scanned)))
         > 0)
    {
      parser->scanned = end;
      if (!sse_emit (text->str + start, end - start, event, arg))
        return true;
      start = end;
    }
  if (start > 0)
    g_string_erase (text, 0, (gssize)start);
  /* The input may end within a blank line, which has up to three bytes.  */
  parser->scanned = text->len > 2 ? text->len - 2 : 0;
  return text->len <= SSE_EVENT_MAX_BYTES;
}
