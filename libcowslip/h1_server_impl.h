#ifndef COWSLIP_H1_SERVER_IMPL_H
#define COWSLIP_H1_SERVER_IMPL_H

#include "h1_conn.h"
#include "h1_parser.h"
#include "h1_server.h"

/* Shared by the h1 server source files only.  */

/* What a server did to stay within its limits, since its start.  */
struct h1_counts
{
  uint64_t connections_refused;
  uint64_t connections_evicted;
  uint64_t pipelined_discarded; /* connections */
};

struct h1_server
{
  uv_tcp_t listener;
  struct tm_service *tm;
  struct h1_server_events events;
  void *arg;
  struct h1_limits limits;
  struct mbg_budget *budget;
  size_t receive_buffer_bytes; /* of the kernel, for each connection */
  struct h1_counts counts;
  GHashTable *connections; /* set of struct h1_exchange */
  bool draining;
  bool listener_closing;
  bool listener_closed;
  bool freed; /* when the listener is closed */
};

/* A connection of a caller, with its current request.  */
struct h1_exchange
{
  struct h1_server *server;
  struct h1_conn *conn; /* NULL: closed */
  struct h1_parser parser;
  struct tm_timer timer;
  uint64_t idle_since_us;
  uint64_t request_us; /* first bytes of the current request */
  struct mbg_holder holder;
  struct h1_body *body;   /* NULL: empty */
  size_t head_taken;      /* bytes of the budget for a large head */
  GByteArray *pipelined;  /* pipelined bytes after the current request */
  size_t pipelined_taken; /* bytes of the budget for them */
  const struct h1_exchange_events *events;
  void *arg;
  enum h1_rejection rejection; /* of the current request */
  bool busy;                   /* a request awaits its response */
  bool closing;                /* the last response is being sent */
  bool served;                 /* a request was received whole */
  bool is_control;             /* the current request may use the reserves */
  bool is_reserve; /* accepted beyond the limit, for control only */
  bool discarding; /* further pipelined bytes are dropped */
  bool close_after;
  bool chunked; /* the response uses chunked transfer coding */
  bool head_only;
};

/* h1_exchange.c */
void h1_exchange_next_request (struct h1_exchange *exchange);
void h1_exchange_destroy (struct h1_exchange *exchange);
void h1_exchange_close (struct h1_exchange *exchange,
                        enum h1_close_reason reason);
void h1_exchange_shutdown (struct h1_exchange *exchange);
struct h1_exchange *h1_exchange_accept (struct h1_server *server);

/* h1_reject.c */
void h1_exchange_reject (struct h1_exchange *exchange,
                         enum h1_rejection rejection);
void h1_exchange_evict (void *arg);
bool h1_server_make_room (struct h1_server *server);

/* h1_pipeline.c */
void h1_pipeline_append (struct h1_exchange *exchange, const char *data,
                         size_t bytes);
GByteArray *h1_pipeline_take (struct h1_exchange *exchange);
void h1_pipeline_clear (struct h1_exchange *exchange);

#endif
