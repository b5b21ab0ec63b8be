#include "gw_impl.h"
#include "lg.h"

/* Crashes in one repeated message, which the leader may send to hundreds of
   instances each second.  Those of one trait are at most 16.  */
#define GW_REPEATED_CRASHES_MAX 64

/* Exchanges with other instances which requests crash endpoints, because each
   instance sees only a part of the requests.  Crashes, answers and crashes
   that turn out to be none are told at once to the group and the leader; the
   leader tells all instances which traits are blocked, until the store has a
   record.  */

enum gw_blame_audience
{
  GW_BLAME_LEADER,
  GW_BLAME_GROUP, /* and the leader */
  GW_BLAME_ALL
};

static bool
gw_blame_is_recipient (const struct gw *gw, const struct ldr_member *member,
                       enum gw_blame_audience audience)
{
  if (g_str_equal (member->instance, gw->settings->instance))
    return false;
  return audience == GW_BLAME_ALL
         || (audience == GW_BLAME_GROUP && gw_in_group (gw, member))
         || g_strcmp0 (member->instance, ldr_leader (gw->ldr)) == 0;
}

static void
gw_blame_send (struct gw *gw, cs_crash_report *report,
               enum gw_blame_audience audience)
{
  const GPtrArray *members = ldr_members (gw->ldr);

  for (guint i = 0; gw->rpc != NULL && i < members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (members, i);

      if (gw_blame_is_recipient (gw, member, audience))
        gw_peers_send (gw, member->address, COWSLIP_CRASHES,
                       (xdrproc_t)xdr_cs_crash_report, report);
    }
}

/* Tell the group and the leader of CRASHES (cs_crash) and of traits that were
   ANSWERED (cs_sound); either may be NULL.  */
void
gw_blame_tell_group (struct gw *gw, const GArray *crashes,
                     const GArray *answered)
{
  cs_crash_report report = { 0 };

  if (crashes != NULL)
    {
      report.crashes.crashes_len = MIN (crashes->len, COWSLIP_LIST_MAX);
      report.crashes.crashes_val = (cs_crash *)crashes->data;
    }
  if (answered != NULL)
    {
      report.sound.sound_len = MIN (answered->len, COWSLIP_LIST_MAX);
      report.sound.sound_val = (cs_sound *)answered->data;
    }
  gw_blame_send (gw, &report, GW_BLAME_GROUP);
}

/* Tell the group and the leader that the process which was taken to have ended
   in CRASH lives.  */
void
gw_blame_tell_alive (struct gw *gw, uint64_t crash)
{
  cs_crash_report report = { 0 };

  report.retracted.retracted_len = 1;
  report.retracted.retracted_val = &crash;
  gw_blame_send (gw, &report, GW_BLAME_GROUP);
}

static void
gw_blame_append_crash (void *arg, const struct blm_crash *crash)
{
  GArray *crashes = arg;
  cs_crash each = { .trait = crash->trait,
                    .crash = crash->crash,
                    .place = crash->place,
                    .request = crash->request,
                    .age_ms = crash->age_ms };

  g_array_append_val (crashes, each);
}

/* Tell the leader, or all instances if this is the leader, of the blocked
   traits without a record in the store.  */
void
gw_blame_tell_unsaved (struct gw *gw)
{
  GArray *crashes = g_array_new (FALSE, FALSE, sizeof (cs_crash));
  cs_crash_report report = { 0 };

  for (uint32_t i = 0; i < blm_blocked_count (gw->blame.table)
                       && crashes->len < GW_REPEATED_CRASHES_MAX;
       i++)
    {
      uint64_t trait = blm_blocked_trait (gw->blame.table, i, NULL);

      if (!gw_blame_is_saved (gw, trait))
        blm_foreach (gw->blame.table, trait, gw_blame_append_crash, crashes);
    }
  report.crashes.crashes_len = crashes->len;
  report.crashes.crashes_val = (cs_crash *)crashes->data;
  if (crashes->len > 0)
    gw_blame_send (gw, &report,
                   ldr_is_leader (gw->ldr) ? GW_BLAME_ALL : GW_BLAME_LEADER);
  g_array_unref (crashes);
}

static void
gw_blame_received (void *arg, const struct rpc_origin *origin, void *args,
                   struct rpc_request *request)
{
  struct gw *gw = arg;
  const cs_crash_report *report = args;

  (void)request;
  if (ldr_find_member (gw->ldr, origin->instance) == NULL)
    {
      ctr_add (gw->counters, "crash_reports_ignored_total", 1);
      return;
    }
  for (u_int i = 0; i < report->crashes.crashes_len; i++)
    gw_blame_add (gw, &report->crashes.crashes_val[i]);
  for (u_int i = 0; i < report->sound.sound_len; i++)
    (void)blm_clear (gw->blame.table, report->sound.sound_val[i].trait,
                     report->sound.sound_val[i].age_ms);
  for (u_int i = 0; i < report->retracted.retracted_len; i++)
    blm_retract (gw->blame.table, report->retracted.retracted_val[i]);
}

/* Accept reports from other instances.  */
void
gw_blame_register (struct gw *gw)
{
  static const struct rpc_procedure procedure
      = { COWSLIP_CRASHES, (xdrproc_t)xdr_cs_crash_report,
          sizeof (cs_crash_report), NULL, gw_blame_received };

  rpc_register (gw->rpc, &procedure, gw);
}
