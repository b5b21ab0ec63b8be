#ifndef COWSLIP_OWN_H
#define COWSLIP_OWN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "kv.h"
#include "tm.h"

/* Election of the instance that controls a zone, and its authority to send
   orders to the zone's engines.  The holder of the controller key in the
   key-value service has authority.  During an outage of that service a member
   starts a round instead: it takes a higher fencing number of the same epoch,
   and the other recorded members promise not to take over.  */

#define OWN_TTL_S    6
#define OWN_RENEW_MS 2000
/* Unused part of the lease, to allow for clock drift.  */
#define OWN_CLOCK_MARGIN_MS 1000
/* Upper bound on the time for which an order can be in flight.  */
#define OWN_ORDER_MAX_MS 2000
#define OWN_PROMISE_MS   5000

struct own;

/* Another member of the zone.  */
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
  /* Authority was gained, or renewed with a higher FENCE.  PINS holds the
     pinned slots (struct plc_pin).  Unless IS_CURRENT, they were read earlier
     and may be out of date.  */
  void (*gained) (void *arg, uint64_t fence, const GPtrArray *pins,
                  bool is_current);
  void (*lost) (void *arg);
  /* Request a promise from INSTANCE.  The reply is passed to
     own_promise_done with the same FENCE and SENT_US.  */
  void (*request_promise) (void *arg, const char *instance, uint64_t fence,
                           uint32_t duration_ms, uint64_t sent_us);
};

typedef void (*own_done) (void *arg, bool done);

struct own *own_new (const struct own_config *config,
                     const struct own_callbacks *callbacks, void *arg);
void own_free (struct own *own);
void own_set_members (struct own *own, const struct own_member *members,
                      uint32_t count);
void own_observe_fence (struct own *own, uint64_t fence, const char *holder);
bool own_may_order (struct own *own, bool checks_fencing, uint64_t *fence);
bool own_may_order_later (const struct own *own, bool checks_fencing);
void own_fence_rejected (struct own *own, uint64_t fence);
void own_save_pins (struct own *own, const GPtrArray *pins, own_done done,
                    void *arg);
bool own_grant_promise (struct own *own, const char *holder, uint64_t fence,
                        uint32_t duration_ms);
void own_promise_done (struct own *own, const char *instance, uint64_t fence,
                       uint64_t sent_us, bool promised);
void own_hand_over (struct own *own, own_done done, void *arg);

bool own_number_shared (const struct own *own);
bool own_is_holder (const struct own *own);
const char *own_holder (const struct own *own);
uint64_t own_fence (const struct own *own);
bool own_kv_available (const struct own *own);

#endif
