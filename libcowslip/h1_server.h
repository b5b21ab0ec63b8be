#ifndef COWSLIP_H1_SERVER_H
#define COWSLIP_H1_SERVER_H

#include <glib.h>
#include <uv.h>

#include "ctr.h"
#include "h1_body.h"
#include "h1_head.h"
#include "tm.h"

/* HTTP/1.1 server that can stream responses.  A connection carries one
   request at a time; pipelined requests are buffered.  */
struct h1_server;

/* A request and its response.  It is valid until h1_response_end, h1_respond
   or h1_response_abort is called, or until the DISCONNECTED callback.  */
struct h1_exchange;

struct h1_limits
{
  size_t head_max_bytes;
  size_t body_max_bytes;
  uint32_t head_timeout_ms; /* to receive a request, head and body */
  uint32_t idle_timeout_ms; /* between requests */
  uint32_t connections_max;
};

/* Why a connection was closed.  */
enum h1_close_reason
{
  H1_CLOSE_PEER,    /* the caller closed it */
  H1_CLOSE_LOST,    /* reset, or the caller is considered dead */
  H1_CLOSE_TIMEOUT, /* the request was not complete in time */
  H1_CLOSE_ABORT,   /* the response could not be completed */
  H1_CLOSE_EVICTED  /* it stalled, and another caller needed its memory */
};

/* A connection that was closed within a request or a response.  */
struct h1_unfinished
{
  enum h1_close_reason reason;
  const struct h1_head *head; /* fields that were read; NULL: unknown */
  bool answering;             /* the request was complete */
  uint64_t age_us;            /* since the first bytes of the request */
  size_t unread_bytes;        /* received behind the request */
  size_t unsent_bytes;        /* of the response */
};

/* Why the server rejects a request that is not complete.  */
enum h1_rejection
{
  H1_REJECT_NONE,
  H1_REJECT_MALFORMED,
  H1_REJECT_HEAD_TOO_LARGE,
  H1_REJECT_BODY_TOO_LARGE,
  H1_REJECT_MEMORY,     /* the budget is used up */
  H1_REJECT_CONNECTIONS /* its connection is needed for another caller */
};

struct h1_server_events
{
  /* A complete request was received.  */
  void (*request) (void *arg, struct h1_exchange *exchange);
  /* Respond to a request that is rejected.  Its head may be incomplete, and
     the connection is closed after the response.  NULL: the server responds
     itself.  */
  void (*rejected) (void *arg, struct h1_exchange *exchange,
                    enum h1_rejection rejection);
  /* Return whether the request with HEAD is an operator's or a readiness
     check, which may use the reserves of memory and connections; may be NULL.
   */
  bool (*is_control) (void *arg, const struct h1_head *head);
  /* A connection was closed within a request or a response; may be NULL.  */
  void (*unfinished) (void *arg, const struct h1_unfinished *unfinished);
};

/* Callbacks of the owner of an exchange.  */
struct h1_exchange_events
{
  void (*disconnected) (void *arg); /* the caller closed the connection */
  /* All queued bytes were handed to the kernel; may be NULL.  */
  void (*flushed) (void *arg);
};

struct h1_server *h1_server_new (uv_loop_t *loop, struct tm_service *tm,
                                 const char *address,
                                 const struct h1_server_events *events,
                                 void *arg, GError **error);
void h1_server_set_limits (struct h1_server *server,
                           const struct h1_limits *limits);
void h1_server_set_budget (struct h1_server *server,
                           struct mbg_budget *budget);
void h1_server_drain (struct h1_server *server);
void h1_server_stop_accepting (struct h1_server *server);
void h1_server_close_idle (struct h1_server *server);
void h1_server_free (struct h1_server *server);
uint32_t h1_server_connections (const struct h1_server *server);
uint32_t h1_server_active (const struct h1_server *server);
void h1_server_report (const struct h1_server *server,
                       struct ctr_set *counters);
uint16_t h1_server_port (const struct h1_server *server);

const char *h1_close_reason_text (enum h1_close_reason reason);
uint16_t h1_rejection_status (enum h1_rejection rejection);

const struct h1_head *h1_exchange_head (const struct h1_exchange *exchange);
const char *h1_exchange_body (const struct h1_exchange *exchange,
                              size_t *bytes);
struct h1_body *h1_exchange_shared_body (const struct h1_exchange *exchange);
void h1_exchange_set_events (struct h1_exchange *exchange,
                             const struct h1_exchange_events *events,
                             void *arg);
size_t h1_exchange_pending_bytes (const struct h1_exchange *exchange);

void h1_response_head (struct h1_exchange *exchange,
                       const struct h1_head *head);
void h1_response_body (struct h1_exchange *exchange, const char *data,
                       size_t bytes);
void h1_response_end (struct h1_exchange *exchange);
void h1_response_cut (struct h1_exchange *exchange);
void h1_response_abort (struct h1_exchange *exchange);
void h1_respond (struct h1_exchange *exchange, uint16_t status,
                 const struct h1_field *fields, size_t field_count,
                 const char *body);

#endif
