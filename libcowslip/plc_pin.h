#ifndef COWSLIP_PLC_PIN_H
#define COWSLIP_PLC_PIN_H

#include <stdint.h>

#include <glib.h>

/* Table of pins, which assign each replica slot of a model to an engine.  */

/* The only engine on which one slot of a model may be loaded.  */
struct plc_pin
{
  char *model;
  uint32_t slot; /* 0 to budget - 1 */
  char *endpoint;
};

GPtrArray *plc_pins_new (void);
void plc_pins_add (GPtrArray *pins, const char *model, uint32_t slot,
                   const char *endpoint);
GPtrArray *plc_pins_copy (const GPtrArray *pins);

#endif
