#include <arpa/inet.h>
#include <stdint.h>
#include <string.h>

#include <glib.h>

#include "adr.h"

/* Parse TEXT, "IP:PORT" with an IPv4 address and a port from 0 to 65,535,
   into ADDRESS.  Return false if it is invalid or NULL.  */
bool
adr_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = text == NULL ? NULL : strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  guint64 port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port,
                                      NULL))
    return false;
  g_strlcpy (host, text, (gsize)(colon - text) + 1);
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

/* Parse TEXT as an address to connect to.  Unlike adr_parse, reject port 0,
   which to a listener means any free port.  */
bool
adr_parse_peer (const char *text, struct sockaddr_in *address)
{
  return adr_parse (text, address) && address->sin_port != 0;
}
