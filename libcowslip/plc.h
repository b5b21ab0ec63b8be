#ifndef COWSLIP_PLC_H
#define COWSLIP_PLC_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "plc_pin.h"
#include "tm.h"
#include "vw.h"

/* Model placement for one zone: decides which engine loads and unloads which
   model, and orders the engines to do so.  Used by the zone's controller
   only.  */

struct plc;

/* Where an engine loads a model's weights from, fastest first.  */
enum plc_tier
{
  PLC_MEMORY,
  PLC_DISK,
  PLC_REMOTE,
  PLC_TIER_COUNT
};

enum plc_slot_state
{
  PLC_COLD, /* holds no replica */
  PLC_LOADING,
  PLC_LOADED,
  PLC_QUIESCING, /* unloaded once no member has requests in flight */
  PLC_UNLOADING,
  PLC_DOUBTFUL /* may hold a replica; unknown until the engine is read */
};

/* Configuration of a model in this zone, from the environment document.  */
struct plc_model_spec
{
  const char *name;
  const char *version;
  const char *pool;
  uint64_t bytes;
  uint64_t adapter_bytes;
  uint32_t budget; /* maximum number of replicas */
  uint32_t batch;  /* requests that one engine runs concurrently */
  uint32_t keep_alive_min_ms;
  uint32_t keep_alive_max_ms;
};

/* An adapter of a model, loaded into the adapter_bytes that each replica of
   the model reserves.  */
struct plc_adapter_spec
{
  const char *name;
  const char *version;
  const char *model;
  uint64_t bytes;
};

struct plc_engine_spec
{
  const char *address;
  const char *pool;
  uint64_t memory_bytes;
  bool checks_fencing;
};

struct plc_plan
{
  const struct plc_model_spec *models;
  uint32_t model_count;
  const struct plc_engine_spec *engines;
  uint32_t engine_count;
  uint32_t weight_fetches_max; /* this zone's share of weight store fetches */
};

enum plc_order_kind
{
  PLC_SEAL,       /* sets the engine's fencing number and reads its state */
  PLC_READ_STATE, /* read-only; allowed without control of the zone */
  PLC_LOAD,
  PLC_UNLOAD,
  PLC_ADAPTER_LOAD,
  PLC_ADAPTER_UNLOAD
};

struct plc_order
{
  uint64_t id;
  enum plc_order_kind kind;
  const char *endpoint;
  uint64_t fence;
  const char *model;
  const char *adapter; /* NULL for an order for the model itself */
  const char *version;
  uint64_t bytes;
  uint64_t adapter_bytes;
};

enum plc_outcome
{
  PLC_COMPLETED,  /* carried out; the engine's state is given */
  PLC_REFUSED,    /* the engine did not carry it out */
  PLC_STALE,      /* refused: the engine has seen a higher fencing number */
  PLC_NOT_SENT,   /* the connection failed */
  PLC_NO_RESPONSE /* may take effect until order_max_ms after sending */
};

/* One model in the state that an engine reports.  STATE is PLC_LOADING,
   PLC_LOADED or PLC_UNLOADING.  */
struct plc_reported_model
{
  const char *name;
  const char *version;
  uint64_t bytes; /* without adapters */
  enum plc_slot_state state;
  enum plc_tier tier;
  uint32_t ready_in_ms;
};

/* One adapter in the state that an engine reports.  STATE is as in
   plc_reported_model.  */
struct plc_reported_adapter
{
  const char *name;
  const char *model;
  const char *version; /* NULL: not reported */
  enum plc_slot_state state;
};

/* Weights that an engine keeps in host memory or on its disk.  */
struct plc_cached_model
{
  const char *name;
  const char *version;
  enum plc_tier tier;
};

/* State of an engine, as returned for a completed order.  */
struct plc_engine_state
{
  uint64_t incarnation;
  uint64_t memory_bytes;
  bool leaving;
  const struct plc_reported_model *models;
  uint32_t model_count;
  const struct plc_cached_model *cached;
  uint32_t cached_count;
  const struct plc_reported_adapter *adapters;
  uint32_t adapter_count;
};

/* A member of the zone, this instance included.  */
struct plc_member
{
  const char *instance;
  bool recorded; /* has a membership record in the key-value store */
  bool reachable;
};

/* Demand of one instance for one model or adapter.  */
struct plc_demand
{
  const char *model;
  uint32_t waiting;     /* requests that wait for a replica */
  uint64_t earliest_us; /* earliest deadline of a waiting request */
  int32_t priority;
  uint32_t arrivals; /* requests since the last report */
};

enum plc_event
{
  PLC_EVENT_SEALED,
  PLC_EVENT_DOUBTFUL,
  PLC_EVENT_LOAD,
  PLC_EVENT_LOAD_FAILED,
  PLC_EVENT_UNLOAD,
  PLC_EVENT_UNPINNED,
  PLC_EVENT_ADAPTER_LOAD,
  PLC_EVENT_ADAPTER_LOAD_FAILED,
  PLC_EVENT_ADAPTER_UNLOAD
};

struct plc_callbacks
{
  /* Return whether orders may be sent now, and write their fencing number to
     FENCE.  Called immediately before every order except a read.  */
  bool (*may_order) (void *arg, bool checks_fencing, uint64_t *fence);
  /* Send ORDER.  The owner calls plc_order_done with its ID within
     order_max_ms.  */
  void (*order) (void *arg, const struct plc_order *order);
  /* Store PINS.  The owner calls plc_save_done with the result.  */
  void (*save) (void *arg, const GPtrArray *pins);
  /* Request INSTANCE to stop using MODEL, a model or an adapter, on ENDPOINT.
     The owner passes on the reply with plc_quiesce_reply.  */
  void (*request_quiesce) (void *arg, const char *instance, const char *model,
                           const char *endpoint);
  /* Push VIEW to the members of the zone.  */
  void (*view) (void *arg, const struct vw_view *view);
  /* Log and count EVENT.  MODEL may be NULL.  */
  void (*event) (void *arg, enum plc_event event, const char *endpoint,
                 const char *model);
  /* Return whether orders are not allowed only because the waiting period
     after a change of controller has not ended.  */
  bool (*may_order_later) (void *arg, bool checks_fencing);
};

/* One slot as shown to operators.  */
struct plc_slot_status
{
  const char *model;
  const char *endpoint;
  uint32_t slot;
  bool pinned;
  bool occupied; /* counts as a replica and as used memory */
  enum plc_slot_state state;
  uint64_t bytes;
};

struct plc_status
{
  uint32_t engines;
  uint32_t sealed;
  uint32_t waiting_loads;
  uint32_t store_in_use;
  uint32_t store_slots;
  uint32_t adapters;      /* loaded, counted once per engine */
  uint32_t adapter_loads; /* in flight, or possibly so */
};

typedef void (*plc_slot_visitor) (void *arg,
                                  const struct plc_slot_status *slot);

struct plc *plc_new (struct tm_service *tm, const char *zone,
                     const struct plc_callbacks *callbacks, void *arg);
void plc_free (struct plc *plc);
void plc_set_plan (struct plc *plc, const struct plc_plan *plan);
void plc_set_adapters (struct plc *plc,
                       const struct plc_adapter_spec *adapters, uint32_t count,
                       uint32_t loads_max);
void plc_set_members (struct plc *plc, const struct plc_member *members,
                      uint32_t count);
void plc_set_leaving (struct plc *plc, const char *endpoint, bool leaving);
void plc_set_slow (struct plc *plc, const char *endpoint, bool slow);
void plc_set_unlisted (struct plc *plc, const char *endpoint, bool unlisted);
void plc_start (struct plc *plc, uint64_t fence, const GPtrArray *pins,
                bool pins_current);
void plc_stop (struct plc *plc);
void plc_pause (struct plc *plc);
bool plc_orders_complete (const struct plc *plc);
void plc_update_demand (struct plc *plc, const char *instance,
                        const struct plc_demand *demand);
void plc_order_done (struct plc *plc, uint64_t id, enum plc_outcome outcome,
                     const struct plc_engine_state *state);
void plc_save_done (struct plc *plc, bool saved);
void plc_quiesce_reply (struct plc *plc, const char *instance,
                        const char *model, const char *endpoint, bool accepted,
                        uint32_t in_flight);
void plc_status (const struct plc *plc, struct plc_status *status);
void plc_foreach_slot (const struct plc *plc, plc_slot_visitor visit,
                       void *arg);
const char *plc_slot_state_text (enum plc_slot_state state);

#endif
