#ifndef COWSLIPCOVED_DAEMON_H
#define COWSLIPCOVED_DAEMON_H

/* The state of one instance, and the events that its modules exchange.  */

#include <stdbool.h>
#include <stdint.h>

#include <gsl/gsl_rng.h>
#include <uv.h>

#include "ctr.h"
#include "env.h"
#include "http_client.h"
#include "http_server.h"
#include "kv.h"
#include "rpc.h"
#include "set.h"
#include "tm_uv.h"

/* Events that modules of the daemon publish.  The comment gives the type of
   the data that subscribers get.  */
enum cd_event
{
  CD_DOCUMENT, /* struct env_document: newly in force */
  CD_MEMBERS,  /* struct mem_table: changed */
  CD_LOAD,     /* struct cd_load */
  CD_LEAVING,  /* struct cd_leaving */
  CD_VIEW,     /* struct vw_view: latest view of this instance's zone */
  CD_SUSPECTS, /* cs_suspects: received from a peer */
  CD_DRAIN,    /* NULL: graceful shutdown begins */
  CD_EVENT_COUNT
};

/* Load of one engine as read AGE_MS ago.  */
struct cd_load
{
  const char *endpoint;
  uint32_t running;
  uint32_t waiting;
  uint32_t age_ms;
};

struct cd_leaving
{
  const char *endpoint;
  bool leaving; /* false: back in service */
};

typedef void (*cd_notify) (void *arg, const void *data);

struct cd_subscriber
{
  cd_notify notify;
  void *arg;
};

struct cd_peers;
struct cd_control;
struct cd_requests;
struct cd_services;
struct cd_claims;
struct cd_admin;

/* State of one instance.  */
struct cd_daemon
{
  uv_loop_t *loop;
  struct tm_uv clock;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct set_settings *settings;
  struct mbg_budget *budget; /* for all that callers can fill */
  struct http_client *client;
  struct http_server *server;
  struct kv_store kv;
  struct rpc_node *rpc;
  gsl_rng *random;
  uint64_t incarnation;
  bool draining;
  GArray *subscribers[CD_EVENT_COUNT];
  struct cd_peers *peers;
  struct cd_control *control;
  struct cd_requests *requests;
  struct cd_services *services;
  struct cd_claims *claims;
  struct cd_admin *admin;
};

void cd_subscribe (struct cd_daemon *daemon, enum cd_event event,
                   cd_notify notify, void *arg);
void cd_publish (struct cd_daemon *daemon, enum cd_event event,
                 const void *data);
void cd_refuse (struct cd_daemon *daemon, struct http_exchange *exchange,
                enum rsn_refusal reason, bool not_run, const char *message);

#endif
