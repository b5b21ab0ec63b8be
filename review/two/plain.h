#ifndef REVIEW_PLAIN_H
#define REVIEW_PLAIN_H

#include <stdbool.h>
#include <stdint.h>

/* Parts of a plain service: answers, entries, a configuration, requests.  */

/* Send a response with EXTRA header lines, each ended by CR LF.  */
bool plain_answer (int fd, int status, const char *request_id,
                   const char *engine_id, const char *extra, const char *body);

/* An entry of an engine in the store.  BORN_MS 0: the field is missing.  */
struct plain_entry
{
  const char *id;
  const char *service;
  const char *address;
  const char *state;
  uint32_t slots;
  uint32_t seq;
  uint64_t born_ms;
};

void plain_put_entry (const struct plain_entry *entry);

/* One route, which may run once, to SERVICE; SECOND is another service or
   NULL.  */
void plain_put_config (uint32_t version, const char *service,
                       const char *second, uint32_t timeout_ms);

#endif
