#ifndef COWSLIP_OWN_RECORD_H
#define COWSLIP_OWN_RECORD_H

/* Encodes and decodes the two records of a zone in the key-value service: its
   controller and its placement.  */

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Value of the controller key.  An empty holder means that the previous holder
   handed over with no order in flight.  */
struct own_record
{
  char *holder;
  uint64_t incarnation;
  uint64_t epoch;
};

/* Value of the placement key.  Unlike the controller key it has no lease, so
   the epoch and the member list are stored here as well.  */
struct own_placement
{
  uint64_t epoch;
  GPtrArray *members; /* char *: instances whose promise is required */
  GPtrArray *pins;    /* struct plc_pin */
};

char *own_record_encode (const struct own_record *record,
                         const GPtrArray *members, uint32_t ttl_ms);
bool own_record_decode (const char *text, struct own_record *record);
void own_record_clear (struct own_record *record);

char *own_placement_encode (const struct own_placement *placement);
struct own_placement *own_placement_decode (const char *text);
struct own_placement *own_placement_new (void);
void own_placement_free (struct own_placement *placement);

#endif
