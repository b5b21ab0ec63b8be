#include "kv.h"

/* Return the era of STORE's history.  */
int64_t
kv_era (const struct kv_store *store)
{
  return store->methods->era == NULL ? 0
                                     : store->methods->era (store->context);
}

/* Return the era in which the service gave out REVISION.  */
int64_t
kv_revision_era (int64_t revision)
{
  return revision <= 0 ? 0 : revision >> KV_ERA_SHIFT;
}

/* Run TXN on STORE and call DONE once with ARG.  */
void
kv_txn (const struct kv_store *store, const struct kv_txn *txn, kv_done done,
        void *arg)
{
  store->methods->txn (store->context, txn, done, arg);
}

static void
kv_read (const struct kv_store *store, enum kv_op_kind kind, const char *key,
         kv_done done, void *arg)
{
  struct kv_op op = { .kind = kind, .key = key };
  struct kv_txn txn = { .then_ops = &op, .then_count = 1 };

  kv_txn (store, &txn, done, arg);
}

/* Read KEY from STORE; the result has no pair if it does not exist.  */
void
kv_get (const struct kv_store *store, const char *key, kv_done done, void *arg)
{
  kv_read (store, KV_GET, key, done, arg);
}

/* Read all keys of STORE that start with PREFIX.  */
void
kv_get_prefix (const struct kv_store *store, const char *prefix, kv_done done,
               void *arg)
{
  kv_read (store, KV_GET_PREFIX, prefix, done, arg);
}
