#ifndef COWSLIPCOVED_ADMIN_H
#define COWSLIPCOVED_ADMIN_H

/* Serves liveness, readiness, metrics and the operators' interface.  */

#include "daemon.h"

struct cd_admin *cd_admin_new (struct cd_daemon *daemon);
void cd_admin_free (struct cd_admin *admin);
bool cd_admin_is_control (void *arg, const struct h1_head *head);
void cd_admin_handle (struct cd_daemon *daemon,
                      struct http_exchange *exchange);

#endif
