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
#define ZONE_COLD      110
#define ZONE_OTHERS    182
#define NAME_BYTES     32
#define ZONE_SECONDS   600
#define ZONE_CHANGE_US 1428571
#define SLICE_US       10000
/* What RPC adds to each push, measured with rpc_bytes_sent.  */
#define RPC_BYTES 132
/* Of the controller, for all its traffic in a second.  */
#define BUDGET_BYTES 29000

/* Guards against views that differ after lost, delayed, reordered and
   duplicated pushes and restarts, that go back, that are sent in full without
   need, and against a quiescence that a late view undoes.  */
static void
test_faults (void)
{
  const char *only = getenv ("VWP_SEED");
  uint64_t first = only == NULL ? 1 : strtoul (only, NULL, 10);
  uint64_t last = only == NULL ? SEEDS : first;
  struct vwp_sim_totals totals = { 0 };

  for (uint64_t seed = first; seed <= last; seed++)
    CU_ASSERT (vwp_sim_run (seed, &totals));
  printf ("%u pushes, %u with everything, %u refused, %u quiescent; ",
          totals.pushes, totals.full, totals.refused, totals.quiet);
  /* Without these cases the run has shown nothing.  */
  CU_ASSERT (totals.full > 0 && totals.refused > 0 && totals.quiet > 0);
}

/* What the pushes of one test were.  */
struct count
{
  struct tm_service *tm;
  struct vwp *vwp;
  uint64_t pushes;
  uint64_t bytes;
  uint64_t id;
  uint64_t ids[ZONE_PEERS]; /* not answered; 0: none */
  char instances[ZONE_PEERS][NAME_BYTES];
};

static bool
on_send (void *arg, const char *instance, const struct vw_update *update,
         uint64_t id)
{
  struct count *count = arg;
  cs_view view = control_encode_update (update, tm_now_us (count->tm));

  count->ids[strtoul (instance + strlen ("zone-a-"), NULL, 10)] = id;
  count->pushes++;
  count->id = id;
  count->bytes += xdr_sizeof ((xdrproc_t)xdr_cs_view, &view);
  g_free (view.replicas.replicas_val);
  g_free (view.removed.removed_val);
  return true;
}

static void
setup (struct count *count, uint32_t peers)
{
  static const struct vwp_callbacks callbacks = { on_send };
  struct vwp_member members[ZONE_PEERS];

  *count = (struct count){ .tm = tm_new (SECOND_US) };
  count->vwp = vwp_new (count->tm, &callbacks, count);
  for (uint32_t i = 0; i < peers; i++)
    {
      g_snprintf (count->instances[i], NAME_BYTES, "zone-a-%u", i);
      members[i] = (struct vwp_member){ count->instances[i], 1, true };
    }
  vwp_set_members (count->vwp, members, peers);
}

static void
drop (struct count *count)
{
  vwp_free (count->vwp);
  tm_free (count->tm);
}

static void
settle (struct count *count, uint64_t us)
{
  tm_advance (count->tm, tm_now_us (count->tm) + us);
}

/* Each row is a change of one replica from the first state to the second, with
   a time until readiness before and after it (0: none), and whether members
   are told at once, after the spacing, or not at all.  Guards against waiting
   requests that learn late of a ready replica, and against pushes for
   estimates that hardly move.  */
static void
test_changes (void)
{
  static const struct
  {
    enum vw_state from;
    enum vw_state to;
    uint64_t ready_before_us;
    uint64_t ready_after_us;
    uint64_t pushes_at_once;
    uint64_t pushes_later;
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
      struct count count;
      struct vw_view *view;
      uint64_t base_us = 2 * SECOND_US;

      setup (&count, 1);
      for (uint64_t turn = 1; turn <= 2; turn++)
        {
          uint64_t ready_us
              = turn == 1 ? rows[i].ready_before_us : rows[i].ready_after_us;

          view = vw_new ("a", 1, turn);
          (void)vw_add (view, "m", "e", turn == 1 ? rows[i].from : rows[i].to,
                        ready_us == 0 ? 0 : base_us + ready_us);
          vwp_set_view (count.vwp, view);
          vw_free (view);
          settle (&count, 0);
          if (turn == 1)
            vwp_push_done (count.vwp, "zone-a-0", count.id, true, 1, 1);
        }
      CU_ASSERT_EQUAL (count.pushes, 1 + rows[i].pushes_at_once);
      settle (&count, VWP_PUSH_INTERVAL_US);
      CU_ASSERT_EQUAL (count.pushes, 1 + rows[i].pushes_later);
      drop (&count);
    }
}

/* Guards against one push for each of many changes.  */
static void
test_spacing (void)
{
  struct count count;

  setup (&count, 1);
  for (uint64_t i = 1; i <= CHANGES; i++)
    {
      struct vw_view *view = vw_new ("a", 1, i);

      (void)vw_add (view, "m", "e", i % 2 == 0 ? VW_COLD : VW_LOADING, 0);
      vwp_set_view (count.vwp, view);
      vw_free (view);
      settle (&count, 1000);
      vwp_push_done (count.vwp, "zone-a-0", count.id, true, 1, i);
    }
  CU_ASSERT (count.pushes <= 1 + CHANGES * 1000 / VWP_PUSH_INTERVAL_US);
  drop (&count);
}

static struct vw_view *
zone_view (uint64_t sequence, enum vw_state state)
{
  struct vw_view *view = vw_new ("zone-a", 1, sequence);
  char model[NAME_BYTES];
  char address[NAME_BYTES];

  for (uint32_t i = 0; i < ZONE_COLD + ZONE_OTHERS; i++)
    {
      g_snprintf (model, sizeof model, i < ZONE_COLD ? "model-%u" : "ad-%u",
                  i);
      g_snprintf (address, sizeof address, "10.0.%u.%u:8000", i / 256,
                  i % 256);
      (void)vw_add (view, model, address, i == 0 ? state : VW_READY, 0);
    }
  return view;
}

static void
answer_all (struct count *count, uint64_t sequence)
{
  for (uint32_t i = 0; i < ZONE_PEERS; i++)
    if (count->ids[i] != 0)
      vwp_push_done (count->vwp, count->instances[i], count->ids[i], true, 1,
                     sequence);
  memset (count->ids, 0, sizeof count->ids);
}

/* Guards against pushes that grow with the size of the zone again, and against
   more than a third of the controller's budget for them: ten minutes of the
   target zone, in which one of 292 replicas changes 0.7 times a second.  */
static void
test_bytes (void)
{
  struct count count;
  uint64_t full_bytes = 0;
  uint64_t sequence = 1;
  uint64_t bytes;

  setup (&count, ZONE_PEERS);
  for (uint64_t us = 0; us < ZONE_SECONDS * SECOND_US; us += SLICE_US)
    {
      if (us >= (sequence - 1) * ZONE_CHANGE_US)
        {
          struct vw_view *view = zone_view (
              sequence, sequence % 2 == 0 ? VW_READY : VW_QUIESCING);

          vwp_set_view (count.vwp, view);
          vw_free (view);
          sequence++;
        }
      settle (&count, SLICE_US);
      answer_all (&count, sequence - 1);
      if (us == 0)
        full_bytes = count.bytes;
    }
  bytes = count.bytes - full_bytes + count.pushes * RPC_BYTES;
  printf ("%u entries: %lu bytes in full, %lu a change, %lu a second; ",
          ZONE_COLD + ZONE_OTHERS, (unsigned long)(full_bytes / ZONE_PEERS),
          (unsigned long)((count.bytes - full_bytes)
                          / (count.pushes - ZONE_PEERS)),
          (unsigned long)(bytes / ZONE_SECONDS));
  CU_ASSERT (bytes / ZONE_SECONDS < BUDGET_BYTES / 3);
  drop (&count);
}

/* Guards against a member that keeps a replica whose removal the controller
   has forgotten.  */
static void
test_removals (void)
{
  struct vwp_log *log = vwp_log_new (2);

  for (uint64_t sequence = 1; sequence <= 4; sequence++)
    {
      struct vw_view *view = zone_view (sequence, VW_READY);

      g_ptr_array_set_size (view->replicas, (gint)(ZONE_COLD + 1 - sequence));
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
