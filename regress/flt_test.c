#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "flt.h"
#include "kv.h"
#include "pck.h"
#include "unit.h"

/* The tests of an instance's endpoint table and of the choice of an endpoint.
 */

#define US_PER_MS 1000ULL
/* Time after which signs of endpoints without an entry are forgotten.  */
#define SIGNS_TTL_MS 600000
#define PAUSE_MAX_MS 600000
#define MODELS_MANY  100000
/* Linear work takes some tens of milliseconds.  */
#define CPU_MAX_S 2.0

static struct tm_service *tm;
static struct flt_fleet *fleet;

static void
reset (void)
{
  flt_free (fleet);
  tm_free (tm);
  tm = tm_new (1);
  fleet = flt_new (tm);
}

static struct flt_endpoint *
announce_at (const char *id, const char *zone, const char *model,
             uint64_t started_ms, int64_t revision)
{
  struct flt_entry *entry = flt_entry_new ();

  entry->revision = revision;

  entry->id = g_strdup (id);
  entry->service = g_strdup ("s");
  entry->address = g_strdup ("1.2.3.4:5");
  entry->zone = g_strdup (zone);
  entry->slots = 8;
  entry->started_ms = started_ms;
  if (model != NULL)
    (void)flt_weights_add (&entry->weights, model, 1);
  return flt_put_entry (fleet, entry);
}

static struct flt_endpoint *
announce (const char *id, const char *zone, const char *model,
          uint64_t started_ms)
{
  return announce_at (id, zone, model, started_ms, 0);
}

static void
remove_at (const char *id, int64_t revision, uint32_t grace_ms)
{
  const struct flt_grace grace = { grace_ms, 2000 };

  flt_remove_entry (fleet, id, revision, &grace);
}

static void
end_list (uint32_t removed_ms, uint32_t lost_ms)
{
  const struct flt_grace grace = { removed_ms, lost_ms };

  flt_list_end (fleet, &grace);
}

static const char *
choose (const char *model)
{
  struct pck_criteria criteria
      = { .service = "s", .model = model, .zone = "z1", .instances = 1 };
  const struct flt_endpoint *endpoint = pck_choose (fleet, tm, &criteria);

  return endpoint == NULL ? "none" : endpoint->entry.id;
}

static void
advance_ms (uint64_t ms)
{
  tm_advance (tm, tm_now_us (tm) + ms * US_PER_MS);
  flt_sweep (fleet);
}

/* Guards against requests to an endpoint after the grace time that follows the
   removal of its entry, and against its use in that time if another endpoint
   is available.  */
static void
test_removed (void)
{
  reset ();
  (void)announce ("e1", "z1", NULL, 1);
  remove_at ("e1", 0, 600);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  (void)announce ("e2", "z2", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  remove_at ("e2", 0, 0);
  advance_ms (1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  advance_ms (600);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  (void)announce ("e1", "z1", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
}

/* Guards against requests to an endpoint that leaves just after an outage of
   the store, and against the loss of all endpoints whose entries expired
   because of the outage.  */
static void
test_expired (void)
{
  reset ();
  (void)announce ("e1", "z1", NULL, 1);
  (void)announce ("e2", "z1", NULL, 1);
  (void)announce ("e3", "z1", NULL, 1);
  remove_at ("e1", 0, 200);
  CU_ASSERT_FALSE (flt_extend_grace (fleet, 2000));
  advance_ms (200);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 2);
  remove_at ("e2", 0, 200);
  CU_ASSERT_FALSE (flt_extend_grace (fleet, 2000));
  remove_at ("e3", 0, 200);
  CU_ASSERT_TRUE (flt_extend_grace (fleet, 2000));
  advance_ms (1900);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 2);
  advance_ms (100);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 0);
}

/* Guards against the immediate loss of endpoints that are missing from the
   list read after an outage, and against endpoints that are never removed.  */
static void
test_list (void)
{
  reset ();
  (void)announce ("e1", "z1", NULL, 1);
  (void)announce ("e2", "z1", NULL, 1);
  flt_list_begin (fleet, 0);
  (void)announce ("e2", "z1", NULL, 1);
  end_list (2000, 0);
  advance_ms (1900);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 2);
  advance_ms (200);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 1);
}

/* Guards against stale announcements that override a notice of the leader, and
   against notices that never expire.  */
static void
test_notices (void)
{
  struct flt_endpoint *endpoint;

  reset ();
  endpoint = announce ("e1", "z1", "m", 1);
  flt_apply_notice (fleet, endpoint, FLT_UNLOADING, "m", NULL);
  CU_ASSERT_STRING_EQUAL (choose ("m"), "none");
  (void)announce ("e1", "z1", "m", 1);
  CU_ASSERT_STRING_EQUAL (choose ("m"), "none");
  flt_apply_notice (fleet, endpoint, FLT_LOADED, "n", NULL);
  /* A notice about another model does not end the unload.  */
  CU_ASSERT_STRING_EQUAL (choose ("m"), "none");
  (void)announce ("e1", "z1", "m", 1);
  CU_ASSERT_STRING_EQUAL (choose ("n"), "e1");
  advance_ms (1100);
  (void)announce ("e1", "z1", "m", 1);
  CU_ASSERT_STRING_EQUAL (choose ("n"), "none");
  /* A restart of the endpoint invalidates its notices.  */
  flt_apply_notice (fleet, endpoint, FLT_LOADED, "n", NULL);
  (void)announce ("e1", "z1", "m", 2);
  CU_ASSERT_STRING_EQUAL (choose ("n"), "none");
}

/* Guards against requests for a model or adapter that a notice of the leader
   names, but that the engine does not hold: entries are relayed only when they
   change, so no later one corrects the notice.  */
static void
test_wrong_notice (void)
{
  struct flt_endpoint *endpoint;

  reset ();
  endpoint = announce ("e1", "z1", "m", 1);
  flt_apply_notice (fleet, endpoint, FLT_LOADED, "m", "a");
  flt_apply_notice (fleet, endpoint, FLT_LOADED, "n", NULL);
  CU_ASSERT_TRUE (flt_holds (fleet, endpoint, "m", "a"));
  CU_ASSERT_TRUE (flt_holds (fleet, endpoint, "n", NULL));
  advance_ms (2900);
  CU_ASSERT_TRUE (flt_holds (fleet, endpoint, "m", "a"));
  advance_ms (200);
  CU_ASSERT_FALSE (flt_holds (fleet, endpoint, "m", "a"));
  CU_ASSERT_FALSE (flt_holds (fleet, endpoint, "n", NULL));
  CU_ASSERT_TRUE (flt_holds (fleet, endpoint, "m", NULL));
  /* An unload that the engine did not carry out.  */
  flt_apply_notice (fleet, endpoint, FLT_UNLOADED, "m", NULL);
  CU_ASSERT_FALSE (flt_holds (fleet, endpoint, "m", NULL));
  advance_ms (3100);
  CU_ASSERT_TRUE (flt_holds (fleet, endpoint, "m", NULL));
}

/* Guards against a refusal by an engine that changes the leader's record of
   its memory, and against further requests to it right after the refusal.  */
static void
test_absent (void)
{
  struct flt_endpoint *endpoint;
  struct flt_weights weights;

  reset ();
  endpoint = announce ("e1", "z1", "m", 1);
  flt_weights_init (&weights);
  (void)flt_weights_add (&weights, "m", 1);
  flt_set_report (fleet, endpoint, &weights);
  flt_mark_absent (fleet, endpoint, "m", NULL);
  CU_ASSERT_STRING_EQUAL (choose ("m"), "none");
  CU_ASSERT_PTR_NOT_NULL (flt_weights_find (&endpoint->reported, "m"));
  flt_apply_notice (fleet, endpoint, FLT_LOADED, "m", NULL);
  CU_ASSERT_STRING_EQUAL (choose ("m"), "e1");
}

/* Guards against requests to an endpoint that leaves, when the store comes
   back from a copy in which it does not leave yet.  */
static void
test_leaving_is_final (void)
{
  struct flt_endpoint *endpoint;

  reset ();
  endpoint = announce ("e1", "z1", NULL, 1);
  endpoint->entry.leaving = true;
  endpoint->entry.leaves_in_ms = 700;
  (void)announce ("e1", "z1", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  CU_ASSERT_EQUAL (endpoint->entry.leaves_in_ms, 700);
  /* Its process has started again.  */
  (void)announce ("e1", "z1", NULL, 2);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  CU_ASSERT_EQUAL (endpoint->entry.leaves_in_ms, 0);
}

/* List the entry of the endpoint e1, unless REVISION is 0, in the store at
   LIST_REVISION.  */
static void
list (uint64_t started_ms, int64_t revision, int64_t list_revision)
{
  flt_list_begin (fleet, list_revision);
  if (revision != 0)
    (void)announce_at ("e1", "z1", NULL, started_ms, revision);
  end_list (0, 2000);
  advance_ms (1);
}

/* Guards against requests to an endpoint whose entry was removed, when the
   store comes back from a copy that still has it.  */
static void
test_removed_before_a_loss (void)
{
  int64_t era = (int64_t)1 << KV_ERA_SHIFT;

  reset ();
  (void)announce_at ("e1", "z1", NULL, 1, 10);
  remove_at ("e1", 0, 0);
  advance_ms (1);
  list (1, era + 10, era + 12);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* A relayed change from before the list.  */
  (void)announce_at ("e1", "z1", NULL, 1, era + 11);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* Its process has written it again.  */
  (void)announce_at ("e1", "z1", NULL, 1, era + 13);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  /* It is removed again and lost again.  */
  remove_at ("e1", era + 14, 0);
  advance_ms (1);
  list (1, 2 * era + 10, 2 * era + 12);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* Another process.  */
  list (2, 2 * era + 13, 2 * era + 13);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
}

/* Guards against the use of an endpoint that was missing from a list, before
   its relayed entry is known to be new, and against its loss for ever.  */
static void
test_missing_before_a_loss (void)
{
  int64_t era = (int64_t)1 << KV_ERA_SHIFT;

  reset ();
  (void)announce_at ("e1", "z1", NULL, 1, 10);
  list (0, 0, 20);
  (void)announce_at ("e1", "z1", NULL, 1, era + 10);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  advance_ms (4000);
  list (1, era + 10, era + 12);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* A process that was gone would have been removed.  */
  advance_ms (1000);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
}

/* The same for an entry that is removed while it is withheld, and for an
   endpoint that was known to leave.  */
static void
test_left_before_a_loss (void)
{
  int64_t era = (int64_t)1 << KV_ERA_SHIFT;

  reset ();
  (void)announce_at ("e1", "z1", NULL, 1, 10);
  remove_at ("e1", 0, 0);
  advance_ms (1);
  list (1, era + 10, era + 12);
  remove_at ("e1", era + 13, 0);
  advance_ms (6000);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* Without a loss since, its process has written it again.  */
  list (1, era + 14, era + 14);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  announce_at ("e1", "z1", NULL, 2, era + 15)->entry.leaving = true;
  remove_at ("e1", era + 16, 0);
  advance_ms (1);
  list (2, 2 * era + 10, 2 * era + 12);
  advance_ms (6000);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
}

/* Guards against taking a process for restarted, and no longer leaving, whose
   earlier start is in the copy.  */
static void
test_earlier_start (void)
{
  int64_t era = (int64_t)1 << KV_ERA_SHIFT;
  struct flt_endpoint *endpoint;
  struct flt_weights weights;

  reset ();
  endpoint = announce_at ("e1", "z1", NULL, 2, 10);
  endpoint->entry.leaving = true;
  flt_weights_init (&weights);
  flt_set_report (fleet, endpoint, &weights);
  list (1, era + 8, era + 12);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  CU_ASSERT_PTR_EQUAL (flt_find (fleet, "e1"), endpoint);
  CU_ASSERT_TRUE (endpoint->listed);
  CU_ASSERT_TRUE (endpoint->has_report);
  /* Its clock was set back before it started again.  */
  (void)announce_at ("e1", "z1", NULL, 1, era + 13);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  CU_ASSERT_FALSE (endpoint->has_report);
}

/* Guards against the loss of an endpoint that is newer than the copy, until
   its process has written the entry again.  */
static void
test_newer_than_copy (void)
{
  int64_t era = (int64_t)1 << KV_ERA_SHIFT;

  reset ();
  list (1, 10, 12);
  list (0, 0, era + 8);
  advance_ms (1500);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  (void)announce_at ("e1", "z1", NULL, 1, era + 9);
  advance_ms (1000);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  /* The relay reports entries that the store has lost as removed.  */
  remove_at ("e1", 2 * era + 8, 0);
  advance_ms (1500);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  list (1, 2 * era + 9, 2 * era + 10);
  advance_ms (1000);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  /* Without a loss it has left.  */
  list (0, 0, 2 * era + 12);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* Its removal is older than a list that lacked it, and than its entry.  */
  list (0, 0, 3 * era + 8);
  list (1, 3 * era + 9, 3 * era + 10);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
}

/* Guards against requests to an endpoint that leaves without a notice, at an
   instance whose entries did not change when the store came back from a copy:
   they keep a revision of before.  */
static void
test_removed_long_after_a_loss (void)
{
  int64_t era = (int64_t)1 << KV_ERA_SHIFT;

  reset ();
  list (1, 10, 12);
  flt_set_era (fleet, 1);
  advance_ms (3000);
  remove_at ("e1", era + 40, 500);
  advance_ms (600);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* A restart after the clock of its host was set back.  */
  reset ();
  (void)announce_at ("e1", "z1", NULL, 2, 10);
  flt_set_era (fleet, 1);
  advance_ms (6000);
  (void)announce_at ("e1", "z1", NULL, 1, era + 50);
  CU_ASSERT_EQUAL (flt_find (fleet, "e1")->entry.started_ms, 1);
}

/* Guards against the loss of endpoints whose entries expired in an outage and
   come back after it.  */
static void
test_expired_before_a_loss (void)
{
  int64_t era = (int64_t)1 << KV_ERA_SHIFT;

  reset ();
  (void)announce_at ("e1", "z1", NULL, 1, 10);
  remove_at ("e1", 0, 0);
  CU_ASSERT_TRUE (flt_extend_grace (fleet, 2000));
  advance_ms (3000);
  list (1, era + 10, era + 12);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  /* Without a loss a listed entry is newer than its removal.  */
  remove_at ("e1", era + 13, 0);
  advance_ms (1);
  list (1, era + 14, era + 14);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
}

/* Guards against overload of one endpoint: the choice depends on the zone, the
   load and recent failures.  */
static void
test_choice (void)
{
  struct flt_endpoint *local;
  struct flt_endpoint *remote;

  reset ();
  local = announce ("e1", "z1", NULL, 1);
  remote = announce ("e2", "z2", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  local->in_flight = 6;
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  local->in_flight = 1;
  flt_set_load (fleet, local, 8, 4, 100);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  /* The reported load has expired.  */
  advance_ms (500);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  local->in_flight = 0;
  flt_record_failure (fleet, local, true);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  advance_ms (300);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  remote->entry.leaving = true;
  flt_record_failure (fleet, local, true);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
}

/* Guards against requests to an endpoint that has said that it leaves, also
   after its entry was removed and written again, and against the loss of the
   endpoint after a restart.  */
static void
test_said_leaving (void)
{
  reset ();
  (void)announce ("e1", "z1", NULL, 1);
  CU_ASSERT_TRUE (flt_mark_leaving (fleet, "e1", 1));
  CU_ASSERT_FALSE (flt_mark_leaving (fleet, "e1", 1));
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  (void)announce ("e1", "z1", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  remove_at ("e1", 0, 0);
  advance_ms (1);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 0);
  (void)announce ("e1", "z1", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  (void)announce ("e1", "z1", NULL, 2);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  /* Notices about an earlier start, and before the entry is known.  */
  CU_ASSERT_TRUE (flt_mark_leaving (fleet, "e1", 0));
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  CU_ASSERT_TRUE (flt_mark_leaving (fleet, "e1", 3));
  (void)announce ("e1", "z1", NULL, 3);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* The sign is kept while the endpoint has an entry.  */
  advance_ms (SIGNS_TTL_MS);
  (void)flt_mark_leaving (fleet, "e2", 1);
  (void)announce ("e1", "z1", NULL, 3);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  CU_ASSERT_TRUE (flt_mark_leaving (fleet, "e1", 0));
}

/* Guards against requests to an endpoint that wants none for some time, also
   if an earlier request completes there or its entry is written again; and
   against its loss if that time is absurd or it has restarted.  */
static void
test_pause (void)
{
  struct flt_endpoint *endpoint;

  reset ();
  endpoint = announce ("e1", "z1", NULL, 1);
  CU_ASSERT_EQUAL (flt_pause (fleet, "e1", 1, 2.5), 2500);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  /* A shorter pause does not end the longer one.  */
  CU_ASSERT_EQUAL (flt_pause (fleet, "e1", 1, 0.5), 500);
  flt_record_success (endpoint);
  (void)announce ("e1", "z1", NULL, 1);
  advance_ms (1000);
  CU_ASSERT_EQUAL (flt_pause_ms (fleet, endpoint), 1500);
  remove_at ("e1", 0, 0);
  advance_ms (1);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 0);
  (void)announce ("e1", "z1", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  advance_ms (1499);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  CU_ASSERT_EQUAL (flt_pause (fleet, "e1", 1, 315360000.0), PAUSE_MAX_MS);
  advance_ms (PAUSE_MAX_MS - 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  advance_ms (1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  (void)flt_pause (fleet, "e1", 1, INFINITY);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  (void)announce ("e1", "z1", NULL, 2);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
}

/* Guards against a wait for endpoints of which none takes requests in time,
   and against refusing a request that one may take.  */
static void
test_pause_left (void)
{
  struct pck_criteria criteria
      = { .service = "s", .model = "m", .zone = "z1", .instances = 1 };
  struct flt_endpoint *second;

  reset ();
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 0);
  (void)announce ("e1", "z1", "m", 1);
  (void)announce ("e3", "z1", "n", 1);
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 0);
  (void)flt_pause (fleet, "e1", 1, 3.0);
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 3000);
  second = announce ("e2", "z2", "m", 1);
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 0);
  /* It may take requests again before the first one does.  */
  flt_record_failure (fleet, second, true);
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 0);
  (void)flt_pause (fleet, "e2", 1, 2.0);
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 2000);
  (void)flt_mark_leaving (fleet, "e2", 1);
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 3000);
  advance_ms (3000);
  CU_ASSERT_EQUAL (pck_pause_ms (fleet, &criteria), 0);
}

/* Guards against an instance that answers nobody for seconds because an entry
   or a report names many models.  */
static void
test_many_models (void)
{
  double start_s = (double)clock () / CLOCKS_PER_SEC;
  struct flt_weights weights;
  struct flt_weights copy;
  char name[16];

  flt_weights_init (&weights);
  flt_weights_init (&copy);
  for (uint32_t i = 0; i < MODELS_MANY; i++)
    {
      g_snprintf (name, sizeof name, "m%u", i);
      (void)flt_weights_add (&weights, name, i);
    }
  flt_weights_copy_models (&copy, &weights);
  CU_ASSERT_EQUAL (copy.models->len, MODELS_MANY);
  CU_ASSERT_EQUAL (flt_weights_find (&copy, "m7")->version, 7);
  CU_ASSERT_EQUAL (flt_weights_add (&copy, "m7", 8)->version, 8);
  CU_ASSERT_EQUAL (copy.models->len, MODELS_MANY);
  CU_ASSERT_TRUE (flt_weights_drop (&copy, "m7"));
  CU_ASSERT_FALSE (flt_weights_drop (&copy, "m7"));
  CU_ASSERT_PTR_NULL (flt_weights_find (&copy, "m7"));
  CU_ASSERT_PTR_NOT_NULL (flt_weights_find (&weights, "m7"));
  CU_ASSERT_TRUE ((double)clock () / CLOCKS_PER_SEC - start_s < CPU_MAX_S);
  flt_weights_clear (&copy);
  flt_weights_clear (&weights);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "removed", test_removed },
          { "expired", test_expired },
          { "list", test_list },
          { "news", test_notices },
          { "wrong notice", test_wrong_notice },
          { "absent", test_absent },
          { "leaving is final", test_leaving_is_final },
          { "removed before a loss of changes", test_removed_before_a_loss },
          { "missing before a loss of changes", test_missing_before_a_loss },
          { "left before a loss of changes", test_left_before_a_loss },
          { "newer than the copy", test_newer_than_copy },
          { "earlier start", test_earlier_start },
          { "removed long after a loss of changes",
            test_removed_long_after_a_loss },
          { "expired before a loss of changes", test_expired_before_a_loss },
          { "choice", test_choice },
          { "said that it leaves", test_said_leaving },
          { "pause", test_pause },
          { "pause that is left", test_pause_left },
          { "many models", test_many_models },
          { NULL, NULL } };

  return unit_main ("flt", tests);
}
