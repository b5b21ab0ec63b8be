#ifndef COWSLIP_H1_BODY_H
#define COWSLIP_H1_BODY_H

#include "mbg.h"

/* Body of a message.  It is kept once, however many requests and connections
   refer to it, and its memory is taken from a budget.  */
struct h1_body;

struct h1_body *h1_body_new (struct mbg_budget *budget);
struct h1_body *h1_body_ref (struct h1_body *body);
void h1_body_unref (struct h1_body *body);
bool h1_body_append (struct h1_body *body, const char *data, size_t bytes,
                     uint64_t expected_bytes, enum mbg_use use);
const char *h1_body_data (const struct h1_body *body, size_t *bytes);
size_t h1_body_bytes (const struct h1_body *body);
size_t h1_body_memory_bytes (const struct h1_body *body);

#endif
