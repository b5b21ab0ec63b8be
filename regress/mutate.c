#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_rng.h>

#include "mutate.h"

#define MUTATE_EDITS_MAX 6

enum mutate_edit
{
  MUTATE_FLIP_BIT,
  MUTATE_SET_BYTE,
  MUTATE_TRUNCATE,
  MUTATE_DUPLICATE,
  MUTATE_INSERT_TOKEN,
  MUTATE_EDIT_COUNT
};

static size_t
mutate_once (gsl_rng *random, char *data, size_t bytes, size_t capacity)
{
  static const char *const tokens[]
      = { "{",    "}",     "[",  "]",   "\"",   ",",  ":",      "-1",
          "null", "1e999", "/*", "\\u", "true", "\n", "999999", "\xff" };
  size_t at = bytes == 0 ? 0 : gsl_rng_uniform_int (random, bytes);
  const char *token;
  size_t span;

  switch (gsl_rng_uniform_int (random, MUTATE_EDIT_COUNT))
    {
    case MUTATE_FLIP_BIT:
      if (bytes > 0)
        data[at] ^= (char)(1U << gsl_rng_uniform_int (random, 8));
      return bytes;
    case MUTATE_SET_BYTE:
      if (bytes > 0)
        data[at] = (char)gsl_rng_uniform_int (random, 256);
      return bytes;
    case MUTATE_TRUNCATE:
      return at;
    case MUTATE_DUPLICATE:
      span = bytes - at < capacity - bytes ? bytes - at : capacity - bytes;
      memmove (data + at + span, data + at, bytes - at);
      return bytes + span;
    default:
      token = tokens[gsl_rng_uniform_int (random,
                                          sizeof tokens / sizeof tokens[0])];
      span = strlen (token);
      if (span > capacity - bytes)
        return bytes;
      memmove (data + at + span, data + at, bytes - at);
      memcpy (data + at, token, span);
      return bytes + span;
    }
}

/* Pass INPUTS mutations of TARGET's input to its decoder.  Equal seeds give
   equal mutations.  Each mutation is decoded from an allocation of its exact
   size, so that the sanitizers detect reads beyond the end.  */
void
mutate_run (const struct mutate_target *target, uint64_t seed, uint32_t inputs)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_mt19937);
  size_t capacity = 4 * target->bytes + 64;
  char *data = malloc (capacity);

  gsl_rng_set (random, seed);
  for (uint32_t i = 0; i < inputs; i++)
    {
      size_t bytes = target->bytes;
      size_t edits = 1 + gsl_rng_uniform_int (random, MUTATE_EDITS_MAX);
      char *copy;

      memcpy (data, target->input, bytes);
      for (size_t e = 0; e < edits; e++)
        bytes = mutate_once (random, data, bytes, capacity);
      copy = malloc (bytes == 0 ? 1 : bytes);
      memcpy (copy, data, bytes);
      target->decode (copy, bytes);
      free (copy);
    }
  free (data);
  gsl_rng_free (random);
}
