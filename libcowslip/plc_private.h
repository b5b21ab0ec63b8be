#ifndef COWSLIP_PLC_PRIVATE_H
#define COWSLIP_PLC_PRIVATE_H

#include "plc.h"
#include "plc_estimate.h"
#include "plc_gaps.h"

#define PLC_US_PER_MS UINT64_C (1000)
/* Longest time for which an order can be under way.  */
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
  bool says_leaving; /* by its own state */
  bool slow;         /* ejected here for its answers' times */
  bool gone;         /* the instance list does not name it */
  uint64_t gone_us;
  bool departed; /* gone, and no order can be under way to it */
  bool sealed;   /* its state is known and only changes by own orders */
  uint64_t incarnation;
  uint32_t failures;
  GHashTable *cached; /* model -> struct plc_cached_copy */
  GPtrArray *slots;   /* struct plc_slot, not owned */
  GPtrArray *copies;  /* struct plc_adapter_copy, not owned */
  uint32_t adapter_failures;
  uint64_t adapter_not_before_us;
  /* States read by an order with a lower number may show adapters that were
     unloaded since.  */
  uint64_t adapters_settled_id;

  uint64_t order_id; /* under way; 0: none */
  enum plc_order_kind order_kind;
  struct plc_slot *order_slot;
  uint64_t order_sent_us;
  uint64_t answered_id; /* whose answer is being applied */
  uint64_t clear_us;    /* an unanswered order may take effect before */
  uint64_t next_read_us;
};

struct plc_cached_copy
{
  char *version;
  enum plc_tier tier;
};

enum plc_quiesce_reason
{
  PLC_IDLE,
  PLC_NEEDED, /* its memory is */
  PLC_MISPLACED
};

struct plc_slot
{
  struct plc_model *model;
  struct plc_engine *engine;
  uint32_t number;
  bool pinned;
  enum plc_slot_state state;
  uint64_t bytes;         /* with adapters, as long as it is not cold */
  uint64_t adapter_bytes; /* reserved with the replica; 0: cold */
  char *version;
  enum plc_tier tier;
  uint64_t since_us; /* the load began */
  uint64_t ready_us; /* the load is expected to end */
  uint64_t not_before_us;
  uint32_t failures;
  struct plc_engine *target; /* moves there when the record is written */
  enum plc_quiesce_reason reason;
  uint64_t next_ask_us;
  GHashTable *quiet; /* instances that have nothing in flight */
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
  bool planned;
  GPtrArray *slots;    /* struct plc_slot, not owned */
  GHashTable *demands; /* instance -> struct plc_wait */
  uint64_t last_used_us;
  double use; /* requests, weighted down with their age, at USE_US */
  uint64_t use_us;
  struct plc_gaps gaps;
  /* Sum of the demands at the last decision.  */
  uint32_t waiting;
  uint64_t earliest_us;
  uint64_t latest_us;
  int32_t priority;
};

/* Sum of the waiting requests that instances reported lately.  */
struct plc_need
{
  uint32_t waiting;
  uint64_t earliest_us;
  uint64_t latest_us;
  uint64_t heard_us; /* the last report */
  int32_t priority;
};

struct plc_wait
{
  uint32_t waiting;
  uint64_t earliest_us;
  int32_t priority;
  uint64_t heard_us;
};

struct plc_peer
{
  char *instance;
  bool recorded;
  bool reachable;
  uint64_t missed_us;
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
  bool certain;
  uint64_t fence;
  uint64_t started_us;
  uint64_t next_id;
  uint32_t weight_loads;
  uint32_t waiting_loads;
  GPtrArray *slots;           /* owned */
  GHashTable *models;         /* name -> struct plc_model */
  GHashTable *engines;        /* address -> struct plc_engine */
  GHashTable *adapters;       /* name -> struct plc_adapter */
  GHashTable *adapter_orders; /* order id -> struct plc_adapter_copy */
  GPtrArray *copies;          /* struct plc_adapter_copy, owned */
  uint32_t adapter_loads;
  GPtrArray *sorted; /* struct plc_engine by address */
  GHashTable *peers; /* instance -> struct plc_peer */
  struct plc_estimate estimate;
  bool saving;
  uint64_t next_save_us;
  GPtrArray *saving_pins;
  struct vw_view *view; /* last pushed */
  uint64_t sequence;
};

static inline uint64_t
plc_now (const struct plc *plc)
{
  return tm_now_us (plc->tm);
}

void plc_wake (struct plc *plc);
void plc_note_event (struct plc *plc, enum plc_note note,
                     const struct plc_engine *engine, const char *model);

/* Tables.  */
struct plc_engine *plc_engine_get (struct plc *plc, const char *address);
struct plc_model *plc_model_get (struct plc *plc, const char *name);
struct plc_slot *plc_slot_new (struct plc *plc, struct plc_model *model,
                               uint32_t number, struct plc_engine *engine,
                               bool pinned);
void plc_slot_remove (struct plc *plc, struct plc_slot *slot);
void plc_slot_attach (struct plc_slot *slot, struct plc_engine *engine);
void plc_slot_cool (struct plc_slot *slot);
struct plc_slot *plc_slot_on (const struct plc_engine *engine,
                              const char *model);
void plc_engine_free (gpointer data);
void plc_model_free (gpointer data);
void plc_slot_free (gpointer data);

/* Accounts.  */
bool plc_slot_counts (const struct plc_slot *slot);
bool plc_slot_misplaced (const struct plc_slot *slot);
bool plc_engine_is_usable (const struct plc_engine *engine);
uint64_t plc_model_need (const struct plc_model *model);
uint64_t plc_engine_size (const struct plc_engine *engine);
uint64_t plc_engine_used (const struct plc_engine *engine);
uint32_t plc_model_replicas (const struct plc *plc,
                             const struct plc_model *model);
uint32_t plc_store_in_use (const struct plc *plc);

/* Decisions, in the order in which they are made.  */
void plc_run_engines (struct plc *plc);
void plc_run_pins (struct plc *plc);
void plc_run_idle (struct plc *plc);
void plc_run_quiesce (struct plc *plc);
void plc_run_loads (struct plc *plc);
void plc_run_adapters (struct plc *plc);
void plc_run_view (struct plc *plc);

bool plc_send (struct plc *plc, struct plc_engine *engine,
               enum plc_order_kind kind, struct plc_slot *slot);
void plc_quiesce_begin (struct plc *plc, struct plc_slot *slot,
                        enum plc_quiesce_reason reason);
bool plc_make_room (struct plc *plc, struct plc_slot *slot);
bool plc_is_settled (const struct plc *plc);
bool plc_members_quiet (struct plc *plc, GHashTable *quiet, const char *name,
                        const struct plc_engine *engine, bool ask);
double plc_model_use (const struct plc *plc, const struct plc_model *model);
void plc_sum_demand (struct plc *plc, struct plc_model *model);
struct plc_need plc_sum_waits (const struct plc *plc, GHashTable *demands);
enum vw_state plc_view_state (const struct plc *plc,
                              const struct plc_slot *slot);
enum plc_tier plc_slot_tier (const struct plc_slot *slot);

#endif
