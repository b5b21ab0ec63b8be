#include "adapter_sim.h"

#define AS_DEADLINE_MS 3000

/* A request in transit to an engine, or running there.  */
struct as_attempt
{
  uint32_t member;
  uint32_t name;
  uint32_t engine;
  struct rt_replica *replica;
  uint64_t incarnation; /* of the engine on which it runs; 0: none */
};

static void
as_attempt_ends (struct as_sim *sim, void *data)
{
  const struct as_attempt *attempt = data;
  struct as_engine *engine = &sim->engines[attempt->engine];

  if (attempt->incarnation == engine->incarnation)
    engine->resident[attempt->name].running--;
  rt_end_request (sim->members[attempt->member].routes, attempt->replica);
}

/* Check that no request arrives after the quiesce protocol has completed.  */
static void
as_attempt_arrives (struct as_sim *sim, void *data)
{
  struct as_attempt *attempt = g_memdup2 (data, sizeof *attempt);
  struct as_engine *engine = &sim->engines[attempt->engine];
  struct as_resident *resident = &engine->resident[attempt->name];
  uint32_t duration_max_ms = as_random_below (sim, 50) == 0 ? 2000 : 60;

  if (engine->alive && resident->state == PLC_LOADED)
    {
      attempt->incarnation = engine->incarnation;
      resident->running++;
      sim->members[attempt->member].served[attempt->name]++;
    }
  else if (engine->alive && resident->unloaded)
    as_report_violation (sim, "request for %s at %s after its unload",
                         as_names[attempt->name], engine->spec->address);
  as_schedule (sim,
               (1 + as_random_below (sim, duration_max_ms)) * AS_US_PER_MS,
               as_attempt_ends, attempt);
}

static bool
as_send_request (struct as_sim *sim, uint32_t member, uint32_t name)
{
  struct rt_criteria criteria = { 0 };
  struct rt_replica *replica
      = rt_pick (sim->members[member].routes, as_names[name], &criteria);
  struct as_attempt *attempt;

  if (replica == NULL)
    return false;
  attempt = g_new0 (struct as_attempt, 1);
  attempt->member = member;
  attempt->name = name;
  attempt->engine = (uint32_t)(replica->endpoint->address[1] - '0');
  attempt->replica = replica;
  rt_begin_request (sim->members[member].routes, replica);
  as_schedule (sim, (1 + as_random_below (sim, 5)) * AS_US_PER_MS,
               as_attempt_arrives, attempt);
  return true;
}

static void
as_report_demand (struct as_sim *sim, uint32_t member, uint32_t name)
{
  struct as_member *from = &sim->members[member];
  struct plc_demand demand
      = { .model = as_names[name],
          .waiting = from->waiting[name],
          .earliest_us = sim->now_us + AS_DEADLINE_MS * AS_US_PER_MS,
          .priority = (int32_t)(name % 3),
          .arrivals = from->arrivals[name] };

  from->arrivals[name] = 0;
  if (demand.waiting > 0 || demand.arrivals > 0)
    plc_update_demand (sim->plc, from->name, &demand);
}

/* Let a request for NAME arrive at MEMBER; it waits if there is no replica for
   it.  */
void
as_request (struct as_sim *sim, uint32_t member, uint32_t name)
{
  struct as_member *receiver = &sim->members[member];

  receiver->arrivals[name]++;
  if (as_send_request (sim, member, name))
    return;
  if (receiver->waiting[name]++ == 0)
    as_report_demand (sim, member, name);
}

/* Send the waiting requests that have a replica now, and report demand once a
   second.  */
void
as_members_tick (struct as_sim *sim)
{
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    for (uint32_t n = 0; n < AS_NAMES; n++)
      {
        uint32_t *waiting = &sim->members[i].waiting[n];

        while (*waiting > 0 && as_send_request (sim, i, n))
          --*waiting;
        if (sim->now_us % (1000 * AS_US_PER_MS) == 0)
          as_report_demand (sim, i, n);
      }
}
