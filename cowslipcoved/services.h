#ifndef COWSLIPCOVED_SERVICES_H
#define COWSLIPCOVED_SERVICES_H

#include <json-c/json.h>

#include "daemon.h"

/* Calls to plain services: /svc/NAME/...  */

struct cd_services *cd_services_new (struct cd_daemon *daemon);
void cd_services_free (struct cd_services *services);
void cd_services_handle (struct cd_daemon *daemon,
                         struct http_exchange *exchange);
uint32_t cd_services_active (const struct cd_daemon *daemon);
/* Add the calls in flight and the claims to OUT, for the operators.  */
void cd_services_status (const struct cd_daemon *daemon,
                         struct json_object *out);

#endif
