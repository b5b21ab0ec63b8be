#ifndef COWSLIP_H1_SERVER_H
#define COWSLIP_H1_SERVER_H

#include <glib.h>
#include <uv.h>

#include "h1_head.h"
#include "tm.h"

/* HTTP/1.1 server that passes answers on as they arrive.  A connection carries
   one request at a time; requests that follow wait in the connection.  */
struct h1_server;

/* One request that is being answered.  It is valid until h1_answer_end,
   h1_answer or h1_answer_abort was called, or until GONE was called.  */
struct h1_exchange;

struct h1_limits
{
  size_t head_max_bytes;
  size_t body_max_bytes;
  uint32_t head_timeout_ms; /* for a whole request, head and body */
  uint32_t idle_timeout_ms; /* between requests */
  uint32_t connections_max;
};

struct h1_server_events
{
  /* A whole request was read.  */
  void (*request) (void *arg, struct h1_exchange *exchange);
};

/* What the owner of an exchange hears.  */
struct h1_exchange_events
{
  void (*gone) (void *arg); /* the caller closed the connection */
  /* The bytes of the answer were handed to the kernel; may be NULL.  */
  void (*flushed) (void *arg);
};

struct h1_server *h1_server_new (uv_loop_t *loop, struct tm_service *tm,
                                 const char *address,
                                 const struct h1_server_events *events,
                                 void *arg, GError **error);
void h1_server_set_limits (struct h1_server *server,
                           const struct h1_limits *limits);
void h1_server_drain (struct h1_server *server);
void h1_server_close_idle (struct h1_server *server);
void h1_server_free (struct h1_server *server);
uint32_t h1_server_connections (const struct h1_server *server);
uint16_t h1_server_port (const struct h1_server *server);

const struct h1_head *h1_exchange_head (const struct h1_exchange *exchange);
const char *h1_exchange_body (const struct h1_exchange *exchange,
                              size_t *bytes);
void h1_exchange_listen (struct h1_exchange *exchange,
                         const struct h1_exchange_events *events, void *arg);
size_t h1_exchange_pending_bytes (const struct h1_exchange *exchange);

void h1_answer_head (struct h1_exchange *exchange, const struct h1_head *head);
void h1_answer_body (struct h1_exchange *exchange, const char *data,
                     size_t bytes);
void h1_answer_end (struct h1_exchange *exchange);
void h1_answer_abort (struct h1_exchange *exchange);
void h1_answer (struct h1_exchange *exchange, uint16_t status,
                const struct h1_field *fields, size_t field_count,
                const char *body);

#endif
