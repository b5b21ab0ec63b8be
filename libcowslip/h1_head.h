#ifndef COWSLIP_H1_HEAD_H
#define COWSLIP_H1_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Start line and header fields of one HTTP/1.1 message, as received.  */

struct h1_field
{
  char *name;
  char *value;
};

struct h1_head
{
  char *method; /* requests only */
  char *target; /* requests only: path and query */
  uint16_t status;
  GArray *fields; /* struct h1_field, in the order received */
  bool keep_alive;
  bool has_length;
  uint64_t length_bytes; /* valid with HAS_LENGTH */
  bool chunked;
};

void h1_head_init (struct h1_head *head);
void h1_head_clear (struct h1_head *head);
void h1_head_add (struct h1_head *head, const char *name, const char *value);
const char *h1_head_get (const struct h1_head *head, const char *name);
void h1_head_print (const struct h1_head *head, GString *text);
const char *h1_head_framing (const struct h1_head *head);
const char *h1_status_text (uint16_t status);

#endif
