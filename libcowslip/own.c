#include "own_private.h"

#define OWN_TICK_MS 250
/* Without the lease, engines that check fencing numbers are ordered only while
   the key-value service was seen to fail this recently.  A process that was
   paused asks the service first, because an engine that has restarted has
   forgotten the number of a successor.  */
#define OWN_OUTAGE_MS 5000

static void
own_peer_free (gpointer data)
{
  struct own_peer *peer = data;

  g_free (peer->instance);
  g_free (peer);
}

static void
own_tick (void *arg)
{
  struct own *own = arg;

  tm_after (own->config.tm, &own->tick, OWN_TICK_MS * OWN_US_PER_MS, own_tick,
            own);
  own_kv_tick (own);
  own_promise_tick (own);
}

/* Return the election of CONFIG, whose strings must stay valid.  It takes
   part at once.  A promise that an earlier incarnation of this instance gave
   may still be in force, so it counts as given.  */
struct own *
own_new (const struct own_config *config,
         const struct own_callbacks *callbacks, void *arg)
{
  struct own *own = g_new0 (struct own, 1);

  own->config = *config;
  own->callbacks = *callbacks;
  own->arg = arg;
  own->references = 1;
  own->kv_failed = true;
  own->controller_key = g_strdup_printf ("cowslip/%s/zones/%s/controller",
                                         config->environment, config->zone);
  own->placement_key = g_strdup_printf ("cowslip/%s/zones/%s/placement",
                                        config->environment, config->zone);
  own->placement = own_placement_new ();
  own->members = g_ptr_array_new_with_free_func (own_peer_free);
  own->promises
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  own->promised_until_us = own_now (own) + OWN_PROMISE_MS * OWN_US_PER_MS;
  tm_after (config->tm, &own->tick, 0, own_tick, own);
  return own;
}

/* Keep OWN for a call that is under way.  */
void
own_ref (struct own *own)
{
  own->references++;
}

/* Give up one reference to OWN.  */
void
own_unref (struct own *own)
{
  if (--own->references > 0)
    return;
  g_free (own->controller_key);
  g_free (own->placement_key);
  g_free (own->holder);
  g_free (own->promised_to);
  own_placement_free (own->placement);
  own_placement_free (own->take_placement);
  own_placement_free (own->written);
  if (own->save_pins != NULL)
    g_ptr_array_free (own->save_pins, TRUE);
  g_ptr_array_free (own->members, TRUE);
  g_hash_table_destroy (own->promises);
  g_free (own);
}

/* End OWN without a hand-over.  Answers that are under way are ignored.  */
void
own_free (struct own *own)
{
  if (own == NULL)
    return;
  own->closed = true;
  tm_cancel (own->config.tm, &own->tick);
  own_unref (own);
}

/* Return what OWN knows of INSTANCE, or NULL.  */
struct own_peer *
own_find_peer (const struct own *own, const char *instance)
{
  for (guint i = 0; i < own->members->len; i++)
    {
      struct own_peer *peer = g_ptr_array_index (own->members, i);

      if (g_str_equal (peer->instance, instance))
        return peer;
    }
  return NULL;
}

static struct own_peer *
own_peer_of (struct own *own, const char *instance)
{
  struct own_peer *peer = own_find_peer (own, instance);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct own_peer, 1);
  peer->instance = g_strdup (instance);
  g_ptr_array_add (own->members, peer);
  return peer;
}

/* Replace what OWN knows of the other members of the zone.  A member that is
   no longer named stays, unrecorded and unreachable, because it may be on the
   recorded list.  */
void
own_set_members (struct own *own, const struct own_member *members,
                 uint32_t count)
{
  for (guint i = 0; i < own->members->len; i++)
    {
      struct own_peer *peer = g_ptr_array_index (own->members, i);

      peer->recorded = false;
      peer->reachable = false;
    }
  own->number_shared = false;
  for (uint32_t i = 0; i < count; i++)
    {
      struct own_peer *peer = own_peer_of (own, members[i].instance);

      own->number_shared |= members[i].number == own->config.number;
      peer->number = members[i].number;
      peer->recorded = members[i].recorded;
      peer->reachable = members[i].reachable;
      peer->draining = members[i].draining;
    }
  for (guint i = 0; i < own->members->len; i++)
    {
      struct own_peer *peer = g_ptr_array_index (own->members, i);

      if (peer->recorded || peer->reachable)
        peer->missed_us = 0;
      else if (peer->missed_us == 0)
        peer->missed_us = own_now (own);
    }
  own->members_stale = true;
  if (own->number_shared && own->by_round)
    own_lose (own);
}

/* Note HOLDER as the last known controller; NULL: unknown.  */
void
own_note_holder (struct own *own, const char *holder)
{
  if (g_strcmp0 (holder, own->holder) == 0)
    return;
  g_free (own->holder);
  own->holder = g_strdup (holder);
  own->holder_lost_us = 0;
}

/* Note that FENCE is in use by HOLDER (NULL: unknown), for example from a view
   or a heartbeat.  A holder with a higher number than the own one ends the own
   authority.  */
void
own_saw_fence (struct own *own, uint64_t fence, const char *holder)
{
  if (fence < own->highest_fence)
    return;
  own->highest_fence = fence;
  if (own->holding && fence > own->fence)
    own_lose (own);
  if (!own->holding && holder != NULL)
    own_note_holder (own, holder);
}

/* Begin authority with FENCE; CERTAIN tells that the placement was just read
   or written.  */
void
own_gain (struct own *own, uint64_t fence, bool certain)
{
  /* A table that waits to be written belongs to the authority before.  */
  own_save_end (own, false);
  own->holding = true;
  own->fence = fence;
  own->highest_fence = MAX (own->highest_fence, fence);
  own_note_holder (own, own->config.instance);
  g_hash_table_remove_all (own->promises);
  own->next_ask_us = 0;
  own->callbacks.gained (own->arg, fence, own->placement->pins, certain);
}

/* End the own authority.  */
void
own_lose (struct own *own)
{
  if (!own->holding)
    return;
  own->holding = false;
  own->by_round = false;
  own->lease_safe_us = 0;
  own->next_read_us = 0;
  own->seen_revision = 0;
  own_note_holder (own, NULL);
  own_save_end (own, false);
  own->callbacks.lost (own->arg);
}

/* An engine refused an order because it has seen FENCE.  Authority ends; if
   the key still names this instance the next read begins it again with a
   higher epoch.  */
void
own_refused (struct own *own, uint64_t fence)
{
  own->highest_fence = MAX (own->highest_fence, fence);
  if (fence > own->fence)
    own_lose (own);
}

/* Return whether an order may be sent now to an engine that checks fencing
   numbers or not, and the number to send with it in FENCE.  This is asked
   directly before every order is sent, because the process may have been
   paused since the decision.  */
bool
own_may_order (struct own *own, bool checks_fencing, uint64_t *fence)
{
  uint64_t now_us = own_now (own);

  if (!own->holding || own->leaving)
    return false;
  *fence = own->fence;
  if (checks_fencing)
    return own->by_round || now_us < own->lease_safe_us
           || now_us < own->failed_us + OWN_OUTAGE_MS * OWN_US_PER_MS;
  if (now_us < own->unchecked_from_us)
    return false;
  if (!own->by_round && now_us < own->lease_safe_us)
    return true;
  return own_all_promised (own);
}

/* Return whether orders to an engine that checks fencing numbers or not are
   kept back only until a time that is known: the wait of a take-over under a
   lease that is held.  */
bool
own_will_order (const struct own *own, bool checks_fencing)
{
  return own->holding && !own->leaving && !own->by_round && !checks_fencing
         && own->unchecked_from_us != UINT64_MAX
         && own_now (own) < own->unchecked_from_us
         && own_now (own) < own->lease_safe_us;
}

/* Return whether another live member has the number of this instance, so that
   both could use the same fencing number in a round.  */
bool
own_number_shared (const struct own *own)
{
  return own->number_shared;
}

/* Return whether this instance controls the zone.  */
bool
own_is_holder (const struct own *own)
{
  return own->holding;
}

/* Return the instance that controls the zone, or NULL if it is not known.  */
const char *
own_holder (const struct own *own)
{
  return own->holder;
}

/* Return the highest fencing number seen.  */
uint64_t
own_fence (const struct own *own)
{
  return own->highest_fence;
}

/* Give up control for good and call DONE.  The caller has stopped sending
   orders and has waited for the answers to those under way.  */
void
own_hand_over (struct own *own, own_done done, void *arg)
{
  own->leaving = true;
  own->release_done = done;
  own->release_arg = arg;
  if (!own->calling)
    own_release (own);
}
