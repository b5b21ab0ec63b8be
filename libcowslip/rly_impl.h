#ifndef COWSLIP_RLY_IMPL_H
#define COWSLIP_RLY_IMPL_H

#include "rly.h"

/* Shared by the rly*.c files only.  */

#define RLY_US_PER_MS UINT64_C (1000)

/* What is known of a key.  */
struct rly_item
{
  int64_t revision; /* of its last change */
  uint64_t hash;    /* see rly_hash; 0: removed */
};

struct rly_change
{
  char *key;
  enum rly_kind kind;
  int64_t revision;
  GString *value;
};

/* Changes in the order in which they came.  */
struct rly_changes
{
  GQueue list;       /* struct rly_change */
  GHashTable *links; /* key -> GList: its place in LIST */
  size_t bytes;      /* of the values */
};

/* The keys with one prefix, and the watch of their owner.  */
struct rly_stream
{
  struct rly *rly;
  char *prefix;
  bool revisions;        /* hashes include revisions */
  GHashTable *items;     /* key -> struct rly_item */
  uint64_t digest;       /* exclusive or of the hashes of all items */
  int64_t revision;      /* all changes up to it were applied or received */
  int64_t read_revision; /* of the owner's last read */
  uint64_t read_us;      /* when it ended; 0: not read yet */
  bool watching;        /* watches the store, unless its keys are being read */
  void *inner;          /* watch of the store; NULL: none */
  uint64_t answered_us; /* last answer of the store while WATCHING; 0: none */
  struct rly_changes *changes;  /* to be relayed if WATCHING */
  struct rly_changes *received; /* while the owner reads the keys */
  uint32_t mismatches;
  bool stale; /* the owner must read the keys again */

  bool watched; /* the owner watches; the members below are set */
  kv_changed changed;
  kv_watch_ended ended;
  void *arg;
};

struct rly
{
  struct rly_config config;
  struct rly_callbacks callbacks;
  void *arg;
  GPtrArray *streams; /* struct rly_stream */
  struct tm_timer timer;
  uint32_t rank;
  enum rly_role role;
  bool loaded;          /* all streams have been read */
  uint64_t received_us; /* last batch, or when LOADED was set */
  uint64_t next_send_us;
};

/* rly_changes.c */
struct rly_changes *rly_changes_new (void);
void rly_changes_free (struct rly_changes *changes);
void rly_changes_clear (struct rly_changes *changes);
void rly_changes_keep (struct rly_changes *changes, const char *key,
                       enum rly_kind kind, int64_t revision, const char *value,
                       size_t bytes);
void rly_changes_drop_first (struct rly_changes *changes, size_t count);

/* rly_stream.c */
struct rly_stream *rly_stream_new (struct rly *rly,
                                   const struct rly_prefix *prefix);
void rly_stream_free (gpointer data);
struct rly_stream *rly_find_stream (const struct rly *rly, const char *prefix);
void rly_stream_load (struct rly_stream *stream,
                      const struct kv_result *result);
void rly_stream_watch_store (struct rly_stream *stream, bool watch);
uint64_t rly_stream_answered_us (struct rly_stream *stream);
bool rly_stream_export (struct rly_stream *stream, cs_relay_stream *out,
                        size_t *bytes_left);
void rly_stream_sent (struct rly_stream *stream, const cs_relay_stream *out);
void rly_stream_import (struct rly_stream *stream, const cs_relay_stream *in);
void rly_stream_replay (struct rly_stream *stream);
void rly_stream_end_stale (struct rly_stream *stream);

#endif
