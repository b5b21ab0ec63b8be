#ifndef REGRESS_CLM_SIM_IMPL_H
#define REGRESS_CLM_SIM_IMPL_H

#include "clm_call.h"
#include "clm_sim.h"
#include "clm_submit.h"
#include "fake_kv.h"

#define CLMS_MS          UINT64_C (1000)
#define CLMS_S           (1000 * CLMS_MS)
#define CLMS_ZONE        3
#define CLMS_INSTANCES   (2 * CLMS_ZONE)
#define CLMS_KEYS        24
#define CLMS_FAULTS_US   (40 * CLMS_S)
#define CLMS_END_US      (200 * CLMS_S)
#define CLMS_DEADLINE_US (4 * CLMS_S)
#define CLMS_TRIES       6

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
  uint64_t kv_cut_until_us;
  struct clm_batch *batch;
  struct clm_submitter *submitter;
  GPtrArray *calls;
  uint64_t seen[CLMS_INSTANCES]; /* incarnations as this one knows them */
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
  uint32_t run; /* that was answered; 0: refused */
};

struct clms_call
{
  struct clms_instance *at;
  uint32_t key;
  uint32_t tries_left;
  uint32_t endpoints_tried;
  cs_claim claim;
  char claim_key[16];
  struct clm_call *machine;
  struct clms_attempt *attempt;
};

struct clms_attempt
{
  struct clms_call *call; /* NULL: nobody waits for it */
  uint32_t key;
  uint64_t claim_id;
  uint32_t run; /* 1 + its index in the record; 0: did not run */
  enum clm_attempt_end end;
};

struct clms_message
{
  struct clms_instance *keeper;
  uint64_t keeper_incarnation;
  cs_claim *claim;
  clm_send_done done; /* NULL: answered or given up */
  void *arg;
};

struct clms
{
  struct tm_service *tm;
  gsl_rng *random;
  struct fake_kv *kv;
  struct kv_store kv_store;
  GPtrArray *garbage;                    /* freed at the end */
  GArray *runs;                          /* struct clms_run */
  GArray *records;                       /* struct clms_record */
  char again[CLMS_KEYS][CLMS_TRIES + 1]; /* arguments of clms_repeat */
  struct clms_instance instances[CLMS_INSTANCES];
  struct clms_result result;
};

extern const struct kv_methods clms_store;
extern const struct clm_submit_methods clms_keeper_methods;

uint64_t clms_uniform (struct clms *sim, uint64_t below);
bool clms_percent (struct clms *sim, uint32_t percent);
bool clms_is_faulty (struct clms *sim);
void *clms_new (struct clms *sim, size_t bytes);
void clms_later (struct clms *sim, uint64_t delay_us,
                 void (*run) (struct clms *sim, void *arg), void *arg);
void clms_violation (struct clms *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

void clms_repeat (struct clms *sim, void *arg);
void clms_repeat_later (struct clms *sim, const struct clms_call *call);
void clms_call_free (void *arg);
void clms_check (struct clms *sim);

#endif
