#include <string.h>

#include <json-c/json.h>

#include "reply.h"

/* Initialize REPLY.  */
void
ld_reply_init (struct ld_reply *reply)
{
  memset (reply, 0, sizeof *reply);
  reply->buffered = g_string_new (NULL);
  reply->text = g_string_new (NULL);
}

/* Free the members of REPLY.  */
void
ld_reply_clear (struct ld_reply *reply)
{
  g_string_free (reply->buffered, TRUE);
  g_string_free (reply->text, TRUE);
}

/* Record STATUS and whether CONTENT_TYPE is that of an event stream.  */
void
ld_reply_set_head (struct ld_reply *reply, uint16_t status,
                   const char *content_type)
{
  reply->status = status;
  reply->is_event_stream
      = g_str_has_prefix (content_type, "text/event-stream");
}

static void
ld_reply_set_error (struct ld_reply *reply, struct json_object *error)
{
  struct json_object *reason = NULL;
  struct json_object *not_run = NULL;

  if (json_object_is_type (error, json_type_object))
    {
      reason = json_object_object_get (error, "reason");
      not_run = json_object_object_get (error, "not_run");
    }
  if (reason != NULL)
    g_strlcpy (reply->reason, json_object_get_string (reason),
               sizeof reply->reason);
  else
    (void)g_snprintf (reply->reason, sizeof reply->reason, "status_%u",
                      reply->status);
  reply->not_run = not_run != NULL && json_object_get_boolean (not_run);
}

/* Return the text of the first choice in RESPONSE, NULL if it has none.  */
static const char *
ld_reply_get_text (struct json_object *response)
{
  static const char *const holders[] = { "delta", "message" };
  struct json_object *choices = json_object_object_get (response, "choices");
  struct json_object *choice;
  struct json_object *text;

  if (!json_object_is_type (choices, json_type_array)
      || json_object_array_length (choices) == 0)
    return NULL;
  choice = json_object_array_get_idx (choices, 0);
  text = json_object_object_get (choice, "text");
  for (size_t i = 0; text == NULL && i < G_N_ELEMENTS (holders); i++)
    {
      struct json_object *holder = json_object_object_get (choice, holders[i]);

      text
          = holder == NULL ? NULL : json_object_object_get (holder, "content");
    }
  return text == NULL ? NULL : json_object_get_string (text);
}

/* Parse one event and return the number of tokens in it.  */
static uint32_t
ld_reply_parse_event (struct ld_reply *reply, const char *data)
{
  struct json_object *event;
  struct json_object *error;
  const char *text;
  uint32_t tokens = 0;

  if (strcmp (data, "[DONE]") == 0)
    {
      reply->done = true;
      return 0;
    }
  event = json_tokener_parse (data);
  error = json_object_object_get (event, "error");
  if (error != NULL)
    ld_reply_set_error (reply, error);
  text = ld_reply_get_text (event);
  if (text != NULL && text[0] != '\0')
    {
      g_string_append (reply->text, text);
      tokens = 1;
    }
  json_object_put (event);
  return tokens;
}

/* Append BYTES of the body at DATA, parse the completed events and return the
   number of tokens in them.  */
uint32_t
ld_reply_add_body (struct ld_reply *reply, const char *data, size_t bytes)
{
  GString *buffered = reply->buffered;
  uint32_t tokens = 0;
  gsize start = 0;
  const char *end;

  g_string_append_len (buffered, data, (gssize)bytes);
  if (!reply->is_event_stream)
    return 0;
  while ((end = strstr (buffered->str + start, "\n\n")) != NULL)
    {
      gsize length = (gsize)(end - buffered->str);

      buffered->str[length] = '\0';
      if (g_str_has_prefix (buffered->str + start, "data: "))
        tokens += ld_reply_parse_event (reply, buffered->str + start + 6);
      start = length + 2;
    }
  g_string_erase (buffered, 0, (gssize)start);
  return tokens;
}

/* Parse the body of a response that is not an event stream.  */
void
ld_reply_end (struct ld_reply *reply)
{
  struct json_object *response;
  const char *text;

  if (reply->is_event_stream)
    return;
  if (reply->status >= 400)
    (void)g_snprintf (reply->reason, sizeof reply->reason, "status_%u",
                      reply->status);
  response = json_tokener_parse (reply->buffered->str);
  if (json_object_is_type (response, json_type_object))
    {
      struct json_object *error = json_object_object_get (response, "error");

      if (error != NULL)
        ld_reply_set_error (reply, error);
      text = ld_reply_get_text (response);
      if (text != NULL)
        g_string_append (reply->text, text);
    }
  json_object_put (response);
  reply->done = true;
}

bool
ld_reply_is_refusal (const struct ld_reply *reply)
{
  return reply->reason[0] != '\0';
}
