#ifndef COWSLIP_H1_SERVER_IMPL_H
#define COWSLIP_H1_SERVER_IMPL_H

#include "h1_conn.h"
#include "h1_parser.h"
#include "h1_server.h"

/* Shared by the h1 server source files only.  */

struct h1_server
{
  uv_tcp_t listener;
  struct tm_service *tm;
  struct h1_server_events events;
  void *arg;
  struct h1_limits limits;
  GHashTable *connections; /* set of struct h1_exchange */
  bool draining;
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
  GByteArray *body;
  GByteArray *pipelined; /* pipelined bytes after the current request */
  const struct h1_exchange_events *events;
  void *arg;
  bool busy;    /* a request awaits its response */
  bool closing; /* the last response is being sent */
  bool oversize;
  bool close_after;
  bool chunked; /* the response uses chunked transfer coding */
  bool head_only;
};

void h1_exchange_next_request (struct h1_exchange *exchange);
void h1_exchange_destroy (struct h1_exchange *exchange);
void h1_exchange_close (struct h1_exchange *exchange,
                        enum h1_close_reason reason);
void h1_exchange_shutdown (struct h1_exchange *exchange);
struct h1_exchange *h1_exchange_accept (struct h1_server *server);

#endif
