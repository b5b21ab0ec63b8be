#ifndef COWSLIPCOVED_REQUESTS_H
#define COWSLIPCOVED_REQUESTS_H

#include <json-c/json.h>

#include "daemon.h"

/* Requests to models: /v1/completions, /v1/chat/completions, /v1/models.  */

struct cd_requests *cd_requests_new (struct cd_daemon *daemon);
void cd_requests_free (struct cd_requests *requests);
void cd_requests_handle (struct cd_daemon *daemon,
                         struct http_exchange *exchange);
/* Requests that are waiting or being answered.  */
uint32_t cd_requests_active (const struct cd_daemon *daemon);
/* Stop using ENDPOINT for MODEL; return the requests in flight there.  */
uint32_t cd_requests_quiesce (struct cd_daemon *daemon, const char *model,
                              const char *endpoint);
/* Add to OUT what waits per model, what is in flight per endpoint, ejected
   endpoints and suspected fingerprints.  */
void cd_requests_status (const struct cd_daemon *daemon,
                         struct json_object *out);

#endif
