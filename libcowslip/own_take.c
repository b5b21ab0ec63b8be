#include <string.h>

#include "own_private.h"
#include "plc_pin.h"

#define OWN_RETRY_MS 500

/* Return the members to be recorded: this instance and all that have a
   record.  */
GPtrArray *
own_member_names (const struct own *own)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (names, g_strdup (own->config.instance));
  for (guint i = 0; i < own->members->len; i++)
    {
      const struct own_peer *peer = g_ptr_array_index (own->members, i);

      if (peer->recorded)
        g_ptr_array_add (names, g_strdup (peer->instance));
    }
  return names;
}

/* Write the controller key with HOLDER and LEASE and the placement with
   MEMBERS and PINS, both with EPOCH, if neither was changed by anybody else
   since they were read.  */
void
own_write (struct own *own, const char *holder, int64_t lease,
           const struct own_placement *placement, kv_done done)
{
  struct own_record record = { .holder = (char *)holder,
                               .incarnation = own->config.incarnation,
                               .epoch = placement->epoch };
  char *record_text
      = own_record_encode (&record, placement->members, OWN_TTL_S * 1000);
  char *placement_text = own_placement_encode (placement);
  struct kv_compare compares[]
      = { { own->controller_key, own->controller_revision },
          { own->placement_key, own->placement_revision } };
  struct kv_op ops[] = { { .kind = KV_PUT,
                           .key = own->controller_key,
                           .value = record_text,
                           .value_bytes = strlen (record_text),
                           .lease = lease },
                         { .kind = KV_PUT,
                           .key = own->placement_key,
                           .value = placement_text,
                           .value_bytes = strlen (placement_text) } };
  struct kv_txn txn = { .compares = compares,
                        .compare_count = G_N_ELEMENTS (compares),
                        .then_ops = ops,
                        .then_count = G_N_ELEMENTS (ops) };

  own_begin_call (own);
  kv_txn (&own->config.kv, &txn, done, own);
  g_free (record_text);
  g_free (placement_text);
}

static void
own_revoke (struct own *own, int64_t lease)
{
  if (lease != 0)
    own->config.kv.methods->lease_revoke (own->config.kv.context, lease);
}

/* Time from which engines that ignore fencing numbers may be ordered: no order
   of an earlier holder and no promise of this instance is in force then.  */
static uint64_t
own_unchecked_from_us (const struct own *own)
{
  uint64_t wait_us = OWN_ORDER_MAX_MS * OWN_US_PER_MS;

  if (own_now (own) < own->promised_until_us)
    return own->promised_until_us + wait_us;
  return own->take_released ? own_now (own) : own_now (own) + wait_us;
}

/* Begin the authority that was written at REVISION.  */
static void
own_taken (struct own *own, int64_t revision)
{
  own->unchecked_from_us
      = own->take_needs_witness ? UINT64_MAX : own_unchecked_from_us (own);
  own->needs_witness = own->take_needs_witness;
  own_placement_free (own->placement);
  own->placement = own->take_placement;
  own->take_placement = NULL;
  own->controller_revision = revision;
  own->placement_revision = revision;
  own->lease = own->take_lease;
  own->take_lease = 0;
  own->lease_safe_us = own->take_safe_us;
  own->next_renew_us = 0;
  own->by_round = false;
  own->reread = false;
  own_gain (own, own->placement->epoch << OWN_EPOCH_SHIFT | own->config.number,
            true);
}

static void
own_take_done (void *arg, const struct kv_result *result)
{
  struct own *own = arg;

  if (own_end_call (own, result->outcome))
    {
      if (result->outcome == KV_OK)
        own_taken (own, result->revision);
      else
        {
          /* After a lost answer the next read shows whether the key names
             this instance; without the lease it vanishes at once.  */
          own_placement_free (own->take_placement);
          own->take_placement = NULL;
          own_revoke (own, own->take_lease);
          own->take_lease = 0;
          own->next_read_us = own_now (own) + OWN_RETRY_MS * OWN_US_PER_MS;
        }
    }
  own_unref (own);
}

/* Write the key under take_lease with the next epoch.  */
static void
own_take_write (struct own *own)
{
  struct own_placement *old = own->placement;
  struct own_placement *next = own_placement_new ();

  own->take_needs_witness = !own->take_released && old->members->len > 0
                            && !own_is_listed (own, own->config.instance);
  next->epoch = MAX (own->highest_fence >> OWN_EPOCH_SHIFT, old->epoch) + 1;
  g_ptr_array_unref (next->members);
  /* The old list stays until one of its members has agreed, so that a further
     successor asks them as well.  */
  next->members = own->take_needs_witness ? g_ptr_array_ref (old->members)
                                          : own_member_names (own);
  g_ptr_array_unref (next->pins);
  next->pins = plc_pins_copy (old->pins);
  own->take_placement = next;
  own_write (own, own->config.instance, own->take_lease, next, own_take_done);
}

static void
own_granted (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct own *own = arg;

  if (own_end_call (own, outcome) && outcome == KV_OK && !own->leaving)
    {
      own->take_lease = lease;
      own_take_write (own);
    }
  else if (outcome == KV_OK)
    own_revoke (own, lease);
  own_unref (own);
}

/* Take the key, which has no holder.  RELEASED tells that the last one handed
   over with no order under way; otherwise its lease expired.  */
void
own_take (struct own *own, bool released)
{
  if (own->leaving)
    return;
  own->take_released = released;
  own->take_safe_us
      = own_now (own) + (OWN_TTL_S * 1000 - OWN_MARGIN_MS) * OWN_US_PER_MS;
  own_begin_call (own);
  own->config.kv.methods->lease_grant (own->config.kv.context, OWN_TTL_S,
                                       own_granted, own);
}

/* Take the key again, which names this instance under LEASE: the answer to the
   take-over was lost, or another instance took a round.  */
void
own_take_again (struct own *own, int64_t lease)
{
  if (own->leaving)
    return;
  own->take_released = false;
  own->take_safe_us = 0;
  own->take_lease = lease;
  own_take_write (own);
}

static void
own_released (void *arg, const struct kv_result *result)
{
  struct own *own = arg;

  if (own_end_call (own, result->outcome))
    {
      own_done done = own->release_done;

      own->release_done = NULL;
      own_revoke (own, own->lease);
      own->lease = 0;
      own_lose (own);
      done (own->release_arg, result->outcome == KV_OK);
    }
  own_unref (own);
}

/* Give up the key, so that a successor need not wait.  */
void
own_release (struct own *own)
{
  if (own->holding && !own->by_round && own->lease != 0 && own_kv_answers (own)
      && !own->reread)
    own_write (own, "", 0, own->placement, own_released);
  else
    {
      own_done done = own->release_done;

      own->release_done = NULL;
      own_lose (own);
      done (own->release_arg, false);
    }
}
