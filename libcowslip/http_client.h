#ifndef COWSLIP_HTTP_CLIENT_H
#define COWSLIP_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "h1_body.h"
#include "h1_head.h"
#include "tm.h"

/* HTTP/1.1 client for the calls of this program itself, on the connections of
   an h1_pool.  */
struct http_client;

/* A call in progress.  */
struct http_call;

/* How a call ended.  */
enum http_outcome
{
  HTTP_COMPLETE,       /* complete response received */
  HTTP_CONNECT_FAILED, /* no connection; nothing was sent */
  HTTP_INCOMPLETE,     /* response lost, truncated or malformed */
  HTTP_TIMEOUT,        /* the timeout of the call expired */
  HTTP_TOO_LARGE       /* body exceeds a limit of http_fetch */
};

struct http_header
{
  const char *name;
  const char *value;
};

struct http_request
{
  const char *method;
  const char *address; /* "IP:PORT" */
  const char *path;
  const struct http_header *headers; /* ends with a NULL name; may be NULL */
  const char *body;
  size_t body_bytes;
  struct h1_body *shared_body; /* instead of BODY, not copied; or NULL */
  uint32_t timeout_ms;         /* 0: no timeout */
  uint32_t head_timeout_ms;    /* for the response head; 0: TIMEOUT_MS */
  size_t body_max_bytes;       /* limit of http_fetch; 0: 8 MiB */
  bool new_connection; /* open a new connection instead of using the pool */
  /* The header fields of the response are appended to it before on_head;
     NULL: not needed.  It must stay valid until the call ends.  */
  struct h1_head *response_head;
};

struct http_handlers
{
  void (*on_head) (void *arg, uint16_t status, const char *content_type);
  void (*on_body) (void *arg, const char *data, size_t bytes);
  void (*on_done) (void *arg, enum http_outcome outcome, bool sent);
};

/* The complete response to http_fetch.  */
struct http_response
{
  enum http_outcome outcome;
  bool sent;
  uint16_t status;
  const struct h1_head *head; /* header fields only */
  const char *content_type;
  const char *body;
  size_t body_bytes;
};

typedef void (*http_response_cb) (void *arg,
                                  const struct http_response *response);

struct http_client *http_client_new (uv_loop_t *loop, struct tm_service *tm);
void http_client_set_budget (struct http_client *client,
                             struct mbg_budget *budget);
void http_client_free (struct http_client *client);
struct http_call *http_start (struct http_client *client,
                              const struct http_request *request,
                              const struct http_handlers *handlers, void *arg);
struct http_call *http_fetch (struct http_client *client,
                              const struct http_request *request,
                              http_response_cb done, void *arg);
void http_cancel (struct http_call *call);
uint64_t http_client_sent_bytes (const struct http_client *client);
uint64_t http_client_received_bytes (const struct http_client *client);
const char *http_outcome_text (enum http_outcome outcome);

#endif
