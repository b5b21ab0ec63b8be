#ifndef REGRESS_ADAPTER_SIM_H
#define REGRESS_ADAPTER_SIM_H

#include "plc.h"
#include "rt.h"

/* A simulated zone in one process for the tests of adapters: one controller at
   a time, members that route requests by its views, and engines that execute
   orders and report requests and orders that violate an invariant.  */

#define AS_US_PER_MS         UINT64_C (1000)
#define AS_ENGINES           4
#define AS_MEMBERS           2
#define AS_MODELS            3
#define AS_ADAPTERS          12
#define AS_NAMES             (AS_MODELS + AS_ADAPTERS)
#define AS_ADAPTER_LOADS_MAX 2
#define AS_ORDER_MS          2000

/* The state of a model or adapter on an engine.  */
struct as_resident
{
  enum plc_slot_state state; /* PLC_COLD: not loaded */
  uint64_t until_us;
  uint64_t bytes;
  uint64_t reserved; /* by a model for its adapters */
  uint32_t running;
  bool unloaded; /* by an order to this incarnation */
};

struct as_engine
{
  const struct plc_engine_spec *spec;
  bool alive;
  uint64_t incarnation;
  uint64_t fence;
  struct as_resident resident[AS_NAMES];
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

struct as_sim
{
  uint64_t now_us;
  struct tm_service *tm;
  gsl_rng *random;
  struct plc *plc;
  uint64_t fence;
  uint64_t started_us; /* start of the current controller */
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

typedef void (*as_handler) (struct as_sim *sim, void *data);

struct as_sim *as_new (uint64_t seed);
void as_free (struct as_sim *sim);
void as_advance (struct as_sim *sim, uint32_t duration_ms);
void as_take_over (struct as_sim *sim);
void as_request (struct as_sim *sim, uint32_t member, uint32_t name);
uint32_t as_random_below (struct as_sim *sim, uint32_t count);
void as_report_violation (struct as_sim *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Call RUN after DELAY_US and free DATA afterwards.  */
void as_schedule (struct as_sim *sim, uint64_t delay_us, as_handler run,
                  void *data);

extern const char *const as_names[AS_NAMES];
uint32_t as_name_index (const char *name);
uint32_t as_model_of (uint32_t name);

void as_members_tick (struct as_sim *sim);

void as_engines_init (struct as_sim *sim);
void as_engine_order (struct as_sim *sim, const struct plc_order *order);
void as_engines_tick (struct as_sim *sim);
void as_engine_crash (struct as_sim *sim, uint32_t index, bool restarts);

#endif
