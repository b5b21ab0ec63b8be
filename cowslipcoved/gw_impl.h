#ifndef COWSLIPCOVED_GW_IMPL_H
#define COWSLIPCOVED_GW_IMPL_H

#include <gsl/gsl_rng.h>
#include <uv.h>

#include "blm.h"
#include "cowslip.h"
#include "ctr.h"
#include "evs.h"
#include "flt.h"
#include "fwd.h"
#include "gws.h"
#include "h1_pool.h"
#include "h1_server.h"
#include "hst.h"
#include "http_client.h"
#include "kv.h"
#include "kv_backoff.h"
#include "ldr.h"
#include "mbg.h"
#include "pck.h"
#include "prt.h"
#include "rbg.h"
#include "res.h"
#include "rly.h"
#include "rpc.h"
#include "rte.h"
#include "tm_uv.h"

/* State and functions shared by the gw*.c files only.  */

/* Part of the grace period that is reserved for ending the remaining
   requests.  */
#define GW_DRAIN_MARGIN_MS 400

#define GW_US_PER_MS    UINT64_C (1000)
#define GW_BYTES_PER_MB (UINT64_C (1) << 20)

/* What is known about requests that crash endpoints.  */
struct gw_blame
{
  struct blm_table *table;
  GHashTable *saved; /* trait -> int64_t: revision of its record */
  struct tm_timer save_timer;
  bool saving;
};

/* The gateway process.  Members that end in _us are points in time of
   tm_now_us.  */
struct gw
{
  uv_loop_t *loop;
  struct tm_uv clock;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct hst_set *latencies;
  struct hst_set *decision_times; /* durations of the leader's decisions */
  const char *settings_file;
  struct gws_settings *settings;
  struct http_client *client; /* for the store and for orders to engines */
  struct h1_pool *pool;       /* connections to endpoints */
  struct mbg_budget *budget;  /* for all that callers can fill */
  struct h1_server *callers;
  struct h1_server *ready; /* readiness checks of the load balancer */
  struct h1_server *metrics;
  const struct prt_protocol *protocol;
  struct kv_store store; /* the store itself */
  struct kv_store kv;    /* the same with relayed watches */
  struct rly *relay;
  gsl_rng *random;
  uint64_t incarnation;

  struct rte_config *config; /* current one; NULL before the first read */
  struct flt_fleet *fleet;
  bool fleet_loaded;
  void *config_watch; /* NULL while CONFIG is being read */
  void *fleet_watch;
  struct rbg_budgets *budgets;
  struct ldr *ldr;
  struct rpc_node *rpc; /* NULL until the peer key is known */
  struct res_table *res;
  GHashTable *demand;   /* name -> struct gw_demand */
  GHashTable *requests; /* set of struct gw_request */
  struct gw_blame blame;
  GHashTable *losses; /* endpoint id -> struct gw_loss, being probed */
  GQueue waiting;     /* struct gw_request, longest wait first */
  GQueue held;        /* struct gw_held, first arrival first */
  uint64_t started_us;

  struct tm_timer fleet_retry;
  struct tm_timer config_retry;
  struct kv_backoff fleet_backoff;
  struct kv_backoff config_backoff;
  struct tm_timer demand_timer;
  struct tm_timer lead_timer;
  uint64_t last_decision_us; /* when decisions were last due */
  uint64_t decision_us;      /* duration of the last round */
  struct tm_timer queue_timer;
  struct tm_timer drain_timer;
  bool demand_scheduled;
  bool draining;
  uint64_t drain_start_us;
};

/* Demand for one model or MODEL/ADAPTER at this instance.  */
struct gw_demand
{
  char *name;
  uint32_t arrivals; /* since the last report */
  uint32_t active;   /* unfinished, including WAITING */
  uint32_t waiting;
};

/* An attempt whose stream has fallen silent and may go on, while the current
   attempt tries to resume it at another endpoint.  */
struct gw_silent
{
  struct h1_call *call;
  struct flt_endpoint *endpoint; /* NULL: there is no such attempt */
  uint64_t state_us;
  uint64_t head_us;
  uint64_t body_us;
  const char *framing;
  uint16_t response_status;
  bool unframed;
  GString *partial; /* incomplete event */
  uint64_t event_count;
  bool resumed;
  bool reached;
};

enum gw_state
{
  GW_NEW,
  GW_WAITING, /* queued until an endpoint can accept it */
  GW_SENT,
  GW_LOST /* the connection was lost; the endpoint is being probed */
};

/* A caller's request.  Members that end in _us are points in time of tm_now_us
   unless noted otherwise.  */
struct gw_request
{
  struct gw *gw;
  struct h1_exchange *exchange;
  struct rte_config *config; /* reference; owns ROUTE and SERVICE */
  const struct rte_route *route;
  const struct rte_service *service; /* NULL: not in CONFIG */
  char *service_name;
  char *id;
  char *model;   /* NULL: a plain service */
  char *adapter; /* NULL: none */
  struct gw_demand *model_demand;
  struct gw_demand *adapter_demand;
  uint64_t prefix;
  uint64_t arrived_us;
  uint64_t deadline_us;        /* for the first bytes of a response */
  uint64_t caller_deadline_us; /* when its caller gives up */
  uint64_t waited_us;          /* total of completed waits in the queue */
  uint64_t first_byte_us; /* from arrival to the first bytes of the body */
  uint64_t forwarded_us;  /* when bytes were last forwarded to the caller */
  uint64_t max_gap_us;    /* longest time between two parts of the body */
  enum gw_state state;
  uint64_t state_us; /* when STATE was entered */
  GList *queue_link; /* link in GW->waiting; NULL: not queued */
  struct tm_timer timer;

  /* The current attempt.  */
  struct h1_call *call;
  struct flt_endpoint *endpoint;
  uint64_t started_ms;      /* start of ENDPOINT when it was sent there */
  struct h1_head response;  /* buffered until bytes of the body arrive */
  bool outstanding;         /* counted among ENDPOINT's outstanding requests */
  uint16_t response_status; /* 0: no head received */
  uint64_t head_us;         /* head of the response; 0: none */
  uint64_t body_us;         /* first bytes of the body; 0: none */
  const char *framing;      /* what ends the body; "-": no head received */
  const char *attempt_end;  /* outcome of the call; "-": canceled */
  bool response_buffered;
  bool response_discarded; /* END is set; the body is ignored */
  bool event_stream;
  bool unframed; /* the body ends with the connection */

  struct gw_silent silent;
  GPtrArray *tried; /* char *: ids of endpoints */
  uint32_t sends;
  uint32_t arrivals;   /* attempts that reached an endpoint */
  uint32_t runs;       /* endpoints on which it may have run */
  enum fwd_result end; /* result of the current attempt, once known */
  bool response_started;
  bool sound;           /* it does not crash endpoints */
  bool on_trial;        /* runs although a trait of it is blocked */
  struct gw_loss *loss; /* in state GW_LOST */
  GArray *traits;       /* uint64_t; NULL: not determined yet */
  bool retry_acquired;  /* a retry from the budget that was not sent yet */
  struct evs_parser events;
};

/* gw.c */
bool gw_start (struct gw *gw, GError **error);

uint64_t gw_read_retry_us (struct gw *gw, struct kv_backoff *backoff);

/* gw_config.c */
void gw_config_start (struct gw *gw);

/* gw_fleet.c */
void gw_fleet_start (struct gw *gw);

/* gw_request.c */
void gw_on_request (void *arg, struct h1_exchange *exchange);
struct pck_criteria gw_endpoint_query (const struct gw_request *request);
bool gw_acquire_retry (struct gw_request *request);
void gw_request_dispatch (struct gw_request *request);
void gw_request_finish (struct gw_request *request, uint16_t status,
                        const char *outcome);
uint32_t gw_remaining_ms (const struct gw_request *request);
uint32_t gw_caller_remaining_ms (const struct gw_request *request);

void gw_route_request (struct gw *gw, struct h1_exchange *exchange,
                       uint64_t arrived_us);
void gw_reject (struct gw *gw, struct h1_exchange *exchange,
                enum rsn_refusal reason);
void gw_reject_until (struct gw *gw, struct h1_exchange *exchange,
                      enum rsn_refusal reason, uint32_t retry_after_ms);

/* gw_held.c */
bool gw_is_loaded (const struct gw *gw);
bool gw_hold (struct gw *gw, struct h1_exchange *exchange);
void gw_release_held (struct gw *gw);
void gw_refuse_held (struct gw *gw);

/* gw_answer.c */
void gw_on_unfinished (void *arg, const struct h1_unfinished *unfinished);
void gw_on_rejected (void *arg, struct h1_exchange *exchange,
                     enum h1_rejection rejection);
void gw_refuse (struct gw_request *request, enum rsn_refusal reason);
void gw_fail (struct gw_request *request, enum rsn_refusal reason);
void gw_expire (struct gw_request *request);

/* gw_head.c */
void gw_build_request_head (const struct gw_request *request,
                            const struct flt_endpoint *endpoint,
                            struct h1_head *head);
void gw_buffer_response_head (struct gw_request *request,
                              const struct h1_head *head);

/* gw_attempt.c */
extern const struct h1_call_events gw_call_events;

bool gw_send (struct gw_request *request, struct flt_endpoint *endpoint);
void gw_cancel_call (struct gw_request *request);
void gw_release_endpoint (struct gw_request *request);
bool gw_attempt_may_have_run (const struct gw_request *request);
void gw_attempt_failed (struct gw_request *request);
void gw_resume_reading (void *arg);
void gw_check_timeout (struct gw_request *request);

/* gw_silent.c */
void gw_silent_resume (struct gw_request *request);
void gw_silent_check (struct gw_request *request);
void gw_silent_go_back (struct gw_request *request);
void gw_silent_drop (struct gw_request *request, const char *result);

/* gw_queue.c */
void gw_enqueue (struct gw_request *request);
void gw_dequeue (struct gw_request *request);
uint32_t gw_pause_ms (const struct gw_request *request);
void gw_dispatch_queued (struct gw *gw);

/* gw_demand.c */
struct gw_demand *gw_demand (struct gw *gw, const char *name);
void gw_demand_start (struct gw *gw);
void gw_demand_schedule (struct gw *gw);
void gw_demand_free (gpointer data);

/* gw_peers.c */
void gw_peers_start (struct gw *gw);
void gw_peers_report (struct gw *gw, const cs_residency_report *report);
void gw_peers_notify_residency (struct gw *gw, const cs_residency_news *news);
void gw_peers_send (struct gw *gw, const char *address, uint32_t procedure,
                    xdrproc_t encode, void *args);
void gw_peers_tell_group (struct gw *gw, uint32_t procedure, xdrproc_t encode,
                          void *args);
uint32_t gw_instance_count (const struct gw *gw);

/* gw_relay.c */
void gw_relay_start (struct gw *gw);
bool gw_in_group (const struct gw *gw, const struct ldr_member *member);
void gw_relay_members_changed (struct gw *gw);
void gw_relay_handle (struct gw *gw, const struct rpc_origin *origin,
                      const cs_relay *batch);

/* gw_lead.c */
void gw_lead_start (struct gw *gw);
void gw_lead_gained (struct gw *gw, uint64_t fence);
void gw_lead_update_demand (struct gw *gw, const char *instance,
                            const cs_residency_report *report);
void gw_lead_schedule (struct gw *gw);
void gw_residency_changed (struct gw *gw, const cs_residency_news *news);

/* gw_crash.c */
bool gw_await_probe (struct gw_request *request);
void gw_forget_probe (struct gw_request *request);
void gw_loss_free (gpointer data);

/* gw_path.c */
typedef void (*gw_path_done) (void *arg, bool reachable);
bool gw_path_check (struct gw *gw, const char *zone, const char *except,
                    gw_path_done done, void *arg);

/* gw_signs.c */
void gw_read_signs (struct gw *gw, const char *id, uint64_t started_ms,
                    uint16_t status, const struct h1_head *head);
void gw_signs_register (struct gw *gw);

/* gw_blame.c */
void gw_blame_start (struct gw *gw);
const GArray *gw_request_traits (struct gw_request *request);
bool gw_blame_admits (struct gw_request *request);
void gw_blame_answered (struct gw_request *request);
uint64_t gw_crash_id (const char *endpoint, uint64_t started_ms);
void gw_blame_alive (const struct gw_request *request,
                     const struct h1_head *head);
void gw_blame_lost (struct gw *gw, uint64_t crash, const char *address,
                    const GPtrArray *requests);
void gw_blame_add (struct gw *gw, const cs_crash *crash);

/* gw_blame_peers.c */
void gw_blame_register (struct gw *gw);
void gw_blame_tell_group (struct gw *gw, const GArray *crashes,
                          const GArray *answered);
void gw_blame_tell_alive (struct gw *gw, uint64_t crash);
void gw_blame_tell_unsaved (struct gw *gw);

/* gw_blame_store.c */
void gw_blame_save_start (struct gw *gw);
void gw_blame_keys_read (void *arg, const struct kv_pair *pairs, size_t count);
void gw_blame_key_changed (void *arg, const struct kv_change *change);
bool gw_blame_is_saved (const struct gw *gw, uint64_t trait);

/* gw_status.c */
bool gw_status_start (struct gw *gw, GError **error);

/* gw_drain.c */
void gw_drain (struct gw *gw);

#endif
