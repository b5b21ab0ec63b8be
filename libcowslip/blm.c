#include <glib.h>

#include "blm.h"

#define BLM_US_PER_MS INT64_C (1000)
/* A trait is blocked after this many crashes, a part only if the requests
   differ.  One crash, or two of the same request that was sent again, is the
   fate of any request that runs beside the guilty one.  */
#define BLM_CRASHES_MIN 3
/* The crashes must be at two addresses, unless there are this many: an
   endpoint that crashes by itself takes all requests with it.  */
#define BLM_PLACES_MIN         2
#define BLM_SAME_PLACE_CRASHES 4
/* Crashes within this time have a common cause, such as a loss of power.  */
#define BLM_COMMON_CAUSE_US 50000
#define BLM_NEVER           INT64_MIN
/* Time after the last crash until a trait is forgotten, and until a first
   request with it may run again.  */
#define BLM_EXPIRY_US      INT64_C (600000000)
#define BLM_FIRST_TRIAL_US UINT64_C (60000000)
/* After this many trials the time between them no longer doubles: a trait that
   still crashes endpoints must have a trial before it is forgotten.  */
#define BLM_TRIALS_MAX 3
/* Reports of crashes before a success may arrive this much later: records in
   the store come back if it is restored from an older copy.  */
#define BLM_LATE_REPORT_US INT64_C (60000000)
#define BLM_EVENTS_MAX     BLM_CRASHES_MAX
/* An answer shows that its process lives only if it was sent this long after
   the crash: until then the entry of a process that has died is in use, and
   another process may have its address.  */
#define BLM_DEAD_LISTED_US  INT64_C (5000000)
#define BLM_CRASH_TIMES_MAX 4096
/* Traits that are kept; the one whose last crash is longest ago yields.  */
#define BLM_TRAITS_MAX 4096

/* Points in time are those of tm_now_us.  A crash that another process has
   seen may be earlier than the start of the clock.  */
struct blm_event
{
  uint64_t crash;
  uint64_t place;
  uint64_t request;
  int64_t at_us;
};

struct blm_trait
{
  uint64_t id;
  struct blm_event events[BLM_EVENTS_MAX]; /* oldest first */
  uint32_t event_count;
  bool blocked;
  int64_t last_us;    /* the last crash */
  int64_t cleared_us; /* the last success; BLM_NEVER: none */
  uint64_t trial_us;  /* no trial before this time */
  uint32_t trials;
};

struct blm_table
{
  struct tm_service *tm;
  struct blm_callbacks callbacks;
  void *arg;
  GHashTable *traits;  /* id -> struct blm_trait */
  GHashTable *crashes; /* id -> int64_t: when it was, of those in TRAITS */
  /* struct blm_trait: parts, the latest first, then whole requests.  */
  GPtrArray *blocked;
};

/* Return an empty table that calls CALLBACKS with ARG.  */
struct blm_table *
blm_new (struct tm_service *tm, const struct blm_callbacks *callbacks,
         void *arg)
{
  struct blm_table *table = g_new0 (struct blm_table, 1);

  table->tm = tm;
  table->callbacks = *callbacks;
  table->arg = arg;
  table->traits
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->crashes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  table->blocked = g_ptr_array_new ();
  return table;
}

/* Free TABLE.  */
void
blm_free (struct blm_table *table)
{
  if (table == NULL)
    return;
  g_ptr_array_free (table->blocked, TRUE);
  g_hash_table_destroy (table->traits);
  g_hash_table_destroy (table->crashes);
  g_free (table);
}

/* Return whether no trait is or was suspected lately.  */
bool
blm_is_empty (const struct blm_table *table)
{
  return g_hash_table_size (table->traits) == 0;
}

/* Return the point in time AGE_MS ago.  */
static int64_t
blm_ago_us (const struct blm_table *table, uint32_t age_ms)
{
  return (int64_t)tm_now_us (table->tm) - (int64_t)age_ms * BLM_US_PER_MS;
}

static void
blm_unblock (struct blm_table *table, struct blm_trait *trait,
             enum blm_reason reason)
{
  if (!trait->blocked)
    return;
  trait->blocked = false;
  (void)g_ptr_array_remove (table->blocked, trait);
  table->callbacks.unblocked (table->arg, trait->id, reason);
}

/* Return whether nothing about TRAIT matters any more.  */
static bool
blm_is_expired (const struct blm_table *table, const struct blm_trait *trait)
{
  int64_t now_us = blm_ago_us (table, 0);

  if (trait->event_count > 0)
    return now_us - trait->last_us >= BLM_EXPIRY_US;
  return trait->cleared_us == BLM_NEVER
         || now_us - trait->cleared_us >= BLM_LATE_REPORT_US;
}

static gboolean
blm_is_old_crash (gpointer crash, gpointer value, gpointer data)
{
  (void)crash;
  return blm_ago_us (data, 0) - *(const int64_t *)value >= BLM_EXPIRY_US;
}

/* Forget the traits in TABLE whose last crash is long ago.  */
void
blm_expire (struct blm_table *table)
{
  GHashTableIter iter;
  gpointer value;

  (void)g_hash_table_foreach_remove (table->crashes, blm_is_old_crash, table);
  g_hash_table_iter_init (&iter, table->traits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (blm_is_expired (table, value))
      {
        blm_unblock (table, value, BLM_EXPIRED);
        g_hash_table_iter_remove (&iter);
      }
}

static struct blm_trait *
blm_find (const struct blm_table *table, uint64_t id)
{
  return g_hash_table_lookup (table->traits, &id);
}

/* Remove the trait that is not blocked and matters least.  */
static void
blm_evict (struct blm_table *table)
{
  const struct blm_trait *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->traits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct blm_trait *trait = value;

      if (!trait->blocked
          && (oldest == NULL || trait->last_us < oldest->last_us))
        oldest = trait;
    }
  if (oldest != NULL)
    g_hash_table_remove (table->traits, &oldest->id);
}

/* Return the trait ID, created if it does not exist; NULL if the table is full
   of blocked ones.  */
static struct blm_trait *
blm_find_or_create (struct blm_table *table, uint64_t id)
{
  struct blm_trait *trait = blm_find (table, id);

  if (trait != NULL)
    return trait;
  if (g_hash_table_size (table->traits) >= BLM_TRAITS_MAX)
    blm_evict (table);
  if (g_hash_table_size (table->traits) >= BLM_TRAITS_MAX)
    return NULL;
  trait = g_new0 (struct blm_trait, 1);
  trait->id = id;
  trait->last_us = BLM_NEVER;
  trait->cleared_us = BLM_NEVER;
  g_hash_table_insert (table->traits, &trait->id, trait);
  return trait;
}

static bool
blm_has_crash (const struct blm_trait *trait, uint64_t crash)
{
  for (uint32_t i = 0; i < trait->event_count; i++)
    if (trait->events[i].crash == crash)
      return true;
  return false;
}

/* Insert EVENT in the order of time, unless it is known or there are enough.
 */
static void
blm_insert (struct blm_trait *trait, const struct blm_event *event)
{
  uint32_t at = trait->event_count;

  for (uint32_t i = 0; i < trait->event_count; i++)
    if (trait->events[i].crash == event->crash
        && trait->events[i].request == event->request)
      return;
  trait->last_us = MAX (trait->last_us, event->at_us);
  if (trait->event_count == BLM_EVENTS_MAX)
    return;
  while (at > 0 && trait->events[at - 1].at_us > event->at_us)
    {
      trait->events[at] = trait->events[at - 1];
      at--;
    }
  trait->events[at] = *event;
  trait->event_count++;
}

static bool
blm_is_repeated (const struct blm_trait *trait, uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (trait->events[i].crash == trait->events[index].crash)
      return true;
  return false;
}

/* Return the number of crashes with different causes.  A request that is sent
   again after a crash does not share the cause of that one.  */
static uint32_t
blm_count_crashes (const struct blm_trait *trait)
{
  uint32_t count = 0;
  const struct blm_event *last = NULL;

  for (uint32_t i = 0; i < trait->event_count; i++)
    {
      const struct blm_event *event = &trait->events[i];

      if (blm_is_repeated (trait, i)
          || (last != NULL && event->request != last->request
              && event->at_us - last->at_us < BLM_COMMON_CAUSE_US))
        continue;
      last = event;
      count++;
    }
  return count;
}

/* Return whether at least two events of TRAIT differ in their request, and
   store in PLACES whether they do in their place.  */
static bool
blm_requests_differ (const struct blm_trait *trait, bool *places)
{
  bool requests = false;

  *places = false;
  for (uint32_t i = 1; i < trait->event_count; i++)
    {
      requests
          = requests || trait->events[i].request != trait->events[0].request;
      *places = *places || trait->events[i].place != trait->events[0].place;
    }
  return requests;
}

/* Return whether TRAIT is that of a request as a whole.  */
static bool
blm_has_whole_request (const struct blm_trait *trait)
{
  return trait->event_count > 0 && trait->events[0].request == trait->id;
}

/* Return the number of crashes of TRAIT if they suffice to block it, otherwise
   0.  */
static uint32_t
blm_decide (const struct blm_trait *trait)
{
  uint32_t crashes = blm_count_crashes (trait);
  bool places;
  bool requests = blm_requests_differ (trait, &places);

  if (crashes < BLM_CRASHES_MIN)
    return 0;
  if (blm_has_whole_request (trait)
      || (requests && (places || crashes >= BLM_SAME_PLACE_CRASHES)))
    return crashes;
  return 0;
}

/* Keep the time of the crash EVENT.  Without it, such as when there are too
   many, the crash cannot be retracted.  */
static void
blm_keep_crash (struct blm_table *table, const struct blm_event *event)
{
  if (g_hash_table_contains (table->crashes, &event->crash)
      || g_hash_table_size (table->crashes) >= BLM_CRASH_TIMES_MAX)
    return;
  g_hash_table_insert (table->crashes,
                       g_memdup2 (&event->crash, sizeof event->crash),
                       g_memdup2 (&event->at_us, sizeof event->at_us));
}

/* Add CRASH, seen by this instance or reported by another one.  */
void
blm_add (struct blm_table *table, const struct blm_crash *crash)
{
  struct blm_event event = { .crash = crash->crash,
                             .place = crash->place,
                             .request = crash->request,
                             .at_us = blm_ago_us (table, crash->age_ms) };
  struct blm_trait *trait;
  uint32_t crashes;

  if (crash->age_ms * BLM_US_PER_MS >= BLM_EXPIRY_US)
    return;
  trait = blm_find_or_create (table, crash->trait);
  if (trait == NULL || event.at_us <= trait->cleared_us)
    return;
  blm_insert (trait, &event);
  blm_keep_crash (table, &event);
  crashes = blm_decide (trait);
  if (trait->blocked || crashes == 0)
    return;
  trait->blocked = true;
  trait->trial_us = tm_now_us (table->tm) + BLM_FIRST_TRIAL_US;
  g_ptr_array_insert (table->blocked, blm_has_whole_request (trait) ? -1 : 0,
                      trait);
  table->callbacks.blocked (table->arg, trait->id, crashes);
}

/* A request with the trait ID was answered AGE_MS ago: forget the crashes
   before.  Return whether there were any.  */
bool
blm_clear (struct blm_table *table, uint64_t id, uint32_t age_ms)
{
  struct blm_trait *trait = blm_find (table, id);
  int64_t at_us = blm_ago_us (table, age_ms);
  uint32_t later = 0;

  if (trait == NULL || trait->event_count == 0
      || at_us < trait->events[0].at_us)
    return false;
  while (later < trait->event_count && trait->events[later].at_us <= at_us)
    later++;
  trait->event_count -= later;
  for (uint32_t i = 0; i < trait->event_count; i++)
    trait->events[i] = trait->events[i + later];
  trait->cleared_us = MAX (trait->cleared_us, at_us);
  trait->trials = 0;
  if (blm_decide (trait) == 0)
    blm_unblock (table, trait, BLM_ANSWERED);
  return true;
}

/* Remove the events of TRAIT that are part of CRASH.  */
static void
blm_remove_events (struct blm_trait *trait, uint64_t crash)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < trait->event_count; i++)
    if (trait->events[i].crash != crash)
      trait->events[kept++] = trait->events[i];
  trait->event_count = kept;
}

/* Return whether the answer to a request that was sent at SINCE_US shows that
   the process which was taken to have ended in CRASH goes on.  */
bool
blm_is_disproved (const struct blm_table *table, uint64_t crash,
                  uint64_t since_us)
{
  const int64_t *at_us = g_hash_table_lookup (table->crashes, &crash);

  return at_us != NULL && (int64_t)since_us - *at_us >= BLM_DEAD_LISTED_US;
}

/* Forget CRASH, which was none: its process goes on.  */
void
blm_retract (struct blm_table *table, uint64_t crash)
{
  GHashTableIter iter;
  gpointer value;

  if (!g_hash_table_remove (table->crashes, &crash))
    return;
  g_hash_table_iter_init (&iter, table->traits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct blm_trait *trait = value;

      if (!blm_has_crash (trait, crash))
        continue;
      blm_remove_events (trait, crash);
      if (blm_decide (trait) == 0)
        blm_unblock (table, trait, BLM_ALIVE);
    }
}

static bool
blm_contains (const uint64_t *traits, size_t count, uint64_t trait)
{
  for (size_t i = 0; i < count; i++)
    if (traits[i] == trait)
      return true;
  return false;
}

/* Return whether a blocked trait that the request with TRAITS does not have
   was part of all crashes of TRAIT, and so may be the cause of them.  */
static bool
blm_is_explained (const struct blm_table *table, const struct blm_trait *trait,
                  const uint64_t *traits, size_t count)
{
  for (guint i = 0; i < table->blocked->len; i++)
    {
      const struct blm_trait *other = g_ptr_array_index (table->blocked, i);
      bool all = !blm_contains (traits, count, other->id);

      for (uint32_t j = 0; all && j < trait->event_count; j++)
        all = blm_has_crash (other, trait->events[j].crash);
      if (all)
        return true;
    }
  return false;
}

/* Return the trait ID if it is blocked, otherwise NULL.  */
static struct blm_trait *
blm_find_blocked (struct blm_table *table, uint64_t id)
{
  struct blm_trait *trait = blm_find (table, id);

  if (trait == NULL || !trait->blocked)
    return NULL;
  if (!blm_is_expired (table, trait))
    return trait;
  blm_unblock (table, trait, BLM_EXPIRED);
  g_hash_table_remove (table->traits, &id);
  return NULL;
}

/* Return whether a request with COUNT TRAITS may run, and store in TRAIT the
   one that decides unless it is clear.  MAY_TRY: this instance may let a
   single request run after a time, which doubles with each trial.  */
enum blm_verdict
blm_check (struct blm_table *table, const uint64_t *traits, size_t count,
           bool may_try, uint64_t *trait)
{
  uint64_t now_us = tm_now_us (table->tm);
  struct blm_trait *trial = NULL;

  for (size_t i = 0; table->blocked->len > 0 && i < count; i++)
    {
      struct blm_trait *found = blm_find_blocked (table, traits[i]);

      if (found == NULL || blm_is_explained (table, found, traits, count))
        continue;
      *trait = found->id;
      if (!may_try || now_us < found->trial_us)
        return BLM_BLOCKED;
      trial = found;
    }
  if (trial == NULL)
    return BLM_CLEAR;
  trial->trials++;
  trial->trial_us
      = now_us + (BLM_FIRST_TRIAL_US << MIN (trial->trials, BLM_TRIALS_MAX));
  return BLM_TRIAL;
}

/* Return whether TRAIT is blocked.  */
bool
blm_is_blocked (const struct blm_table *table, uint64_t trait)
{
  const struct blm_trait *found = blm_find (table, trait);

  return found != NULL && found->blocked;
}

/* Return the number of blocked traits.  */
uint32_t
blm_blocked_count (const struct blm_table *table)
{
  return table->blocked->len;
}

/* Return the blocked trait at INDEX, parts first, and store in WHOLE, unless
   it is NULL, whether it is that of a request as a whole.  */
uint64_t
blm_blocked_trait (const struct blm_table *table, uint32_t index, bool *whole)
{
  const struct blm_trait *trait = g_ptr_array_index (table->blocked, index);

  if (whole != NULL)
    *whole = blm_has_whole_request (trait);
  return trait->id;
}

/* Call EACH with ARG for the crashes of TRAIT.  */
void
blm_foreach (const struct blm_table *table, uint64_t trait, blm_each each,
             void *arg)
{
  const struct blm_trait *found = blm_find (table, trait);
  int64_t now_us = blm_ago_us (table, 0);

  for (uint32_t i = 0; found != NULL && i < found->event_count; i++)
    {
      const struct blm_event *event = &found->events[i];
      struct blm_crash crash
          = { .trait = trait,
              .crash = event->crash,
              .place = event->place,
              .request = event->request,
              .age_ms = (uint32_t)((now_us - event->at_us) / BLM_US_PER_MS) };

      each (arg, &crash);
    }
}

/* Return the name of REASON for log lines.  */
const char *
blm_reason_text (enum blm_reason reason)
{
  switch (reason)
    {
    case BLM_ANSWERED:
      return "answered";
    case BLM_ALIVE:
      return "alive";
    case BLM_EXPIRED:
      return "expired";
    }
  return "unknown";
}
