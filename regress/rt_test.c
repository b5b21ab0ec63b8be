#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "rt.h"
#include "unit.h"

#define PICKS         20001
#define MEDIAN_MAX_NS 5000
#define PREFIXES      20000
#define NAME_BYTES    32
#define IN_FLIGHT     40

static struct tm_service *tm;
static gsl_rng *random_source;

static struct rt_table *
new_table (uint32_t endpoints, uint32_t batch)
{
  struct rt_table *table;
  char name[NAME_BYTES];

  tm = tm_new (1000000);
  random_source = gsl_rng_alloc (gsl_rng_taus2);
  table = rt_new (tm, random_source);
  rt_view_begin (table, 1);
  for (uint32_t i = 0; i < endpoints; i++)
    {
      g_snprintf (name, sizeof name, "10.0.%u.%u:80", i / 256, i % 256);
      rt_set_batch (table, rt_endpoint (table, name), batch);
      rt_view_ready (table, "m", name);
    }
  rt_view_end (table);
  return table;
}

static void
free_table (struct rt_table *table)
{
  rt_free (table);
  gsl_rng_free (random_source);
  tm_free (tm);
}

static int
compare (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

static int64_t
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000000000LL + t.tv_nsec;
}

/* Return the median time to pick a replica and begin a request, in
   nanoseconds.  */
static int64_t
median_ns (uint32_t endpoints)
{
  struct rt_table *table = new_table (endpoints, 32);
  static int64_t times[PICKS];
  struct rt_replica *active[IN_FLIGHT] = { NULL };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rt_endpoints (table));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rt_report_load (table, value,
                    (uint32_t)gsl_rng_uniform_int (random_source, 32), 0, 500);
  for (uint32_t i = 0; i < PICKS; i++)
    {
      struct rt_criteria criteria
          = { .prefix = gsl_rng_get (random_source) | 1 };
      struct rt_replica **slot = &active[i % IN_FLIGHT];
      int64_t start;

      if (*slot != NULL)
        rt_end_request (table, *slot);
      start = now_ns ();
      *slot = rt_pick (table, "m", &criteria);
      rt_begin_request (table, *slot);
      times[i] = now_ns () - start;
    }
  free_table (table);
  qsort (times, PICKS, sizeof times[0], compare);
  return times[PICKS / 2];
}

/* Guards against a cost of the choice that grows with the number of endpoints.
 */
static void
test_cost (void)
{
  static const uint32_t sizes[] = { 3, 30, 300, 3000 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      int64_t ns = median_ns (sizes[i]);

      printf ("\n    %u endpoints: median %lld ns per choice", sizes[i],
              (long long)ns);
      if (sizes[i] == 300)
        CU_ASSERT_TRUE (ns <= MEDIAN_MAX_NS);
    }
}

static void
pick_all (struct rt_table *table, const struct rt_endpoint **out)
{
  for (uint32_t i = 0; i < PREFIXES; i++)
    {
      struct rt_criteria criteria = { .prefix = i * 2654435761U + 1 };

      out[i] = rt_pick (table, "m", &criteria)->endpoint;
    }
}

/* Guards against remapping more prefixes than necessary, and against mapping
   most of them to few endpoints, when an endpoint is removed.  */
static void
test_prefix (void)
{
  static const struct rt_endpoint *before[PREFIXES];
  static const struct rt_endpoint *after[PREFIXES];
  struct rt_table *table = new_table (50, 0);
  struct rt_endpoint *removed = rt_find_endpoint (table, "10.0.0.7:80");
  uint32_t unchanged = 0;
  uint32_t moved = 0;

  pick_all (table, before);
  rt_view_begin (table, 2);
  for (uint32_t i = 0; i < 50; i++)
    {
      char name[NAME_BYTES];

      g_snprintf (name, sizeof name, "10.0.0.%u:80", i);
      if (i != 7)
        rt_view_ready (table, "m", name);
    }
  rt_view_end (table);
  pick_all (table, after);
  for (uint32_t i = 0; i < PREFIXES; i++)
    {
      if (before[i] == after[i])
        unchanged++;
      else if (before[i] != removed)
        moved++;
      CU_ASSERT_PTR_NOT_EQUAL_FATAL (after[i], removed);
    }
  /* 2% of the prefixes were mapped to the removed endpoint.  */
  CU_ASSERT_TRUE (unchanged > PREFIXES * 93 / 100);
  CU_ASSERT_TRUE (moved < PREFIXES * 5 / 100);
  free_table (table);
}

/* Guards against requests to an endpoint that has stragglers or is ejected,
   already tried, full or leaving while another endpoint is available; and
   against a refusal when only such endpoints remain.  */
static void
test_ranks (void)
{
  struct rt_table *table = new_table (3, 2);
  struct rt_endpoint *e0 = rt_find_endpoint (table, "10.0.0.0:80");
  struct rt_endpoint *e1 = rt_find_endpoint (table, "10.0.0.1:80");
  struct rt_endpoint *e2 = rt_find_endpoint (table, "10.0.0.2:80");
  struct rt_criteria criteria = { 0 };
  const struct rt_endpoint *tried[] = { e2 };
  struct rt_replica *r0 = g_ptr_array_index (e0->replicas, 0);

  rt_begin_request (table, r0);
  rt_count_straggler (table, r0, true);
  rt_set_ejected (table, e1, true);
  for (int i = 0; i < 100; i++)
    CU_ASSERT_PTR_EQUAL (rt_pick (table, "m", &criteria)->endpoint, e2);
  criteria.tried = tried;
  criteria.tried_count = 1;
  CU_ASSERT_PTR_EQUAL (rt_pick (table, "m", &criteria)->endpoint, e0);
  rt_begin_request (table, r0);
  CU_ASSERT_PTR_EQUAL (rt_pick (table, "m", &criteria)->endpoint, e1);
  rt_set_leaving (table, e1, true);
  CU_ASSERT_PTR_EQUAL (rt_pick (table, "m", &criteria)->endpoint, e2);
  criteria.only_untried = true;
  CU_ASSERT_PTR_NULL (rt_pick (table, "m", &criteria));
  free_table (table);
}

/* Guards against load reports that never expire, and against an older report
   that replaces a newer one.  */
static void
test_score (void)
{
  struct rt_table *table = new_table (1, 0);
  struct rt_endpoint *e = rt_find_endpoint (table, "10.0.0.0:80");

  rt_report_load (table, e, 6, 2, 0);
  rt_report_load (table, e, 99, 0, 100);
  CU_ASSERT_DOUBLE_EQUAL (rt_score (table, e), 8, 0.01);
  tm_advance (tm, tm_now_us (tm) + 4000000);
  CU_ASSERT_DOUBLE_EQUAL (rt_score (table, e), 2, 0.01);
  free_table (table);
}

/* Guards against a view that is older than the quiesce request of the
   controller and would put the replica back into use.  */
static void
test_quiesce (void)
{
  struct rt_table *table = new_table (1, 0);
  struct rt_criteria criteria = { 0 };
  struct rt_replica *r = rt_pick (table, "m", &criteria);

  rt_begin_request (table, r);
  CU_ASSERT_EQUAL (rt_quiesce (table, "m", "10.0.0.0:80"), 1);
  CU_ASSERT_PTR_NULL (rt_pick (table, "m", &criteria));
  for (uint64_t fence = 1; fence <= 2; fence++)
    {
      rt_view_begin (table, fence);
      rt_view_ready (table, "m", "10.0.0.0:80");
      rt_view_end (table);
      CU_ASSERT_EQUAL (rt_pick (table, "m", &criteria) != NULL, fence == 2);
    }
  rt_end_request (table, r);
  free_table (table);
}

static void
set_view (struct rt_table *table, bool ready)
{
  rt_view_begin (table, 1);
  if (ready)
    {
      rt_view_ready (table, "m", "10.0.0.0:80");
      rt_view_ready (table, "a", "10.0.0.0:80");
    }
  rt_view_end (table);
}

/* Guards against an unload that interrupts requests for adapters of the
   replica, and against a replica that stays unused when the controller ends
   the quiescence because of new demand.  */
static void
test_adapters (void)
{
  struct rt_table *table = new_table (1, 0);
  struct rt_criteria criteria = { 0 };
  struct rt_replica *r;

  rt_set_base (table, "a", "m");
  set_view (table, true);
  r = rt_pick (table, "a", &criteria);
  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  rt_begin_request (table, r);
  set_view (table, false);
  CU_ASSERT_EQUAL (rt_quiesce (table, "m", "10.0.0.0:80"), 1);
  CU_ASSERT_EQUAL (rt_quiesce (table, "a", "10.0.0.0:80"), 1);
  rt_end_request (table, r);
  CU_ASSERT_EQUAL (rt_quiesce (table, "m", "10.0.0.0:80"), 0);
  set_view (table, true);
  CU_ASSERT_PTR_NOT_NULL (rt_pick (table, "m", &criteria));
  CU_ASSERT_PTR_NOT_NULL (rt_pick (table, "a", &criteria));
  CU_ASSERT_EQUAL (rt_quiesce (table, "a", "10.0.0.0:80"), 0);
  CU_ASSERT_PTR_NULL (rt_pick (table, "a", &criteria));
  CU_ASSERT_PTR_NOT_NULL (rt_pick (table, "m", &criteria));
  free_table (table);
}

int
main (void)
{
  static const struct unit_test tests[] = { { "cost", test_cost },
                                            { "prefix", test_prefix },
                                            { "ranks", test_ranks },
                                            { "score", test_score },
                                            { "quiesce", test_quiesce },
                                            { "adapters", test_adapters },
                                            { NULL, NULL } };

  return unit_main ("rt", tests);
}
