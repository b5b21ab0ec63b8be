#ifndef REGRESS_CROWD_PLATFORM_H
#define REGRESS_CROWD_PLATFORM_H

#include <stdint.h>

/* What a gateway needs of the platform: a store with the configuration and the
   entry of one endpoint, and that endpoint.  Each connection has a thread.  A
   request is answered when it was read whole, unless its target contains
   "/hold", which is never answered, "/blind", whose body is not read either,
   or "/flood", whose response has no end.  */

uint16_t crowd_platform_endpoint (void);
uint16_t crowd_platform_store (const char *config);
void crowd_platform_announce (const char *service);

#endif
