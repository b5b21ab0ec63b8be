#include <math.h>

#include <xxhash.h>

#include "rt_prefix.h"

static gint
rt_prefix_compare (gconstpointer a, gconstpointer b)
{
  uint64_t x = (*(struct rt_replica *const *)a)->endpoint->hash;
  uint64_t y = (*(struct rt_replica *const *)b)->endpoint->hash;

  return x < y ? -1 : x > y;
}

/* Sort SORTED, which holds struct rt_replica, for rt_prefix_pick.  */
void
rt_prefix_sort (GPtrArray *sorted)
{
  g_ptr_array_sort (sorted, rt_prefix_compare);
}

static uint64_t
rt_prefix_hash (const GPtrArray *sorted, guint index)
{
  const struct rt_replica *replica = g_ptr_array_index (sorted, index);

  return replica->endpoint->hash;
}

/* Return the first index from LOW to below HIGH whose hash has bit BIT set, or
   HIGH.  */
static guint
rt_prefix_split (const GPtrArray *sorted, guint low, guint high, int bit)
{
  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if ((rt_prefix_hash (sorted, middle) >> bit & 1) != 0)
        high = middle;
      else
        low = middle + 1;
    }
  return low;
}

/* Return the weighted rendezvous score of SIDE of a node; the higher score
   wins.  */
static double
rt_prefix_score (uint64_t prefix, uint64_t shared, int bit, int side,
                 guint weight)
{
  uint64_t key[3] = { prefix, shared, (uint64_t)bit * 2 + (uint64_t)side };
  uint64_t hash = XXH64 (key, sizeof key, 0);

  return log (((double)(hash >> 11) + 1.0) * 0x1p-53) / weight;
}

/* Return the replica of SORTED that the prefix hash PREFIX maps to, or NULL if
   SORTED is empty.  The hashes form a binary tree; at each node the two sides
   compete with their sizes as weights.  So adding or removing a replica remaps
   about its own share of the prefixes, as in plain rendezvous hashing, but a
   lookup costs one step per level instead of one per replica.  */
struct rt_replica *
rt_prefix_pick (const GPtrArray *sorted, uint64_t prefix)
{
  guint low = 0;
  guint high = sorted->len;

  if (high == 0)
    return NULL;
  while (high - low > 1)
    {
      uint64_t first = rt_prefix_hash (sorted, low);
      uint64_t differ = first ^ rt_prefix_hash (sorted, high - 1);
      uint64_t shared;
      guint middle;
      int bit;

      if (differ == 0)
        break;
      bit = 63 - __builtin_clzll (differ);
      shared = first >> bit;
      middle = rt_prefix_split (sorted, low, high, bit);
      if (rt_prefix_score (prefix, shared, bit, 0, middle - low)
          > rt_prefix_score (prefix, shared, bit, 1, high - middle))
        high = middle;
      else
        low = middle;
    }
  return g_ptr_array_index (sorted, low);
}
