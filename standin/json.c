#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* Parse the body of EXCHANGE.  Return a JSON object to be freed with
   json_object_put, or NULL if the body is anything else.  */
struct json_object *
stand_parse_body (struct http_exchange *exchange)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *body = json_tokener_parse_ex (
      tokener, http_body (exchange), (int)http_body_bytes (exchange));

  json_tokener_free (tokener);
  if (json_object_is_type (body, json_type_object))
    return body;
  json_object_put (body);
  return NULL;
}

/* Respond to EXCHANGE with BODY, which is freed.  */
void
stand_reply (struct http_exchange *exchange, uint16_t status,
             struct json_object *body)
{
  size_t bytes;
  const char *text = json_object_to_json_string_length (
      body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &bytes);

  http_respond (exchange, status, "application/json", text, bytes);
  json_object_put (body);
}

/* Respond to EXCHANGE with {"error": MESSAGE}.  */
void
stand_reply_error (struct http_exchange *exchange, uint16_t status,
                   const char *message)
{
  struct json_object *body = json_object_new_object ();

  stand_add_string (body, "error", message);
  stand_reply (exchange, status, body);
}

/* Close the connection of EXCHANGE in the middle of the response.  */
void
stand_reply_abort (struct http_exchange *exchange)
{
  http_stream_start (exchange, 200, "application/json");
  http_stream_end (exchange, false);
}

/* Return whether EXCHANGE is a request for METHOD and PATH.  */
bool
stand_request_is (const struct http_exchange *exchange, const char *method,
                  const char *path)
{
  return strcmp (http_method (exchange), method) == 0
         && strcmp (http_path (exchange), path) == 0;
}

/* Return the value of KEY in OBJECT as a string, or "" if absent.  */
const char *
stand_get_string (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  return value == NULL ? "" : json_object_get_string (value);
}

/* Return the value of KEY in OBJECT, a number or a decimal string, or ABSENT
   if there is none.  */
int64_t
stand_get_int (struct json_object *object, const char *key, int64_t absent)
{
  struct json_object *value = json_object_object_get (object, key);

  return value == NULL ? absent : json_object_get_int64 (value);
}

void
stand_add_int (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

void
stand_add_string (struct json_object *object, const char *key,
                  const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

/* Return the unsigned integer parameter KEY of the query string of EXCHANGE, 0
   if absent.  */
uint64_t
stand_query_uint (const struct http_exchange *exchange, const char *key)
{
  char **pairs = g_strsplit (http_query (exchange), "&", -1);
  size_t key_bytes = strlen (key);
  uint64_t value = 0;

  for (char **pair = pairs; *pair != NULL; pair++)
    if (strncmp (*pair, key, key_bytes) == 0 && (*pair)[key_bytes] == '=')
      value = strtoull (*pair + key_bytes + 1, NULL, 10);
  g_strfreev (pairs);
  return value;
}
