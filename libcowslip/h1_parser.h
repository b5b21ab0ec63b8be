#ifndef COWSLIP_H1_PARSER_H
#define COWSLIP_H1_PARSER_H

#include <stddef.h>

#include <http_parser.h>

#include "h1_head.h"

/* Incremental parser for the HTTP/1.1 messages of one connection.  */

enum h1_parse_result
{
  H1_PARSE_INCOMPLETE, /* more bytes are needed */
  H1_PARSE_COMPLETE,   /* end of the message; later bytes are not consumed */
  H1_PARSE_MALFORMED /* invalid syntax, conflicting lengths or head too long */
};

struct h1_parser_events
{
  void (*head) (void *arg, const struct h1_head *head);
  void (*body) (void *arg, const char *data, size_t bytes);
};

struct h1_parser
{
  http_parser parser;
  struct h1_head head;
  const struct h1_parser_events *events;
  void *arg;
  GString *name;
  GString *value;
  GString *target;
  bool in_value;
  bool no_body; /* the response to HEAD */
  bool complete;
  bool started; /* part of the current message was received */
  bool too_long;
  bool head_complete; /* what follows are trailers */
  size_t head_bytes;  /* with trailers */
  size_t head_max_bytes;
  size_t memory_bytes; /* that the fields take */
};

void h1_parser_init (struct h1_parser *parser, enum http_parser_type type,
                     size_t head_max_bytes,
                     const struct h1_parser_events *events, void *arg);
void h1_parser_clear (struct h1_parser *parser);
void h1_parser_forget_head (struct h1_parser *parser);
void h1_parser_next (struct h1_parser *parser);
enum h1_parse_result h1_parser_feed (struct h1_parser *parser,
                                     const char *data, size_t bytes,
                                     size_t *used);
enum h1_parse_result h1_parser_eof (struct h1_parser *parser);

#endif
