#include <stdbool.h>

#include <glib.h>

#include "rpc_replay.h"

/* Calls of one sender may be reordered when it changes connections, so
   duplicates are tracked individually for the last 64 sequence numbers.  */
#define RPC_REPLAY_WINDOW 64

struct rpc_replay
{
  GHashTable *senders; /* instance -> struct rpc_sender */
};

struct rpc_sender
{
  uint64_t incarnation;
  uint64_t highest;
  uint64_t received;   /* bit N: HIGHEST - N was received */
  GHashTable *retired; /* set of earlier incarnations */
};

static void
rpc_sender_free (void *data)
{
  struct rpc_sender *sender = data;

  g_hash_table_destroy (sender->retired);
  g_free (sender);
}

/* Return a table without senders.  */
struct rpc_replay *
rpc_replay_new (void)
{
  struct rpc_replay *replay = g_new0 (struct rpc_replay, 1);

  replay->senders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           rpc_sender_free);
  return replay;
}

void
rpc_replay_free (struct rpc_replay *replay)
{
  if (replay == NULL)
    return;
  g_hash_table_destroy (replay->senders);
  g_free (replay);
}

static struct rpc_sender *
rpc_replay_sender (struct rpc_replay *replay, const char *instance,
                   uint64_t incarnation)
{
  struct rpc_sender *sender = g_hash_table_lookup (replay->senders, instance);

  if (sender != NULL)
    return sender;
  sender = g_new0 (struct rpc_sender, 1);
  sender->incarnation = incarnation;
  sender->retired
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_hash_table_insert (replay->senders, g_strdup (instance), sender);
  return sender;
}

static void
rpc_sender_restart (struct rpc_sender *sender, uint64_t incarnation)
{
  g_hash_table_add (sender->retired, g_memdup2 (&sender->incarnation,
                                                sizeof sender->incarnation));
  sender->incarnation = incarnation;
  sender->highest = 0;
  sender->received = 0;
}

static bool
rpc_sender_accept (struct rpc_sender *sender, uint64_t sequence)
{
  uint64_t bit;

  if (sequence > sender->highest)
    {
      uint64_t advance = sequence - sender->highest;

      sender->received
          = advance < RPC_REPLAY_WINDOW ? sender->received << advance : 0;
      sender->received |= 1;
      sender->highest = sequence;
      return true;
    }
  if (sender->highest - sequence >= RPC_REPLAY_WINDOW)
    return false;
  bit = (uint64_t)1 << (sender->highest - sequence);
  if ((sender->received & bit) != 0)
    return false;
  sender->received |= bit;
  return true;
}

/* Return whether the call SEQUENCE (from 1) of INCARNATION of INSTANCE is
   new, and record it.  An unknown incarnation means that the sender has
   restarted: calls of its earlier incarnations are rejected from then on.  */
enum rpc_replay_verdict
rpc_replay_check (struct rpc_replay *replay, const char *instance,
                  uint64_t incarnation, uint64_t sequence)
{
  struct rpc_sender *sender
      = rpc_replay_sender (replay, instance, incarnation);

  if (sender->incarnation != incarnation)
    {
      if (g_hash_table_contains (sender->retired, &incarnation))
        return RPC_REPLAY_RETIRED;
      rpc_sender_restart (sender, incarnation);
    }
  return rpc_sender_accept (sender, sequence) ? RPC_REPLAY_NEW
                                              : RPC_REPLAY_REPEATED;
}
