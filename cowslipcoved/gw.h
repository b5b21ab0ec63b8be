#ifndef COWSLIPCOVED_GW_H
#define COWSLIPCOVED_GW_H

/* The gateway: passes requests of callers on to endpoints by host and path,
   and has models loaded for them.  */

int gw_run (const char *settings_file);

#endif
