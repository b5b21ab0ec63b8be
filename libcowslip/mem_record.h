#ifndef COWSLIP_MEM_RECORD_H
#define COWSLIP_MEM_RECORD_H

/* Reads and writes the JSON record of a member in the key-value service.  */

#include <stddef.h>

#include "mem.h"

char *mem_record_format (const struct mem_member *member);
struct mem_member *mem_record_parse (const char *text, size_t bytes);
struct mem_member *mem_member_copy (const struct mem_member *member);
void mem_member_free (void *arg);

#endif
