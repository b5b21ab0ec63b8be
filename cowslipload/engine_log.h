#ifndef COWSLIPLOAD_ENGINE_LOG_H
#define COWSLIPLOAD_ENGINE_LOG_H

#include "invariants.h"

/* Reads the log files of engine stand-ins for the checks.  */
uint32_t ld_engine_log (struct inv *invariants, const char *file,
                        const char *zone);

#endif
