#include "engine.h"

static void
eng_write_event (struct eng_request *request, const char *text,
                 const char *finish)
{
  GString *out = request->engine->scratch;

  g_string_printf (out,
                   "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":%s,"
                   "\"choices\":[{\"index\":0,",
                   request->id,
                   request->chat ? "chat.completion.chunk" : "text_completion",
                   request->name_json);
  if (request->chat)
    g_string_append_printf (out, "\"delta\":{\"content\":\"%s\"},", text);
  else
    g_string_append_printf (out, "\"text\":\"%s\",", text);
  g_string_append_printf (out, "\"finish_reason\":%s}]}\n\n", finish);
  http_stream_write (request->exchange, out->str, out->len);
}

/* Stream TOKEN to the caller of REQUEST, or buffer it if the response is not
   streamed.  */
void
eng_write_token (struct eng_request *request, const char *token)
{
  if (!request->stream)
    {
      g_string_append (request->text, token);
      return;
    }
  if (request->next == request->first)
    http_stream_start (request->exchange, 200, "text/event-stream");
  eng_write_event (request, token, "null");
}

static void
eng_write_body (struct eng_request *request)
{
  GString *out = request->engine->scratch;
  uint32_t tokens = request->next - request->first;

  g_string_printf (out,
                   "{\"id\":\"%s\",\"object\":\"%s\",\"model\":%s,"
                   "\"choices\":[{\"index\":0,",
                   request->id,
                   request->chat ? "chat.completion" : "text_completion",
                   request->name_json);
  g_string_append_printf (out,
                          request->chat ? "\"message\":{\"role\":"
                                          "\"assistant\",\"content\":\"%s\"},"
                                        : "\"text\":\"%s\",",
                          request->text->str);
  g_string_append_printf (out,
                          "\"finish_reason\":\"length\"}],\"usage\":"
                          "{\"completion_tokens\":%u}}",
                          tokens);
  http_respond (request->exchange, 200, "application/json", out->str,
                out->len);
}

/* Complete the response to REQUEST.  */
void
eng_write_end (struct eng_request *request)
{
  static const char done[] = "data: [DONE]\n\n";

  http_on_disconnect (request->exchange, NULL, NULL);
  if (!request->stream)
    {
      eng_write_body (request);
      return;
    }
  if (request->next == request->first)
    http_stream_start (request->exchange, 200, "text/event-stream");
  eng_write_event (request, "", "\"length\"");
  http_stream_write (request->exchange, done, sizeof done - 1);
  http_stream_end (request->exchange, true);
}
