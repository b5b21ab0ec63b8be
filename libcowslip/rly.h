#ifndef COWSLIP_RLY_H
#define COWSLIP_RLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cowslip.h"
#include "kv.h"
#include "tm.h"

/* Relays changes in the key-value store between the instances of a group, so
   that one of them, the source, watches the store for all.  The others follow
   it and watch the store themselves only if they receive nothing.  The owners
   of the watches use the store of rly_store and do not see the difference.  */
struct rly;

/* Rank of an instance that does not know the group yet.  */
#define RLY_RANK_UNKNOWN UINT32_MAX

/* What a change does.  */
enum rly_kind
{
  RLY_PUT,
  RLY_REMOVE,
  RLY_REPLACE /* the new value is not relayed and must be read */
};

enum rly_role
{
  RLY_WATCHING,  /* watches the store, relays nothing */
  RLY_SOURCE,    /* watches the store and relays changes */
  RLY_FOLLOWING, /* receives changes from a source */
};

/* Keys whose watch is relayed.  */
struct rly_prefix
{
  const char *prefix;
  /* The owner needs the revision of each write, also of one that leaves the
     value as it was.  */
  bool revisions;
};

struct rly_config
{
  struct kv_store kv;
  struct tm_service *tm;
  const struct rly_prefix *prefixes; /* the last one is NULL */
  /* Minimum time between two reads of the keys of a prefix.  When a large
     value changes several times a second, hundreds of followers would read
     more than the store can send.  */
  uint32_t read_interval_ms;
};

struct rly_callbacks
{
  /* Send BATCH to the other instances of the group.  */
  void (*send) (void *arg, cs_relay *batch);
  /* Append to OUT the part of VALUE at KEY that the owners of the watches
     need. Return false if the value is too large to be relayed.  Changes of
     other parts are not reported.  */
  bool (*condense) (void *arg, const char *key, const char *value,
                    size_t bytes, GString *out);
  void (*role) (void *arg, enum rly_role role);
  /* The keys with PREFIX differ from those of the source and are read
     again.  */
  void (*diverged) (void *arg, const char *prefix);
};

struct rly *rly_new (const struct rly_config *config,
                     const struct rly_callbacks *callbacks, void *arg);
void rly_free (struct rly *rly);
struct kv_store rly_store (struct rly *rly);
void rly_set_rank (struct rly *rly, uint32_t rank);
void rly_receive (struct rly *rly, const cs_relay *batch);
enum rly_role rly_role (const struct rly *rly);

#endif
