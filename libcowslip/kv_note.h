#ifndef COWSLIP_KV_NOTE_H
#define COWSLIP_KV_NOTE_H

#include "ctr.h"
#include "http_client.h"
#include "kv.h"

/* Counts calls to a store by outcome, and logs when it is lost and regained.
 */
struct kv_note
{
  struct ctr_set *counters;
  bool failing; /* the last call was not answered */
};

void kv_note (struct kv_note *note, const char *call,
              const struct http_answer *answer, enum kv_outcome outcome);

#endif
