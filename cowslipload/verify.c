#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "answer.h"
#include "run.h"

static const char *
ld_verify_text (const struct ld_request *request)
{
  GString *expected = g_string_new (NULL);
  char token[ANSWER_TOKEN_BYTES];
  bool matches;

  for (uint32_t i = 0; i < request->tokens; i++)
    {
      answer_token (request->seed, i, token);
      g_string_append (expected, token);
    }
  matches = g_string_equal (expected, request->reply.text);
  g_string_free (expected, TRUE);
  return matches ? NULL : "wrong";
}

static bool
ld_member_equals (struct json_object *response, const char *key,
                  const char *expected)
{
  struct json_object *value = json_object_object_get (response, key);

  return value != NULL
         && strcmp (json_object_get_string (value), expected) == 0;
}

/* All answers for one idempotency key must come from the same run.  */
static const char *
ld_verify_run (struct ld_key *key, struct json_object *response)
{
  struct json_object *value = json_object_object_get (response, "run");
  uint64_t run = value == NULL ? 0 : json_object_get_uint64 (value);

  if (run == 0)
    return "wrong";
  if (key == NULL)
    return NULL;
  if (key->run == 0)
    key->run = run;
  return key->run == run ? NULL : "doubled";
}

/* Compare the end of the path only: a service that is called directly receives
   the full path.  */
static bool
ld_path_matches (struct json_object *response, const char *path)
{
  struct json_object *value = json_object_object_get (response, "path");

  return value != NULL
         && g_str_has_suffix (json_object_get_string (value), path);
}

static const char *
ld_verify_service (const struct ld_request *request)
{
  struct json_object *response
      = json_tokener_parse (request->reply.buffered->str);
  const char *body = request->body == NULL ? "" : request->body;
  const char *verdict = "wrong";
  char digest[17];

  (void)g_snprintf (digest, sizeof digest, "%016" PRIx64,
                    answer_request_digest (body, strlen (body)));
  if (json_object_is_type (response, json_type_object)
      && ld_member_equals (response, "request_digest", digest)
      && ld_path_matches (response, request->mix->path)
      && ld_member_equals (response, "key",
                           request->key == NULL ? "" : request->key->text))
    verdict = ld_verify_run (request->key, response);
  json_object_put (response);
  return verdict;
}

/* Check the complete response of REQUEST.  Return NULL if it is the expected
   one, "wrong" if it is not, or "doubled" if it comes from a second run for
   the same key.  */
const char *
ld_verify (struct ld_request *request)
{
  return request->mix->kind == LD_SERVICE ? ld_verify_service (request)
                                          : ld_verify_text (request);
}
