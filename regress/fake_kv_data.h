#ifndef REGRESS_FAKE_KV_DATA_H
#define REGRESS_FAKE_KV_DATA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "kv.h"
#include "tm.h"

/* Contents of the in-memory store: keys, leases and the change log that
   watches read.  */
struct fake_data
{
  struct tm_service *tm;
  int64_t revision;
  int64_t next_lease;
  GTree *pairs;           /* key -> struct kv_pair */
  GHashTable *leases;     /* id -> struct fake_lease */
  GPtrArray *log;         /* struct kv_pair; NULL value: deleted */
  GPtrArray *watches;     /* struct fake_watch */
  struct tm_timer wakeup; /* lets the watches read the log */
  bool paused;            /* watches report nothing */
  int64_t era;            /* contained in revisions and leases */
  /* The copy that a restoration brings back.  */
  GArray *copied_pairs;  /* struct kv_pair; NULL: no copy */
  GArray *copied_leases; /* struct fake_copied_lease */
  int64_t copied_revision;
  int64_t copied_next_lease;
};

void fake_data_init (struct fake_data *data, struct tm_service *tm);
void fake_data_clear (struct fake_data *data);
GArray *fake_pairs_new (void);
void fake_data_get (const struct fake_data *data, const char *key, bool prefix,
                    GArray *found);
void fake_data_put (struct fake_data *data, const struct kv_op *op);
void fake_data_delete (struct fake_data *data, const char *key);
int64_t fake_data_revision (const struct fake_data *data, const char *key);
bool fake_data_compare (const struct fake_data *data, const GArray *compares);
bool fake_data_execute (struct fake_data *data, const GArray *ops,
                        GArray *found);
int64_t fake_data_grant (struct fake_data *data, uint32_t ttl_s);
bool fake_data_renew (struct fake_data *data, int64_t lease);
void fake_data_expire (struct fake_data *data, int64_t lease);
void *fake_data_watch (struct fake_data *data, const char *prefix,
                       int64_t from_revision, kv_changed changed,
                       kv_watch_ended ended, void *arg);
void fake_data_unwatch (struct fake_data *data, void *watch);
void fake_data_schedule_watches (struct fake_data *data);
void fake_data_copy (struct fake_data *data);
void fake_data_restore (struct fake_data *data);

#endif
