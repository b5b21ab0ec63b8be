#ifndef REGRESS_MUTATE_H
#define REGRESS_MUTATE_H

#include <stddef.h>
#include <stdint.h>

/* Fuzz testing of decoders with mutations of a valid input.  */

/* A decoder and the input to mutate.  DECODE does not take ownership of
   DATA.  */
struct mutate_target
{
  const char *name;
  const char *input;
  size_t bytes;
  void (*decode) (const char *data, size_t bytes);
};

void mutate_run (const struct mutate_target *target, uint64_t seed,
                 uint32_t inputs);

#endif
