#ifndef COWSLIP_PLC_H
#define COWSLIP_PLC_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "plc_pin.h"
#include "tm.h"
#include "vw.h"

/* Placement in one zone: which engine loads and unloads which model.  */

struct plc;

/* Where an engine finds a model's weights; cheaper tiers first.  */
enum plc_tier
{
  PLC_MEMORY,
  PLC_DISK,
  PLC_REMOTE,
  PLC_TIER_COUNT
};

enum plc_slot_state
{
  PLC_COLD,
  PLC_LOADING,
  PLC_LOADED,
  PLC_QUIESCING,
  PLC_UNLOADING,
  PLC_DOUBTFUL
};

/* What the environment document says about a model in this zone.  */
struct plc_model_spec
{
  const char *name;
  const char *version;
  const char *pool;
  uint64_t bytes;
  uint64_t adapter_bytes;
  uint32_t budget;
  uint32_t batch; /* requests that one engine runs at once */
  uint32_t keep_alive_min_ms;
  uint32_t keep_alive_max_ms;
};

/* An adapter of a model, loaded within the adapter_bytes of its replicas.  */
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
  uint32_t weight_loads; /* this zone's share of weight store fetches */
};

enum plc_order_kind
{
  PLC_SEAL,
  PLC_STATE, /* a read; needs no authority */
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
  const char *adapter; /* NULL: the order is for the model */
  const char *version;
  uint64_t bytes;
  uint64_t adapter_bytes;
};

enum plc_outcome
{
  PLC_ANSWERED, /* carried out; the engine's state is given */
  PLC_REFUSED,  /* the engine did not carry it out */
  PLC_STALE,    /* refused because of a higher fencing number */
  PLC_NOT_SENT, /* no connection */
  PLC_NO_ANSWER /* may be carried out up to order_max_ms after sending */
};

/* One model in an engine's own state.  STATE is PLC_LOADING, PLC_LOADED or
   PLC_UNLOADING.  */
struct plc_reported
{
  const char *name;
  const char *version;
  uint64_t bytes; /* without adapters */
  enum plc_slot_state state;
  enum plc_tier tier;
  uint32_t ready_in_ms;
};

/* One adapter in an engine's own state.  STATE as in plc_reported.  */
struct plc_reported_adapter
{
  const char *name;
  const char *model;
  const char *version; /* NULL: not told */
  enum plc_slot_state state;
};

struct plc_cached
{
  const char *name;
  const char *version;
  enum plc_tier tier;
};

struct plc_state
{
  uint64_t incarnation;
  uint64_t memory_bytes;
  bool leaving;
  const struct plc_reported *models;
  uint32_t model_count;
  const struct plc_cached *cached;
  uint32_t cached_count;
  const struct plc_reported_adapter *adapters;
  uint32_t adapter_count;
};

/* A member of the zone, this instance included.  */
struct plc_member
{
  const char *instance;
  bool recorded;
  bool reachable;
};

/* Waiting requests of one instance for one model or adapter.  */
struct plc_demand
{
  const char *model;
  uint32_t waiting;
  uint64_t earliest_us; /* earliest deadline */
  int32_t priority;
  uint32_t arrivals; /* since the last report */
};

enum plc_note
{
  PLC_NOTE_SEALED,
  PLC_NOTE_DOUBTFUL,
  PLC_NOTE_LOAD,
  PLC_NOTE_LOAD_FAILED,
  PLC_NOTE_UNLOAD,
  PLC_NOTE_UNPINNED,
  PLC_NOTE_ADAPTER_LOAD,
  PLC_NOTE_ADAPTER_LOAD_FAILED,
  PLC_NOTE_ADAPTER_UNLOAD
};

struct plc_callbacks
{
  /* Asked directly before every order is sent.  */
  bool (*may_order) (void *arg, bool checks_fencing, uint64_t *fence);
  /* Answered by plc_answered with the order's id, at the latest after
     order_max_ms.  */
  void (*order) (void *arg, const struct plc_order *order);
  /* Answered by plc_saved.  */
  void (*save) (void *arg, const GPtrArray *pins);
  /* MODEL is a model or an adapter.  Answered by plc_quiesced.  */
  void (*ask_quiesce) (void *arg, const char *instance, const char *model,
                       const char *endpoint);
  void (*view) (void *arg, const struct vw_view *view);
  void (*note) (void *arg, enum plc_note note, const char *endpoint,
                const char *model);
  /* Return whether only the wait of a take-over keeps orders back.  */
  bool (*will_order) (void *arg, bool checks_fencing);
};

/* One slot as operators see it.  */
struct plc_slot_status
{
  const char *model;
  const char *endpoint;
  uint32_t slot;
  bool pinned;
  bool counted; /* as a replica and as used memory */
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
  uint32_t adapter_loads; /* in flight, or may be */
};

typedef void (*plc_slot_visit) (void *arg, const struct plc_slot_status *slot);

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
void plc_set_gone (struct plc *plc, const char *endpoint, bool gone);
void plc_start (struct plc *plc, uint64_t fence, const GPtrArray *pins,
                bool certain);
void plc_stop (struct plc *plc);
void plc_pause (struct plc *plc);
bool plc_is_quiet (const struct plc *plc);
void plc_demanded (struct plc *plc, const char *instance,
                   const struct plc_demand *demand);
void plc_answered (struct plc *plc, uint64_t id, enum plc_outcome outcome,
                   const struct plc_state *state);
void plc_saved (struct plc *plc, bool saved);
void plc_quiesced (struct plc *plc, const char *instance, const char *model,
                   const char *endpoint, bool accepted, uint32_t in_flight);
void plc_status (const struct plc *plc, struct plc_status *status);
void plc_each_slot (const struct plc *plc, plc_slot_visit visit, void *arg);
const char *plc_slot_state_text (enum plc_slot_state state);

#endif
