#ifndef COWSLIP_PLC_ADAPTER_H
#define COWSLIP_PLC_ADAPTER_H

#include "plc_private.h"

/* Adapters of one zone.  They are loaded into the memory that each replica of
   their model reserves for them, and vanish with the replica.  */

struct plc_adapter
{
  char *name;
  char *version;
  struct plc_model *model;
  uint64_t bytes;
  bool planned;
  GHashTable *demands; /* instance -> struct plc_wait */
  GPtrArray *copies;   /* struct plc_adapter_copy, not owned */
  uint64_t last_used_us;
  struct plc_need need; /* at the last decision */
};

/* An adapter that an engine holds, or may hold.  */
struct plc_adapter_copy
{
  struct plc_adapter *adapter;
  struct plc_engine *engine;
  struct plc_model *model; /* on whose replica it was loaded */
  char *version;           /* NULL: not known */
  uint64_t bytes;
  enum plc_slot_state state; /* never PLC_COLD */
  bool loading;              /* a load is in flight, or may be */
  uint64_t loaded_us;
  uint64_t order_id; /* under way; 0: none */
  enum plc_order_kind order_kind;
  uint64_t order_sent_us;
  uint64_t settled_id; /* number of the newest order when its last one ended */
  uint64_t clear_us;   /* an unanswered order may take effect before */
  uint64_t next_ask_us;
  GHashTable *quiet; /* instances that have nothing in flight */
};

/* Tables and accounts.  */
struct plc_adapter *plc_adapter_get (struct plc *plc, const char *name);
void plc_adapter_free (gpointer data);
struct plc_adapter_copy *plc_copy_new (struct plc *plc,
                                       struct plc_adapter *adapter,
                                       struct plc_engine *engine,
                                       struct plc_model *model);
void plc_copy_remove (struct plc *plc, struct plc_adapter_copy *copy);
void plc_copy_free (gpointer data);
struct plc_adapter_copy *plc_copy_on (const struct plc_engine *engine,
                                      const char *adapter);
bool plc_copy_is_outdated (const struct plc_adapter_copy *copy);
uint64_t plc_slot_adapters (const struct plc_slot *slot);
uint32_t plc_adapter_loads (const struct plc *plc);
uint32_t plc_adapters_loaded (const struct plc *plc);
bool plc_adapters_settled (const struct plc *plc);
bool plc_adapters_unknown (const struct plc_engine *engine);
bool plc_adapters_ordered (const struct plc_engine *engine);

/* Orders and what engines say.  */
bool plc_copy_send (struct plc *plc, struct plc_adapter_copy *copy,
                    enum plc_order_kind kind);
void plc_adapter_answered (struct plc *plc, uint64_t id,
                           enum plc_outcome outcome,
                           const struct plc_state *state);
void plc_adapters_apply (struct plc *plc, struct plc_engine *engine,
                         const struct plc_state *state);
void plc_adapters_doubt (struct plc_engine *engine);
void plc_adapters_drop (struct plc *plc, struct plc_engine *engine);

/* Taking adapters out of use.  */
void plc_copy_quiesce (const struct plc *plc, struct plc_adapter_copy *copy);
void plc_run_copies (struct plc *plc);
void plc_adapters_ask_again (const struct plc_slot *slot);
bool plc_adapters_quiet (struct plc *plc, const struct plc_slot *slot,
                         bool ask);
void plc_adapter_quiesced (struct plc *plc, const struct plc_engine *engine,
                           const char *instance, const char *adapter);
void plc_view_adapters (struct plc *plc, struct vw_view *view);

#endif
