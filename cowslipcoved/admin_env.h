#ifndef COWSLIPCOVED_ADMIN_ENV_H
#define COWSLIPCOVED_ADMIN_ENV_H

/* Handles operators' requests that read or change environment documents.  */

#include <json-c/json.h>

#include "daemon.h"

void cd_admin_environment (struct cd_daemon *daemon,
                           struct http_exchange *exchange, const char *path);
void cd_admin_respond (struct http_exchange *exchange, uint16_t status,
                       struct json_object *object);

#endif
