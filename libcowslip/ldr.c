#include "ldr_impl.h"

#define LDR_TICK_MS       100
#define LDR_READ_RETRY_MS 300

static void ldr_read (struct ldr *ldr);

/* Note the end of a call.  Return whether LDR still wants its answer.  */
bool
ldr_call_ended (struct ldr *ldr)
{
  ldr->calls--;
  if (!ldr->closed)
    return true;
  if (ldr->calls == 0)
    {
      ldr_table_clear (ldr);
      g_free (ldr->term_holders);
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
         && ldr->leader.lease == ldr->lease && ldr->lease != 0;
}

static void
ldr_lose (struct ldr *ldr)
{
  if (!ldr->leading)
    return;
  ldr->leading = false;
  ldr->lost_us = tm_now_us (ldr->config.tm);
  ldr->callbacks.lost (ldr->arg);
}

/* Return the mark of terms with FIRST, an instance or LDR_NOBODY, before the
   names that it has now; to be freed.  */
char *
ldr_holders (const struct ldr *ldr, const char *first)
{
  GString *text = g_string_new (first);
  char **names = g_strsplit (
      ldr->term_holders == NULL ? "" : ldr->term_holders, " ", -1);
  uint32_t count = 1;

  for (char **name = names; *name != NULL && count < LDR_HOLDERS_MAX; name++)
    if (**name != '\0' && !g_str_equal (*name, first)
        && !g_str_equal (*name, LDR_NOBODY))
      {
        g_string_append_printf (text, " %s", *name);
        count++;
      }
  g_strfreev (names);
  return g_string_free (text, FALSE);
}

/* Return how long after its election this instance must not order yet.  */
uint32_t
ldr_wait_ms (const struct ldr *ldr)
{
  uint64_t now_us = tm_now_us (ldr->config.tm);
  uint64_t apart_us = ldr->config.apart_ms * LDR_US_PER_MS;
  uint64_t own_us = ldr->lost_us != 0 ? ldr->lost_us : ldr->started_us;
  char **names;
  bool resigned;
  bool led;
  uint32_t wait_ms = 0;

  if (ldr->term_holders == NULL)
    return 0; /* nobody has led */
  names = g_strsplit (ldr->term_holders, " ", -1);
  resigned = g_strcmp0 (names[0], LDR_NOBODY) == 0;
  led = g_strv_contains ((const char *const *)names, ldr->config.instance);
  /* A process of this instance that led last has ended.  */
  if (g_strcmp0 (names[0], ldr->config.instance) != 0)
    {
      wait_ms = resigned ? 0 : LDR_SAFE_MS;
      /* Engines must not hear two leaders in turns.  A process that has just
         started cannot know when the one before it ordered last.  */
      if (led && now_us - own_us < apart_us)
        wait_ms = MAX (
            wait_ms, (uint32_t)((own_us + apart_us - now_us) / LDR_US_PER_MS));
    }
  g_strfreev (names);
  return wait_ms;
}

static void
ldr_gain (struct ldr *ldr)
{
  ldr->leading = true;
  ldr->fence = (uint64_t)ldr->leader.revision;
  ldr->orders_from_us
      = tm_now_us (ldr->config.tm) + ldr->wait_ms * LDR_US_PER_MS;
  ldr->callbacks.gained (ldr->arg, ldr->fence);
}

/* Compare the leader's record with what this instance believes.  */
void
ldr_evaluate (struct ldr *ldr)
{
  bool own = ldr_record_is_own (ldr) && !ldr->resigned;

  if (ldr->leader.instance != NULL)
    ldr->vacant_us = 0;
  else if (ldr->vacant_us == 0)
    ldr->vacant_us = tm_now_us (ldr->config.tm);
  if (ldr->leading && (!own || ldr->fence != (uint64_t)ldr->leader.revision))
    ldr_lose (ldr);
  if (own && !ldr->leading)
    ldr_gain (ldr);
  ldr->callbacks.members (ldr->arg);
}

static void
ldr_on_change (void *arg, const struct kv_change *change)
{
  struct ldr *ldr = arg;

  ldr_table_apply (ldr, change->key, change->value, change->value_bytes,
                   change->revision, ldr->lease);
  ldr_evaluate (ldr);
}

static void
ldr_watch_ended (void *arg)
{
  struct ldr *ldr = arg;

  ldr->watch = NULL;
  ldr->synced = false;
}

static void
ldr_read_done (void *arg, const struct kv_result *result)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr))
    return;
  ldr->reading = false;
  if (result->outcome != KV_OK)
    {
      ldr->retry_us
          = tm_now_us (ldr->config.tm) + LDR_READ_RETRY_MS * LDR_US_PER_MS;
      return;
    }
  ldr_table_clear (ldr);
  for (size_t i = 0; i < result->pair_count; i++)
    ldr_table_apply (ldr, result->pairs[i].key, result->pairs[i].value,
                     result->pairs[i].value_bytes, result->pairs[i].revision,
                     result->pairs[i].lease);
  ldr->synced = true;
  ldr->watch = ldr->config.kv.methods->watch (
      ldr->config.kv.context, ldr_prefix, result->revision + 1, ldr_on_change,
      ldr_watch_ended, ldr);
  kv_set_pace (&ldr->config.kv, ldr->watch, ldr->pace);
  ldr_evaluate (ldr);
}

static void
ldr_read (struct ldr *ldr)
{
  ldr->reading = true;
  ldr->calls++;
  kv_get_prefix (&ldr->config.kv, ldr_prefix, ldr_read_done, ldr);
}

static void
ldr_granted (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr))
    return;
  ldr->granting = false;
  if (outcome != KV_OK)
    {
      ldr->retry_us
          = tm_now_us (ldr->config.tm) + LDR_READ_RETRY_MS * LDR_US_PER_MS;
      return;
    }
  ldr->lease = lease;
  ldr->registered = false;
  ldr->safe_us = ldr->renew_us + LDR_SAFE_MS * LDR_US_PER_MS;
  ldr->next_renew_us = ldr->renew_us + LDR_RENEW_MS * LDR_US_PER_MS;
}

static void
ldr_renewed (void *arg, enum kv_outcome outcome, int64_t lease)
{
  struct ldr *ldr = arg;

  if (!ldr_call_ended (ldr))
    return;
  ldr->renewing = false;
  if (outcome == KV_UNKNOWN || outcome == KV_UNAVAILABLE)
    ldr->failed_us = tm_now_us (ldr->config.tm);
  if (lease != ldr->lease)
    return;
  if (outcome == KV_OK && !ldr->leading)
    ldr->safe_us = ldr->renew_us + LDR_SAFE_MS * LDR_US_PER_MS;
  else if (outcome == KV_CONFLICT)
    {
      ldr->lease = 0;
      ldr->registered = false;
      ldr_evaluate (ldr);
    }
}

static void
ldr_checked (void *arg, const struct kv_result *result)
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
      ldr->safe_us = ldr->check_us + LDR_SAFE_MS * LDR_US_PER_MS;
      return;
    }
  /* The record is gone or another instance's, whatever the lease says.  */
  ldr_table_apply (ldr, ldr_leader_key, NULL, 0, result->revision, 0);
  ldr_evaluate (ldr);
}

/* The leader reads its own record: the store may remove it and still renew the
   lease.  */
static void
ldr_check_record (struct ldr *ldr, uint64_t now_us)
{
  if (!ldr->leading || ldr->checking || now_us < ldr->next_check_us)
    return;
  ldr->checking = true;
  ldr->check_us = now_us;
  ldr->next_check_us = now_us + LDR_CHECK_MS * LDR_US_PER_MS;
  ldr->calls++;
  kv_get (&ldr->config.kv, ldr_leader_key, ldr_checked, ldr);
}

static void
ldr_keep_lease (struct ldr *ldr, uint64_t now_us)
{
  if (ldr->resigned || ldr->granting || ldr->renewing)
    return;
  if (ldr->lease == 0 && now_us >= ldr->retry_us)
    {
      ldr->granting = true;
      ldr->renew_us = now_us;
      ldr->calls++;
      ldr->config.kv.methods->lease_grant (ldr->config.kv.context, LDR_TTL_S,
                                           ldr_granted, ldr);
    }
  else if (ldr->lease != 0 && now_us >= ldr->next_renew_us)
    {
      ldr->renewing = true;
      ldr->renew_us = now_us;
      ldr->next_renew_us = now_us + LDR_RENEW_MS * LDR_US_PER_MS;
      ldr->calls++;
      ldr->config.kv.methods->lease_renew (ldr->config.kv.context, ldr->lease,
                                           ldr_renewed, ldr);
    }
}

static void
ldr_tick (void *arg)
{
  struct ldr *ldr = arg;
  uint64_t now_us = tm_now_us (ldr->config.tm);

  tm_after (ldr->config.tm, &ldr->tick, LDR_TICK_MS * LDR_US_PER_MS, ldr_tick,
            ldr);
  if (!ldr->synced && !ldr->reading && now_us >= ldr->retry_us)
    ldr_read (ldr);
  ldr_keep_lease (ldr, now_us);
  ldr_check_record (ldr, now_us);
  ldr_write_due (ldr);
}

/* Return an election with the instance of CONFIG, whose strings must stay
   valid.  It takes part at once.  */
struct ldr *
ldr_new (const struct ldr_config *config,
         const struct ldr_callbacks *callbacks, void *arg)
{
  struct ldr *ldr = g_new0 (struct ldr, 1);

  ldr->config = *config;
  ldr->callbacks = *callbacks;
  ldr->arg = arg;
  ldr->started_us = tm_now_us (config->tm);
  ldr_table_clear (ldr);
  tm_after (config->tm, &ldr->tick, 0, ldr_tick, ldr);
  return ldr;
}

/* End LDR.  Its records go with the lease.  */
void
ldr_free (struct ldr *ldr)
{
  if (ldr == NULL)
    return;
  tm_cancel (ldr->config.tm, &ldr->tick);
  if (ldr->watch != NULL)
    ldr->config.kv.methods->unwatch (ldr->config.kv.context, ldr->watch);
  ldr->closed = true;
  ldr->calls++;
  (void)ldr_call_ended (ldr);
}

/* Return whether this instance may send an order now, and store in FENCE the
   number to send with it.  Asked directly before each order, because the
   process may have been stopped since the decision.  */
bool
ldr_may_order (const struct ldr *ldr, uint64_t *fence)
{
  uint64_t now_us = tm_now_us (ldr->config.tm);

  *fence = ldr->fence;
  return ldr->leading && !ldr->resigned && now_us >= ldr->orders_from_us
         && now_us < ldr->safe_us;
}

/* Return whether the store names this instance as the leader.  */
bool
ldr_is_leader (const struct ldr *ldr)
{
  return ldr->leading;
}

/* Return whether the store named this instance as the leader within
   LDR_SAFE_MS.  One that is cut off from the store leads on by name until it
   hears of the end, while another takes its place.  */
bool
ldr_is_confirmed (const struct ldr *ldr)
{
  return ldr->leading && tm_now_us (ldr->config.tm) < ldr->safe_us;
}

/* Return the name of the leader, or NULL if none is known.  */
const char *
ldr_leader (const struct ldr *ldr)
{
  return ldr->leader.instance;
}

/* Return the member called INSTANCE, or NULL.  */
const struct ldr_member *
ldr_find (const struct ldr *ldr, const char *instance)
{
  for (guint i = 0; i < ldr->members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (ldr->members, i);

      if (g_str_equal (member->instance, instance))
        return member;
    }
  return NULL;
}

/* Return the members (struct ldr_member) in the order of their names.  */
const GPtrArray *
ldr_members (const struct ldr *ldr)
{
  return ldr->members;
}

/* Let changes of members and leader be heard with PACE.  */
void
ldr_set_pace (struct ldr *ldr, enum kv_pace pace)
{
  ldr->pace = pace;
  kv_set_pace (&ldr->config.kv, ldr->watch, pace);
}

/* Return whether a renewal failed within the last WITHIN_MS milliseconds, so
   that the store may have been away.  */
bool
ldr_store_failed (const struct ldr *ldr, uint32_t within_ms)
{
  return ldr->failed_us != 0
         && tm_now_us (ldr->config.tm) - ldr->failed_us
                < within_ms * LDR_US_PER_MS;
}

/* Return the most members that were ever registered at once, 0 if that is not
   known yet.  Shared limits are divided by it: the members of the moment are
   fewer after a failure, and the others come back within the time for which
   the limits count.  */
uint32_t
ldr_strength (const struct ldr *ldr)
{
  return ldr->synced || ldr->strength > 0
             ? MAX (ldr->strength, ldr->members->len)
             : 0;
}

/* Leave for good: no order is sent any more, and the records are removed so
   that a successor need not wait for the lease to end.  */
void
ldr_resign (struct ldr *ldr)
{
  if (ldr->resigned)
    return;
  ldr->resigned = true;
  if (ldr->lease != 0)
    ldr_write_resign (ldr);
  ldr_lose (ldr);
}
