#include "own_private.h"

#define OWN_PROMISE_INTERVAL_MS 2000
/* Promises are requested more often while one is missing, because orders to
   engines that ignore fencing numbers are suspended until then.  */
#define OWN_PROMISE_RETRY_MS 500
/* Time for which the controller must be unreachable before a round starts: the
   lease and its renewal interval.  */
#define OWN_ROUND_DELAY_MS (OWN_TTL_S * 1000 + OWN_RENEW_MS)
/* Time without contact to any recorded member after which their
   acknowledgement is no longer required.  */
#define OWN_MEMBERS_ABSENT_MS 60000
#define OWN_ROUND_SHIFT       16

/* Return whether INSTANCE is on the recorded member list.  */
bool
own_is_listed (const struct own *own, const char *instance)
{
  const GPtrArray *list = own->placement->members;

  return g_ptr_array_find_with_equal_func ((GPtrArray *)list, instance,
                                           g_str_equal, NULL);
}

static bool
own_has_promised (const struct own *own, const char *instance)
{
  const uint64_t *until_us = g_hash_table_lookup (own->promises, instance);

  return until_us != NULL && own_now (own) < *until_us;
}

/* Return whether every other instance on the recorded member list has a
   promise to us in force.  Without any other member on the list there is no
   evidence that no other controller exists, so the result is false.  */
bool
own_all_promised (const struct own *own)
{
  const GPtrArray *list = own->placement->members;
  guint others = 0;

  for (guint i = 0; i < list->len; i++)
    {
      const char *name = g_ptr_array_index (list, i);

      if (g_str_equal (name, own->config.instance))
        continue;
      if (!own_has_promised (own, name))
        return false;
      others++;
    }
  return others > 0;
}

/* Handle the request of HOLDER for a promise not to take over, and to promise
   nothing to any other instance, for DURATION_MS milliseconds.  With
   DURATION_MS 0 the request is only to stop making promises to controllers
   with an older fencing number.  Return whether the promise is given.  */
bool
own_grant_promise (struct own *own, const char *holder, uint64_t fence,
                   uint32_t duration_ms)
{
  uint64_t now_us = own_now (own);
  bool promised_other = now_us < own->promised_until_us
                        && g_strcmp0 (own->promised_to, holder) != 0;

  /* An incarnation that has not read the keys yet does not know which fencing
     numbers its predecessor saw.  */
  if (own->is_holder || fence < own->highest_fence || promised_other
      || !own->has_read_keys)
    return false;
  if (duration_ms > 0 && own_kv_available (own))
    {
      own->next_read_us = 0;
      return false;
    }

  own_observe_fence (own, fence, holder);
  if (duration_ms > 0)
    {
      g_free (own->promised_to);
      own->promised_to = g_strdup (holder);
      own->promised_until_us
          = MAX (own->promised_until_us, now_us + duration_ms * OWN_US_PER_MS);
    }
  return true;
}

/* Handle the reply of INSTANCE to the request for FENCE that was sent at
   SENT_US.  The promise counts from that time.  */
void
own_promise_done (struct own *own, const char *instance, uint64_t fence,
                  uint64_t sent_us, bool promised)
{
  uint64_t *until_us;

  if (!own->is_holder || fence != own->fence || !promised)
    return;
  if (own->needs_member_ack)
    {
      if (!own_is_listed (own, instance))
        return;
      own->needs_member_ack = false;
      own->unfenced_from_us = own_now (own) + OWN_ORDER_MAX_MS * OWN_US_PER_MS;
      return;
    }

  until_us = g_new (uint64_t, 1);
  *until_us = sent_us + (OWN_PROMISE_MS - OWN_CLOCK_MARGIN_MS) * OWN_US_PER_MS;
  g_hash_table_replace (own->promises, g_strdup (instance), until_us);
  if (own->by_promises && own->unfenced_from_us == UINT64_MAX
      && own_all_promised (own))
    own->unfenced_from_us = own_now (own) + OWN_ORDER_MAX_MS * OWN_US_PER_MS;
}

static void
own_request_promises (struct own *own, uint32_t duration_ms)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  uint64_t sent_us = own_now (own);

  for (guint i = 0; i < own->placement->members->len; i++)
    g_ptr_array_add (
        names, g_strdup (g_ptr_array_index (own->placement->members, i)));
  for (guint i = 0; i < names->len && own->is_holder; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      if (!g_str_equal (name, own->config.instance))
        own->callbacks.request_promise (own->arg, name, own->fence,
                                        duration_ms, sent_us);
    }
  g_ptr_array_free (names, TRUE);
}

static bool
own_recorded_members_absent (const struct own *own)
{
  const GPtrArray *list = own->placement->members;

  for (guint i = 0; i < list->len; i++)
    {
      const struct own_peer *peer
          = own_find_peer (own, g_ptr_array_index (list, i));

      if (peer == NULL || peer->absent_since_us == 0
          || own_now (own) < peer->absent_since_us
                                 + OWN_MEMBERS_ABSENT_MS * OWN_US_PER_MS)
        return false;
    }
  return true;
}

static void
own_holder_tick (struct own *own)
{
  uint64_t now_us = own_now (own);

  if (own->needs_member_ack && own_recorded_members_absent (own))
    {
      own->needs_member_ack = false;
      own->unfenced_from_us = now_us + OWN_ORDER_MAX_MS * OWN_US_PER_MS;
    }
  if (now_us < own->next_promise_us
      || (!own->by_promises && !own->needs_member_ack
          && own_kv_available (own)))
    return;
  own->next_promise_us = now_us
                         + (own_all_promised (own) ? OWN_PROMISE_INTERVAL_MS
                                                   : OWN_PROMISE_RETRY_MS)
                               * OWN_US_PER_MS;
  own_request_promises (own, own->needs_member_ack ? 0 : OWN_PROMISE_MS);
}

static bool
own_is_lowest_reachable (const struct own *own)
{
  for (guint i = 0; i < own->members->len; i++)
    {
      const struct own_peer *peer = g_ptr_array_index (own->members, i);

      if (peer->reachable && !peer->draining
          && peer->number < own->config.number)
        return false;
    }
  return true;
}

static bool
own_holder_timed_out (struct own *own)
{
  const struct own_peer *peer
      = own->holder == NULL ? NULL : own_find_peer (own, own->holder);

  if (peer != NULL && peer->reachable && !peer->draining)
    {
      own->holder_absent_since_us = 0;
      return false;
    }
  if (own->holder_absent_since_us == 0)
    own->holder_absent_since_us = own_now (own);
  return own_now (own)
         >= own->holder_absent_since_us + OWN_ROUND_DELAY_MS * OWN_US_PER_MS;
}

/* Start the next round if the key-value service is unavailable and the
   controller unreachable.  */
static void
own_round_tick (struct own *own)
{
  uint64_t epoch = own->highest_fence >> OWN_EPOCH_SHIFT;
  uint64_t round = (own->highest_fence >> OWN_ROUND_SHIFT) & UINT16_MAX;

  if (own->resigned || own->closed || own_kv_available (own))
    {
      own->holder_absent_since_us = 0;
      return;
    }
  /* The key-value service makes epochs unique, but rounds are made unique only
     by the member's number.  */
  if (own->number_shared)
    return;
  if (!own_holder_timed_out (own) || epoch == 0 || round == UINT16_MAX
      || own_now (own) < own->promised_until_us
      || !own_is_lowest_reachable (own))
    return;
  own->by_promises = true;
  own->lease_valid_until_us = 0;
  own->needs_member_ack = false;
  own->unfenced_from_us = UINT64_MAX;
  own_begin_authority (own,
                       epoch << OWN_EPOCH_SHIFT
                           | (round + 1) << OWN_ROUND_SHIFT
                           | own->config.number,
                       false);
}

/* Request promises if we hold control, otherwise start a round if one is
   due.  */
void
own_promise_tick (struct own *own)
{
  if (own->is_holder)
    own_holder_tick (own);
  else
    own_round_tick (own);
}
