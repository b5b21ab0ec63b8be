#ifndef COWSLIPCOVED_ADMIN_MEMBERS_H
#define COWSLIPCOVED_ADMIN_MEMBERS_H

/* Lists the instances that have a member record, for operators.  */

#include "daemon.h"

void cd_admin_member_records (struct cd_daemon *daemon,
                              struct http_exchange *exchange);

#endif
