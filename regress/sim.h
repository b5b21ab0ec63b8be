#ifndef REGRESS_SIM_H
#define REGRESS_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "own.h"
#include "plc.h"
#include "tm.h"

/* A simulated zone in one process: instances with election and placement,
   engines and a key-value service, on a simulated clock.  */

#define SIM_US_PER_MS UINT64_C (1000)
#define SIM_INSTANCES 3
#define SIM_ENGINES   4
#define SIM_MODELS    6

struct sim;

struct sim_instance
{
  struct sim *sim;
  uint32_t index;
  char name[8];
  uint64_t incarnation;
  bool alive;
  bool paused;
  bool kv_unreachable;
  uint64_t fault_end_us; /* end of pause or partition; 0: none */
  uint64_t last_heartbeat_us;
  uint64_t stopped_us;
  struct tm_service *tm;
  struct own *own;
  struct plc *plc;
  uint64_t fence; /* of the newest view */
  uint64_t sequence;
};

/* A replica on an engine.  */
struct sim_replica
{
  const struct plc_model_spec *model;
  uint64_t bytes;
  enum plc_slot_state state;
  uint64_t until_us;
};

struct sim_engine
{
  const struct plc_engine_spec *spec;
  bool alive;
  bool leaving;
  uint64_t incarnation;
  uint64_t fence;
  GPtrArray *replicas; /* struct sim_replica */
};

struct sim_value
{
  char *text;
  size_t bytes;
  int64_t revision;
  int64_t lease;
};

/* Rates of call failures, per 1,000 calls.  */
struct sim_faults
{
  uint32_t reply_lost; /* executed, reply lost */
  uint32_t delayed;    /* reply lost, executed up to order_max_ms later */
  uint32_t dropped;    /* not executed, no reply */
};

struct sim
{
  uint64_t now_us;
  struct tm_service *tm;
  gsl_rng *random;
  struct sim_instance instances[SIM_INSTANCES];
  struct sim_engine engines[SIM_ENGINES];
  struct sim_faults faults;
  bool verbose;
  GPtrArray *events; /* pending */

  bool kv_down;
  int64_t revision;
  int64_t next_lease;
  GHashTable *values; /* key -> struct sim_value */
  GHashTable *leases; /* lease -> time of expiry */

  uint32_t loads; /* accepted by engines */
  char violation[256];
};

/* Called when an event is due; DATA is freed afterwards.  */
typedef void (*sim_handler) (struct sim *sim, void *data);

extern const struct plc_plan sim_plan;

struct sim *sim_new (uint64_t seed, const struct sim_faults *faults);
void sim_free (struct sim *sim);
void sim_advance (struct sim *sim, uint64_t duration_ms);
void sim_start (struct sim *sim, uint32_t index);
void sim_kill (struct sim *sim, uint32_t index);
void sim_demand (struct sim *sim, uint32_t index, const char *model,
                 uint32_t waiting, uint64_t within_ms);
uint32_t sim_random_below (struct sim *sim, uint32_t count);
/* Call RUN after DELAY_US.  If INSTANCE is not NULL, RUN is called only if
   that incarnation is still alive, and no earlier than it is resumed.  */
void sim_schedule (struct sim *sim, struct sim_instance *instance,
                   uint64_t delay_us, sim_handler run, void *data);
/* Like sim_schedule, but RUN is also called if the instance has died.  */
void sim_schedule_always (struct sim *sim, struct sim_instance *instance,
                          uint64_t delay_us, sim_handler run, void *data);
void sim_log (struct sim *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

void sim_kv_init (struct sim *sim);
void sim_kv_free (struct sim *sim);
void sim_kv_expire (struct sim *sim);
struct kv_store sim_kv_store (struct sim_instance *instance);

void sim_engine_crash (struct sim *sim, uint32_t index, bool stays_down);
void sim_engine_order (struct sim_instance *instance,
                       const struct plc_order *order);
void sim_engine_tick (struct sim *sim);
void sim_check (struct sim *sim);
/* Return a bit mask of the models that have a loaded replica.  */
uint32_t sim_loaded (const struct sim *sim);

#endif
