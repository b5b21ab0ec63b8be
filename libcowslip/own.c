#include "own_private.h"

#define OWN_TICK_MS 250
/* Without a valid lease, engines that check fencing numbers may be sent orders
   only this long after a failed call to the key-value service.  A process that
   was paused must contact the service first: an engine that restarted
   meanwhile no longer knows the fencing number of a successor.  */
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

/* Create an election with the settings in CONFIG, whose strings must remain
   valid.  The instance takes part at once.  A promise given by an earlier
   incarnation of this instance may still be in force, so one is assumed.  */
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

/* Take a reference to OWN for a call in flight.  */
void
own_ref (struct own *own)
{
  own->references++;
}

/* Release a reference to OWN, and free it with the last one.  */
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
  own_placement_free (own->acquire_placement);
  own_placement_free (own->pending_placement);
  if (own->save_pins != NULL)
    g_ptr_array_free (own->save_pins, TRUE);
  g_ptr_array_free (own->members, TRUE);
  g_hash_table_destroy (own->promises);
  g_free (own);
}

/* Stop and free OWN without handing over.  Replies to calls in flight are
   ignored.  */
void
own_free (struct own *own)
{
  if (own == NULL)
    return;
  own->closed = true;
  tm_cancel (own->config.tm, &own->tick);
  own_unref (own);
}

/* Return the state of member INSTANCE, or NULL if it is unknown.  */
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
own_find_or_add_peer (struct own *own, const char *instance)
{
  struct own_peer *peer = own_find_peer (own, instance);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct own_peer, 1);
  peer->instance = g_strdup (instance);
  g_ptr_array_add (own->members, peer);
  return peer;
}

/* Replace the list of the other members of the zone.  A member that is missing
   from MEMBERS is kept as unrecorded and unreachable, because it may be on the
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
      struct own_peer *peer = own_find_or_add_peer (own, members[i].instance);

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
        peer->absent_since_us = 0;
      else if (peer->absent_since_us == 0)
        peer->absent_since_us = own_now (own);
    }
  own->members_stale = true;
  if (own->number_shared && own->by_promises)
    own_end_authority (own);
}

/* Set the last known controller to HOLDER; NULL: unknown.  */
void
own_set_holder (struct own *own, const char *holder)
{
  if (g_strcmp0 (holder, own->holder) == 0)
    return;
  g_free (own->holder);
  own->holder = g_strdup (holder);
  own->holder_absent_since_us = 0;
}

/* Record that HOLDER (NULL: unknown) uses FENCE, as learned for example from a
   view or a heartbeat.  A fence higher than our own ends our authority.  */
void
own_observe_fence (struct own *own, uint64_t fence, const char *holder)
{
  if (fence < own->highest_fence)
    return;
  own->highest_fence = fence;
  if (own->is_holder && fence > own->fence)
    own_end_authority (own);
  if (!own->is_holder && holder != NULL)
    own_set_holder (own, holder);
}

/* Start authority with FENCE.  IS_CURRENT: the placement was just read or
   written.  */
void
own_begin_authority (struct own *own, uint64_t fence, bool is_current)
{
  /* A save that is still waiting belongs to the previous authority.  */
  own_save_finish (own, false);
  own->is_holder = true;
  own->fence = fence;
  own->highest_fence = MAX (own->highest_fence, fence);
  own_set_holder (own, own->config.instance);
  g_hash_table_remove_all (own->promises);
  own->next_promise_us = 0;
  own->callbacks.gained (own->arg, fence, own->placement->pins, is_current);
}

/* End our authority, if any.  */
void
own_end_authority (struct own *own)
{
  if (!own->is_holder)
    return;
  own->is_holder = false;
  own->by_promises = false;
  own->lease_valid_until_us = 0;
  own->next_read_us = 0;
  own->read_revision = 0;
  own_set_holder (own, NULL);
  own_save_finish (own, false);
  own->callbacks.lost (own->arg);
}

/* Handle an engine's rejection of an order because it has seen FENCE.  Our
   authority ends if FENCE is higher than ours; if the key still names this
   instance, the next read starts it again with a higher epoch.  */
void
own_fence_rejected (struct own *own, uint64_t fence)
{
  own->highest_fence = MAX (own->highest_fence, fence);
  if (fence > own->fence)
    own_end_authority (own);
}

/* Return whether an order may be sent now to an engine, given whether it
   checks fencing numbers, and set FENCE to the number to send with it.  Call
   this immediately before each order, because the process may have been paused
   since the decision was made.  */
bool
own_may_order (struct own *own, bool checks_fencing, uint64_t *fence)
{
  uint64_t now_us = own_now (own);

  if (!own->is_holder || own->resigned)
    return false;
  *fence = own->fence;
  if (checks_fencing)
    return own->by_promises || now_us < own->lease_valid_until_us
           || now_us < own->kv_failed_us + OWN_OUTAGE_MS * OWN_US_PER_MS;
  if (now_us < own->unfenced_from_us)
    return false;
  if (!own->by_promises && now_us < own->lease_valid_until_us)
    return true;
  return own_all_promised (own);
}

/* Return whether orders to an engine, given whether it checks fencing numbers,
   are delayed only until a known time: the waiting period after the key was
   acquired, under a valid lease.  */
bool
own_may_order_later (const struct own *own, bool checks_fencing)
{
  return own->is_holder && !own->resigned && !own->by_promises
         && !checks_fencing && own->unfenced_from_us != UINT64_MAX
         && own_now (own) < own->unfenced_from_us
         && own_now (own) < own->lease_valid_until_us;
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
  return own->is_holder;
}

/* Return the instance that controls the zone, or NULL if it is unknown.  */
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

/* Hand over control permanently and call DONE.  The caller must have stopped
   sending orders and received the responses to those in flight.  */
void
own_hand_over (struct own *own, own_done done, void *arg)
{
  own->resigned = true;
  own->release_done = done;
  own->release_arg = arg;
  if (!own->call_in_flight)
    own_release (own);
}
