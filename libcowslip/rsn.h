#ifndef COWSLIP_RSN_H
#define COWSLIP_RSN_H

#include <stdbool.h>
#include <stdint.h>

/* Reasons for refusals and retries, with their names and HTTP statuses.  */
enum rsn_refusal
{
#define RSN_REFUSAL(name, text, status, never_started) RSN_##name,
#include "rsn.def"
#undef RSN_REFUSAL
  RSN_REFUSAL_COUNT
};

/* Reasons for a retry or hedge.  */
enum rty_reason
{
#define RTY_REASON(name, text) RTY_##name,
#include "rty_reasons.def"
#undef RTY_REASON
  RTY_REASON_COUNT
};

const char *rsn_refusal_text (enum rsn_refusal reason);
uint16_t rsn_refusal_status (enum rsn_refusal reason);
bool rsn_never_started (enum rsn_refusal reason);
const char *rty_reason_text (enum rty_reason reason);

#endif
