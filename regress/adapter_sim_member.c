#include "adapter_sim.h"

#define AS_WAIT_MS 3000

/* A request on its way to an engine, or running there.  */
struct as_flight
{
  uint32_t member;
  uint32_t name;
  uint32_t engine;
  struct rt_replica *replica;
  uint64_t incarnation; /* of the engine on which it runs; 0: none */
};

static void
as_flight_ends (struct as_world *world, void *data)
{
  const struct as_flight *flight = data;
  struct as_engine *engine = &world->engines[flight->engine];

  if (flight->incarnation == engine->incarnation)
    engine->held[flight->name].running--;
  rt_end_request (world->members[flight->member].routes, flight->replica);
}

/* Guard the promise that no request comes after the quiesce protocol.  */
static void
as_flight_arrives (struct as_world *world, void *data)
{
  struct as_flight *flight = g_memdup2 (data, sizeof *flight);
  struct as_engine *engine = &world->engines[flight->engine];
  struct as_held *held = &engine->held[flight->name];
  uint32_t longest_ms = as_pick (world, 50) == 0 ? 2000 : 60;

  if (engine->alive && held->state == PLC_LOADED)
    {
      flight->incarnation = engine->incarnation;
      held->running++;
      world->members[flight->member].served[flight->name]++;
    }
  else if (engine->alive && held->sent_away)
    as_violate (world, "request for %s at %s after its unload",
                as_names[flight->name], engine->spec->address);
  as_post (world, (1 + as_pick (world, longest_ms)) * AS_US_PER_MS,
           as_flight_ends, flight);
}

static bool
as_launch (struct as_world *world, uint32_t member, uint32_t name)
{
  struct rt_criteria wish = { 0 };
  struct rt_replica *replica
      = rt_pick (world->members[member].routes, as_names[name], &wish);
  struct as_flight *flight;

  if (replica == NULL)
    return false;
  flight = g_new0 (struct as_flight, 1);
  flight->member = member;
  flight->name = name;
  flight->engine = (uint32_t)(replica->endpoint->address[1] - '0');
  flight->replica = replica;
  rt_begin_request (world->members[member].routes, replica);
  as_post (world, (1 + as_pick (world, 5)) * AS_US_PER_MS, as_flight_arrives,
           flight);
  return true;
}

static void
as_report (struct as_world *world, uint32_t member, uint32_t name)
{
  struct as_member *from = &world->members[member];
  struct plc_demand demand
      = { .model = as_names[name],
          .waiting = from->waiting[name],
          .earliest_us = world->now_us + AS_WAIT_MS * AS_US_PER_MS,
          .priority = (int32_t)(name % 3),
          .arrivals = from->arrivals[name] };

  from->arrivals[name] = 0;
  if (demand.waiting > 0 || demand.arrivals > 0)
    plc_update_demand (world->plc, from->name, &demand);
}

/* A request for NAME arrives at MEMBER and waits if it cannot be sent.  */
void
as_request (struct as_world *world, uint32_t member, uint32_t name)
{
  struct as_member *at = &world->members[member];

  at->arrivals[name]++;
  if (as_launch (world, member, name))
    return;
  if (at->waiting[name]++ == 0)
    as_report (world, member, name);
}

/* Send requests that wait and can be sent now, and report demand once a
 * second.
 */
void
as_members_tick (struct as_world *world)
{
  for (uint32_t i = 0; i < AS_MEMBERS; i++)
    for (uint32_t n = 0; n < AS_NAMES; n++)
      {
        uint32_t *waiting = &world->members[i].waiting[n];

        while (*waiting > 0 && as_launch (world, i, n))
          --*waiting;
        if (world->now_us % (1000 * AS_US_PER_MS) == 0)
          as_report (world, i, n);
      }
}
