#ifndef REGRESS_ADAPTER_SIM_H
#define REGRESS_ADAPTER_SIM_H

#include "plc.h"
#include "rt.h"

/* A zone in one process for the tests of adapters: one controller at a time,
   members that route requests by its views, and engines that carry out orders
   and say when a request or an order breaks a promise.  */

#define AS_US_PER_MS UINT64_C (1000)
#define AS_ENGINES   4
#define AS_MEMBERS   2
#define AS_MODELS    3
#define AS_ADAPTERS  12
#define AS_NAMES     (AS_MODELS + AS_ADAPTERS)
#define AS_SHARE     2
#define AS_ORDER_MS  2000

/* One model or adapter on an engine.  */
struct as_held
{
  enum plc_slot_state state; /* PLC_COLD: not there */
  uint64_t until_us;
  uint64_t bytes;
  uint64_t reserved; /* of a model, for its adapters */
  uint32_t running;
  bool sent_away; /* by an order, in this incarnation */
};

struct as_engine
{
  const struct plc_engine_spec *spec;
  bool alive;
  uint64_t incarnation;
  uint64_t fence;
  struct as_held held[AS_NAMES];
};

struct as_member
{
  char name[4];
  struct rt_table *routes;
  struct vw_view *view;
  uint32_t waiting[AS_NAMES];
  uint32_t arrivals[AS_NAMES];
  uint32_t served[AS_NAMES];
};

struct as_world
{
  uint64_t now_us;
  struct tm_service *tm;
  gsl_rng *random;
  struct plc *plc;
  uint64_t fence;
  uint64_t started_us; /* the present controller */
  bool faulty;
  bool verbose;
  GPtrArray *pins;
  GPtrArray *events;
  struct as_engine engines[AS_ENGINES];
  struct as_member members[AS_MEMBERS];
  uint32_t adapter_loads;
  uint32_t adapter_unloads;
  char violation[256];
};

typedef void (*as_run) (struct as_world *world, void *data);

struct as_world *as_new (uint64_t seed);
void as_free (struct as_world *world);
void as_advance (struct as_world *world, uint32_t duration_ms);
void as_take_over (struct as_world *world);
void as_request (struct as_world *world, uint32_t member, uint32_t name);
uint32_t as_pick (struct as_world *world, uint32_t count);
void as_violate (struct as_world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Run RUN in DELAY_US, and free DATA then.  */
void as_post (struct as_world *world, uint64_t delay_us, as_run run,
              void *data);

extern const char *const as_names[AS_NAMES];
uint32_t as_name (const char *name);
uint32_t as_model_of (uint32_t name);

void as_members_tick (struct as_world *world);

void as_engines_init (struct as_world *world);
void as_engine_order (struct as_world *world, const struct plc_order *order);
void as_engines_tick (struct as_world *world);
void as_engine_crash (struct as_world *world, uint32_t index, bool back);

#endif
