#ifndef REGRESS_CLM_SIM_IMPL_H
#define REGRESS_CLM_SIM_IMPL_H

#include "clm_call.h"
#include "clm_sim.h"
#include "clm_submit.h"
#include "fake_kv.h"

/* Internal types of the claim simulation, shared by clm_sim*.c.  */

#define CLMS_MS             UINT64_C (1000)
#define CLMS_S              (1000 * CLMS_MS)
#define CLMS_ZONE_INSTANCES 3
#define CLMS_INSTANCES      (2 * CLMS_ZONE_INSTANCES)
#define CLMS_KEYS           24
#define CLMS_FAULTS_END_US  (40 * CLMS_S)
#define CLMS_END_US         (200 * CLMS_S)
#define CLMS_DEADLINE_US    (4 * CLMS_S)
#define CLMS_RETRIES_MAX    6

struct clms;

struct clms_event
{
  struct tm_timer timer;
  struct clms *sim;
  void (*run) (struct clms *sim, void *arg);
  void *arg;
};

struct clms_instance
{
  struct clms *sim;
  char name[8];
  uint64_t incarnation; /* 0: down */
  struct kv_store store;
  uint64_t kv_partition_end_us;
  struct clm_batch *batch;
  struct clm_submitter *submitter;
  GPtrArray *calls;
  uint64_t known_incarnations[CLMS_INSTANCES]; /* in its member table */
};

struct clms_run
{
  uint32_t key;
  uint64_t claim_id;
};

struct clms_record
{
  uint32_t key;
  uint64_t claim_id;
  bool not_run;
  uint32_t run; /* run whose result was returned; 0: refused */
};

struct clms_call
{
  struct clms_instance *instance;
  uint32_t key;
  uint32_t remaining_retries;
  uint32_t endpoints_tried;
  cs_claim claim;
  char claim_key[16];
  struct clm_call *machine;
  struct clms_attempt *attempt;
};

struct clms_attempt
{
  struct clms_call *call; /* NULL: cancelled */
  uint32_t key;
  uint64_t claim_id;
  uint32_t run; /* 1 + index in the list of runs; 0: did not run */
  enum clm_attempt_result end;
};

struct clms_message
{
  struct clms_instance *keeper;
  uint64_t keeper_incarnation;
  cs_claim *claim;
  clm_send_done done; /* NULL: replied or timed out */
  void *arg;
};

struct clms
{
  struct tm_service *tm;
  gsl_rng *random;
  struct fake_kv *kv;
  struct kv_store kv_store;
  GPtrArray *allocations; /* freed at the end */
  GArray *runs;           /* struct clms_run */
  GArray *records;        /* struct clms_record */
  /* Arguments of clms_retry: the position of an element gives the key and the
     number of retries left.  */
  char retry_args[CLMS_KEYS][CLMS_RETRIES_MAX + 1];
  struct clms_instance instances[CLMS_INSTANCES];
  struct clms_result result;
};

extern const struct kv_methods clms_store;
extern const struct clm_submit_methods clms_keeper_methods;

uint64_t clms_uniform (struct clms *sim, uint64_t below);
bool clms_chance (struct clms *sim, uint32_t percent);
bool clms_faults_enabled (struct clms *sim);
void *clms_alloc (struct clms *sim, size_t bytes);
void clms_schedule (struct clms *sim, uint64_t delay_us,
                    void (*run) (struct clms *sim, void *arg), void *arg);
void clms_violation (struct clms *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

void clms_retry (struct clms *sim, void *arg);
void clms_schedule_retry (struct clms *sim, const struct clms_call *call);
void clms_call_free (void *arg);
void clms_check (struct clms *sim);

#endif
