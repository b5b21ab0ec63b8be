#ifndef COWSLIP_PLC_ADAPTER_H
#define COWSLIP_PLC_ADAPTER_H

#include "plc_private.h"

/* Placement of adapters in one zone: loads them into the memory that each
   replica of their model reserves for them.  Unloading a replica unloads its
   adapters.  */

struct plc_adapter
{
  char *name;
  char *version;
  struct plc_model *model;
  uint64_t bytes;
  bool planned;
  GHashTable *demand_by_instance; /* instance -> struct plc_instance_demand */
  GPtrArray *copies;              /* struct plc_adapter_copy, not owned */
  uint64_t last_used_us;
  struct plc_demand_total demand; /* at the last decision */
};

/* An adapter that is loaded, or possibly loaded, on an engine.  */
struct plc_adapter_copy
{
  struct plc_adapter *adapter;
  struct plc_engine *engine;
  struct plc_model *model; /* whose replica it is loaded on */
  char *version;           /* NULL: not known */
  uint64_t bytes;
  enum plc_slot_state state; /* never PLC_COLD */
  bool loading;              /* a load is in flight, or possibly so */
  uint64_t loaded_us;
  uint64_t order_id; /* order in flight; 0: none */
  enum plc_order_kind order_kind;
  uint64_t order_sent_us;
  uint64_t stale_id; /* states read by orders up to this ID are stale */
  uint64_t order_expires_us; /* an unconfirmed order may take effect before */
  uint64_t next_quiesce_us;  /* next quiesce requests to members */
  GHashTable *quiesced;      /* members that have nothing in flight */
};

/* Tables and accounting.  */
struct plc_adapter *plc_adapter_get (struct plc *plc, const char *name);
void plc_adapter_free (gpointer data);
struct plc_adapter_copy *plc_copy_new (struct plc *plc,
                                       struct plc_adapter *adapter,
                                       struct plc_engine *engine,
                                       struct plc_model *model);
void plc_copy_remove (struct plc *plc, struct plc_adapter_copy *copy);
void plc_copy_free (gpointer data);
struct plc_adapter_copy *plc_engine_find_copy (const struct plc_engine *engine,
                                               const char *adapter);
bool plc_copy_is_outdated (const struct plc_adapter_copy *copy);
uint64_t plc_slot_adapter_bytes (const struct plc_slot *slot);
uint32_t plc_adapter_loads_in_flight (const struct plc *plc);
uint32_t plc_adapters_loaded (const struct plc *plc);
bool plc_adapter_orders_complete (const struct plc *plc);
bool plc_adapters_need_read (const struct plc_engine *engine);
bool plc_adapter_order_pending (const struct plc_engine *engine);

/* Orders and reported states.  */
bool plc_copy_send_order (struct plc *plc, struct plc_adapter_copy *copy,
                          enum plc_order_kind kind);
void plc_adapter_order_done (struct plc *plc, uint64_t id,
                             enum plc_outcome outcome,
                             const struct plc_engine_state *state);
void plc_adapters_apply_state (struct plc *plc, struct plc_engine *engine,
                               const struct plc_engine_state *state);
void plc_adapters_set_doubtful (struct plc_engine *engine);
void plc_adapters_remove_all (struct plc *plc, struct plc_engine *engine);

/* Quiescing and unloading.  */
void plc_copy_quiesce (const struct plc *plc, struct plc_adapter_copy *copy);
void plc_run_copies (struct plc *plc);
void plc_adapters_reset_quiesce (const struct plc_slot *slot);
bool plc_adapters_quiesced (struct plc *plc, const struct plc_slot *slot,
                            bool send_requests);
void plc_adapter_quiesce_reply (struct plc *plc,
                                const struct plc_engine *engine,
                                const char *instance, const char *adapter);
void plc_view_add_adapters (struct plc *plc, struct vw_view *view);

#endif
