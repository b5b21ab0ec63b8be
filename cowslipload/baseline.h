#ifndef COWSLIPLOAD_BASELINE_H
#define COWSLIPLOAD_BASELINE_H

#include <gsl/gsl_rng.h>

#include "env.h"
#include "http_client.h"
#include "http_server.h"
#include "tm_uv.h"

/* The baseline that the system is measured against: routers that know nothing
   of each other, with least connections, first in first out, load on first use
   and a fixed keep-alive.  */

#define BL_US_PER_MS UINT64_C (1000)

/* What all routers of the process share.  */
struct bl_context
{
  uv_loop_t loop;
  struct tm_uv driver;
  struct tm_service *tm;
  struct http_client *client;
  struct env_document *document;
  uint64_t keep_alive_us;
};

/* An engine as one router sees it.  */
struct bl_engine
{
  const char *address;
  const struct env_pool *pool;
  uint32_t connections; /* of this router only */
};

struct bl_router
{
  struct bl_context *host;
  GPtrArray *engines; /* struct bl_engine */
  GHashTable *models; /* struct bl_model by name */
  gsl_rng *random;
  uint64_t next_unload_us; /* to free memory */
  struct tm_timer tick;
};

/* A model that this router has loaded, is loading or is about to load.  */
struct bl_model
{
  struct bl_router *router;
  const struct env_model *spec;
  GPtrArray *replicas; /* struct bl_engine that have it loaded */
  GQueue waiting;      /* struct bl_request, first come first */
  uint32_t running;
  uint64_t last_used_us;
  bool loading;
  struct bl_engine *target; /* of the load */
  GHashTable *full;         /* engines that refused this load */
  struct tm_timer retry;
};

/* One request of a caller.  */
struct bl_request
{
  struct bl_model *model;
  struct http_exchange *exchange;
  struct http_call *call;
  struct bl_engine *engine;
  uint32_t attempts;
  uint16_t status;
  bool streaming;
  GString *body; /* of an answer that is not passed on as it comes */
};

int bl_main (int argc, char **argv);

struct bl_router *bl_router_new (struct bl_context *host, uint64_t seed);
void bl_handle (void *arg, struct http_exchange *exchange);
void bl_dispatch (struct bl_model *model);
struct bl_engine *bl_least_connections (struct bl_router *router,
                                        const GPtrArray *engines);

void bl_load (struct bl_model *model);
void bl_remove_replica (struct bl_model *model, struct bl_engine *engine);
void bl_unload_idle (void *arg);

#endif
