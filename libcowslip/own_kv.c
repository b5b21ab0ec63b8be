#include "own_private.h"

/* Only the two reachable members with the lowest numbers poll the controller
   key at OWN_READ_MS.  The others would add load to the key-value service, and
   learn the holder from views.  */
#define OWN_READ_MS         1000
#define OWN_READ_IDLE_MS    10000
#define OWN_READ_STAGGER_MS 100
#define OWN_CANDIDATES      2
#define OWN_RETRY_MS        500
/* A call in flight for longer than this counts as failed.  */
#define OWN_CALL_TIMEOUT_MS 1000

/* Return whether the key-value service responded to the last call and no call
   in flight is overdue.  */
bool
own_kv_available (const struct own *own)
{
  uint64_t now_us = own_now (own);
  uint64_t limit_us = OWN_CALL_TIMEOUT_MS * OWN_US_PER_MS;

  return !own->kv_failed
         && !(own->call_in_flight && now_us > own->call_started_us + limit_us)
         && !(own->renewing && now_us > own->renew_started_us + limit_us);
}

static uint64_t
own_read_interval_us (const struct own *own)
{
  guint lower = 0;

  for (guint i = 0; i < own->members->len; i++)
    {
      const struct own_peer *peer = g_ptr_array_index (own->members, i);

      if (peer->reachable && !peer->draining
          && peer->number < own->config.number)
        lower++;
    }
  if (own->is_holder || lower < OWN_CANDIDATES)
    return OWN_READ_MS * OWN_US_PER_MS;
  return (OWN_READ_IDLE_MS + own->config.number % 16 * OWN_READ_STAGGER_MS)
         * OWN_US_PER_MS;
}

/* Record the start of a call.  There is at most one at a time, apart from the
   renewal of the lease.  */
void
own_begin_call (struct own *own)
{
  own->call_in_flight = true;
  own->call_started_us = own_now (own);
  own_ref (own);
}

static void
own_track_kv_outcome (struct own *own, enum kv_outcome outcome)
{
  own->kv_failed = outcome == KV_UNKNOWN || outcome == KV_UNAVAILABLE;
  if (own->kv_failed)
    own->kv_failed_us = own_now (own);
}

/* Record that the call ended with OUTCOME.  Return false if OWN was closed
   meanwhile and the reply must be ignored.  The caller releases its reference
   in either case.  */
bool
own_end_call (struct own *own, enum kv_outcome outcome)
{
  own->call_in_flight = false;
  if (own->closed)
    return false;
  own_track_kv_outcome (own, outcome);
  own->next_read_us = own_now (own) + own_read_interval_us (own);
  return true;
}

static const struct kv_pair *
own_find_pair (const struct kv_result *result, const char *key)
{
  for (size_t i = 0; i < result->pair_count; i++)
    if (g_str_equal (result->pairs[i].key, key))
      return &result->pairs[i];
  return NULL;
}

static bool
own_set_placement (struct own *own, const struct kv_pair *pair)
{
  struct own_placement *placement = pair == NULL
                                        ? own_placement_new ()
                                        : own_placement_decode (pair->value);

  if (placement == NULL)
    return false;
  own_placement_free (own->placement);
  own->placement = placement;
  own->placement_revision = pair == NULL ? 0 : pair->revision;
  own->highest_fence
      = MAX (own->highest_fence, placement->epoch << OWN_EPOCH_SHIFT);
  return true;
}

static void
own_apply_record (struct own *own, const struct own_record *record,
                  int64_t lease)
{
  bool is_own = g_str_equal (record->holder, own->config.instance)
                && record->incarnation == own->config.incarnation;

  own->highest_fence
      = MAX (own->highest_fence, record->epoch << OWN_EPOCH_SHIFT);
  if (record->holder[0] == '\0')
    own_acquire (own, true);
  else if (!is_own)
    {
      own_end_authority (own);
      own_set_holder (own, record->holder);
    }
  else if (own->is_holder && !own->by_promises
           && own->fence >> OWN_EPOCH_SHIFT == record->epoch)
    own_save_read_back (own);
  else
    own_reacquire (own, lease);
}

static void
own_read_done (void *arg, const struct kv_result *result)
{
  struct own *own = arg;
  const struct kv_pair *controller;
  struct own_record record;

  if (!own_end_call (own, result->outcome) || result->outcome != KV_OK)
    {
      own_unref (own);
      return;
    }
  own->has_read_keys = true;
  controller = own_find_pair (result, own->controller_key);
  own->controller_revision = controller == NULL ? 0 : controller->revision;
  own->read_revision = own->controller_revision;
  /* A malformed record grants no authority.  */
  if (!own_set_placement (own, own_find_pair (result, own->placement_key))
      || (controller != NULL
          && !own_record_decode (controller->value, &record)))
    own_end_authority (own);
  else if (controller == NULL)
    own_acquire (own, false);
  else
    {
      own_apply_record (own, &record, controller->lease);
      own_record_clear (&record);
    }
  own_unref (own);
}

static void
own_read (struct own *own)
{
  struct kv_op ops[] = { { .kind = KV_GET, .key = own->controller_key },
                         { .kind = KV_GET, .key = own->placement_key } };
  struct kv_txn txn = { .then_ops = ops, .then_count = G_N_ELEMENTS (ops) };

  own_begin_call (own);
  kv_txn (&own->config.kv, &txn, own_read_done, own);
}

/* Handle the OUTCOME of a renewal.  A failed one carries no lease id, but must
   be tracked before that is compared: sending orders during an outage depends
   on it.  */
static void
own_apply_renewal (struct own *own, enum kv_outcome outcome, int64_t lease)
{
  uint64_t valid_us = (OWN_TTL_S * 1000 - OWN_CLOCK_MARGIN_MS) * OWN_US_PER_MS;

  own_track_kv_outcome (own, outcome);
  if (own->kv_failed)
    {
      own->next_renew_us = own_now (own) + OWN_RETRY_MS * OWN_US_PER_MS;
      return;
    }
  if (lease != own->lease)
    return;
  if (outcome == KV_OK)
    {
      own->lease_valid_until_us = own->renew_started_us + valid_us;
      return;
    }
  own->lease_valid_until_us = 0;
  own->lease = 0;
  own->next_read_us = 0;
}

static void
own_check_revision_done (void *arg, const struct kv_result *result)
{
  struct own *own = arg;
  const struct kv_pair *controller;
  int64_t revision;

  if (own_end_call (own, result->outcome) && result->outcome == KV_OK)
    {
      controller = own_find_pair (result, own->controller_key);
      revision = controller == NULL ? 0 : controller->revision;
      if (revision == 0 || revision != own->read_revision)
        own_read (own);
    }
  own_unref (own);
}

/* Read only the controller key.  Both keys are always written together, so the
   placement, which is large, can have changed only if this key has.  */
static void
own_check_revision (struct own *own)
{
  struct kv_op op = { .kind = KV_GET, .key = own->controller_key };
  struct kv_txn txn = { .then_ops = &op, .then_count = 1 };

  own_begin_call (own);
  kv_txn (&own->config.kv, &txn, own_check_revision_done, own);
}

static void
own_renew_done (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct own *own = arg;

  own->renewing = false;
  if (!own->closed)
    own_apply_renewal (own, outcome, lease);
  own_unref (own);
}

static void
own_renew (struct own *own)
{
  own->renewing = true;
  own->renew_started_us = own_now (own);
  own->next_renew_us = own->renew_started_us + OWN_RENEW_MS * OWN_US_PER_MS;
  own_ref (own);
  own->config.kv.methods->lease_renew (own->config.kv.context, own->lease,
                                       own_renew_done, own);
}

/* Make the calls to the key-value service that are due.  */
void
own_kv_tick (struct own *own)
{
  uint64_t now_us = own_now (own);
  bool by_lease = own->is_holder && !own->by_promises && own->lease != 0;

  if (by_lease && !own->renewing && now_us >= own->next_renew_us)
    own_renew (own);
  if (own->call_in_flight)
    return;
  if (own->release_done != NULL)
    own_release (own);
  else if (own->needs_reread || !by_lease)
    {
      if (now_us < own->next_read_us)
        return;
      if (own->is_holder || own->needs_reread || own->read_revision == 0)
        own_read (own);
      else
        own_check_revision (own);
    }
  else
    own_save_tick (own);
}
