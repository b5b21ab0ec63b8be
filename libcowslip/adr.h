#ifndef COWSLIP_ADR_H
#define COWSLIP_ADR_H

#include <stdbool.h>

#include <netinet/in.h>

/* Parser for "IP:PORT" addresses (IPv4) in settings and documents.  */

bool adr_parse (const char *text, struct sockaddr_in *address);
bool adr_parse_peer (const char *text, struct sockaddr_in *address);

#endif
