#ifndef COWSLIPCOVED_REFUSE_H
#define COWSLIPCOVED_REFUSE_H

#include "daemon.h"

/* Limits on what callers send and leave unread, with their refusals; and
   formats and records of refusals for use within a stream, where cd_refuse
   cannot be used.  */

char *cd_refusal_text (enum rsn_refusal reason, bool not_run,
                       const char *message);
void cd_refusal_record (struct cd_daemon *daemon, const char *id,
                        enum rsn_refusal reason, bool not_run,
                        const char *message);
void cd_refuse_memory (struct cd_daemon *daemon,
                       struct http_exchange *exchange, size_t bytes);
size_t cd_pending_max_bytes (const struct cd_daemon *daemon);
void cd_refuse_rejected (void *arg, struct http_exchange *exchange,
                         enum h1_rejection rejection);

#endif
