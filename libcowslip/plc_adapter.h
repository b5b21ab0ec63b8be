#ifndef COWSLIP_PLC_ADAPTER_H
#define COWSLIP_PLC_ADAPTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Adapters of the replicas in one zone: which is loaded or evicted inside the
   memory that each replica reserves, and how many loads are in flight.  */
struct plc_adapters;

enum plc_adapter_step
{
  PLC_ADAPTER_READY,  /* loaded on this engine */
  PLC_ADAPTER_LOAD,   /* order the load now; counts as in flight */
  PLC_ADAPTER_EVICT,  /* unload VICTIM first */
  PLC_ADAPTER_WAIT,   /* in flight already, or the zone's share is in use */
  PLC_ADAPTER_TOO_BIG /* larger than the reservation */
};

struct plc_adapter_need
{
  const char *endpoint;
  const char *model;
  const char *adapter;
  uint64_t bytes;
  uint64_t reserved_bytes; /* adapter_bytes of the model */
};

uint32_t plc_adapter_share (uint32_t loads_max, uint32_t zones);
struct plc_adapters *plc_adapters_new (uint32_t share);
void plc_adapters_free (struct plc_adapters *adapters);
void plc_adapters_set_share (struct plc_adapters *adapters, uint32_t share);
enum plc_adapter_step plc_adapter_next (struct plc_adapters *adapters,
                                        const struct plc_adapter_need *need,
                                        uint64_t now_us, const char **victim);
void plc_adapter_done (struct plc_adapters *adapters, const char *endpoint,
                       const char *adapter, bool loaded);
void plc_adapter_unloaded (struct plc_adapters *adapters, const char *endpoint,
                           const char *adapter);
void plc_adapters_drop (struct plc_adapters *adapters, const char *endpoint,
                        const char *model);
uint32_t plc_adapters_in_flight (const struct plc_adapters *adapters);

#endif
