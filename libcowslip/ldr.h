#ifndef COWSLIP_LDR_H
#define COWSLIP_LDR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "kv.h"
#include "tm.h"

/* Membership and the election of one leader, kept in the store under one lease
   per instance.  Only the leader orders engines.  */
struct ldr;

#define LDR_KEY_BYTES 32

/* The lease is renewed this often and lasts this long at the store.  Three
   renewals may fail before others take over.  */
#define LDR_RENEW_MS 600
#define LDR_TTL_S    2
/* The leader reads its record this often, and sends orders only this long
   after a read that found it was sent.  A successor counts that time from its
   own election.  */
#define LDR_CHECK_MS 300
#define LDR_SAFE_MS  900

struct ldr_member
{
  char *instance;
  char *zone;
  char *address;        /* of its RPC server */
  uint32_t cpu_percent; /* of a core that it may use */
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
  /* An instance that led before, or may have, orders again only this long
     after it stopped, if another has led meanwhile.  */
  uint32_t apart_ms;
  /* Offered as the key of the instances if the store has none.  */
  unsigned char key[LDR_KEY_BYTES];
};

struct ldr_callbacks
{
  void (*gained) (void *arg, uint64_t fence);
  void (*lost) (void *arg);
  /* The key with which instances authenticate their calls is known.  */
  void (*key) (void *arg, const unsigned char *key, size_t bytes);
  void (*members) (void *arg); /* the list or the leader has changed */
};

struct ldr *ldr_new (const struct ldr_config *config,
                     const struct ldr_callbacks *callbacks, void *arg);
void ldr_free (struct ldr *ldr);
bool ldr_may_order (const struct ldr *ldr, uint64_t *fence);
bool ldr_is_confirmed (const struct ldr *ldr);
bool ldr_is_leader (const struct ldr *ldr);
const char *ldr_leader (const struct ldr *ldr);
const struct ldr_member *ldr_find (const struct ldr *ldr,
                                   const char *instance);
const GPtrArray *ldr_members (const struct ldr *ldr);
void ldr_set_pace (struct ldr *ldr, enum kv_pace pace);
bool ldr_store_failed (const struct ldr *ldr, uint32_t within_ms);
uint32_t ldr_strength (const struct ldr *ldr);
void ldr_resign (struct ldr *ldr);

#endif
