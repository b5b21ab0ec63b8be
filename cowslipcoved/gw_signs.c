#include <string.h>

#include "gw_impl.h"
#include "lg.h"

/* What endpoints say of themselves in the heads of their responses, and what
   other instances have read there.  */

#define GW_UNAVAILABLE 503
#define GW_MS_PER_S    1000.0

static void
gw_mark_leaving (struct gw *gw, const char *id, uint64_t started_ms,
                 const char *source)
{
  lg_write (LG_ENDPOINT_LEAVING,
            "endpoint=%s started_ms=%" G_GUINT64_FORMAT " source=%s", id,
            started_ms, source);
  /* What it holds must be loaded elsewhere.  */
  gw_lead_schedule (gw);
}

static void
gw_read_leaving (struct gw *gw, const char *id, uint64_t started_ms)
{
  cs_endpoint_leaving notice
      = { .endpoint = (char *)id, .started_ms = started_ms };

  if (!flt_mark_leaving (gw->fleet, id, started_ms))
    return;
  ctr_add (gw->counters, "leaving_responses_total", 1);
  gw_mark_leaving (gw, id, started_ms, "response");
  gw_peers_tell_group (gw, COWSLIP_ENDPOINT_LEAVING,
                       (xdrproc_t)xdr_cs_endpoint_leaving, &notice);
}

/* Return the number of seconds in TEXT, with or without a fraction, or a
   negative number if it is none.  */
static double
gw_read_seconds (const char *text)
{
  static const char digits[] = "0123456789";
  size_t whole = strspn (text, digits);
  const char *rest = text + whole;

  if (*rest == '.')
    {
      whole += strspn (rest + 1, digits);
      rest += 1 + strspn (rest + 1, digits);
    }
  return whole == 0 || *rest != '\0' ? -1 : g_ascii_strtod (text, NULL);
}

/* Tell the leader that the endpoint ID wants no requests of this instance for
   PAUSE_MS.  */
static void
gw_tell_pause (struct gw *gw, const char *id, uint64_t started_ms,
               uint32_t pause_ms)
{
  const char *leader = ldr_leader (gw->ldr);
  const struct ldr_member *member
      = leader == NULL ? NULL : ldr_find_member (gw->ldr, leader);
  cs_endpoint_pause notice = { .endpoint = (char *)id,
                               .started_ms = started_ms,
                               .pause_ms = pause_ms };

  if (member != NULL && gw->rpc != NULL
      && !g_str_equal (leader, gw->settings->instance))
    gw_peers_send (gw, member->address, COWSLIP_ENDPOINT_PAUSE,
                   (xdrproc_t)xdr_cs_endpoint_pause, &notice);
}

/* The endpoint ID, which has refused a request, wants no others for the
   seconds in TEXT.  */
static void
gw_read_pause (struct gw *gw, const char *id, uint64_t started_ms,
               const char *text)
{
  double pause_s = gw_read_seconds (text);
  uint32_t pause_ms;

  if (pause_s < 0)
    {
      ctr_add (gw->counters, "pauses_invalid_total", 1);
      return;
    }
  pause_ms = flt_pause (gw->fleet, id, started_ms, pause_s);
  ctr_add (gw->counters, "pauses_total", 1);
  if (pause_ms / GW_MS_PER_S < pause_s)
    ctr_add (gw->counters, "pauses_shortened_total", 1);
  lg_write (LG_ENDPOINT_PAUSED,
            "endpoint=%s started_ms=%" G_GUINT64_FORMAT
            " asked_s=\"%.32s\" pause_ms=%u source=response",
            id, started_ms, text, pause_ms);
  if (pause_ms > FLT_PAUSE_SHORT_MS)
    gw_tell_pause (gw, id, started_ms, pause_ms);
}

/* Process what a response with STATUS and HEAD says of the endpoint ID, which
   started at STARTED_MS and has sent it.  */
void
gw_read_signs (struct gw *gw, const char *id, uint64_t started_ms,
               uint16_t status, const struct h1_head *head)
{
  const struct prt_fields *fields = &gw->protocol->fields;
  const char *responder = h1_head_get (head, fields->endpoint_id);
  const char *retry_after = h1_head_get (head, "Retry-After");

  /* Another endpoint may have its address now.  */
  if (responder != NULL && !g_str_equal (responder, id))
    return;
  if (g_strcmp0 (h1_head_get (head, fields->leaving), "1") == 0)
    gw_read_leaving (gw, id, started_ms);
  if (status == GW_UNAVAILABLE && retry_after != NULL)
    gw_read_pause (gw, id, started_ms, retry_after);
}

static void
gw_leaving_received (void *arg, const struct rpc_origin *origin, void *args,
                     struct rpc_request *request)
{
  struct gw *gw = arg;
  const cs_endpoint_leaving *notice = args;

  (void)request;
  if (ldr_find_member (gw->ldr, origin->instance) == NULL)
    {
      ctr_add (gw->counters, "leaving_notices_ignored_total", 1);
      return;
    }
  if (!flt_mark_leaving (gw->fleet, notice->endpoint, notice->started_ms))
    return;
  ctr_add (gw->counters, "leaving_notices_total", 1);
  gw_mark_leaving (gw, notice->endpoint, notice->started_ms, origin->instance);
}

static void
gw_pause_received (void *arg, const struct rpc_origin *origin, void *args,
                   struct rpc_request *request)
{
  struct gw *gw = arg;
  const cs_endpoint_pause *notice = args;
  uint32_t pause_ms;

  (void)request;
  if (ldr_find_member (gw->ldr, origin->instance) == NULL)
    {
      ctr_add (gw->counters, "pause_notices_ignored_total", 1);
      return;
    }
  pause_ms = flt_pause (gw->fleet, notice->endpoint, notice->started_ms,
                        notice->pause_ms / GW_MS_PER_S);
  ctr_add (gw->counters, "pause_notices_total", 1);
  lg_write (LG_ENDPOINT_PAUSED,
            "endpoint=%s started_ms=%" G_GUINT64_FORMAT
            " pause_ms=%u source=%s",
            notice->endpoint, notice->started_ms, pause_ms, origin->instance);
}

/* Accept notices of other instances.  */
void
gw_signs_register (struct gw *gw)
{
  static const struct rpc_procedure leaving
      = { COWSLIP_ENDPOINT_LEAVING, (xdrproc_t)xdr_cs_endpoint_leaving,
          sizeof (cs_endpoint_leaving), NULL, gw_leaving_received };
  static const struct rpc_procedure pause
      = { COWSLIP_ENDPOINT_PAUSE, (xdrproc_t)xdr_cs_endpoint_pause,
          sizeof (cs_endpoint_pause), NULL, gw_pause_received };

  rpc_register (gw->rpc, &leaving, gw);
  rpc_register (gw->rpc, &pause, gw);
}
