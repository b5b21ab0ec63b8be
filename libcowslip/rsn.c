#include "rsn.h"

struct rsn_entry
{
  const char *text;
  uint16_t status;
  bool never_started;
};

static const struct rsn_entry rsn_entries[] = {
#define RSN_REFUSAL(name, text, status, never_started)                        \
  { text, status, never_started },
#include "rsn.def"
#undef RSN_REFUSAL
};

static const char *const rty_texts[] = {
#define RTY_REASON(name, text) text,
#include "rty_reasons.def"
#undef RTY_REASON
};

/* Return the name of REASON in responses and metrics.  */
const char *
rsn_refusal_text (enum rsn_refusal reason)
{
  return rsn_entries[reason].text;
}

/* Return the HTTP status of a refusal for REASON.  */
uint16_t
rsn_refusal_status (enum rsn_refusal reason)
{
  return rsn_entries[reason].status;
}

/* Return whether REASON only occurs before any byte of the request was sent to
   an endpoint, so that the response may always say "not run".  */
bool
rsn_never_started (enum rsn_refusal reason)
{
  return rsn_entries[reason].never_started;
}

/* Return the name of REASON in metrics and log lines.  */
const char *
rty_reason_text (enum rty_reason reason)
{
  return rty_texts[reason];
}
