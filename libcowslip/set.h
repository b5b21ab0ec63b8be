#ifndef COWSLIP_SET_H
#define COWSLIP_SET_H

/* Reads and checks the settings file of one instance.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#define SET_KEY_MIN_BYTES 32

struct set_settings
{
  char *instance;
  char *zone;
  char *region;
  char *environment;
  char *http_address;
  char *rpc_address;
  char *kv_address;
  char *instance_list_address; /* NULL: no list */
  GPtrArray *peers;            /* RPC addresses (char *) contacted at start */
  char *peer_key;              /* contents of the key file */
  size_t peer_key_bytes;
  char *operator_token;
  uint32_t member_number; /* 1 to 65,535, unique in the zone */
  uint32_t body_max_bytes;
  uint32_t connections_max; /* of callers and operators */
  uint32_t memory_mb;       /* of the machine */
  uint32_t
      drain_notice_ms; /* requests are accepted for this long after SIGTERM */
  uint32_t drain_max_ms;
  uint32_t log_level; /* syslog severity */
};

struct set_settings *set_parse (const char *text, size_t bytes,
                                const char *file, GError **error);
struct set_settings *set_load (const char *file, GError **error);
void set_free (struct set_settings *settings);

#endif
