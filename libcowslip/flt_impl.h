#ifndef COWSLIP_FLT_IMPL_H
#define COWSLIP_FLT_IMPL_H

#include "flt.h"

/* Shared by the flt*.c files only.  */

void flt_entry_clear (struct flt_entry *entry);

#endif
