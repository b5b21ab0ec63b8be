#ifndef COWSLIPLOAD_BASELINE_H
#define COWSLIPLOAD_BASELINE_H

#include <gsl/gsl_rng.h>

#include "env.h"
#include "http_client.h"
#include "http_server.h"
#include "tm_uv.h"

/* Baseline for comparison: independent routers with least-connections
   balancing, FIFO queues, model loading on first use and fixed keep-alive.  */

#define BL_US_PER_MS UINT64_C (1000)

/* State shared by all routers of the process.  */
struct bl_context
{
  uv_loop_t loop;
  struct tm_uv driver;
  struct tm_service *tm;
  struct http_client *client;
  struct env_document *document;
  uint64_t keep_alive_us;
};

/* An engine as seen by one router.  */
struct bl_engine
{
  const char *address;
  const struct env_pool *pool;
  uint32_t connections; /* opened by this router */
};

struct bl_router
{
  struct bl_context *context;
  GPtrArray *engines; /* struct bl_engine */
  GHashTable *models; /* struct bl_model by name */
  gsl_rng *random;
  uint64_t next_unload_us; /* earliest time of the next eviction */
  struct tm_timer idle_timer;
};

/* A model of the document, as seen by one router.  */
struct bl_model
{
  struct bl_router *router;
  const struct env_model *spec;
  GPtrArray *replicas; /* struct bl_engine with the model loaded */
  GQueue waiting;      /* struct bl_request, FIFO */
  uint32_t running;
  uint64_t last_used_us;
  bool loading;
  struct bl_engine *target; /* engine of the load in progress */
  GHashTable *refused_by;   /* engines that refused the load */
  struct tm_timer retry;
};

/* A request of a caller.  */
struct bl_request
{
  struct bl_model *model;
  struct http_exchange *exchange;
  struct http_call *call;
  struct bl_engine *engine;
  uint32_t attempts;
  uint16_t status;
  bool streaming;
  GString *body; /* buffered body of a response that is not streamed */
};

int bl_main (int argc, char **argv);

struct bl_router *bl_router_new (struct bl_context *context, uint64_t seed);
void bl_handle (void *arg, struct http_exchange *exchange);
void bl_dispatch (struct bl_model *model);
struct bl_engine *bl_least_connections (struct bl_router *router,
                                        const GPtrArray *engines);

void bl_load (struct bl_model *model);
void bl_remove_replica (struct bl_model *model, struct bl_engine *engine);
void bl_unload_idle (void *arg);

#endif
