#ifndef COWSLIP_CFG_RECORD_H
#define COWSLIP_CFG_RECORD_H

/* Parses the record of an environment's document in the key-value service.  */

#include <json-c/json.h>

#include "cfg.h"

struct json_object *cfg_record_parse (const char *value, size_t bytes,
                                      struct cfg_document *document);

#endif
