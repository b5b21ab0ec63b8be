#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>
#include <uv.h>

#include "http_client.h"
#include "http_server.h"
#include "tm.h"
#include "tm_uv.h"

/* Parts that all stand-ins share: the event loop, injected faults, and JSON
   requests and responses over HTTP.  */

#define STAND_US_PER_MS 1000U
#define STAND_US_PER_S  1000000U

/* The event loop of a stand-in with its timers and HTTP client.  */
struct stand_host
{
  uv_loop_t loop;
  struct tm_uv driver;
  struct tm_service *tm;
  struct http_client *client;
  uv_signal_t terminate;
  uv_signal_t interrupt;
};

/* Injected faults: a JSON object with the current value of each, which
   POST /fault changes.  */
struct stand_faults
{
  struct json_object *values;
};

void stand_init (struct stand_host *host, const char *ident);
bool stand_listen (struct stand_host *host, const char *address,
                   http_handler handler, void *arg);
void stand_run (struct stand_host *host);
uint64_t stand_now_us (void);

void stand_faults_init (struct stand_faults *faults, const char *defaults);
int64_t stand_fault_value (const struct stand_faults *faults,
                           const char *name);
const char *stand_fault_text (const struct stand_faults *faults,
                              const char *name);
bool stand_fault_consume (struct stand_faults *faults, const char *name);
bool stand_faults_serve (struct stand_faults *faults,
                         struct http_exchange *exchange);

struct json_object *stand_parse_body (struct http_exchange *exchange);
void stand_reply (struct http_exchange *exchange, uint16_t status,
                  struct json_object *body);
void stand_reply_error (struct http_exchange *exchange, uint16_t status,
                        const char *message);
void stand_reply_abort (struct http_exchange *exchange);
bool stand_request_is (const struct http_exchange *exchange,
                       const char *method, const char *path);
const char *stand_get_string (struct json_object *object, const char *key);
int64_t stand_get_int (struct json_object *object, const char *key,
                       int64_t absent);
void stand_add_int (struct json_object *object, const char *key,
                    int64_t value);
void stand_add_string (struct json_object *object, const char *key,
                       const char *value);
uint64_t stand_query_uint (const struct http_exchange *exchange,
                           const char *key);

#endif
