#ifndef COWSLIPCOVED_BODY_H
#define COWSLIPCOVED_BODY_H

/* Parses and checks the JSON bodies of chat and completion requests.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

/* The checked body of a request to a model.  */
struct cd_body
{
  struct json_object *object;
  const char *model; /* model or adapter */
  bool stream;
  uint64_t fingerprint; /* hash of path, model and body; never 0 */
  uint64_t prefix;      /* hash of the prompt's prefix; 0: none */
};

const char *cd_body_parse (struct cd_body *body, bool chat, const char *text,
                           size_t bytes);
size_t cd_body_memory_bytes (const char *text, size_t bytes);
void cd_body_clear (struct cd_body *body);
char *cd_body_write (const struct cd_body *body, int32_t priority,
                     const char *resume_id, uint32_t resume_from);

#endif
