#ifndef COWSLIP_H1_REQUEST_H
#define COWSLIP_H1_REQUEST_H

#include "h1_pool.h"

/* Text of requests to endpoints.  Used by h1_pool.c only.  */

bool h1_request_shares_body (const struct h1_request *request);
GString *h1_request_text (const struct h1_request *request);

#endif
