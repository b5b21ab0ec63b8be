#ifndef COWSLIP_PLC_PRIVATE_H
#define COWSLIP_PLC_PRIVATE_H

#include "plc.h"
#include "plc_estimate.h"
#include "plc_gaps.h"

/* Internal tables and functions of the placement module.  */

#define PLC_US_PER_MS UINT64_C (1000)
/* An order takes effect, if at all, within this time after it is sent.  */
#define PLC_ORDER_MAX_US (UINT64_C (2000) * PLC_US_PER_MS)

struct plc_engine
{
  char *address;
  char *pool;
  uint64_t memory_bytes;
  uint64_t reported_memory_bytes; /* 0: not known */
  bool checks_fencing;
  bool planned; /* in the environment document */
  bool leaving;
  bool reports_leaving; /* in its own state */
  bool slow;            /* ejected for slow responses */
  bool unlisted;        /* missing from the instance list */
  uint64_t unlisted_us;
  bool terminated; /* unlisted, unreachable, and no order can take effect */
  bool sealed;     /* its state is known and changes only by our orders */
  uint64_t incarnation;
  uint32_t failures;
  GHashTable *cached; /* model -> struct plc_cache_entry */
  GPtrArray *slots;   /* struct plc_slot, not owned */
  GPtrArray *copies;  /* struct plc_adapter_copy, not owned */
  uint32_t adapter_failures;
  uint64_t next_adapter_order_us; /* back-off after failures */
  /* States read by orders up to this ID may list adapters that have been
     unloaded since.  */
  uint64_t adapters_stale_id;

  uint64_t order_id; /* order in flight; 0: none */
  enum plc_order_kind order_kind;
  struct plc_slot *order_slot;
  uint64_t order_sent_us;
  uint64_t state_order_id;   /* order whose state is being applied */
  uint64_t order_expires_us; /* an unconfirmed order may take effect before */
  uint64_t next_read_us;     /* next seal or read of the state */
};

/* A model's weights in an engine's host memory or disk cache.  */
struct plc_cache_entry
{
  char *version;
  enum plc_tier tier;
};

enum plc_quiesce_reason
{
  PLC_QUIESCE_IDLE,
  PLC_QUIESCE_EVICT,    /* another model needs the memory */
  PLC_QUIESCE_MISPLACED /* or of an outdated version */
};

/* One of the replicas that a model may have, and the engine it is on.  */
struct plc_slot
{
  struct plc_model *model;
  struct plc_engine *engine;
  uint32_t number;
  bool pinned; /* false: the engine reports a replica without a pin */
  enum plc_slot_state state;
  uint64_t bytes;         /* including adapters; 0: cold */
  uint64_t adapter_bytes; /* reserved with the replica; 0: cold */
  char *version;
  enum plc_tier tier;
  uint64_t load_started_us;
  uint64_t ready_us;     /* expected end of the load */
  uint64_t next_load_us; /* back-off after failed loads */
  uint32_t failures;
  struct plc_engine *target; /* moves there when the pins are stored */
  enum plc_quiesce_reason reason;
  uint64_t next_quiesce_us; /* next quiesce requests to members */
  GHashTable *quiesced;     /* members that have nothing in flight */
};

struct plc_model
{
  char *name;
  char *version;
  char *pool;
  uint64_t bytes;
  uint64_t adapter_bytes;
  uint32_t budget;
  uint32_t batch;
  uint32_t keep_alive_min_ms;
  uint32_t keep_alive_max_ms;
  bool planned;                   /* in the environment document */
  GPtrArray *slots;               /* struct plc_slot, not owned */
  GHashTable *demand_by_instance; /* instance -> struct plc_instance_demand */
  uint64_t last_used_us;
  double usage; /* exponentially decayed number of requests, at USAGE_US */
  uint64_t usage_us;
  struct plc_gaps gaps;
  /* Total demand at the last decision.  */
  uint32_t waiting;
  uint64_t earliest_us;
  uint64_t latest_us;
  int32_t priority;
};

/* Total of the demand reports that have not expired.  LATEST_US is the latest
   of the instances' earliest deadlines.  */
struct plc_demand_total
{
  uint32_t waiting;
  uint64_t earliest_us;
  uint64_t latest_us;
  uint64_t reported_us; /* last report */
  int32_t priority;
};

/* The last demand report of one instance.  */
struct plc_instance_demand
{
  uint32_t waiting;
  uint64_t earliest_us;
  int32_t priority;
  uint64_t reported_us;
};

/* A member of the zone.  */
struct plc_peer
{
  char *instance;
  bool recorded;
  bool reachable;
  uint64_t unreachable_us; /* since when; 0: reachable */
};

struct plc
{
  struct tm_service *tm;
  char *zone;
  struct plc_callbacks callbacks;
  void *arg;
  struct tm_timer timer;
  bool running;
  bool paused;
  bool pins_current; /* the pins given to plc_start were up to date */
  uint64_t fence;
  uint64_t started_us; /* when this instance gained control */
  uint64_t next_id;
  uint32_t weight_fetches_max;
  uint32_t waiting_loads;
  GPtrArray *slots;           /* owned */
  GHashTable *models;         /* name -> struct plc_model */
  GHashTable *engines;        /* address -> struct plc_engine */
  GHashTable *adapters;       /* name -> struct plc_adapter */
  GHashTable *adapter_orders; /* order id -> struct plc_adapter_copy */
  GPtrArray *copies;          /* struct plc_adapter_copy, owned */
  uint32_t adapter_loads_max;
  GPtrArray *engines_by_address; /* struct plc_engine, sorted */
  GHashTable *peers;             /* instance -> struct plc_peer */
  struct plc_estimate estimate;
  bool saving;
  uint64_t next_save_us;
  GPtrArray *saving_pins; /* table being stored, or NULL */
  struct vw_view *view;   /* last one pushed */
  uint64_t sequence;      /* of that view */
};

static inline uint64_t
plc_now (const struct plc *plc)
{
  return tm_now_us (plc->tm);
}

void plc_schedule_run (struct plc *plc);
void plc_emit_event (struct plc *plc, enum plc_event event,
                     const struct plc_engine *engine, const char *model);

/* Tables.  */
struct plc_engine *plc_engine_get (struct plc *plc, const char *address);
struct plc_model *plc_model_get (struct plc *plc, const char *name);
struct plc_slot *plc_slot_new (struct plc *plc, struct plc_model *model,
                               uint32_t number, struct plc_engine *engine,
                               bool pinned);
void plc_slot_remove (struct plc *plc, struct plc_slot *slot);
void plc_slot_attach (struct plc_slot *slot, struct plc_engine *engine);
void plc_slot_clear (struct plc_slot *slot);
struct plc_slot *plc_engine_find_slot (const struct plc_engine *engine,
                                       const char *model);
void plc_engine_free (gpointer data);
void plc_model_free (gpointer data);
void plc_slot_free (gpointer data);

/* Accounting of replicas, memory and weight store fetches.  */
bool plc_slot_is_occupied (const struct plc_slot *slot);
bool plc_slot_is_misplaced (const struct plc_slot *slot);
bool plc_engine_is_usable (const struct plc_engine *engine);
uint64_t plc_replica_bytes (const struct plc_model *model);
uint64_t plc_engine_memory_bytes (const struct plc_engine *engine);
uint64_t plc_engine_used_bytes (const struct plc_engine *engine);
uint32_t plc_model_replicas (const struct plc *plc,
                             const struct plc_model *model);
uint32_t plc_store_in_use (const struct plc *plc);

/* Steps of a decision, in the order in which they run.  */
void plc_run_engines (struct plc *plc);
void plc_run_pins (struct plc *plc);
void plc_run_idle (struct plc *plc);
void plc_run_quiesce (struct plc *plc);
void plc_run_loads (struct plc *plc);
void plc_run_adapters (struct plc *plc);
void plc_run_view (struct plc *plc);

bool plc_send_order (struct plc *plc, struct plc_engine *engine,
                     enum plc_order_kind kind, struct plc_slot *slot);
void plc_quiesce_begin (struct plc *plc, struct plc_slot *slot,
                        enum plc_quiesce_reason reason);
bool plc_ensure_memory (struct plc *plc, struct plc_slot *slot);
bool plc_discovery_complete (const struct plc *plc);
bool plc_members_quiesced (struct plc *plc, GHashTable *quiesced,
                           const char *name, const struct plc_engine *engine,
                           bool send_requests);
double plc_model_usage (const struct plc *plc, const struct plc_model *model);
void plc_model_update_demand (struct plc *plc, struct plc_model *model);
struct plc_demand_total plc_compute_demand (const struct plc *plc,
                                            GHashTable *demand_by_instance);
enum vw_state plc_view_state (const struct plc *plc,
                              const struct plc_slot *slot);
enum plc_tier plc_slot_tier (const struct plc_slot *slot);

#endif
