#ifndef REGRESS_CLM_SIM_IMPL_H
#define REGRESS_CLM_SIM_IMPL_H

#include "clm_call.h"
#include "clm_sim.h"
#include "clm_submit.h"
#include "fake_kv.h"

#define SIM_MS          UINT64_C (1000)
#define SIM_S           (1000 * SIM_MS)
#define SIM_ZONE        3
#define SIM_INSTANCES   (2 * SIM_ZONE)
#define SIM_KEYS        24
#define SIM_FAULTS_US   (40 * SIM_S)
#define SIM_END_US      (200 * SIM_S)
#define SIM_DEADLINE_US (4 * SIM_S)
#define SIM_TRIES       6

struct sim;

struct sim_event
{
  struct tm_timer timer;
  struct sim *sim;
  void (*run) (struct sim *sim, void *arg);
  void *arg;
};

struct sim_instance
{
  struct sim *sim;
  char name[8];
  uint64_t incarnation; /* 0: down */
  struct kv_store store;
  uint64_t kv_cut_until_us;
  struct clm_batch *batch;
  struct clm_submitter *submitter;
  GPtrArray *calls;
  uint64_t seen[SIM_INSTANCES]; /* incarnations as this one knows them */
};

struct sim_run
{
  uint32_t key;
  uint64_t claim_id;
};

struct sim_record
{
  uint32_t key;
  uint64_t claim_id;
  bool not_run;
  uint32_t run; /* that was answered; 0: refused */
};

struct sim_call
{
  struct sim_instance *at;
  uint32_t key;
  uint32_t tries_left;
  uint32_t endpoints_tried;
  cs_claim claim;
  char claim_key[16];
  struct clm_call *machine;
  struct sim_attempt *attempt;
};

struct sim_attempt
{
  struct sim_call *call; /* NULL: nobody waits for it */
  uint32_t key;
  uint64_t claim_id;
  uint32_t run; /* 1 + its index in the record; 0: did not run */
  enum clm_attempt_end end;
};

struct sim_message
{
  struct sim_instance *keeper;
  uint64_t keeper_incarnation;
  cs_claim *claim;
  clm_sent_done done; /* NULL: answered or given up */
  void *arg;
};

struct sim
{
  struct tm_service *tm;
  gsl_rng *random;
  struct fake_kv *kv;
  struct kv_store kv_store;
  GPtrArray *garbage;                  /* freed at the end */
  GArray *runs;                        /* struct sim_run */
  GArray *records;                     /* struct sim_record */
  char again[SIM_KEYS][SIM_TRIES + 1]; /* arguments of sim_repeat */
  struct sim_instance instances[SIM_INSTANCES];
  struct sim_result result;
};

extern const struct kv_methods sim_store;
extern const struct clm_submit_methods sim_keeper_methods;

uint64_t sim_uniform (struct sim *sim, uint64_t below);
bool sim_percent (struct sim *sim, uint32_t percent);
bool sim_is_faulty (struct sim *sim);
void *sim_new (struct sim *sim, size_t bytes);
void sim_later (struct sim *sim, uint64_t delay_us,
                void (*run) (struct sim *sim, void *arg), void *arg);
void sim_violation (struct sim *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

void sim_repeat (struct sim *sim, void *arg);
void sim_repeat_later (struct sim *sim, const struct sim_call *call);
void sim_call_free (void *arg);
void sim_check (struct sim *sim);

#endif
