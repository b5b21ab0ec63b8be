#include <string.h>

#include "h1_body.h"

#define H1_BODY_FIRST_BYTES 1024
/* A body grows at most by this much beyond what has arrived.  */
#define H1_BODY_STEP_BYTES (128U << 10)

struct h1_body
{
  uint32_t references;
  struct mbg_budget *budget;
  char *data;
  size_t bytes;
  size_t allocated_bytes;
};

/* Return an empty body whose memory is taken from BUDGET.  */
struct h1_body *
h1_body_new (struct mbg_budget *budget)
{
  struct h1_body *body = g_new0 (struct h1_body, 1);

  body->references = 1;
  body->budget = mbg_ref (budget);
  return body;
}

/* Return a further reference to BODY.  */
struct h1_body *
h1_body_ref (struct h1_body *body)
{
  body->references++;
  return body;
}

/* Release a reference to BODY, which may be NULL.  */
void
h1_body_unref (struct h1_body *body)
{
  if (body == NULL || --body->references > 0)
    return;
  mbg_give (body->budget, body->allocated_bytes);
  mbg_unref (body->budget);
  g_free (body->data);
  g_free (body);
}

/* Return the size to allocate for NEEDED_BYTES of a body of EXPECTED_BYTES
   (0: unknown).  */
static size_t
h1_body_next_size (const struct h1_body *body, size_t needed_bytes,
                   uint64_t expected_bytes)
{
  size_t step_bytes
      = CLAMP (body->allocated_bytes, H1_BODY_FIRST_BYTES, H1_BODY_STEP_BYTES);
  size_t size_bytes = MAX (needed_bytes, body->allocated_bytes + step_bytes);

  if (expected_bytes >= needed_bytes && expected_bytes < size_bytes)
    return (size_t)expected_bytes;
  return size_bytes;
}

/* Append BYTES of DATA to BODY, for which EXPECTED_BYTES were announced (0: no
   length).  Return false, without a change, if there is no memory for USE.  */
bool
h1_body_append (struct h1_body *body, const char *data, size_t bytes,
                uint64_t expected_bytes, enum mbg_use use)
{
  size_t needed_bytes = body->bytes + bytes;

  if (needed_bytes > body->allocated_bytes)
    {
      size_t size_bytes
          = h1_body_next_size (body, needed_bytes, expected_bytes);

      if (!mbg_take (body->budget, size_bytes - body->allocated_bytes, use))
        return false;
      body->data = g_realloc (body->data, size_bytes);
      body->allocated_bytes = size_bytes;
    }
  memcpy (body->data + body->bytes, data, bytes);
  body->bytes = needed_bytes;
  return true;
}

/* Return the data of BODY and set BYTES to its length.  */
const char *
h1_body_data (const struct h1_body *body, size_t *bytes)
{
  *bytes = body->bytes;
  return body->data == NULL ? "" : body->data;
}

/* Return the length of BODY.  */
size_t
h1_body_bytes (const struct h1_body *body)
{
  return body->bytes;
}

/* Return the memory that BODY takes.  */
size_t
h1_body_memory_bytes (const struct h1_body *body)
{
  return body->allocated_bytes;
}
