#include "own_private.h"

#define OWN_ASK_MS 2000
/* While a promise is missing, orders to engines that ignore fencing numbers
   stand still, so it is asked for more often.  */
#define OWN_ASK_MISSING_MS 500
/* Time for which the controller must be missing before a round starts: the
   lease and its renewal interval.  */
#define OWN_ROUND_AFTER_MS (OWN_TTL_S * 1000 + OWN_RENEW_MS)
/* Time after which a recorded list of which no member shows any sign of life
   no longer holds back a new instance.  */
#define OWN_LIST_GONE_MS 60000
#define OWN_ROUND_SHIFT  16

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

/* Return whether every other instance on the recorded member list has
   promised not to take over now.  A list that names nobody else cannot show
   that there is no other controller.  */
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

/* Answer HOLDER, which asks this instance to promise that it does not take
   over for DURATION_MS and promises to nobody else.  With DURATION_MS 0 it is
   only asked to promise nothing to older controllers any more.  */
bool
own_promise (struct own *own, const char *holder, uint64_t fence,
             uint32_t duration_ms)
{
  uint64_t now_us = own_now (own);
  bool promised_other = now_us < own->promised_until_us
                        && g_strcmp0 (own->promised_to, holder) != 0;

  /* An incarnation that has not read the key does not know which fencing
     numbers its predecessor saw.  */
  if (own->holding || fence < own->highest_fence || promised_other
      || !own->kv_read)
    return false;
  if (duration_ms > 0 && own_kv_answers (own))
    {
      own->next_read_us = 0;
      return false;
    }

  own_saw_fence (own, fence, holder);
  if (duration_ms > 0)
    {
      g_free (own->promised_to);
      own->promised_to = g_strdup (holder);
      own->promised_until_us
          = MAX (own->promised_until_us, now_us + duration_ms * OWN_US_PER_MS);
    }
  return true;
}

/* Take the answer of INSTANCE to the request for a promise to FENCE that was
   sent at ASKED_US, from which the promise counts.  */
void
own_promise_answered (struct own *own, const char *instance, uint64_t fence,
                      uint64_t asked_us, bool promised)
{
  uint64_t *until_us;

  if (!own->holding || fence != own->fence || !promised)
    return;
  if (own->needs_witness)
    {
      if (!own_is_listed (own, instance))
        return;
      own->needs_witness = false;
      own->unchecked_from_us
          = own_now (own) + OWN_ORDER_MAX_MS * OWN_US_PER_MS;
      return;
    }

  until_us = g_new (uint64_t, 1);
  *until_us = asked_us + (OWN_PROMISE_MS - OWN_MARGIN_MS) * OWN_US_PER_MS;
  g_hash_table_replace (own->promises, g_strdup (instance), until_us);
  if (own->by_round && own->unchecked_from_us == UINT64_MAX
      && own_all_promised (own))
    own->unchecked_from_us = own_now (own) + OWN_ORDER_MAX_MS * OWN_US_PER_MS;
}

static void
own_ask_all (struct own *own, uint32_t duration_ms)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  uint64_t asked_us = own_now (own);

  for (guint i = 0; i < own->placement->members->len; i++)
    g_ptr_array_add (
        names, g_strdup (g_ptr_array_index (own->placement->members, i)));
  for (guint i = 0; i < names->len && own->holding; i++)
    {
      const char *name = g_ptr_array_index (names, i);

      if (!g_str_equal (name, own->config.instance))
        own->callbacks.ask (own->arg, name, own->fence, duration_ms, asked_us);
    }
  g_ptr_array_free (names, TRUE);
}

static bool
own_list_is_gone (const struct own *own)
{
  const GPtrArray *list = own->placement->members;

  for (guint i = 0; i < list->len; i++)
    {
      const struct own_peer *peer
          = own_find_peer (own, g_ptr_array_index (list, i));

      if (peer == NULL || peer->missed_us == 0
          || own_now (own)
                 < peer->missed_us + OWN_LIST_GONE_MS * OWN_US_PER_MS)
        return false;
    }
  return true;
}

static void
own_holder_tick (struct own *own)
{
  uint64_t now_us = own_now (own);

  if (own->needs_witness && own_list_is_gone (own))
    {
      own->needs_witness = false;
      own->unchecked_from_us = now_us + OWN_ORDER_MAX_MS * OWN_US_PER_MS;
    }
  if (now_us < own->next_ask_us
      || (!own->by_round && !own->needs_witness && own_kv_answers (own)))
    return;
  own->next_ask_us
      = now_us
        + (own_all_promised (own) ? OWN_ASK_MS : OWN_ASK_MISSING_MS)
              * OWN_US_PER_MS;
  own_ask_all (own, own->needs_witness ? 0 : OWN_PROMISE_MS);
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
own_holder_is_missing (struct own *own)
{
  const struct own_peer *peer
      = own->holder == NULL ? NULL : own_find_peer (own, own->holder);

  if (peer != NULL && peer->reachable && !peer->draining)
    {
      own->holder_lost_us = 0;
      return false;
    }
  if (own->holder_lost_us == 0)
    own->holder_lost_us = own_now (own);
  return own_now (own)
         >= own->holder_lost_us + OWN_ROUND_AFTER_MS * OWN_US_PER_MS;
}

/* Take the next round while the key-value service does not answer and the
   controller is missing.  */
static void
own_round_tick (struct own *own)
{
  uint64_t epoch = own->highest_fence >> OWN_EPOCH_SHIFT;
  uint64_t round = (own->highest_fence >> OWN_ROUND_SHIFT) & UINT16_MAX;

  if (own->leaving || own->closed || own_kv_answers (own))
    {
      own->holder_lost_us = 0;
      return;
    }
  /* Epochs are given out by the key-value service, but a round is told apart
     only by the member's number.  */
  if (own->number_shared)
    return;
  if (!own_holder_is_missing (own) || epoch == 0 || round == UINT16_MAX
      || own_now (own) < own->promised_until_us
      || !own_is_lowest_reachable (own))
    return;
  own->by_round = true;
  own->lease_safe_us = 0;
  own->needs_witness = false;
  own->unchecked_from_us = UINT64_MAX;
  own_gain (own,
            epoch << OWN_EPOCH_SHIFT | (round + 1) << OWN_ROUND_SHIFT
                | own->config.number,
            false);
}

/* Ask for promises, or take over during an outage.  */
void
own_promise_tick (struct own *own)
{
  if (own->holding)
    own_holder_tick (own);
  else
    own_round_tick (own);
}
