#include "gw_impl.h"
#include "lg.h"

/* What endpoints say of themselves in the heads of their responses, and what
   other instances have read there.  */

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

/* Process what HEAD, the head of a response of the endpoint ID that started at
   STARTED_MS, says of that endpoint.  */
void
gw_read_signs (struct gw *gw, const char *id, uint64_t started_ms,
               const struct h1_head *head)
{
  const struct prt_fields *fields = &gw->protocol->fields;
  const char *responder = h1_head_get (head, fields->endpoint_id);

  /* Another endpoint may have its address now.  */
  if (responder != NULL && !g_str_equal (responder, id))
    return;
  if (g_strcmp0 (h1_head_get (head, fields->leaving), "1") == 0)
    gw_read_leaving (gw, id, started_ms);
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

/* Accept notices of other instances.  */
void
gw_signs_register (struct gw *gw)
{
  static const struct rpc_procedure leaving
      = { COWSLIP_ENDPOINT_LEAVING, (xdrproc_t)xdr_cs_endpoint_leaving,
          sizeof (cs_endpoint_leaving), NULL, gw_leaving_received };

  rpc_register (gw->rpc, &leaving, gw);
}
