#ifndef COWSLIPLOAD_REPLY_H
#define COWSLIPLOAD_REPLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Incremental parsing of the responses that the load tool receives.  */

/* A response being received.  */
struct ld_reply
{
  uint16_t status;
  bool is_event_stream;
  bool done;         /* [DONE] received or the body complete */
  bool not_run;      /* a refusal states that the request did not run */
  char reason[48];   /* reason of a refusal, otherwise empty */
  GString *buffered; /* not yet parsed */
  GString *text;     /* text of the answer so far */
};

void ld_reply_init (struct ld_reply *reply);
void ld_reply_clear (struct ld_reply *reply);
void ld_reply_set_head (struct ld_reply *reply, uint16_t status,
                        const char *content_type);
uint32_t ld_reply_add_body (struct ld_reply *reply, const char *data,
                            size_t bytes);
void ld_reply_end (struct ld_reply *reply);
bool ld_reply_is_refusal (const struct ld_reply *reply);

#endif
