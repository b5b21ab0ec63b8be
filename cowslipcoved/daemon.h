#ifndef COWSLIPCOVED_DAEMON_H
#define COWSLIPCOVED_DAEMON_H

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

/* Events by which the parts of the daemon tell each other what happened.  The
   type of the argument stands behind each.  */
enum cd_event
{
  CD_DOCUMENT, /* struct env_document: now in force */
  CD_MEMBERS,  /* struct mem_table: changed */
  CD_LOAD,     /* struct cd_load */
  CD_LEAVING,  /* struct cd_leaving */
  CD_VIEW,     /* struct vw_view: newest view of the own zone */
  CD_SUSPECTS, /* cs_suspects: heard from a peer */
  CD_DRAIN,    /* NULL: graceful shutdown begins */
  CD_EVENT_COUNT
};

/* Load of one engine as its reader saw it AGE_MS ago.  */
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

typedef void (*cd_notify) (void *arg, const void *what);

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

/* All parts of one instance.  */
struct cd_daemon
{
  uv_loop_t *loop;
  struct tm_uv clock;
  struct tm_service *tm;
  struct ctr_set *counters;
  struct set_settings *settings;
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
                 const void *what);
void cd_refuse (struct cd_daemon *daemon, struct http_exchange *exchange,
                enum rsn_refusal reason, bool not_run, const char *message);

#endif
