#ifndef COWSLIPCOVED_SERVICES_H
#define COWSLIPCOVED_SERVICES_H

/* Handles calls to plain services: /svc/NAME/...  */

#include <json-c/json.h>

#include "daemon.h"

struct cd_services *cd_services_new (struct cd_daemon *daemon);
void cd_services_free (struct cd_services *services);
void cd_services_handle (struct cd_daemon *daemon,
                         struct http_exchange *exchange);
uint32_t cd_services_active (const struct cd_daemon *daemon);
/* Add the calls in flight and the claims to OUT, for the operators'
   status.  */
void cd_services_status (const struct cd_daemon *daemon,
                         struct json_object *out);

#endif
