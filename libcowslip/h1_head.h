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

/* A set of field names.  */
struct h1_names
{
  char *text;
  GHashTable *set; /* char *: parts of TEXT; NULL: empty */
};

void h1_head_init (struct h1_head *head);
void h1_head_clear (struct h1_head *head);
void h1_head_add (struct h1_head *head, const char *name, const char *value);
const char *h1_head_get (const struct h1_head *head, const char *name);
void h1_head_print (const struct h1_head *head, GString *text);
uint32_t h1_head_keep_alive_ms (const struct h1_head *head);
const char *h1_head_framing (const struct h1_head *head);
const char *h1_status_text (uint16_t status);

void h1_names_init (struct h1_names *names, const struct h1_head *head);
void h1_names_clear (struct h1_names *names);
bool h1_names_has (const struct h1_names *names, const char *name);

#endif
