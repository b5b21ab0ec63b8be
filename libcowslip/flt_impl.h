#ifndef COWSLIP_FLT_IMPL_H
#define COWSLIP_FLT_IMPL_H

#include "flt.h"

/* Shared by the flt*.c files only.  */

void flt_entry_clear (struct flt_entry *entry);
void flt_weights_copy (struct flt_weights *to, const struct flt_weights *from);

#endif
