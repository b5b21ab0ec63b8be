#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "answer.h"

#define ANSWER_TOKEN_MASK 0xffffffU

static void
answer_append_message (GString *prompt, struct json_object *message)
{
  struct json_object *role = json_object_object_get (message, "role");
  struct json_object *content = json_object_object_get (message, "content");

  g_string_append_printf (
      prompt, "%s:%s\n", role == NULL ? "" : json_object_get_string (role),
      content == NULL ? "" : json_object_get_string (content));
}

/* Return the prompt of the completion request BODY, or the concatenated
   messages of the chat request BODY, to be freed with g_free.  Return NULL if
   it has neither.  */
char *
answer_prompt (struct json_object *body)
{
  struct json_object *prompt = json_object_object_get (body, "prompt");
  struct json_object *messages = json_object_object_get (body, "messages");
  GString *text;

  if (prompt != NULL)
    return g_strdup (json_object_get_string (prompt));
  if (!json_object_is_type (messages, json_type_array))
    return NULL;
  text = g_string_new (NULL);
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    answer_append_message (text, json_object_array_get_idx (messages, i));
  return g_string_free (text, FALSE);
}

/* Return the seed of the tokens that MODEL (a model or an adapter) generates
   for PROMPT.  */
uint64_t
answer_seed (const char *model, const char *prompt)
{
  return XXH64 (prompt, strlen (prompt), XXH64 (model, strlen (model), 0));
}

/* Write token INDEX (from 0) of the sequence with SEED to OUT.  */
void
answer_token (uint64_t seed, uint32_t index, char out[ANSWER_TOKEN_BYTES])
{
  uint64_t hash = XXH64 (&index, sizeof index, seed);

  (void)snprintf (out, ANSWER_TOKEN_BYTES, " %06x",
                  (uint32_t)(hash & ANSWER_TOKEN_MASK));
}

/* Return the digest of a request body that a service stand-in includes in its
   response.  */
uint64_t
answer_request_digest (const char *data, size_t bytes)
{
  return XXH64 (data, bytes, 0);
}
