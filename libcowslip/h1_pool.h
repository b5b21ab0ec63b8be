#ifndef COWSLIP_H1_POOL_H
#define COWSLIP_H1_POOL_H

#include <uv.h>

#include "h1_head.h"
#include "tm.h"

/* HTTP/1.1 client that passes answers on as they arrive, with idle connections
   kept per endpoint.  */
struct h1_pool;

/* One request that was sent, or is about to be.  */
struct h1_call;

/* How a call ended.  */
enum h1_end
{
  H1_END_WHOLE,   /* the whole answer was received */
  H1_END_NO_LINK, /* no connection; nothing was sent */
  H1_END_SILENT,  /* connection lost before any byte of the answer */
  H1_END_CUT,     /* connection lost within the answer */
  H1_END_GARBLED  /* bytes that are no answer */
};

struct h1_call_events
{
  void (*head) (void *arg, const struct h1_head *head);
  void (*body) (void *arg, const char *data, size_t bytes);
  /* The call is gone after this.  */
  void (*done) (void *arg, enum h1_end end);
};

struct h1_request
{
  const char *peer;    /* name of the endpoint; connections are kept by it */
  const char *address; /* "IP:PORT" */
  const struct h1_head *head;
  const char *body;
  size_t body_bytes;
  /* An answer in which this field has another value belongs to an earlier
     request of the connection and is skipped; NULL: no such field.  */
  const char *match_name;
  const char *match_value;
  uint32_t connect_timeout_ms;
  uint32_t idle_max_ms; /* a kept connection that was idle longer is not
                           used; 0: never use a kept one */
};

struct h1_pool *h1_pool_new (uv_loop_t *loop, struct tm_service *tm);
void h1_pool_forget (struct h1_pool *pool, const char *peer);
uint64_t h1_pool_connects (const struct h1_pool *pool);

struct h1_call *h1_call_start (struct h1_pool *pool,
                               const struct h1_request *request,
                               const struct h1_call_events *events, void *arg);
void h1_call_cancel (struct h1_call *call);
void h1_call_read (struct h1_call *call, bool enabled);
bool h1_call_sent (const struct h1_call *call);

#endif
