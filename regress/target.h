#ifndef REGRESS_TARGET_H
#define REGRESS_TARGET_H

#include <stdint.h>

#include <glib.h>

/* Generates an environment document of the largest supported size and typical
   changes to it.  */
#define TARGET_ENDPOINTS 3500
#define TARGET_MODELS    110
#define TARGET_ADAPTERS  1800
#define TARGET_ZONES     12

/* Number of changes of each endpoint, model and adapter.  */
struct target
{
  uint32_t endpoints[TARGET_ENDPOINTS];
  uint32_t models[TARGET_MODELS];
  uint32_t adapters[TARGET_ADAPTERS];
};

char *target_text (const struct target *target);
void target_change (struct target *target, uint32_t step);

#endif
