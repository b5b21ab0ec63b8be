#include <string.h>

#include "h1_server_impl.h"

/* Send the status line and fields of HEAD.  A response without a length uses
   chunked transfer coding, so that truncation is always detectable.  */
void
h1_response_head (struct h1_exchange *exchange, const struct h1_head *head)
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
  h1_conn_write (exchange->conn, text->str, text->len);
  g_string_free (text, TRUE);
}

/* Send BYTES of DATA as part of the body.  */
void
h1_response_body (struct h1_exchange *exchange, const char *data, size_t bytes)
{
  char size[32];

  if (bytes == 0 || exchange->head_only)
    return;
  if (!exchange->chunked)
    {
      h1_conn_write (exchange->conn, data, bytes);
      return;
    }
  GString *chunk = g_string_sized_new (bytes + sizeof size);

  g_string_printf (chunk, "%zx\r\n", bytes);
  g_string_append_len (chunk, data, (gssize)bytes);
  g_string_append (chunk, "\r\n");
  h1_conn_write (exchange->conn, chunk->str, chunk->len);
  g_string_free (chunk, TRUE);
}

/* End the response.  EXCHANGE belongs to the server again.  */
void
h1_response_end (struct h1_exchange *exchange)
{
  static const char last[] = "0\r\n\r\n";

  if (exchange->chunked && !exchange->head_only)
    h1_conn_write (exchange->conn, last, sizeof last - 1);
  exchange->chunked = false;
  exchange->busy = false;
  if (exchange->close_after)
    {
      h1_exchange_shutdown (exchange);
      return;
    }
  h1_exchange_next_request (exchange);
}

/* End the response without its end: the connection closes after the bytes that
   are queued, so that the caller detects that it is incomplete.  */
void
h1_response_cut (struct h1_exchange *exchange)
{
  exchange->busy = false;
  h1_exchange_shutdown (exchange);
}

/* Close the connection within the response, so that the caller detects that
   it is incomplete.  */
void
h1_response_abort (struct h1_exchange *exchange)
{
  h1_exchange_close (exchange, H1_CLOSE_ABORT);
}

/* Send a complete response with the string BODY and FIELD_COUNT additional
   FIELDS.  */
void
h1_respond (struct h1_exchange *exchange, uint16_t status,
            const struct h1_field *fields, size_t field_count,
            const char *body)
{
  struct h1_head head;

  h1_head_init (&head);
  head.status = status;
  head.has_length = true;
  head.length_bytes = strlen (body);
  for (size_t i = 0; i < field_count; i++)
    h1_head_add (&head, fields[i].name, fields[i].value);
  h1_response_head (exchange, &head);
  h1_head_clear (&head);
  h1_response_body (exchange, body, strlen (body));
  h1_response_end (exchange);
}
