#ifndef COWSLIP_OWN_H
#define COWSLIP_OWN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kv.h"
#include "tm.h"

/* Election of the zone's controller and its authority over engines.  */

#define OWN_TTL_S    6
#define OWN_RENEW_MS 2000
/* Part of the lease that is not used, for clocks that run at different
   speeds.  */
#define OWN_MARGIN_MS 1000
/* Longest time for which an order can be under way.  */
#define OWN_ORDER_MAX_MS 2000
#define OWN_PROMISE_MS   5000

struct own;

/* A member of the zone other than this instance.  */
struct own_member
{
  const char *instance;
  uint32_t number;
  bool recorded;
  bool reachable;
  bool draining;
};

struct own_config
{
  struct kv_store kv;
  struct tm_service *tm;
  const char *environment;
  const char *zone;
  const char *instance;
  uint64_t incarnation;
  uint32_t number; /* 1 to 65,535 */
};

struct own_callbacks
{
  /* Authority begins or begins again with a higher FENCE.  PINS are the
     pinned slots (struct plc_pin); without CERTAIN they were read earlier and
     may have changed since.  */
  void (*gained) (void *arg, uint64_t fence, const GPtrArray *pins,
                  bool certain);
  void (*lost) (void *arg);
  /* Ask INSTANCE for a promise; answered by own_promise_answered with the
     same FENCE and ASKED_US.  */
  void (*ask) (void *arg, const char *instance, uint64_t fence,
               uint32_t duration_ms, uint64_t asked_us);
};

typedef void (*own_done) (void *arg, bool done);

struct own *own_new (const struct own_config *config,
                     const struct own_callbacks *callbacks, void *arg);
void own_free (struct own *own);
void own_set_members (struct own *own, const struct own_member *members,
                      uint32_t count);
void own_saw_fence (struct own *own, uint64_t fence, const char *holder);
bool own_may_order (struct own *own, bool checks_fencing, uint64_t *fence);
bool own_will_order (const struct own *own, bool checks_fencing);
void own_refused (struct own *own, uint64_t fence);
void own_save_pins (struct own *own, const GPtrArray *pins, own_done done,
                    void *arg);
bool own_promise (struct own *own, const char *holder, uint64_t fence,
                  uint32_t duration_ms);
void own_promise_answered (struct own *own, const char *instance,
                           uint64_t fence, uint64_t asked_us, bool promised);
void own_hand_over (struct own *own, own_done done, void *arg);

bool own_number_shared (const struct own *own);
bool own_is_holder (const struct own *own);
const char *own_holder (const struct own *own);
uint64_t own_fence (const struct own *own);
bool own_kv_answers (const struct own *own);

#endif
