#ifndef COWSLIPLOAD_REPLY_H
#define COWSLIPLOAD_REPLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* An answer while it arrives.  */
struct ld_reply
{
  uint16_t status;
  bool events;       /* server-sent events */
  bool done;         /* [DONE] has arrived */
  bool not_run;      /* of a refusal */
  char reason[48];   /* of a refusal, empty if it gave none */
  GString *buffered; /* not yet read */
  GString *text;     /* of the answer */
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
