#ifndef COWSLIPCOVED_DRAIN_H
#define COWSLIPCOVED_DRAIN_H

#include "daemon.h"

/* Graceful shutdown: finishes requests in progress and hands control over
   before the process exits.  */

void cd_drain (struct cd_daemon *daemon);
void cd_drain_requested (struct cd_daemon *daemon);

#endif
