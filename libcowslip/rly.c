#include "rly_impl.h"

#define RLY_TICK_MS 100
/* Interval between two batches of a source, which are also its heartbeat.  */
#define RLY_SEND_INTERVAL_MS 300
/* An instance that has received no batch for this long watches the store.
   With the first short poll of the watch, changes are noticed within 1.3 s;
   the shortest bound is 2 s.  */
#define RLY_TIMEOUT_MS 1100
/* Additional delay for each instance that ranks before this one, except the
   lost source, so that usually only one takes its place.  */
#define RLY_RANK_DELAY_MS   150
#define RLY_RANK_DELAYS_MAX 8
/* A store that has not answered a watch for the first of these, and none of
   the watches for the second, may be unreachable.  The poll of a watch lasts
   0.5 s and is repeated after 0.4 s.  */
#define RLY_WATCH_ANSWER_MS 1700
#define RLY_ANY_ANSWER_MS   1100
/* Maximum size of the values in a batch.  Larger ones would delay the other
   messages on a link of 20 Mbit/s by more than 50 ms.  */
#define RLY_BATCH_MAX_BYTES (96U << 10)

/* Return whether no source has been heard for so long that this instance must
   watch the store itself.  */
static bool
rly_is_silent (const struct rly *rly)
{
  uint64_t now_us = tm_now_us (rly->config.tm);
  uint32_t delays = rly->rank <= 1 ? 0 : rly->rank - 1;
  uint64_t limit_us = (RLY_TIMEOUT_MS
                       + MIN (delays, RLY_RANK_DELAYS_MAX) * RLY_RANK_DELAY_MS)
                      * RLY_US_PER_MS;

  return now_us - rly->received_us > limit_us;
}

/* Return whether the store answers the watches of all streams.  */
static bool
rly_is_confirmed (const struct rly *rly)
{
  uint64_t now_us = tm_now_us (rly->config.tm);
  uint64_t latest_us = 0;

  for (guint i = 0; i < rly->streams->len; i++)
    {
      uint64_t answered_us
          = rly_stream_answered_us (g_ptr_array_index (rly->streams, i));

      if (answered_us == 0
          || now_us - answered_us > RLY_WATCH_ANSWER_MS * RLY_US_PER_MS)
        return false;
      latest_us = MAX (latest_us, answered_us);
    }
  return now_us - latest_us <= RLY_ANY_ANSWER_MS * RLY_US_PER_MS;
}

static void
rly_set_role (struct rly *rly, enum rly_role role)
{
  if (rly->role == role)
    return;
  rly->role = role;
  rly->callbacks.role (rly->arg, role);
}

/* Send the changes since the last batch.  BLIND tells the followers that the
   store no longer answers this instance.  */
static void
rly_send (struct rly *rly, bool blind)
{
  cs_relay_stream *streams = g_new0 (cs_relay_stream, rly->streams->len);
  cs_relay batch = { rly->rank, blind, { rly->streams->len, streams } };
  size_t bytes_left = RLY_BATCH_MAX_BYTES;
  bool complete = true;

  for (guint i = 0; i < rly->streams->len; i++)
    complete &= rly_stream_export (g_ptr_array_index (rly->streams, i),
                                   &streams[i], &bytes_left);
  rly->callbacks.send (rly->arg, &batch);
  for (guint i = 0; i < rly->streams->len; i++)
    rly_stream_sent (g_ptr_array_index (rly->streams, i), &streams[i]);
  g_free (streams);
  rly->next_send_us = tm_now_us (rly->config.tm);
  if (complete)
    rly->next_send_us += RLY_SEND_INTERVAL_MS * RLY_US_PER_MS;
}

/* Note whether the owners have read all streams.  At a start of the whole
   fleet that takes seconds, and nothing can be relayed before.  */
static void
rly_update_loaded (struct rly *rly)
{
  if (rly->loaded)
    return;
  rly->loaded = true;
  rly->received_us = tm_now_us (rly->config.tm);
  for (guint i = 0; i < rly->streams->len; i++)
    {
      const struct rly_stream *stream = g_ptr_array_index (rly->streams, i);

      rly->loaded = rly->loaded && stream->watched;
    }
}

static void
rly_tick (void *arg)
{
  struct rly *rly = arg;
  bool watch = rly->rank == 0 || rly_is_silent (rly);
  bool source = watch && rly->rank != RLY_RANK_UNKNOWN;

  tm_after (rly->config.tm, &rly->timer, RLY_TICK_MS * RLY_US_PER_MS, rly_tick,
            rly);
  rly_update_loaded (rly);
  /* The successor may have read what this instance has not relayed yet.  */
  if (rly->role == RLY_SOURCE && !(source && rly_is_confirmed (rly)))
    rly_send (rly, source);
  for (guint i = 0; i < rly->streams->len; i++)
    {
      rly_stream_end_stale (g_ptr_array_index (rly->streams, i));
      rly_stream_watch_store (g_ptr_array_index (rly->streams, i), watch);
    }
  source = source && rly_is_confirmed (rly);
  rly_set_role (rly, source  ? RLY_SOURCE
                     : watch ? RLY_WATCHING
                             : RLY_FOLLOWING);
  if (source && tm_now_us (rly->config.tm) >= rly->next_send_us)
    rly_send (rly, false);
}

/* Process BATCH, which another instance of the group has sent.  */
void
rly_receive (struct rly *rly, const cs_relay *batch)
{
  uint64_t now_us = tm_now_us (rly->config.tm);
  uint64_t timeout_us = RLY_TIMEOUT_MS * RLY_US_PER_MS;

  if (batch->blind)
    rly->received_us = MIN (rly->received_us,
                            now_us > timeout_us ? now_us - timeout_us : 0);
  /* Of two sources the one that ranks first remains.  */
  else if (rly->role != RLY_SOURCE || batch->rank < rly->rank)
    rly->received_us = now_us;
  for (u_int i = 0; i < batch->streams.streams_len; i++)
    {
      const cs_relay_stream *in = &batch->streams.streams_val[i];
      struct rly_stream *stream = rly_find_stream (rly, in->prefix);

      if (stream != NULL)
        rly_stream_import (stream, in);
    }
}

/* Set the position of this instance among those of the group that may relay.
   The first one always watches the store.  */
void
rly_set_rank (struct rly *rly, uint32_t rank)
{
  rly->rank = rank;
}

enum rly_role
rly_role (const struct rly *rly)
{
  return rly->role;
}

/* Create a relay with the settings in CONFIG.  */
struct rly *
rly_new (const struct rly_config *config,
         const struct rly_callbacks *callbacks, void *arg)
{
  struct rly *rly = g_new0 (struct rly, 1);

  rly->config = *config;
  rly->callbacks = *callbacks;
  rly->arg = arg;
  rly->rank = RLY_RANK_UNKNOWN;
  rly->role = RLY_FOLLOWING;
  rly->received_us = tm_now_us (config->tm);
  rly->streams = g_ptr_array_new_with_free_func (rly_stream_free);
  for (const struct rly_prefix *prefix = config->prefixes;
       prefix->prefix != NULL; prefix++)
    g_ptr_array_add (rly->streams, rly_stream_new (rly, prefix));
  tm_after (config->tm, &rly->timer, 0, rly_tick, rly);
  return rly;
}

/* Stop and free RLY.  Its owners must have no reads in progress.  */
void
rly_free (struct rly *rly)
{
  if (rly == NULL)
    return;
  tm_cancel (rly->config.tm, &rly->timer);
  g_ptr_array_free (rly->streams, TRUE);
  g_free (rly);
}
