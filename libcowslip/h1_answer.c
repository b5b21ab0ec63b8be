#include <string.h>

#include "h1_server_impl.h"

/* Write the start line and fields of HEAD.  A head without a length gets a
   body in chunks, so that a cut answer never looks complete.  */
void
h1_answer_head (struct h1_exchange *exchange, const struct h1_head *head)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "HTTP/1.1 %u %s\r\n", head->status,
                   h1_status_text (head->status));
  h1_head_print (head, text);
  exchange->chunked
      = !head->has_length && head->status != 204 && head->status != 304;
  if (head->has_length)
    g_string_append_printf (text, "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                            head->length_bytes);
  else if (exchange->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  exchange->close_after |= exchange->server->draining;
  g_string_append (text, exchange->close_after ? "Connection: close\r\n\r\n"
                                               : "\r\n");
  h1_link_write (exchange->link, text->str, text->len);
  g_string_free (text, TRUE);
}

/* Send BYTES of DATA as part of the body.  */
void
h1_answer_body (struct h1_exchange *exchange, const char *data, size_t bytes)
{
  char size[32];

  if (bytes == 0 || exchange->head_only)
    return;
  if (!exchange->chunked)
    {
      h1_link_write (exchange->link, data, bytes);
      return;
    }
  GString *chunk = g_string_sized_new (bytes + sizeof size);

  g_string_printf (chunk, "%zx\r\n", bytes);
  g_string_append_len (chunk, data, (gssize)bytes);
  g_string_append (chunk, "\r\n");
  h1_link_write (exchange->link, chunk->str, chunk->len);
  g_string_free (chunk, TRUE);
}

/* The answer is complete.  The exchange belongs to the server again.  */
void
h1_answer_end (struct h1_exchange *exchange)
{
  static const char last[] = "0\r\n\r\n";

  if (exchange->chunked && !exchange->head_only)
    h1_link_write (exchange->link, last, sizeof last - 1);
  exchange->chunked = false;
  exchange->busy = false;
  if (exchange->close_after)
    {
      h1_link_finish (exchange->link);
      exchange->link = NULL;
      h1_exchange_destroy (exchange);
      return;
    }
  h1_exchange_next (exchange);
}

/* Break the answer off, so that the caller sees that it is incomplete.  */
void
h1_answer_abort (struct h1_exchange *exchange)
{
  h1_exchange_destroy (exchange);
}

/* Send a whole answer with BODY, a string, and FIELD_COUNT extra FIELDS.  */
void
h1_answer (struct h1_exchange *exchange, uint16_t status,
           const struct h1_field *fields, size_t field_count, const char *body)
{
  struct h1_head head;

  h1_head_init (&head);
  head.status = status;
  head.has_length = true;
  head.length_bytes = strlen (body);
  for (size_t i = 0; i < field_count; i++)
    h1_head_add (&head, fields[i].name, fields[i].value);
  h1_answer_head (exchange, &head);
  h1_head_clear (&head);
  h1_answer_body (exchange, body, strlen (body));
  h1_answer_end (exchange);
}
