#ifndef COWSLIP_H1_POOL_H
#define COWSLIP_H1_POOL_H

#include <uv.h>

#include "h1_body.h"
#include "h1_head.h"
#include "tm.h"

/* HTTP/1.1 client that relays responses as they arrive and keeps a pool of
   idle connections per endpoint.  */
struct h1_pool;

/* A request in progress.  */
struct h1_call;

/* How a call ended.  */
enum h1_outcome
{
  H1_OUTCOME_COMPLETE,       /* the complete response was received */
  H1_OUTCOME_CONNECT_FAILED, /* no connection; nothing was sent */
  H1_OUTCOME_NO_RESPONSE,    /* connection lost before the first byte of the
                                response */
  H1_OUTCOME_INCOMPLETE,     /* connection lost after the first byte of the
                                response */
  H1_OUTCOME_MALFORMED       /* not a valid HTTP response */
};

struct h1_call_events
{
  void (*head) (void *arg, const struct h1_head *head);
  void (*body) (void *arg, const char *data, size_t bytes);
  /* The call is freed after this.  */
  void (*done) (void *arg, enum h1_outcome outcome);
};

struct h1_request
{
  const char *peer;    /* name of the endpoint; key of the connection pool */
  const char *address; /* "IP:PORT" */
  const struct h1_head *head;
  const char *body;
  size_t body_bytes;
  struct h1_body *shared_body; /* used instead of BODY, without a copy; or
                                  NULL */
  /* A response in which this field has another value belongs to an earlier
     request on the connection and is skipped, as is one without the field
     unless the connection is new.  NULL: responses are not checked.  */
  const char *match_name;
  const char *match_value;
  bool close; /* the connection is not used again */
  uint32_t connect_timeout_ms;
  uint32_t idle_max_ms; /* idle connections older than this are not reused; 0:
                           always open a new connection */
};

struct h1_pool *h1_pool_new (uv_loop_t *loop, struct tm_service *tm);
void h1_pool_set_budget (struct h1_pool *pool, struct mbg_budget *budget);
void h1_pool_free (struct h1_pool *pool);
void h1_pool_close_idle (struct h1_pool *pool, const char *peer);
uint64_t h1_pool_connect_count (const struct h1_pool *pool);
uint64_t h1_pool_unmatched_count (const struct h1_pool *pool);
uint64_t h1_pool_sent_bytes (const struct h1_pool *pool);
uint64_t h1_pool_received_bytes (const struct h1_pool *pool);

struct h1_call *h1_call_start (struct h1_pool *pool,
                               const struct h1_request *request,
                               const struct h1_call_events *events, void *arg);
void h1_call_set_events (struct h1_call *call,
                         const struct h1_call_events *events);
void h1_call_cancel (struct h1_call *call);
void h1_call_set_reading (struct h1_call *call, bool enabled);
bool h1_call_sent (const struct h1_call *call);
const char *h1_outcome_text (enum h1_outcome outcome);

#endif
