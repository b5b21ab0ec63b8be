#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_rng.h>

#include "mutate.h"

#define MUTATE_EDITS_MAX 6

enum mutate_edit
{
  MUTATE_FLIP,
  MUTATE_SET,
  MUTATE_CUT,
  MUTATE_REPEAT,
  MUTATE_TOKEN,
  MUTATE_EDIT_COUNT
};

static size_t
mutate_once (gsl_rng *random, char *data, size_t bytes, size_t room)
{
  static const char *const tokens[]
      = { "{",    "}",     "[",  "]",   "\"",   ",",  ":",      "-1",
          "null", "1e999", "/*", "\\u", "true", "\n", "999999", "\xff" };
  size_t at = bytes == 0 ? 0 : gsl_rng_uniform_int (random, bytes);
  const char *token;
  size_t span;

  switch (gsl_rng_uniform_int (random, MUTATE_EDIT_COUNT))
    {
    case MUTATE_FLIP:
      if (bytes > 0)
        data[at] ^= (char)(1U << gsl_rng_uniform_int (random, 8));
      return bytes;
    case MUTATE_SET:
      if (bytes > 0)
        data[at] = (char)gsl_rng_uniform_int (random, 256);
      return bytes;
    case MUTATE_CUT:
      return at;
    case MUTATE_REPEAT:
      span = bytes - at < room - bytes ? bytes - at : room - bytes;
      memmove (data + at + span, data + at, bytes - at);
      return bytes + span;
    default:
      token = tokens[gsl_rng_uniform_int (random,
                                          sizeof tokens / sizeof tokens[0])];
      span = strlen (token);
      if (span > room - bytes)
        return bytes;
      memmove (data + at + span, data + at, bytes - at);
      memcpy (data + at, token, span);
      return bytes + span;
    }
}

/* Feed INPUTS mutations of TARGET's input to its decoder, the same ones for
   the same SEED.  A copy of the exact size lets the sanitizers see any read
   beyond the end.  */
void
mutate_run (const struct mutate_target *target, uint64_t seed, uint32_t inputs)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_mt19937);
  size_t room = 4 * target->bytes + 64;
  char *data = malloc (room);

  gsl_rng_set (random, seed);
  for (uint32_t i = 0; i < inputs; i++)
    {
      size_t bytes = target->bytes;
      size_t edits = 1 + gsl_rng_uniform_int (random, MUTATE_EDITS_MAX);
      char *exact;

      memcpy (data, target->input, bytes);
      for (size_t e = 0; e < edits; e++)
        bytes = mutate_once (random, data, bytes, room);
      exact = malloc (bytes == 0 ? 1 : bytes);
      memcpy (exact, data, bytes);
      target->decode (exact, bytes);
      free (exact);
    }
  free (data);
  gsl_rng_free (random);
}
