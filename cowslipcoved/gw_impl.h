#ifndef COWSLIPCOVED_GW_IMPL_H
#define COWSLIPCOVED_GW_IMPL_H

#include <gsl/gsl_rng.h>
#include <uv.h>

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
#include "ldr.h"
#include "pck.h"
#include "prt.h"
#include "rbg.h"
#include "res.h"
#include "rpc.h"
#include "rte.h"
#include "tm_uv.h"

/* Shared by the gw*.c files only.  */

#define GW_US_PER_MS UINT64_C (1000)

/* All parts of the gateway.  */
struct gw
{
  uv_loop_t *loop;
  struct tm_uv clock;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct hst_set *latencies;
  struct hst_set *decisions; /* time that the leader's decisions take */
  const char *settings_file;
  struct gws_settings *settings;
  struct http_client *client; /* to the store and for orders */
  struct h1_pool *pool;       /* to endpoints, for callers' requests */
  struct h1_server *callers;
  struct h1_server *ready;
  struct h1_server *metrics;
  const struct prt_protocol *protocol;
  struct kv_store kv;
  gsl_rng *random;
  uint64_t incarnation;

  struct rte_config *config; /* in force; NULL: none known yet */
  struct flt_fleet *fleet;
  bool fleet_known;
  void *config_watch; /* NULL: being read anew */
  void *fleet_watch;
  enum kv_pace pace;
  enum kv_pace fleet_pace;
  uint64_t beacon_us; /* last sign of the leader */
  uint64_t behind_us; /* since when it knows a newer configuration; 0: not */
  struct rbg_budgets *budgets;
  struct ldr *ldr;
  struct rpc_node *rpc; /* NULL until the key is known */
  struct res_table *res;
  GHashTable *demand;   /* name -> struct gw_demand */
  GHashTable *requests; /* set of struct gw_request */
  GQueue waiting;       /* struct gw_request, the longest wait first */

  struct tm_timer fleet_retry;
  struct tm_timer config_retry;
  struct tm_timer demand_timer;
  struct tm_timer lead_timer;
  uint64_t lead_us; /* of the last decisions */
  struct tm_timer wake_timer;
  struct tm_timer drain_timer;
  struct tm_timer beacon_timer;
  bool demand_soon;
  bool draining;
  uint64_t drain_us;
};

/* Requests for one model or MODEL/ADAPTER at this instance.  */
struct gw_demand
{
  char *name;
  uint32_t arrivals; /* since the last report */
  uint32_t active;
  uint32_t waiting;
};

enum gw_state
{
  GW_NEW,
  GW_WAITING, /* for an endpoint that can take it */
  GW_SENT
};

/* One request of a caller.  */
struct gw_request
{
  struct gw *gw;
  struct h1_exchange *exchange;
  struct rte_config *config; /* keeps ROUTE and SERVICE */
  const struct rte_route *route;
  const struct rte_service *service; /* NULL: not described */
  char *service_name;
  char *id;
  char *model;   /* NULL: a plain service */
  char *adapter; /* NULL: none */
  struct gw_demand *model_demand;
  struct gw_demand *adapter_demand;
  uint64_t prefix;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t waited_us; /* time spent waiting so far */
  uint64_t first_us;  /* from arrival to the first bytes of the answer */
  uint64_t passed_us; /* when the last bytes were passed on */
  uint64_t pause_us;  /* longest time between two parts of the answer */
  enum gw_state state;
  uint64_t state_us;
  GList *queued; /* link in GW->waiting */
  struct tm_timer timer;

  /* The send under way.  */
  struct h1_call *call;
  struct flt_endpoint *endpoint;
  struct h1_head answer; /* kept until bytes of the body arrive */
  bool unanswered;       /* counted as such at ENDPOINT */
  bool answer_held;
  bool answer_dropped; /* END is known; the body goes nowhere */
  bool event_stream;

  GPtrArray *tried; /* ids of endpoints */
  uint32_t sends;
  uint32_t arrivals; /* sends that reached an endpoint */
  uint32_t runs;     /* endpoints on which it may have run */
  enum fwd_end end;  /* of the send under way, once it is known */
  bool answer_begun;
  struct evs_cutter events;
};

/* gw.c */
bool gw_start (struct gw *gw, GError **error);

/* gw_config.c */
void gw_config_start (struct gw *gw);
void gw_config_refresh (struct gw *gw);

/* gw_fleet.c */
void gw_fleet_start (struct gw *gw);
uint32_t gw_fleet_pause_ms (const struct gws_settings *settings);

/* gw_request.c */
void gw_on_request (void *arg, struct h1_exchange *exchange);
struct pck_wish gw_wish (const struct gw_request *request);
void gw_request_dispatch (struct gw_request *request);
void gw_request_ended (struct gw_request *request, uint16_t status,
                       const char *outcome);
uint32_t gw_left_ms (const struct gw_request *request);

/* gw_answer.c */
void gw_refuse (struct gw_request *request, enum rsn_refusal reason);
void gw_fail (struct gw_request *request, enum rsn_refusal reason);
void gw_give_up (struct gw_request *request);

/* gw_attempt.c */
bool gw_send (struct gw_request *request, struct flt_endpoint *endpoint);
void gw_drop_call (struct gw_request *request);
void gw_resume_reading (void *arg);
void gw_check_silence (struct gw_request *request);

/* gw_wait.c */
void gw_wait (struct gw_request *request);
void gw_unwait (struct gw_request *request);
void gw_wake (struct gw *gw);

/* gw_demand.c */
struct gw_demand *gw_demand (struct gw *gw, const char *name);
void gw_demand_start (struct gw *gw);
void gw_demand_soon (struct gw *gw);
void gw_demand_free (gpointer data);

/* gw_peers.c */
void gw_peers_start (struct gw *gw);
void gw_peers_report (struct gw *gw, const cs_residency_report *report);
void gw_peers_beacon (struct gw *gw, const cs_beacon *beacon);
void gw_peers_news (struct gw *gw, const cs_residency_news *news);
uint32_t gw_instances (const struct gw *gw);

/* gw_beacon.c */
void gw_beacon_start (struct gw *gw);
void gw_beacon_heard (struct gw *gw, const cs_beacon *beacon);

/* gw_lead.c */
void gw_lead_start (struct gw *gw);
void gw_lead_gained (struct gw *gw, uint64_t fence);
void gw_lead_heard (struct gw *gw, const char *instance,
                    const cs_residency_report *report);
void gw_lead_step (struct gw *gw);
void gw_told_news (struct gw *gw, const cs_residency_news *news);

/* gw_status.c */
bool gw_status_start (struct gw *gw, GError **error);

/* gw_drain.c */
void gw_drain (struct gw *gw);

#endif
