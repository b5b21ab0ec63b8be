#ifndef COWSLIPCOVED_REFUSE_H
#define COWSLIPCOVED_REFUSE_H

#include "daemon.h"

/* Parts of cd_refuse, for refusals within a stream.  */

char *cd_refusal_text (enum rsn_refusal reason, bool not_run,
                       const char *message);
void cd_refusal_note (struct cd_daemon *daemon, enum rsn_refusal reason,
                      bool not_run, const char *message);

#endif
