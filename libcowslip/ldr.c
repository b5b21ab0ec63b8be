#include "ldr_impl.h"

#define LDR_TICK_MS 100
/* Delay after a failed call, doubled with each further failure up to the
   second one: hundreds of instances call a store in trouble, and each call has
   a cost.  */
#define LDR_RETRY_MIN_MS 300
#define LDR_RETRY_MAX_MS 2400
/* The first read follows the own registration by this time, so that instances
   that start together, within 0.3 s, know each other.  */
#define LDR_SETTLE_MS 300
/* The first read is not delayed longer than this if the registration fails. */
#define LDR_FIRST_READ_MAX_MS 1000

static void ldr_read (struct ldr *ldr);

/* Record that a call to the store has completed.  Return false if LDR was
   closed meanwhile and its result must be ignored; the last such call frees
   LDR.  */
bool
ldr_call_ended (struct ldr *ldr)
{
  ldr->calls_in_flight--;
  if (!ldr->closed)
    return true;
  if (ldr->calls_in_flight == 0)
    {
      ldr_table_clear (ldr);
      g_free (ldr->past_leaders);
      g_ptr_array_free (ldr->members, TRUE);
      g_free (ldr);
    }
  return false;
}

static bool
ldr_record_is_own (const struct ldr *ldr)
{
  return ldr->leader.instance != NULL
         && g_str_equal (ldr->leader.instance, ldr->config.instance)
         && ldr->leader.incarnation == ldr->config.incarnation
         && ldr->leader.lease == ldr->leader_lease.id
         && ldr->leader_lease.id != 0;
}

static void
ldr_lose_leadership (struct ldr *ldr)
{
  if (!ldr->leading)
    return;
  ldr->leading = false;
  ldr->lost_at_us = tm_now_us (ldr->config.tm);
  ldr->callbacks.lost (ldr->arg);
}

/* Return a new value for the term record: the era of the store, then FIRST,
   which is an instance name or LDR_RESIGNED, followed by the former leaders.
   The caller frees it.  */
char *
ldr_encode_term (const struct ldr *ldr, const char *first)
{
  GString *text = g_string_new (NULL);
  char **names = g_strsplit (
      ldr->past_leaders == NULL ? "" : ldr->past_leaders, " ", -1);
  uint32_t count = 1;

  g_string_printf (text, "%c%" G_GINT64_FORMAT " %s", LDR_ERA_MARK, ldr->era,
                   first);
  for (char **name = names; *name != NULL && count < LDR_PAST_LEADERS_MAX;
       name++)
    if (**name != '\0' && !g_str_equal (*name, first)
        && !g_str_equal (*name, LDR_RESIGNED))
      {
        g_string_append_printf (text, " %s", *name);
        count++;
      }
  g_strfreev (names);
  return g_string_free (text, FALSE);
}

/* Return how many milliseconds are left until the reelection delay after
   SINCE_US has passed.  */
static uint32_t
ldr_reelection_ms (const struct ldr *ldr, uint64_t since_us)
{
  uint64_t end_us = since_us + ldr->config.reelection_delay_ms * LDR_US_PER_MS;
  uint64_t now_us = tm_now_us (ldr->config.tm);

  return now_us >= end_us ? 0 : (uint32_t)((end_us - now_us) / LDR_US_PER_MS);
}

/* Return the time in milliseconds after its election for which this instance
   must not send orders yet.  */
uint32_t
ldr_order_delay_ms (const struct ldr *ldr)
{
  /* A newly started process does not know when its predecessor last sent an
     order, so its own start time is used.  */
  uint64_t stopped_us
      = ldr->lost_at_us != 0 ? ldr->lost_at_us : ldr->started_us;
  char **names;
  bool resigned;
  bool was_leader;
  uint32_t order_delay_ms = 0;

  /* A first term, or the store lost the record before this process started
     and the former leader is cut off.  */
  if (ldr->past_leaders == NULL && ldr->era_began_us == 0)
    return LDR_CONFIRMED_MS;
  /* Any instance, also the predecessor of this process, may have led in the
     part of the store's history that is lost.  */
  if (ldr->past_leaders == NULL || ldr->term_era != ldr->era)
    return MAX (LDR_CONFIRMED_MS,
                ldr_reelection_ms (ldr, MAX (stopped_us, ldr->era_began_us)));
  names = g_strsplit (ldr->past_leaders, " ", -1);
  resigned = g_strcmp0 (names[0], LDR_RESIGNED) == 0;
  was_leader
      = ldr->lost_at_us != 0
        || g_strv_contains ((const char *const *)names, ldr->config.instance);
  /* If the latest leader was this instance, its previous process has ended and
     no delay is needed.  */
  if (g_strcmp0 (names[0], ldr->config.instance) != 0)
    {
      order_delay_ms = resigned ? 0 : LDR_CONFIRMED_MS;
      /* Keep orders of alternating leaders apart.  */
      if (was_leader)
        order_delay_ms
            = MAX (order_delay_ms, ldr_reelection_ms (ldr, stopped_us));
    }
  g_strfreev (names);
  /* The first leader of the era may not have waited to the end.  */
  if (ldr->era_began_us != 0)
    order_delay_ms
        = MAX (order_delay_ms, ldr_reelection_ms (ldr, ldr->era_began_us));
  return order_delay_ms;
}

static void
ldr_gain_leadership (struct ldr *ldr)
{
  ldr->leading = true;
  ldr->fence = (uint64_t)ldr->leader.revision;
  ldr->may_order_from_us
      = tm_now_us (ldr->config.tm) + ldr->order_delay_ms * LDR_US_PER_MS;
  ldr->callbacks.gained (ldr->arg, ldr->fence);
}

/* Gain or lose leadership according to the cached leader record.  */
void
ldr_update_role (struct ldr *ldr)
{
  bool own = ldr_record_is_own (ldr) && !ldr->resigned;

  if (ldr->leader.instance != NULL)
    ldr->vacant_since_us = 0;
  else if (ldr->vacant_since_us == 0)
    ldr->vacant_since_us = tm_now_us (ldr->config.tm);
  if (ldr->leading && (!own || ldr->fence != (uint64_t)ldr->leader.revision))
    ldr_lose_leadership (ldr);
  if (own && !ldr->leading)
    ldr_gain_leadership (ldr);
  ldr->callbacks.members (ldr->arg);
}

static void
ldr_on_change (void *arg, const struct kv_change *change)
{
  struct ldr *ldr = arg;
  bool leader = g_str_equal (change->key, ldr_leader_key);
  int64_t lease = leader ? ldr->leader_lease.id : ldr->member_lease.id;

  /* Changes do not contain the lease; an own record has the current one,
     unless it is that of a copy, which another instance has relayed.  */
  if (kv_revision_era (change->revision) != ldr->era)
    lease = 0;
  ldr_table_apply (ldr, change->key, change->value, change->value_bytes,
                   change->revision, lease);
  ldr_update_role (ldr);
  if (ldr->callbacks.key_changed != NULL)
    ldr->callbacks.key_changed (ldr->arg, change);
}

static void
ldr_watch_ended (void *arg)
{
  struct ldr *ldr = arg;

  ldr->watch = NULL;
  ldr->synced = false;
}

/* Note a restoration of the store from a copy.  What this instance wrote since
   is lost, and so are its leases.  */
static void
ldr_update_era (struct ldr *ldr)
{
  int64_t era = kv_era (&ldr->config.kv);

  if (!ldr->has_read || era == ldr->era)
    return;
  ldr->era = era;
  ldr->era_began_us = tm_now_us (ldr->config.tm);
  ldr->member_lease.id = 0;
  ldr->leader_lease.id = 0;
  ldr->registered = false;
  ldr_update_role (ldr);
}

static void
ldr_read_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;
  GPtrArray *before;

  if (!ldr_call_ended (ldr))
    return;
  ldr->reading = false;
  if (result->outcome != KV_OK)
    {
      ldr_back_off (ldr);
      return;
    }
  ldr->failures = 0;
  ldr_update_era (ldr);
  ldr->era = kv_era (&ldr->config.kv);
  ldr->has_read = true;
  before = g_ptr_array_ref (ldr->members);
  ldr_table_clear (ldr);
  for (size_t i = 0; i < result->pair_count; i++)
    ldr_table_apply (ldr, result->pairs[i].key, result->pairs[i].value,
                     result->pairs[i].value_bytes, result->pairs[i].revision,
                     result->pairs[i].lease);
  ldr_table_retain (ldr, before);
  g_ptr_array_unref (before);
  ldr->synced = true;
  ldr->watch = ldr->config.kv.methods->watch (
      ldr->config.kv.context, ldr_prefix, result->revision + 1, ldr_on_change,
      ldr_watch_ended, ldr);
  if (ldr->callbacks.keys_read != NULL)
    ldr->callbacks.keys_read (ldr->arg, result->pairs, result->pair_count);
  ldr_update_role (ldr);
}

static void
ldr_read (struct ldr *ldr)
{
  ldr->reading = true;
  ldr->calls_in_flight++;
  kv_get_prefix (&ldr->config.kv, ldr_prefix, ldr_read_done, ldr);
}

static void
ldr_check_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr))
    return;
  ldr->checking = false;
  if (!ldr->leading || result->outcome != KV_OK)
    return;
  if (result->pair_count > 0
      && (uint64_t)result->pairs[0].revision == ldr->fence)
    {
      ldr->confirmed_until_us
          = ldr->check_sent_us + LDR_CONFIRMED_MS * LDR_US_PER_MS;
      return;
    }
  /* The record was removed or replaced although the lease is still valid.  */
  ldr_table_apply (ldr, ldr_leader_key, NULL, 0, result->revision, 0);
  ldr_update_role (ldr);
}

/* Read the leader record back periodically: the store may remove the record
   and still renew the lease.  */
static void
ldr_check_record (struct ldr *ldr, uint64_t now_us)
{
  if (!ldr->leading || ldr->checking || now_us < ldr->next_check_us)
    return;
  ldr->checking = true;
  ldr->check_sent_us = now_us;
  ldr->next_check_us = now_us + LDR_CHECK_MS * LDR_US_PER_MS;
  ldr->calls_in_flight++;
  kv_get (&ldr->config.kv, ldr_leader_key, ldr_check_done, ldr);
}

static void
ldr_tick (void *arg)
{
  struct ldr *ldr = arg;
  uint64_t now_us = tm_now_us (ldr->config.tm);

  tm_after (ldr->config.tm, &ldr->tick, LDR_TICK_MS * LDR_US_PER_MS, ldr_tick,
            ldr);
  ldr_update_era (ldr);
  if (ldr_table_expire (ldr))
    ldr_update_role (ldr);
  if (!ldr->synced && !ldr->reading && now_us >= ldr->retry_at_us
      && now_us >= ldr->first_read_us)
    ldr_read (ldr);
  ldr_lease_maintain_member (ldr);
  ldr_lease_maintain_leader (ldr);
  ldr_check_record (ldr, now_us);
  ldr_write_due (ldr);
}

/* Delay the next grant, read or write after a failed one.  */
void
ldr_back_off (struct ldr *ldr)
{
  uint64_t delay_ms = MIN (
      (uint64_t)LDR_RETRY_MIN_MS << MIN (ldr->failures, 8), LDR_RETRY_MAX_MS);

  ldr->failures++;
  ldr->retry_at_us = tm_now_us (ldr->config.tm) + delay_ms * LDR_US_PER_MS;
}

/* Note that the member record was written.  */
void
ldr_registered (struct ldr *ldr)
{
  ldr->registered = true;
  ldr->first_read_us
      = MIN (ldr->first_read_us,
             tm_now_us (ldr->config.tm) + LDR_SETTLE_MS * LDR_US_PER_MS);
}

/* Return the prefix of all keys of the election.  */
const char *
ldr_key_prefix (void)
{
  return ldr_prefix;
}

/* Create an election with the settings in CONFIG, whose strings must remain
   valid.  The instance registers and campaigns at once.  */
struct ldr *
ldr_new (const struct ldr_config *config,
         const struct ldr_callbacks *callbacks, void *arg)
{
  struct ldr *ldr = g_new0 (struct ldr, 1);

  ldr->config = *config;
  ldr->callbacks = *callbacks;
  ldr->arg = arg;
  ldr->started_us = tm_now_us (config->tm);
  ldr->first_read_us = ldr->started_us + LDR_FIRST_READ_MAX_MS * LDR_US_PER_MS;
  ldr_table_clear (ldr);
  tm_after (config->tm, &ldr->tick, 0, ldr_tick, ldr);
  return ldr;
}

/* Stop and free LDR.  Its records are removed when the lease expires.  */
void
ldr_free (struct ldr *ldr)
{
  if (ldr == NULL)
    return;
  tm_cancel (ldr->config.tm, &ldr->tick);
  if (ldr->watch != NULL)
    ldr->config.kv.methods->unwatch (ldr->config.kv.context, ldr->watch);
  ldr->closed = true;
  ldr->calls_in_flight++;
  (void)ldr_call_ended (ldr);
}

/* Return whether this instance may send an order now, and set FENCE to the
   fencing number to send with it.  Call this immediately before each order,
   because the process may have been paused since the decision was made.  */
bool
ldr_may_order (const struct ldr *ldr, uint64_t *fence)
{
  uint64_t now_us = tm_now_us (ldr->config.tm);

  *fence = ldr->fence;
  return ldr->leading && !ldr->resigned && now_us >= ldr->may_order_from_us
         && now_us < ldr->confirmed_until_us
         && kv_era (&ldr->config.kv) == ldr->era;
}

/* Return whether this instance is the leader according to the cached
   record.  */
bool
ldr_is_leader (const struct ldr *ldr)
{
  return ldr->leading;
}

/* Return whether the store confirmed this instance as the leader within the
   last LDR_CONFIRMED_MS.  A leader that is partitioned from the store still
   considers itself the leader while a successor is elected.  */
bool
ldr_is_confirmed (const struct ldr *ldr)
{
  return ldr->leading && tm_now_us (ldr->config.tm) < ldr->confirmed_until_us;
}

/* Return the name of the leader, or NULL if it is unknown.  */
const char *
ldr_leader (const struct ldr *ldr)
{
  return ldr->leader.instance;
}

/* Return the member called INSTANCE, or NULL.  */
const struct ldr_member *
ldr_find_member (const struct ldr *ldr, const char *instance)
{
  for (guint i = 0; i < ldr->members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (ldr->members, i);

      if (g_str_equal (member->instance, instance))
        return member;
    }
  return NULL;
}

/* Return the members (struct ldr_member), sorted by name.  */
const GPtrArray *
ldr_members (const struct ldr *ldr)
{
  return ldr->members;
}

/* Return whether a lease renewal went unanswered within the last WITHIN_MS
   milliseconds, which suggests an outage of the store.  */
bool
ldr_store_failed (const struct ldr *ldr, uint32_t within_ms)
{
  return ldr->renew_failed_us != 0
         && tm_now_us (ldr->config.tm) - ldr->renew_failed_us
                < within_ms * LDR_US_PER_MS;
}

/* Return the highest number of members ever registered at once, or 0 if it is
   not known yet.  Shared limits are divided by this number, not by the current
   one: after a failure there are fewer members, but the others may return
   within the window to which the limits apply.  */
uint32_t
ldr_peak_members (const struct ldr *ldr)
{
  return ldr->synced || ldr->peak_members > 0
             ? MAX (ldr->peak_members, ldr->members->len)
             : 0;
}

/* Leave the election permanently.  No more orders are sent, and the records
   are removed so that a successor does not have to wait for the lease to
   expire.  */
void
ldr_resign (struct ldr *ldr)
{
  if (ldr->resigned)
    return;
  ldr->resigned = true;
  if (ldr->member_lease.id != 0)
    ldr_write_resign (ldr);
  ldr_lose_leadership (ldr);
}
