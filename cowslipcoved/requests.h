#ifndef COWSLIPCOVED_REQUESTS_H
#define COWSLIPCOVED_REQUESTS_H

/* Handles requests to models: /v1/completions, /v1/chat/completions and
   /v1/models.  */

#include <json-c/json.h>

#include "daemon.h"

struct cd_requests *cd_requests_new (struct cd_daemon *daemon);
void cd_requests_free (struct cd_requests *requests);
void cd_requests_handle (struct cd_daemon *daemon,
                         struct http_exchange *exchange);
/* The number of requests that are queued or in progress.  */
uint32_t cd_requests_active (const struct cd_daemon *daemon);
/* Stop routing requests for MODEL to ENDPOINT and return the number of those
   in flight there.  */
uint32_t cd_requests_quiesce (struct cd_daemon *daemon, const char *model,
                              const char *endpoint);
/* Add to OUT the requests queued per model, the requests in flight per
   endpoint, the ejected endpoints and the suspected fingerprints.  */
void cd_requests_status (const struct cd_daemon *daemon,
                         struct json_object *out);

#endif
