#ifndef COWSLIPCOVED_ADMIN_MEMBERS_H
#define COWSLIPCOVED_ADMIN_MEMBERS_H

#include "daemon.h"

/* The operators' list of the instances that have a member record.  */

void cd_admin_member_records (struct cd_daemon *daemon,
                              struct http_exchange *exchange);

#endif
