#include "h1_request.h"

/* Size of a usual request.  */
#define H1_REQUEST_USUAL_BYTES 1024
/* A body up to this size is copied behind the head, so that both are sent at
   once.  */
#define H1_COPIED_BODY_MAX_BYTES 16384

/* Return whether the body of REQUEST is sent by itself, without a copy.  */
bool
h1_request_shares_body (const struct h1_request *request)
{
  return request->shared_body != NULL
         && h1_body_bytes (request->shared_body) > H1_COPIED_BODY_MAX_BYTES;
}

/* Return the text of REQUEST, without a body that is sent by itself.  */
GString *
h1_request_text (const struct h1_request *request)
{
  const struct h1_head *head = request->head;
  const char *body = request->body;
  size_t body_bytes = request->body_bytes;
  GString *text;

  if (request->shared_body != NULL)
    body = h1_body_data (request->shared_body, &body_bytes);
  text = g_string_sized_new (H1_REQUEST_USUAL_BYTES);
  g_string_printf (text, "%s %s HTTP/1.1\r\n", head->method, head->target);
  h1_head_print (head, text);
  if (request->close)
    g_string_append (text, "Connection: close\r\n");
  if (body_bytes > 0 || head->has_length || head->chunked)
    g_string_append_printf (text, "Content-Length: %zu\r\n", body_bytes);
  g_string_append (text, "\r\n");
  if (!h1_request_shares_body (request))
    g_string_append_len (text, body, (gssize)body_bytes);
  return text;
}
