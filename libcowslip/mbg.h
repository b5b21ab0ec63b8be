#ifndef COWSLIP_MBG_H
#define COWSLIP_MBG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "jsn.h"
#include "tm.h"

/* Memory budget of a process for all that clients can fill: heads and bodies
   of requests, pipelined bytes and unsent responses.  Whoever keeps such bytes
   takes them from the budget first and gives them back when they are freed.
   If too few are left, clients that stall are evicted.  */
struct mbg_budget;

/* What bytes are for.  */
enum mbg_use
{
  MBG_LARGE,  /* a client that has much already */
  MBG_CLIENT, /* a part of the budget is kept for clients with little */
  MBG_CONTROL /* operators and readiness checks have a reserve */
};

/* A client that can be evicted to free its memory.  Members are set by the
   functions below only.  */
struct mbg_holder
{
  struct mbg_budget *budget;
  GList link; /* in the budget's list; data: this holder */
  size_t bytes;
  uint64_t progress_us; /* up to when it was fast enough */
  bool evictable;
  void (*evict) (void *arg);
  void *arg;
};

/* Bounds of the setting "memory_mb".  */
#define MBG_MEMORY_MIN_MB 32
#define MBG_MEMORY_MAX_MB (1U << 20)

struct mbg_budget *mbg_new (struct tm_service *tm, uint64_t memory_bytes);
struct mbg_budget *mbg_ref (struct mbg_budget *budget);
void mbg_unref (struct mbg_budget *budget);
uint64_t mbg_machine_bytes (void);
uint32_t mbg_read_memory_mb (struct jsn_reader *reader);
bool mbg_take (struct mbg_budget *budget, size_t bytes, enum mbg_use use);
void mbg_add (struct mbg_budget *budget, size_t bytes);
void mbg_give (struct mbg_budget *budget, size_t bytes);
bool mbg_is_short (const struct mbg_budget *budget);
uint64_t mbg_limit_bytes (const struct mbg_budget *budget, enum mbg_use use);
uint64_t mbg_used_bytes (const struct mbg_budget *budget);
uint64_t mbg_memory_bytes (const struct mbg_budget *budget);
uint64_t mbg_evictions (const struct mbg_budget *budget);
uint32_t mbg_retry_after_ms (const struct mbg_budget *budget, size_t bytes);

void mbg_open (struct mbg_holder *holder, struct mbg_budget *budget,
               void (*evict) (void *arg), void *arg);
void mbg_close (struct mbg_holder *holder);
void mbg_restart (struct mbg_holder *holder);
void mbg_progress (struct mbg_holder *holder, size_t bytes);
void mbg_set_bytes (struct mbg_holder *holder, size_t bytes);
void mbg_set_evictable (struct mbg_holder *holder, bool evictable);
enum mbg_use mbg_holder_use (const struct mbg_holder *holder, size_t bytes);

#endif
