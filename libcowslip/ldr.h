#ifndef COWSLIP_LDR_H
#define COWSLIP_LDR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "kv.h"
#include "tm.h"

/* Membership and leader election of the gateway instances over the key-value
   store.  Each instance has a lease for its member record, and the leader a
   second one for the leader record.  Only the leader sends orders to
   engines.  */
struct ldr;

#define LDR_KEY_BYTES 32

/* Renewal interval and TTL of a member's lease.  Three consecutive renewals
   may fail before the lease expires.  A lost instance remains a member until
   then, which delays nothing, so renewals, of which there are as many as
   instances, are rare.  */
#define LDR_RENEW_MS 3000
#define LDR_TTL_S    10
/* The same for the leader's lease: loads stop until a lost leader's lease has
   expired.  */
#define LDR_LEADER_RENEW_MS 600
#define LDR_LEADER_TTL_S    2
/* The leader re-reads its own record at intervals of LDR_CHECK_MS, and sends
   orders only within LDR_CONFIRMED_MS of sending the last read that found the
   record unchanged.  A successor waits for LDR_CONFIRMED_MS after its election
   before it sends orders.  */
#define LDR_CHECK_MS     300
#define LDR_CONFIRMED_MS 900

struct ldr_member
{
  char *instance;
  char *zone;
  char *address;        /* of its RPC server */
  uint32_t cpu_percent; /* CPU quota, in percent of one core */
  uint64_t expires_us;  /* its record may be lost; 0: it has one */
};

struct ldr_config
{
  struct kv_store kv;
  struct tm_service *tm;
  const char *instance;
  const char *zone;
  const char *address;
  uint64_t incarnation;
  uint32_t cpu_percent;
  /* An instance that was the leader, or may have been before a restart, sends
     orders again only this long after it stopped, if another instance has been
     the leader since.  */
  uint32_t reelection_delay_ms;
  /* Proposed as the peer key if the store has none.  */
  unsigned char key[LDR_KEY_BYTES];
};

struct ldr_callbacks
{
  void (*gained) (void *arg, uint64_t fence);
  void (*lost) (void *arg);
  /* Called when the key that authenticates RPCs between instances is known,
     and when the store holds another one after it has lost that.  */
  void (*key) (void *arg, const unsigned char *key, size_t bytes);
  void (*members) (void *arg); /* members or leader changed */
  /* All keys with the prefix were read, or one has changed: lets other parts
     keep records there without a watch of their own.  May be NULL.  */
  void (*keys_read) (void *arg, const struct kv_pair *pairs, size_t count);
  void (*key_changed) (void *arg, const struct kv_change *change);
};

const char *ldr_key_prefix (void);
struct ldr *ldr_new (const struct ldr_config *config,
                     const struct ldr_callbacks *callbacks, void *arg);
void ldr_free (struct ldr *ldr);
bool ldr_may_order (const struct ldr *ldr, uint64_t *fence);
bool ldr_is_confirmed (const struct ldr *ldr);
bool ldr_is_leader (const struct ldr *ldr);
const char *ldr_leader (const struct ldr *ldr);
const struct ldr_member *ldr_find_member (const struct ldr *ldr,
                                          const char *instance);
const GPtrArray *ldr_members (const struct ldr *ldr);
bool ldr_store_failed (const struct ldr *ldr, uint32_t within_ms);
uint32_t ldr_peak_members (const struct ldr *ldr);
void ldr_resign (struct ldr *ldr);

#endif
