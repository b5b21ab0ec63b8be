#ifndef COWSLIP_PRB_H
#define COWSLIP_PRB_H

#include <stdint.h>

#include <uv.h>

#include "tm.h"

/* Probes whether a process listens at an address.  A process that has died is
   told from a connection that was lost: its host refuses new ones.  */

enum prb_result
{
  PRB_LISTENING,
  PRB_REFUSED,  /* nothing listens there */
  PRB_NO_ANSWER /* no answer in time; the host may be cut off */
};

typedef void (*prb_done) (void *arg, enum prb_result result);

struct prb;

struct prb *prb_start (uv_loop_t *loop, struct tm_service *tm,
                       const char *address, uint32_t timeout_ms, prb_done done,
                       void *arg);
void prb_cancel (struct prb *probe);
const char *prb_result_text (enum prb_result result);

#endif
