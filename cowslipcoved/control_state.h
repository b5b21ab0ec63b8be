#ifndef COWSLIPCOVED_CONTROL_STATE_H
#define COWSLIPCOVED_CONTROL_STATE_H

/* Parses the response of an engine to an order or to a read of its state.  */

#include <stdbool.h>

#include "http_client.h"
#include "plc.h"

struct control_state
{
  struct json_object *json; /* owns the strings */
  struct plc_engine_state state;
  GArray *models;   /* struct plc_reported_model */
  GArray *cached;   /* struct plc_cached_model */
  GArray *adapters; /* struct plc_reported_adapter */
  uint64_t fence;
};

enum plc_outcome control_state_parse (struct control_state *state,
                                      const struct http_response *response);
void control_state_clear (struct control_state *state);

#endif
