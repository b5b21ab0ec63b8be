#include <argp.h>
#include <stdlib.h>

#include "gateway.h"

static const struct argp_option options[]
    = { { "listen", 'l', "ADDRESS", 0, "listen on ADDRESS (IP:PORT)", 0 },
        { "writes", 'w', "NUMBER", 0,
          "accept NUMBER writes per second (default 400, 0: no limit)", 0 },
        { "reads", 'r', "NUMBER", 0,
          "accept NUMBER reads per second (default 2000, 0: no limit)", 0 },
        { 0 } };

static const char *listen_address = "127.0.0.1:7001";
static struct kvg gateway;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'l':
      listen_address = arg;
      return 0;
    case 'w':
      gateway.writes.limit = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case 'r':
      gateway.reads.limit = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { options, parse_option,
          NULL,    "Stand-in for the platform's key-value service.",
          NULL,    NULL,
          NULL };

  gateway.writes.limit = 400;
  gateway.reads.limit = 2000;
  argp_parse (&parser, argc, argv, 0, NULL, NULL);
  stand_init (&gateway.host, "standin-kv");
  stand_faults_init (&gateway.faults,
                     "{\"outage\": 0, \"slow_ms\": 0, \"late_effect_ms\": 0,"
                     " \"lose_answers\": 0, \"outage_keeps_leases\": 0}");
  gateway.store = kvs_new (kvg_watch_notify, &gateway);
  gateway.leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          kvg_lease_free);
  gateway.watches = g_hash_table_new (NULL, NULL);
  gateway.pending = g_ptr_array_new ();
  gateway.calls = json_object_new_object ();
  if (!stand_listen (&gateway.host, listen_address, kvg_handle, &gateway))
    return EXIT_FAILURE;
  stand_run (&gateway.host);
  return EXIT_SUCCESS;
}
