#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "unit.h"
#include "vwp_log.h"
#include "vwp_sim.h"

#define SEEDS          200
#define CHANGES        100
#define SECOND_US      1000000
#define ZONE_PEERS     32
#define ZONE_MODELS    110
#define ZONE_ADAPTERS  182
#define NAME_BYTES     32
#define ZONE_SECONDS   600
#define ZONE_CHANGE_US 1428571
#define SLICE_US       10000
/* Overhead of an RPC per push, as counted by rpc_bytes_sent.  */
#define RPC_BYTES 132
/* Network budget of the controller, in bytes per second.  */
#define BUDGET_BYTES 29000

/* Guards against views that diverge or become older after lost, delayed,
   reordered and duplicated pushes and restarts, against unnecessary full
   views, and against a quiescence that a late view reverts.  */
static void
test_faults (void)
{
  const char *only = getenv ("VWP_SEED");
  uint64_t first = only == NULL ? 1 : strtoul (only, NULL, 10);
  uint64_t last = only == NULL ? SEEDS : first;
  struct vwp_sim_totals totals = { 0 };

  for (uint64_t seed = first; seed <= last; seed++)
    CU_ASSERT (vwp_sim_run (seed, &totals));
  printf ("%u pushes, %u full, %u rejected, %u quiesced; ", totals.pushes,
          totals.full, totals.rejected, totals.quiesced);
  /* All three cases must occur for the test to be meaningful.  */
  CU_ASSERT (totals.full > 0 && totals.rejected > 0 && totals.quiesced > 0);
}

/* A publisher and the pushes that it has sent.  */
struct fixture
{
  struct tm_service *tm;
  struct vwp *vwp;
  uint64_t pushes;
  uint64_t bytes;
  uint64_t id;
  uint64_t ids[ZONE_PEERS]; /* pending; 0: none */
  char instances[ZONE_PEERS][NAME_BYTES];
};

static bool
on_send (void *arg, const char *instance, const struct vw_update *update,
         uint64_t id)
{
  struct fixture *fixture = arg;
  cs_view view = control_encode_update (update, tm_now_us (fixture->tm));

  fixture->ids[strtoul (instance + strlen ("zone-a-"), NULL, 10)] = id;
  fixture->pushes++;
  fixture->id = id;
  fixture->bytes += xdr_sizeof ((xdrproc_t)xdr_cs_view, &view);
  g_free (view.replicas.replicas_val);
  g_free (view.removed.removed_val);
  return true;
}

static void
setup (struct fixture *fixture, uint32_t peers)
{
  static const struct vwp_callbacks callbacks = { on_send };
  struct vwp_member members[ZONE_PEERS];

  *fixture = (struct fixture){ .tm = tm_new (SECOND_US) };
  fixture->vwp = vwp_new (fixture->tm, &callbacks, fixture);
  for (uint32_t i = 0; i < peers; i++)
    {
      g_snprintf (fixture->instances[i], NAME_BYTES, "zone-a-%u", i);
      members[i] = (struct vwp_member){ fixture->instances[i], 1, true };
    }
  vwp_set_members (fixture->vwp, members, peers);
}

static void
teardown (struct fixture *fixture)
{
  vwp_free (fixture->vwp);
  tm_free (fixture->tm);
}

static void
advance (struct fixture *fixture, uint64_t us)
{
  tm_advance (fixture->tm, tm_now_us (fixture->tm) + us);
}

/* Each row is a change of the state and of the estimated ready time (0: none)
   of a replica, with the number of pushes for it at once and after the push
   interval.  Guards against waiting requests that are notified late of a ready
   replica, and against pushes for insignificant changes of estimates.  */
static void
test_changes (void)
{
  static const struct
  {
    enum vw_state from;
    enum vw_state to;
    uint64_t ready_before_us;
    uint64_t ready_after_us;
    uint64_t immediate_pushes;
    uint64_t total_pushes;
  } rows[] = {
    { VW_LOADING, VW_READY, 0, 0, 1, 1 },
    { VW_READY, VW_QUIESCING, 0, 0, 1, 1 },
    { VW_COLD, VW_LOADING, 0, 0, 0, 1 },
    { VW_COLD, VW_COLD, 0, 5000000, 0, 1 },
    { VW_LOADING, VW_LOADING, 1000000, 1190000, 0, 0 },
    { VW_LOADING, VW_LOADING, 1000000, 1260000, 0, 1 },
    { VW_LOADING, VW_LOADING, 20000000, 21500000, 0, 0 },
    { VW_LOADING, VW_LOADING, 20000000, 23000000, 0, 1 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct fixture fixture;
      struct vw_view *view;
      uint64_t base_us = 2 * SECOND_US;

      setup (&fixture, 1);
      for (uint64_t round = 1; round <= 2; round++)
        {
          uint64_t ready_us
              = round == 1 ? rows[i].ready_before_us : rows[i].ready_after_us;

          view = vw_new ("a", 1, round);
          (void)vw_add (view, "m", "e", round == 1 ? rows[i].from : rows[i].to,
                        ready_us == 0 ? 0 : base_us + ready_us);
          vwp_set_view (fixture.vwp, view);
          vw_free (view);
          advance (&fixture, 0);
          if (round == 1)
            vwp_push_done (fixture.vwp, "zone-a-0", fixture.id, true, 1, 1);
        }
      CU_ASSERT_EQUAL (fixture.pushes, 1 + rows[i].immediate_pushes);
      advance (&fixture, VWP_PUSH_INTERVAL_US);
      CU_ASSERT_EQUAL (fixture.pushes, 1 + rows[i].total_pushes);
      teardown (&fixture);
    }
}

/* Guards against a push for each of many changes in quick succession.  */
static void
test_spacing (void)
{
  struct fixture fixture;

  setup (&fixture, 1);
  for (uint64_t i = 1; i <= CHANGES; i++)
    {
      struct vw_view *view = vw_new ("a", 1, i);

      (void)vw_add (view, "m", "e", i % 2 == 0 ? VW_COLD : VW_LOADING, 0);
      vwp_set_view (fixture.vwp, view);
      vw_free (view);
      advance (&fixture, 1000);
      vwp_push_done (fixture.vwp, "zone-a-0", fixture.id, true, 1, i);
    }
  CU_ASSERT (fixture.pushes <= 1 + CHANGES * 1000 / VWP_PUSH_INTERVAL_US);
  teardown (&fixture);
}

static struct vw_view *
zone_view (uint64_t sequence, enum vw_state state)
{
  struct vw_view *view = vw_new ("zone-a", 1, sequence);
  char model[NAME_BYTES];
  char address[NAME_BYTES];

  for (uint32_t i = 0; i < ZONE_MODELS + ZONE_ADAPTERS; i++)
    {
      g_snprintf (model, sizeof model, i < ZONE_MODELS ? "model-%u" : "ad-%u",
                  i);
      g_snprintf (address, sizeof address, "10.0.%u.%u:8000", i / 256,
                  i % 256);
      (void)vw_add (view, model, address, i == 0 ? state : VW_READY, 0);
    }
  return view;
}

static void
ack_all (struct fixture *fixture, uint64_t sequence)
{
  for (uint32_t i = 0; i < ZONE_PEERS; i++)
    if (fixture->ids[i] != 0)
      vwp_push_done (fixture->vwp, fixture->instances[i], fixture->ids[i],
                     true, 1, sequence);
  memset (fixture->ids, 0, sizeof fixture->ids);
}

/* Guards against pushes that grow with the size of the zone, and against
   pushes that use more than a third of the controller's network budget: ten
   minutes of a zone in which one of 292 replicas changes 0.7 times a second.
   */
static void
test_bytes (void)
{
  struct fixture fixture;
  uint64_t full_bytes = 0;
  uint64_t sequence = 1;
  uint64_t bytes;

  setup (&fixture, ZONE_PEERS);
  for (uint64_t us = 0; us < ZONE_SECONDS * SECOND_US; us += SLICE_US)
    {
      if (us >= (sequence - 1) * ZONE_CHANGE_US)
        {
          struct vw_view *view = zone_view (
              sequence, sequence % 2 == 0 ? VW_READY : VW_QUIESCING);

          vwp_set_view (fixture.vwp, view);
          vw_free (view);
          sequence++;
        }
      advance (&fixture, SLICE_US);
      ack_all (&fixture, sequence - 1);
      if (us == 0)
        full_bytes = fixture.bytes;
    }
  bytes = fixture.bytes - full_bytes + fixture.pushes * RPC_BYTES;
  printf ("%u entries: %lu bytes in full, %lu a change, %lu a second; ",
          ZONE_MODELS + ZONE_ADAPTERS,
          (unsigned long)(full_bytes / ZONE_PEERS),
          (unsigned long)((fixture.bytes - full_bytes)
                          / (fixture.pushes - ZONE_PEERS)),
          (unsigned long)(bytes / ZONE_SECONDS));
  CU_ASSERT (bytes / ZONE_SECONDS < BUDGET_BYTES / 3);
  teardown (&fixture);
}

/* Guards against a member that retains a replica whose removal is no longer in
   the log of the controller.  */
static void
test_removals (void)
{
  struct vwp_log *log = vwp_log_new (2);

  for (uint64_t sequence = 1; sequence <= 4; sequence++)
    {
      struct vw_view *view = zone_view (sequence, VW_READY);

      g_ptr_array_set_size (view->replicas,
                            (gint)(ZONE_MODELS + 1 - sequence));
      (void)vwp_log_update (log, view, SECOND_US);
      vw_free (view);
    }
  for (uint64_t since = 1; since <= 3; since++)
    {
      struct vw_update *update = vwp_log_since (log, 1, since);

      CU_ASSERT_EQUAL (update->base, since == 1 ? 0 : since);
      CU_ASSERT_EQUAL (update->removed->len, since == 1 ? 0 : 4 - since);
      vw_update_free (update);
    }
  vwp_log_free (log);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "faults", test_faults },     { "changes", test_changes },
          { "spacing", test_spacing },   { "bytes", test_bytes },
          { "removals", test_removals }, { NULL, NULL } };

  return unit_main ("vwp", tests);
}
