#ifndef COWSLIPCOVED_REFUSE_H
#define COWSLIPCOVED_REFUSE_H

#include "daemon.h"

/* Formats and records refusals of requests, for use within a stream, where
   cd_refuse cannot be used.  */

char *cd_refusal_text (enum rsn_refusal reason, bool not_run,
                       const char *message);
void cd_refusal_record (struct cd_daemon *daemon, enum rsn_refusal reason,
                        bool not_run, const char *message);

#endif
