#include "control_impl.h"
#include "peers.h"
#include "requests.h"

/* Encode or decode empty arguments or an empty result.  */
bool_t
control_xdr_void (XDR *xdr, ...)
{
  (void)xdr;
  return TRUE;
}

/* Return the member INSTANCE, or NULL if it is unknown.  */
const struct mem_member *
control_member (const struct cd_control *control, const char *instance)
{
  const struct mem_table *table = cd_members (control->daemon);

  return table == NULL ? NULL : mem_find (table, instance);
}

static void
control_serve_view (void *arg, const struct rpc_origin *origin, void *args,
                    struct rpc_request *request)
{
  struct cd_control *control = arg;
  const cs_view *in = args;
  struct vw_update *update
      = control_decode_update (in, tm_now_us (control->daemon->tm));
  cs_view_reply current = { 0 };

  control_apply_update (control, update, origin->instance);
  vw_update_free (update);
  if (control->view != NULL)
    {
      current.fence = control->view->fence;
      current.sequence = control->view->sequence;
    }
  rpc_send_reply (request, &current);
}

static void
control_serve_demand (void *arg, const struct rpc_origin *origin, void *args,
                      struct rpc_request *request)
{
  const cs_demand_report *report = args;

  control_apply_demand (arg, origin->instance, report->demands.demands_val,
                        report->demands.demands_len);
  rpc_send_reply (request, NULL);
}

/* Quiesce a replica: route no new requests to it, if the latest view permits
   that.  */
static cs_quiesce_reply
control_quiesce (struct cd_control *control, uint64_t fence, uint64_t sequence,
                 const char *model, const char *endpoint)
{
  cs_quiesce_reply reply = { 0 };

  if (!vw_is_quiesced (control->view, fence, sequence, model, endpoint))
    return reply;
  reply.accepted = TRUE;
  reply.in_flight = cd_requests_quiesce (control->daemon, model, endpoint);
  return reply;
}

static void
control_serve_quiesce (void *arg, const struct rpc_origin *origin, void *args,
                       struct rpc_request *request)
{
  const cs_quiesce *in = args;
  cs_quiesce_reply reply = control_quiesce (arg, in->fence, in->sequence,
                                            in->model, in->endpoint);

  (void)origin;
  rpc_send_reply (request, &reply);
}

static void
control_serve_promise (void *arg, const struct rpc_origin *origin, void *args,
                       struct rpc_request *request)
{
  struct cd_control *control = arg;
  const cs_promise *in = args;
  cs_promise_reply reply = { FALSE };

  if (g_str_equal (in->holder, origin->instance))
    reply.promised
        = own_grant_promise (control->own, origin->instance, in->fence,
                             MIN (in->duration_ms, OWN_PROMISE_MS));
  rpc_send_reply (request, &reply);
}

/* Register the RPC procedures of zone control.  */
void
control_register (struct cd_control *control)
{
  static const struct rpc_procedure procedures[]
      = { { COWSLIP_VIEW, (xdrproc_t)xdr_cs_view, sizeof (cs_view),
            (xdrproc_t)xdr_cs_view_reply, control_serve_view },
          { COWSLIP_DEMAND, (xdrproc_t)xdr_cs_demand_report,
            sizeof (cs_demand_report), control_xdr_void,
            control_serve_demand },
          { COWSLIP_QUIESCE, (xdrproc_t)xdr_cs_quiesce, sizeof (cs_quiesce),
            (xdrproc_t)xdr_cs_quiesce_reply, control_serve_quiesce },
          { COWSLIP_PROMISE, (xdrproc_t)xdr_cs_promise, sizeof (cs_promise),
            (xdrproc_t)xdr_cs_promise_reply, control_serve_promise } };

  for (size_t i = 0; i < G_N_ELEMENTS (procedures); i++)
    rpc_register (control->daemon->rpc, &procedures[i], control);
}

/* Apply the DEMANDS of INSTANCE if this instance controls the zone.  */
void
control_apply_demand (struct cd_control *control, const char *instance,
                      const cs_demand *demands, uint32_t count)
{
  uint64_t now_us = tm_now_us (control->daemon->tm);

  for (uint32_t i = 0; own_is_holder (control->own) && i < count; i++)
    {
      struct plc_demand demand
          = { .model = demands[i].model,
              .waiting = demands[i].waiting,
              .earliest_us
              = now_us + demands[i].earliest_ms * CONTROL_US_PER_MS,
              .priority = demands[i].priority,
              .arrivals = demands[i].arrivals };

      plc_update_demand (control->plc, instance, &demand);
    }
}

static void
control_demand_done (void *arg, enum rpc_outcome outcome, void *result)
{
  (void)outcome;
  (void)result;
  control_call_free (arg);
}

/* Send DEMANDS to HOLDER.  A lost report is not repeated; the next one
   replaces it.  */
void
control_send_demand (struct cd_control *control, const char *holder,
                     const cs_demand *demands, uint32_t count)
{
  struct cd_daemon *daemon = control->daemon;
  const struct mem_member *member = control_member (control, holder);
  cs_demand_report report
      = { .instance = daemon->settings->instance,
          .incarnation = daemon->incarnation,
          .demands = { MIN (count, COWSLIP_LIST_MAX), (cs_demand *)demands } };
  struct rpc_call call = { .procedure = COWSLIP_DEMAND,
                           .encode_args = (xdrproc_t)xdr_cs_demand_report,
                           .args = &report,
                           .decode_result = control_xdr_void,
                           .timeout_ms = CONTROL_RPC_TIMEOUT_MS };

  if (member == NULL)
    return;
  call.address = member->rpc_address;
  rpc_send (daemon->rpc, &call, control_demand_done,
            control_call_new (control));
}

static void
control_promise_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct control_call *call = arg;
  const cs_promise_reply *reply = result;

  if (call->control != NULL && outcome == RPC_OK)
    own_promise_done (call->control->own, call->instance, call->fence,
                      call->sent_us, reply->promised);
  control_call_free (call);
}

/* Ask INSTANCE to promise not to acquire control for DURATION_MS.  */
void
control_request_promise (void *arg, const char *instance, uint64_t fence,
                         uint32_t duration_ms, uint64_t sent_us)
{
  struct cd_control *control = arg;
  struct cd_daemon *daemon = control->daemon;
  const struct mem_member *member = control_member (control, instance);
  cs_promise promise = { .holder = daemon->settings->instance,
                         .fence = fence,
                         .duration_ms = duration_ms };
  struct rpc_call send = { .procedure = COWSLIP_PROMISE,
                           .encode_args = (xdrproc_t)xdr_cs_promise,
                           .args = &promise,
                           .decode_result = (xdrproc_t)xdr_cs_promise_reply,
                           .result_bytes = sizeof (cs_promise_reply),
                           .timeout_ms = CONTROL_RPC_TIMEOUT_MS };
  struct control_call *call;

  if (member == NULL)
    return;
  send.address = member->rpc_address;
  call = control_call_new (control);
  call->instance = g_strdup (instance);
  call->fence = fence;
  call->sent_us = sent_us;
  rpc_send (daemon->rpc, &send, control_promise_done, call);
}

static void
control_quiesce_done (void *arg, enum rpc_outcome outcome, void *result)
{
  struct control_call *call = arg;
  const cs_quiesce_reply *reply = result;

  if (call->control != NULL && outcome == RPC_OK
      && call->fence == own_fence (call->control->own))
    plc_quiesce_reply (call->control->plc, call->instance, call->model,
                       call->endpoint, reply->accepted, reply->in_flight);
  control_call_free (call);
}

/* Ask INSTANCE, which may be this one, to quiesce MODEL on ENDPOINT.  */
void
control_request_quiesce (void *arg, const char *instance, const char *model,
                         const char *endpoint)
{
  struct cd_control *control = arg;
  struct cd_daemon *daemon = control->daemon;
  const struct mem_member *member;
  cs_quiesce quiesce
      = { .fence = own_fence (control->own),
          .sequence = vwp_changed_sequence (control->pushes, model, endpoint),
          .model = (char *)model,
          .endpoint = (char *)endpoint };
  struct rpc_call send = { .procedure = COWSLIP_QUIESCE,
                           .encode_args = (xdrproc_t)xdr_cs_quiesce,
                           .args = &quiesce,
                           .decode_result = (xdrproc_t)xdr_cs_quiesce_reply,
                           .result_bytes = sizeof (cs_quiesce_reply),
                           .timeout_ms = CONTROL_RPC_TIMEOUT_MS };
  struct control_call *call;

  if (g_str_equal (instance, daemon->settings->instance))
    {
      cs_quiesce_reply reply = control_quiesce (
          control, quiesce.fence, quiesce.sequence, model, endpoint);

      plc_quiesce_reply (control->plc, instance, model, endpoint,
                         reply.accepted, reply.in_flight);
      return;
    }
  member = control_member (control, instance);
  if (member == NULL)
    return;
  send.address = member->rpc_address;
  call = control_call_new (control);
  call->instance = g_strdup (instance);
  call->model = g_strdup (model);
  call->endpoint = g_strdup (endpoint);
  call->fence = quiesce.fence;
  rpc_send (daemon->rpc, &send, control_quiesce_done, call);
}
