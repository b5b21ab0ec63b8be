#include "gw_impl.h"
#include "lg.h"

/* Exchanges with other instances which requests crash endpoints, because each
   instance sees only a part of the requests.  Crashes and answers are told at
   once to the group and the leader; the leader tells all instances which
   traits are blocked.  */

static bool
gw_blame_is_recipient (const struct gw *gw, const struct ldr_member *member,
                       bool all)
{
  if (g_str_equal (member->instance, gw->settings->instance))
    return false;
  return all || gw_in_group (gw, member)
         || g_strcmp0 (member->instance, ldr_leader (gw->ldr)) == 0;
}

/* Send REPORT to all instances, or to the group and the leader.  */
static void
gw_blame_send (struct gw *gw, cs_crash_report *report, bool all)
{
  const GPtrArray *members = ldr_members (gw->ldr);

  for (guint i = 0; gw->rpc != NULL && i < members->len; i++)
    {
      const struct ldr_member *member = g_ptr_array_index (members, i);

      if (gw_blame_is_recipient (gw, member, all))
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
  gw_blame_send (gw, &report, false);
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

/* Tell all instances of the crashes of TRAIT.  */
void
gw_blame_tell_all (struct gw *gw, uint64_t trait)
{
  GArray *crashes = g_array_new (FALSE, FALSE, sizeof (cs_crash));
  cs_crash_report report = { 0 };

  blm_foreach (gw->blame, trait, gw_blame_append_crash, crashes);
  report.crashes.crashes_len = MIN (crashes->len, COWSLIP_LIST_MAX);
  report.crashes.crashes_val = (cs_crash *)crashes->data;
  gw_blame_send (gw, &report, true);
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
    (void)blm_clear (gw->blame, report->sound.sound_val[i].trait,
                     report->sound.sound_val[i].age_ms);
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
