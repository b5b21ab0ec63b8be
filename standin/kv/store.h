#ifndef STANDIN_KV_STORE_H
#define STANDIN_KV_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* In-memory key-value store with revisions, leases and an event history, which
   follows the data model of etcd.  */

/* A key with its value and metadata.  */
struct kvs_entry
{
  char *key;
  GBytes *value;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t version;
  int64_t lease;
};

/* A change of a key.  For a deletion, only the key and mod_revision of the
   entry are set.  */
struct kvs_event
{
  struct kvs_entry entry;
  bool deleted;
};

/* A range of keys: only KEY if END is empty, all keys from KEY on if END is a
   single zero byte, else the keys from KEY up to but excluding END.  */
struct kvs_range
{
  char *key;
  char *end;
  size_t end_bytes;
};

struct kvs_store;

typedef void (*kvs_visitor) (void *arg, const struct kvs_entry *entry);
/* Called after each revision with the index of its first event.  */
typedef void (*kvs_commit_cb) (void *arg, uint64_t first);

struct kvs_store *kvs_new (kvs_commit_cb committed, void *arg);
int64_t kvs_revision (const struct kvs_store *store);
int64_t kvs_pending_revision (const struct kvs_store *store);
const struct kvs_entry *kvs_get (const struct kvs_store *store,
                                 const char *key);
uint32_t kvs_foreach (const struct kvs_store *store,
                      const struct kvs_range *range, kvs_visitor visit,
                      void *arg);
bool kvs_in_range (const struct kvs_range *range, const char *key);

void kvs_put (struct kvs_store *store, const char *key, GBytes *value,
              int64_t lease);
uint32_t kvs_delete (struct kvs_store *store, const struct kvs_range *range);
uint32_t kvs_delete_lease (struct kvs_store *store, int64_t lease);
void kvs_commit (struct kvs_store *store);

int64_t kvs_compacted_revision (const struct kvs_store *store);
uint64_t kvs_event_end (const struct kvs_store *store);
const struct kvs_event *kvs_event (const struct kvs_store *store,
                                   uint64_t index);
uint64_t kvs_event_from (const struct kvs_store *store, int64_t revision);

#endif
