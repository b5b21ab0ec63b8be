#include "h1_server_impl.h"

/* Set the gauges in COUNTERS of the limits of SERVER and of what it did to
   stay within them.  */
void
h1_server_report (const struct h1_server *server, struct ctr_set *counters)
{
  const struct mbg_budget *budget = server->budget;
  const struct h1_counts *counts = &server->counts;
  const struct
  {
    const char *name;
    uint64_t value;
  } gauges[] = {
    { "caller_connections", g_hash_table_size (server->connections) },
    { "caller_connections_max", server->limits.connections_max },
    { "connections_refused_total", counts->connections_refused },
    { "connections_evicted_total", counts->connections_evicted },
    { "pipelined_discarded_total", counts->pipelined_discarded },
    { "memory_used_bytes", mbg_used_bytes (budget) },
    { "memory_limit_bytes", mbg_limit_bytes (budget, MBG_CLIENT) },
    { "memory_evictions_total", mbg_evictions (budget) },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (gauges); i++)
    ctr_set_gauge (counters, gauges[i].name, (int64_t)gauges[i].value);
}
