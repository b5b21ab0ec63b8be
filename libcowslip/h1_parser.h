#ifndef COWSLIP_H1_PARSER_H
#define COWSLIP_H1_PARSER_H

#include <stddef.h>

#include <http_parser.h>

#include "h1_head.h"

/* Parses HTTP/1.1 messages one at a time from the bytes of a connection.  */

enum h1_verdict
{
  H1_MORE,     /* the message is not whole yet */
  H1_WHOLE,    /* the message ended; bytes may be left */
  H1_MALFORMED /* not HTTP, conflicting lengths, or a head that is too long */
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
  bool no_body; /* the answer to HEAD */
  bool whole;
  bool started; /* bytes of the current message were seen */
  bool too_long;
  size_t head_bytes;
  size_t head_max_bytes;
};

void h1_parser_init (struct h1_parser *parser, enum http_parser_type type,
                     size_t head_max_bytes,
                     const struct h1_parser_events *events, void *arg);
void h1_parser_clear (struct h1_parser *parser);
void h1_parser_next (struct h1_parser *parser);
enum h1_verdict h1_parser_feed (struct h1_parser *parser, const char *data,
                                size_t bytes, size_t *used);
enum h1_verdict h1_parser_eof (struct h1_parser *parser);

#endif
