#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "body.h"
#include "jsn.h"

#define CD_MODEL_MAX_CHARS  128
#define CD_TOKENS_MAX       1000000
#define CD_JSON_DEPTH       64
#define CD_PREFIX_MAX_BYTES 1024
#define CD_BODY_COPIES      3
/* State of a request and what the kernel keeps for it.  */
#define CD_BODY_REQUEST_BYTES (64U << 10)

static struct json_object *
cd_body_get (const struct cd_body *body, const char *key)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (body->object, key, &value);
  return value;
}

static bool
cd_body_is (const struct cd_body *body, const char *key, enum json_type type)
{
  struct json_object *value = cd_body_get (body, key);

  return value != NULL && json_object_is_type (value, type);
}

static bool
cd_body_has (const struct cd_body *body, const char *key)
{
  return cd_body_get (body, key) != NULL;
}

static bool
cd_body_tokens_ok (const struct cd_body *body, const char *key)
{
  int64_t tokens;

  if (!cd_body_has (body, key))
    return true;
  if (!cd_body_is (body, key, json_type_int))
    return false;
  tokens = json_object_get_int64 (cd_body_get (body, key));
  return tokens > 0 && tokens <= CD_TOKENS_MAX;
}

static bool
cd_body_number_ok (const struct cd_body *body, const char *key)
{
  return !cd_body_has (body, key) || cd_body_is (body, key, json_type_int)
         || cd_body_is (body, key, json_type_double);
}

static const char *
cd_body_check_messages (const struct cd_body *body)
{
  struct json_object *messages = cd_body_get (body, "messages");
  struct json_object *role;

  if (!json_object_is_type (messages, json_type_array)
      || json_object_array_length (messages) == 0)
    return "messages must be a list with at least one message";
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    {
      struct json_object *message = json_object_array_get_idx (messages, i);

      if (!json_object_is_type (message, json_type_object)
          || !json_object_object_get_ex (message, "role", &role)
          || !json_object_is_type (role, json_type_string))
        return "each message must be an object with a role";
    }
  return NULL;
}

static const char *
cd_body_check (struct cd_body *body, bool chat)
{
  if (!json_object_is_type (body->object, json_type_object))
    return "the body must be a JSON object";
  if (!cd_body_is (body, "model", json_type_string))
    return "model must be a string";
  body->model = json_object_get_string (cd_body_get (body, "model"));
  if (strlen (body->model) > CD_MODEL_MAX_CHARS || body->model[0] == '\0')
    return "model must have 1 to 128 characters";
  if (cd_body_has (body, "stream")
      && !cd_body_is (body, "stream", json_type_boolean))
    return "stream must be true or false";
  body->stream = json_object_get_boolean (cd_body_get (body, "stream"));
  if (!cd_body_tokens_ok (body, "max_tokens")
      || !cd_body_tokens_ok (body, "max_completion_tokens"))
    return "max_tokens must be an integer from 1 to 1000000";
  if (!cd_body_number_ok (body, "temperature")
      || !cd_body_number_ok (body, "top_p"))
    return "temperature and top_p must be numbers";
  if (chat)
    return cd_body_check_messages (body);
  if (!cd_body_is (body, "prompt", json_type_string)
      && !cd_body_is (body, "prompt", json_type_array))
    return "prompt must be a string or a list";
  return NULL;
}

/* Return a hash of the prefix of the prompt, which engines cache: the first
   message of a chat, usually the same for many requests, or the first
   CD_PREFIX_MAX_BYTES bytes of a prompt.  It is never 0.  */
static uint64_t
cd_body_prefix (const struct cd_body *body, bool chat)
{
  struct json_object *start = cd_body_get (body, "prompt");
  const char *text;
  size_t bytes;

  if (chat)
    start = json_object_array_get_idx (cd_body_get (body, "messages"), 0);
  text = json_object_is_type (start, json_type_string)
             ? json_object_get_string (start)
             : json_object_to_json_string_ext (start, JSON_C_TO_STRING_PLAIN);
  bytes = strnlen (text, CD_PREFIX_MAX_BYTES);
  return XXH64 (text, bytes, XXH64 (body->model, strlen (body->model), 0)) | 1;
}

/* Return an upper bound on the memory that TEXT takes as the body of a request
   in progress: the state of that, its strings and values, its text as json-c
   prints it, and a copy of that which is sent.  */
size_t
cd_body_memory_bytes (const char *text, size_t bytes)
{
  return CD_BODY_REQUEST_BYTES + CD_BODY_COPIES * bytes
         + jsn_strict_parsed_bytes (text, bytes);
}

/* Parse and check the BYTES at TEXT as the body of a chat or completion
   request.  Return NULL, or an error message for the caller; then BODY is
   empty.  */
const char *
cd_body_parse (struct cd_body *body, bool chat, const char *text, size_t bytes)
{
  struct json_tokener *tokener = json_tokener_new_ex (CD_JSON_DEPTH);
  const char *problem = "the body is not valid JSON";

  *body = (struct cd_body){ 0 };
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  if (bytes > 0 && bytes < INT32_MAX)
    body->object = json_tokener_parse_ex (tokener, text, (int)bytes);
  if (json_tokener_get_error (tokener) == json_tokener_success
      && body->object != NULL && json_tokener_get_parse_end (tokener) == bytes)
    problem = cd_body_check (body, chat);
  json_tokener_free (tokener);
  if (problem != NULL)
    {
      cd_body_clear (body);
      return problem;
    }
  body->fingerprint
      = XXH64 (text, bytes, XXH64 (body->model, strlen (body->model), chat));
  body->fingerprint += body->fingerprint == 0;
  body->prefix = cd_body_prefix (body, chat);
  return NULL;
}

/* Free the contents of BODY.  */
void
cd_body_clear (struct cd_body *body)
{
  json_object_put (body->object);
  body->object = NULL;
}

/* Return the body to send to an engine, to be freed with g_free.  It has
   PRIORITY and, if RESUME_FROM is not 0, resumes the stream RESUME_ID after
   that many tokens.  */
char *
cd_body_write (const struct cd_body *body, int32_t priority,
               const char *resume_id, uint32_t resume_from)
{
  struct json_object *object = body->object;

  json_object_object_add (object, "priority", json_object_new_int (priority));
  json_object_object_del (object, "resume_from");
  json_object_object_del (object, "resume_id");
  if (resume_from > 0)
    {
      json_object_object_add (object, "resume_id",
                              json_object_new_string (resume_id));
      json_object_object_add (object, "resume_from",
                              json_object_new_int64 (resume_from));
    }
  return g_strdup (json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
}
