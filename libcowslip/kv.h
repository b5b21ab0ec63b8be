#ifndef COWSLIP_KV_H
#define COWSLIP_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Revisions contain the era of the service above this many bits, see the era
   method.  */
#define KV_ERA_SHIFT 40

/* Interface to a key-value service with transactions, leases and watches.
   Tests and other platforms substitute their own implementation.  */

enum kv_outcome
{
  KV_OK,         /* for a transaction: the comparisons held */
  KV_CONFLICT,   /* a comparison failed; the else operations were executed */
  KV_UNKNOWN,    /* no response; the transaction may have taken effect */
  KV_UNAVAILABLE /* the transaction had no effect */
};

/* Requires that KEY was last modified at REVISION; 0: does not exist.  */
struct kv_compare
{
  const char *key;
  int64_t revision;
};

enum kv_op_kind
{
  KV_GET,
  KV_GET_PREFIX,
  KV_PUT,
  KV_DELETE
};

struct kv_op
{
  enum kv_op_kind kind;
  const char *key;
  const char *value; /* KV_PUT */
  size_t value_bytes;
  int64_t lease; /* KV_PUT; 0: none */
};

struct kv_pair
{
  char *key;
  char *value; /* null-terminated */
  size_t value_bytes;
  int64_t revision; /* of the last modification */
  int64_t lease;
};

/* PAIRS holds the results of the get operations, in their order.  */
struct kv_result
{
  enum kv_outcome outcome;
  int64_t revision;
  const struct kv_pair *pairs;
  size_t pair_count;
};

struct kv_txn
{
  const struct kv_compare *compares;
  size_t compare_count;
  const struct kv_op *then_ops;
  size_t then_count;
  const struct kv_op *else_ops;
  size_t else_count;
};

/* A change reported by a watch; VALUE is NULL for a deletion.  */
struct kv_change
{
  const char *key;
  const char *value;
  size_t value_bytes;
  int64_t revision;
};

typedef void (*kv_done) (void *arg, const struct kv_result *result);
typedef void (*kv_lease_done) (void *arg, enum kv_outcome outcome,
                               int64_t lease);
typedef void (*kv_changed) (void *arg, const struct kv_change *change);
typedef void (*kv_watch_ended) (void *arg);

struct kv_methods
{
  void (*txn) (void *context, const struct kv_txn *txn, kv_done done,
               void *arg);
  void (*lease_grant) (void *context, uint32_t ttl_s, kv_lease_done done,
                       void *arg);
  /* KV_OK if the lease was renewed, KV_CONFLICT if it has expired.  */
  void (*lease_renew) (void *context, int64_t lease, kv_lease_done done,
                       void *arg);
  void (*lease_revoke) (void *context, int64_t lease);
  void *(*watch) (void *context, const char *prefix, int64_t from_revision,
                  kv_changed changed, kv_watch_ended ended, void *arg);
  void (*unwatch) (void *context, void *watch);
  /* When the service last answered WATCH, in tm_now_us; 0: not yet.  NULL: a
     watch that does not report is assumed to be connected.  */
  uint64_t (*watch_answered_us) (void *context, const void *watch);
  /* Rises when the service was restored from a copy and has lost changes that
     it had confirmed.  Revisions rise all the same; leases from before have
     expired, and watches end.  NULL: the service loses nothing.  */
  int64_t (*era) (void *context);
};

struct kv_store
{
  const struct kv_methods *methods;
  void *context;
};

int64_t kv_era (const struct kv_store *store);
int64_t kv_revision_era (int64_t revision);
void kv_txn (const struct kv_store *store, const struct kv_txn *txn,
             kv_done done, void *arg);
void kv_get (const struct kv_store *store, const char *key, kv_done done,
             void *arg);
void kv_get_prefix (const struct kv_store *store, const char *prefix,
                    kv_done done, void *arg);

#endif
