#include <string.h>

#include "mem_beat.h"

struct mem_beat
{
  struct tm_service *tm;
  struct mem_table *table;
  GPtrArray *peers; /* RPC addresses from the settings */
  mem_beat_send send;
  void *arg;
  struct tm_timer zone;
  struct tm_timer others;
};

static void
mem_beat_zone (void *arg)
{
  struct mem_beat *beat = arg;
  const struct mem_member *self = mem_self (beat->table);
  const GPtrArray *members = mem_members (beat->table);

  tm_after (beat->tm, &beat->zone, MEM_HEARTBEAT_US, mem_beat_zone, beat);
  for (guint i = 0; i < members->len; i++)
    {
      const struct mem_member *member = g_ptr_array_index (members, i);

      if (member != self && strcmp (member->zone, self->zone) == 0)
        beat->send (beat->arg, member->rpc_address, member->instance);
    }
}

static void
mem_beat_contacts (struct mem_beat *beat)
{
  GPtrArray *zones = mem_other_zones (beat->table);

  for (guint i = 0; i < zones->len; i++)
    {
      const struct mem_member *contact
          = mem_zone_contact (beat->table, g_ptr_array_index (zones, i));

      if (contact != NULL)
        beat->send (beat->arg, contact->rpc_address, contact->instance);
    }
  g_ptr_array_free (zones, TRUE);
}

/* Only the lowest member of a zone sends heartbeats to other zones.  Peers of
   the settings get heartbeats until they are members, because without the
   key-value service there is no other way to discover them.  */
static void
mem_beat_others (void *arg)
{
  struct mem_beat *beat = arg;

  tm_after (beat->tm, &beat->others, MEM_ZONE_HEARTBEAT_US, mem_beat_others,
            beat);
  if (mem_lowest (beat->table) == mem_self (beat->table))
    mem_beat_contacts (beat);
  for (guint i = 0; i < beat->peers->len; i++)
    if (!mem_has_address (beat->table, g_ptr_array_index (beat->peers, i)))
      beat->send (beat->arg, g_ptr_array_index (beat->peers, i), NULL);
}

/* Return a schedule for the members of TABLE and the PEER_COUNT addresses in
   PEERS.  The first heartbeats are delayed by a random part of the interval,
   so that instances started together do not send in step.  */
struct mem_beat *
mem_beat_new (struct tm_service *tm, struct mem_table *table, gsl_rng *random,
              const char *const *peers, size_t peer_count, mem_beat_send send,
              void *arg)
{
  struct mem_beat *beat = g_new0 (struct mem_beat, 1);
  double delay = gsl_rng_uniform (random);

  beat->tm = tm;
  beat->table = table;
  beat->send = send;
  beat->arg = arg;
  beat->peers = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < peer_count; i++)
    g_ptr_array_add (beat->peers, g_strdup (peers[i]));
  tm_after (tm, &beat->zone, (uint64_t)(delay * MEM_HEARTBEAT_US),
            mem_beat_zone, beat);
  tm_after (tm, &beat->others, (uint64_t)(delay * MEM_HEARTBEAT_US),
            mem_beat_others, beat);
  return beat;
}

void
mem_beat_free (struct mem_beat *beat)
{
  if (beat == NULL)
    return;
  tm_cancel (beat->tm, &beat->zone);
  tm_cancel (beat->tm, &beat->others);
  g_ptr_array_free (beat->peers, TRUE);
  g_free (beat);
}

/* Send the heartbeats of the local zone at once, after a change of state.  */
void
mem_beat_now (struct mem_beat *beat)
{
  tm_after (beat->tm, &beat->zone, 0, mem_beat_zone, beat);
}
