#ifndef REGRESS_SIM_H
#define REGRESS_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "own.h"
#include "plc.h"
#include "tm.h"

/* A zone in one process: instances with election and placement, engines, and a
   key-value service, on a clock driven by hand.  */

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
  bool kv_cut;       /* does not reach the key-value service */
  uint64_t heals_us; /* end of the pause and of the cut; 0: not planned */
  uint64_t heard_us;
  uint64_t died_us;
  struct tm_service *tm;
  struct own *own;
  struct plc *plc;
  uint64_t fence; /* of the newest view */
  uint64_t sequence;
};

/* A replica in an engine's own record.  */
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

/* Shares of calls that go wrong, in 1,000.  */
struct sim_faults
{
  uint32_t lost;  /* carried out, answer lost */
  uint32_t late;  /* answer lost, carried out up to order_max_ms later */
  uint32_t never; /* not carried out, no answer */
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
  GPtrArray *events; /* under way */

  bool kv_down;
  int64_t revision;
  int64_t next_lease;
  GHashTable *values; /* key -> struct sim_value */
  GHashTable *leases; /* lease -> time of expiry */

  uint32_t loads; /* accepted by engines */
  char violation[256];
};

/* Called when an event arrives; DATA is freed afterwards.  */
typedef void (*sim_run) (struct sim *sim, void *data);

extern const struct plc_plan sim_plan;

struct sim *sim_new (uint64_t seed, const struct sim_faults *faults);
void sim_free (struct sim *sim);
void sim_advance (struct sim *sim, uint64_t duration_ms);
void sim_start (struct sim *sim, uint32_t index);
void sim_kill (struct sim *sim, uint32_t index);
void sim_demand (struct sim *sim, uint32_t index, const char *model,
                 uint32_t waiting, uint64_t within_ms);
uint32_t sim_pick (struct sim *sim, uint32_t count);
/* Run RUN in DELAY_US; with INSTANCE not NULL only when that incarnation still
   lives, and not before it is resumed.  */
void sim_post (struct sim *sim, struct sim_instance *instance,
               uint64_t delay_us, sim_run run, void *data);
/* The same, but it also runs when the instance has died.  */
void sim_post_always (struct sim *sim, struct sim_instance *instance,
                      uint64_t delay_us, sim_run run, void *data);
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
/* One bit per model of which an engine has a loaded replica.  */
uint32_t sim_loaded (const struct sim *sim);

#endif
