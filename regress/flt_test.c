#include <stdlib.h>
#include <string.h>

#include "flt.h"
#include "pck.h"
#include "unit.h"

/* What an instance knows of endpoints, and which one it chooses.  */

#define US_PER_MS 1000ULL

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
announce (const char *id, const char *zone, const char *model,
          uint64_t started_ms)
{
  struct flt_entry *entry = flt_entry_new ();

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

static const char *
choose (const char *model)
{
  struct pck_criteria wish
      = { .service = "s", .model = model, .zone = "z1", .instances = 1 };
  const struct flt_endpoint *endpoint = pck_choose (fleet, tm, &wish);

  return endpoint == NULL ? "none" : endpoint->entry.id;
}

static void
pass (uint64_t ms)
{
  tm_advance (tm, tm_now_us (tm) + ms * US_PER_MS);
  flt_sweep (fleet);
}

/* Guards against requests to an endpoint whose entry was removed after the
   grace time (hunt, DRAIN on zones), and against its use where another one can
   serve.  */
static void
test_withdrawn (void)
{
  reset ();
  (void)announce ("e1", "z1", NULL, 1);
  flt_remove_entry (fleet, "e1", 600);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  (void)announce ("e2", "z2", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  flt_remove_entry (fleet, "e2", 0);
  pass (1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  pass (600);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
  (void)announce ("e1", "z1", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
}

/* Guards against requests to an endpoint that leaves just after an outage of
   the store (hunt, DRAIN on scale-2), and against the loss of all endpoints
   whose entries lapsed with the outage.  */
static void
test_lapsed (void)
{
  reset ();
  (void)announce ("e1", "z1", NULL, 1);
  (void)announce ("e2", "z1", NULL, 1);
  (void)announce ("e3", "z1", NULL, 1);
  flt_remove_entry (fleet, "e1", 200);
  CU_ASSERT_FALSE (flt_extend_grace (fleet, 2000));
  pass (200);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 2);
  flt_remove_entry (fleet, "e2", 200);
  CU_ASSERT_FALSE (flt_extend_grace (fleet, 2000));
  flt_remove_entry (fleet, "e3", 200);
  CU_ASSERT_TRUE (flt_extend_grace (fleet, 2000));
  pass (1900);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 2);
  pass (100);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 0);
}

/* Guards against endpoints that are lost with a list read after an outage, and
   against endpoints that stay for ever.  */
static void
test_list (void)
{
  reset ();
  (void)announce ("e1", "z1", NULL, 1);
  (void)announce ("e2", "z1", NULL, 1);
  flt_list_begin (fleet);
  (void)announce ("e2", "z1", NULL, 1);
  flt_list_end (fleet, 2000);
  pass (1900);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 2);
  pass (200);
  CU_ASSERT_EQUAL (flt_all (fleet)->len, 1);
}

/* Guards against old announcements that undo what the leader told, and against
   news that hold for ever.  */
static void
test_news (void)
{
  struct flt_endpoint *endpoint;

  reset ();
  endpoint = announce ("e1", "z1", "m", 1);
  flt_apply_notice (fleet, endpoint, FLT_UNLOADING, "m", NULL);
  CU_ASSERT_STRING_EQUAL (choose ("m"), "none");
  (void)announce ("e1", "z1", "m", 1);
  CU_ASSERT_STRING_EQUAL (choose ("m"), "none");
  flt_apply_notice (fleet, endpoint, FLT_LOADED, "n", NULL);
  (void)announce ("e1", "z1", "m", 1);
  CU_ASSERT_STRING_EQUAL (choose ("n"), "e1");
  pass (1100);
  (void)announce ("e1", "z1", "m", 1);
  CU_ASSERT_STRING_EQUAL (choose ("n"), "none");
  /* A restart voids them.  */
  flt_apply_notice (fleet, endpoint, FLT_LOADED, "n", NULL);
  (void)announce ("e1", "z1", "m", 2);
  CU_ASSERT_STRING_EQUAL (choose ("n"), "none");
}

/* Guards against a refusal by an engine that changes what the leader counts as
   taken (hunt, LIMIT), and against requests that ask it again at once.  */
static void
test_lacks (void)
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

/* Guards against work that piles up at one endpoint: failures, load, zone.  */
static void
test_choice (void)
{
  struct flt_endpoint *own;
  struct flt_endpoint *other;

  reset ();
  own = announce ("e1", "z1", NULL, 1);
  other = announce ("e2", "z2", NULL, 1);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  own->in_flight = 6;
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  own->in_flight = 1;
  flt_set_load (fleet, own, 8, 4, 100);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  /* Told load is forgotten.  */
  pass (500);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  own->in_flight = 0;
  flt_record_failure (fleet, own, true);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e2");
  pass (300);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "e1");
  other->entry.leaving = true;
  flt_record_failure (fleet, own, true);
  CU_ASSERT_STRING_EQUAL (choose (NULL), "none");
}

int
main (void)
{
  static const struct unit_test tests[] = { { "withdrawn", test_withdrawn },
                                            { "lapsed", test_lapsed },
                                            { "list", test_list },
                                            { "news", test_news },
                                            { "lacks", test_lacks },
                                            { "choice", test_choice },
                                            { NULL, NULL } };

  return unit_main ("flt", tests);
}
