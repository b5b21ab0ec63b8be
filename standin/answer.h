#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <stdint.h>

#include <json-c/json.h>

/* Deterministic responses of the stand-ins, computed from the request, so that
   a checker can verify that a caller got the complete response to its own
   request.  */

#define ANSWER_TOKEN_BYTES 16

char *answer_prompt (struct json_object *body);
uint64_t answer_seed (const char *model, const char *prompt);
void answer_token (uint64_t seed, uint32_t index,
                   char out[ANSWER_TOKEN_BYTES]);
uint64_t answer_request_digest (const char *data, size_t bytes);

#endif
