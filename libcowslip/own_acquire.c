#include <string.h>

#include "own_private.h"
#include "plc_pin.h"

#define OWN_RETRY_MS 500

/* Return the members to record: this instance and all members with a
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

/* Write the controller key with HOLDER and LEASE, and the placement key, in
   one transaction, provided that neither key has changed since it was
   read.  */
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

/* Return the time from which orders may be sent to engines that ignore fencing
   numbers.  By then no order of an earlier holder and no promise of this
   instance is in force.  */
static uint64_t
own_unfenced_from_us (const struct own *own)
{
  uint64_t wait_us = OWN_ORDER_MAX_MS * OWN_US_PER_MS;

  if (own_now (own) < own->promised_until_us)
    return own->promised_until_us + wait_us;
  return own->acquire_released ? own_now (own) : own_now (own) + wait_us;
}

/* Start authority after the acquisition was written at REVISION.  */
static void
own_acquired (struct own *own, int64_t revision)
{
  own->unfenced_from_us
      = own->acquire_needs_ack ? UINT64_MAX : own_unfenced_from_us (own);
  own->needs_member_ack = own->acquire_needs_ack;
  own_placement_free (own->placement);
  own->placement = own->acquire_placement;
  own->acquire_placement = NULL;
  own->controller_revision = revision;
  own->placement_revision = revision;
  own->lease = own->acquire_lease;
  own->acquire_lease = 0;
  own->lease_valid_until_us = own->acquire_valid_until_us;
  own->next_renew_us = 0;
  own->by_promises = false;
  own->needs_reread = false;
  own_begin_authority (
      own, own->placement->epoch << OWN_EPOCH_SHIFT | own->config.number,
      true);
}

static void
own_acquire_done (void *arg, const struct kv_result *result)
{
  struct own *own = arg;

  if (own_end_call (own, result->outcome))
    {
      if (result->outcome == KV_OK)
        own_acquired (own, result->revision);
      else
        {
          /* After a lost reply, the next read shows whether the key names this
             instance.  If the write did take effect, revoking the lease
             removes the key.  */
          own_placement_free (own->acquire_placement);
          own->acquire_placement = NULL;
          own_revoke (own, own->acquire_lease);
          own->acquire_lease = 0;
          own->next_read_us = own_now (own) + OWN_RETRY_MS * OWN_US_PER_MS;
        }
    }
  own_unref (own);
}

/* Write the controller key under acquire_lease with the next epoch.  */
static void
own_acquire_write (struct own *own)
{
  struct own_placement *old = own->placement;
  struct own_placement *next = own_placement_new ();

  own->acquire_needs_ack = !own->acquire_released && old->members->len > 0
                           && !own_is_listed (own, own->config.instance);
  next->epoch = MAX (own->highest_fence >> OWN_EPOCH_SHIFT, old->epoch) + 1;
  g_ptr_array_unref (next->members);
  /* Keep the old list until one of its members has acknowledged our fence, so
     that a further successor contacts them as well.  */
  next->members = own->acquire_needs_ack ? g_ptr_array_ref (old->members)
                                         : own_member_names (own);
  g_ptr_array_unref (next->pins);
  next->pins = plc_pins_copy (old->pins);
  own->acquire_placement = next;
  own_write (own, own->config.instance, own->acquire_lease, next,
             own_acquire_done);
}

static void
own_grant_done (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct own *own = arg;

  if (own_end_call (own, outcome) && outcome == KV_OK && !own->resigned)
    {
      own->acquire_lease = lease;
      own_acquire_write (own);
    }
  else if (outcome == KV_OK)
    own_revoke (own, lease);
  own_unref (own);
}

/* Acquire the controller key, which has no holder.  RELEASED: the last holder
   handed over with no order in flight; otherwise its lease expired.  */
void
own_acquire (struct own *own, bool released)
{
  if (own->resigned)
    return;
  own->acquire_released = released;
  own->acquire_valid_until_us
      = own_now (own)
        + (OWN_TTL_S * 1000 - OWN_CLOCK_MARGIN_MS) * OWN_US_PER_MS;
  own_begin_call (own);
  own->config.kv.methods->lease_grant (own->config.kv.context, OWN_TTL_S,
                                       own_grant_done, own);
}

/* Acquire the key again although it names this instance under LEASE.  This
   happens if the reply to the acquisition was lost, or if another instance
   started a round.  */
void
own_reacquire (struct own *own, int64_t lease)
{
  if (own->resigned)
    return;
  own->acquire_released = false;
  own->acquire_valid_until_us = 0;
  own->acquire_lease = lease;
  own_acquire_write (own);
}

static void
own_release_done (void *arg, const struct kv_result *result)
{
  struct own *own = arg;

  if (own_end_call (own, result->outcome))
    {
      own_done done = own->release_done;

      own->release_done = NULL;
      own_revoke (own, own->lease);
      own->lease = 0;
      own_end_authority (own);
      done (own->release_arg, result->outcome == KV_OK);
    }
  own_unref (own);
}

/* Release the key so that a successor does not have to wait.  */
void
own_release (struct own *own)
{
  if (own->is_holder && !own->by_promises && own->lease != 0
      && own_kv_available (own) && !own->needs_reread)
    own_write (own, "", 0, own->placement, own_release_done);
  else
    {
      own_done done = own->release_done;

      own->release_done = NULL;
      own_end_authority (own);
      done (own->release_arg, false);
    }
}
