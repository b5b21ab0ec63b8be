#ifndef COWSLIP_BLM_RECORD_H
#define COWSLIP_BLM_RECORD_H

#include "blm.h"
#include "jsn.h"

/* Record of a blocked trait in the key-value store.  */

char *blm_record_encode (const struct blm_table *table, uint64_t trait,
                         uint64_t unix_ms);
bool blm_record_apply (struct blm_table *table, uint64_t trait,
                       const char *text, size_t bytes, uint64_t unix_ms,
                       GError **error);

#endif
