#ifndef COWSLIPCOVED_GW_H
#define COWSLIPCOVED_GW_H

/* Gateway: forwards callers' requests to endpoints selected by host and path,
   and has the models that they need loaded.  */

int gw_run (const char *settings_file, uint32_t memory_mb);

#endif
