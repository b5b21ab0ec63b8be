#include <strings.h>

#include "h1_parser.h"

/* Memory that a field takes beside its name and value: its entry, with room
   for more, and what the allocator adds.  */
#define H1_FIELD_BYTES 96

#define H1_STATUS_MIN 100U
#define H1_STATUS_MAX 599U

static struct h1_parser *
h1_of (http_parser *parser)
{
  return parser->data;
}

/* Add BYTES to the size of the head.  Return nonzero if it exceeds the
   limit.  */
static int
h1_count_head_bytes (struct h1_parser *parser, size_t bytes)
{
  parser->head_bytes += bytes;
  parser->too_long = parser->head_bytes > parser->head_max_bytes;
  return parser->too_long;
}

static void
h1_end_field (struct h1_parser *parser)
{
  if (parser->name->len > 0)
    {
      h1_head_add (&parser->head, parser->name->str, parser->value->str);
      parser->memory_bytes
          += H1_FIELD_BYTES + parser->name->len + parser->value->len;
    }
  g_string_truncate (parser->name, 0);
  g_string_truncate (parser->value, 0);
  parser->in_value = false;
}

static int
h1_on_begin (http_parser *http)
{
  h1_of (http)->started = true;
  return 0;
}

static int
h1_on_target (http_parser *http, const char *data, size_t bytes)
{
  g_string_append_len (h1_of (http)->target, data, (gssize)bytes);
  return h1_count_head_bytes (h1_of (http), bytes);
}

static int
h1_on_name (http_parser *http, const char *data, size_t bytes)
{
  struct h1_parser *parser = h1_of (http);

  if (parser->in_value)
    h1_end_field (parser);
  if (!parser->head_complete)
    g_string_append_len (parser->name, data, (gssize)bytes);
  return h1_count_head_bytes (parser, bytes);
}

static int
h1_on_value (http_parser *http, const char *data, size_t bytes)
{
  struct h1_parser *parser = h1_of (http);

  /* Trailers are not fields of the head, and nobody needs them.  */
  if (!parser->head_complete)
    {
      parser->in_value = true;
      g_string_append_len (parser->value, data, (gssize)bytes);
    }
  return h1_count_head_bytes (parser, bytes);
}

/* Return whether the body of the response HEAD has a transfer coding that
   cannot be removed here.  */
static bool
h1_is_coded (const struct h1_head *head)
{
  const char *coding = h1_head_get (head, "Transfer-Encoding");

  return coding != NULL && strcasecmp (coding, "chunked") != 0;
}

/* Return whether STATUS is one of HTTP's.  */
static bool
h1_is_status (unsigned int status)
{
  return status >= H1_STATUS_MIN && status <= H1_STATUS_MAX;
}

static int
h1_on_head (http_parser *http)
{
  struct h1_parser *parser = h1_of (http);
  struct h1_head *head = &parser->head;

  h1_end_field (parser);
  parser->head_complete = true;
  /* Upgrades are not supported, so the bytes that follow are HTTP.  */
  http->upgrade = 0;
  if (http->type == HTTP_REQUEST)
    {
      head->method
          = g_strdup (http_method_str ((enum http_method)http->method));
      head->target = g_strdup (parser->target->str);
    }
  else if (h1_is_coded (head) || !h1_is_status (http->status_code))
    return -1;
  else
    head->status = (uint16_t)http->status_code;
  head->keep_alive = http_should_keep_alive (http) != 0;
  head->chunked = (http->flags & F_CHUNKED) != 0;
  head->has_length = !head->chunked && (http->flags & F_CONTENTLENGTH) != 0;
  head->length_bytes = head->has_length ? http->content_length : 0;
  parser->events->head (parser->arg, head);
  return parser->no_body ? 1 : 0;
}

static int
h1_on_body (http_parser *http, const char *data, size_t bytes)
{
  struct h1_parser *parser = h1_of (http);

  parser->events->body (parser->arg, data, bytes);
  return 0;
}

static int
h1_on_complete (http_parser *http)
{
  h1_of (http)->complete = true;
  http_parser_pause (http, 1);
  return 0;
}

static const http_parser_settings h1_settings = {
  .on_message_begin = h1_on_begin,
  .on_url = h1_on_target,
  .on_header_field = h1_on_name,
  .on_header_value = h1_on_value,
  .on_headers_complete = h1_on_head,
  .on_body = h1_on_body,
  .on_message_complete = h1_on_complete,
};

/* Initialize PARSER for messages of TYPE with heads of at most
   HEAD_MAX_BYTES.  EVENTS are called with ARG.  */
void
h1_parser_init (struct h1_parser *parser, enum http_parser_type type,
                size_t head_max_bytes, const struct h1_parser_events *events,
                void *arg)
{
  *parser = (struct h1_parser){ .events = events,
                                .arg = arg,
                                .head_max_bytes = head_max_bytes };
  http_parser_init (&parser->parser, type);
  parser->parser.data = parser;
  parser->name = g_string_new (NULL);
  parser->value = g_string_new (NULL);
  parser->target = g_string_new (NULL);
  h1_head_init (&parser->head);
}

/* Free the contents of PARSER.  */
void
h1_parser_clear (struct h1_parser *parser)
{
  h1_head_clear (&parser->head);
  g_string_free (parser->name, TRUE);
  g_string_free (parser->value, TRUE);
  g_string_free (parser->target, TRUE);
}

/* Free the head of the current message.  */
void
h1_parser_forget_head (struct h1_parser *parser)
{
  h1_head_clear (&parser->head);
  h1_head_init (&parser->head);
  parser->memory_bytes = 0;
}

/* Reset PARSER for the next message of the connection.  */
void
h1_parser_next (struct h1_parser *parser)
{
  enum http_parser_type type = (enum http_parser_type)parser->parser.type;

  h1_parser_forget_head (parser);
  http_parser_init (&parser->parser, type);
  parser->parser.data = parser;
  g_string_truncate (parser->name, 0);
  g_string_truncate (parser->value, 0);
  g_string_truncate (parser->target, 0);
  parser->in_value = false;
  parser->complete = false;
  parser->started = false;
  parser->head_complete = false;
  parser->head_bytes = 0;
}

/* Parse BYTES of DATA up to the end of the current message and store in USED
   how many bytes were consumed.  */
enum h1_parse_result
h1_parser_feed (struct h1_parser *parser, const char *data, size_t bytes,
                size_t *used)
{
  *used = http_parser_execute (&parser->parser, &h1_settings, data, bytes);
  if (parser->complete)
    return H1_PARSE_COMPLETE;
  return HTTP_PARSER_ERRNO (&parser->parser) == HPE_OK ? H1_PARSE_INCOMPLETE
                                                       : H1_PARSE_MALFORMED;
}

/* Handle an orderly close by the peer.  Return H1_PARSE_COMPLETE if it ends a
   message without a length, H1_PARSE_INCOMPLETE if the message was
   truncated.  */
enum h1_parse_result
h1_parser_eof (struct h1_parser *parser)
{
  (void)http_parser_execute (&parser->parser, &h1_settings, NULL, 0);
  return parser->complete ? H1_PARSE_COMPLETE : H1_PARSE_INCOMPLETE;
}
