#ifndef COWSLIP_BLM_H
#define COWSLIP_BLM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tm.h"

/* Finds out which requests crash endpoints.  A request has traits: the shared
   parts of its prompt, and the request as a whole.  A trait is suspected if a
   request with it was lost, before it was answered, when an endpoint died.  It
   is blocked after several such crashes, and cleared as soon as any request
   with it is answered later.  */
struct blm_table;

/* Crashes that are kept of a trait.  */
#define BLM_CRASHES_MAX 16

/* One crash that a request with TRAIT may have caused.  All but the age are
   hashes, so that instances can compare them.  */
struct blm_crash
{
  uint64_t trait;
  uint64_t crash;   /* the process that died */
  uint64_t place;   /* the address of the endpoint */
  uint64_t request; /* the trait of the request as a whole */
  uint32_t age_ms;
};

enum blm_verdict
{
  BLM_CLEAR,
  BLM_TRIAL,  /* a single request may run, to find out whether the trait is
                 still dangerous */
  BLM_BLOCKED /* refused */
};

/* Why a trait is no longer blocked.  */
enum blm_reason
{
  BLM_ANSWERED, /* a request with it was answered */
  BLM_ALIVE,    /* a process that was taken for crashed goes on */
  BLM_EXPIRED   /* its last crash is long ago */
};

struct blm_callbacks
{
  void (*blocked) (void *arg, uint64_t trait, uint32_t crashes);
  void (*unblocked) (void *arg, uint64_t trait, enum blm_reason reason);
};

typedef void (*blm_each) (void *arg, const struct blm_crash *crash);

struct blm_table *blm_new (struct tm_service *tm,
                           const struct blm_callbacks *callbacks, void *arg);
void blm_free (struct blm_table *table);
bool blm_is_empty (const struct blm_table *table);
void blm_expire (struct blm_table *table);
void blm_add (struct blm_table *table, const struct blm_crash *crash);
bool blm_clear (struct blm_table *table, uint64_t trait, uint32_t age_ms);
bool blm_is_disproved (const struct blm_table *table, uint64_t crash,
                       uint64_t since_us);
void blm_retract (struct blm_table *table, uint64_t crash);
enum blm_verdict blm_check (struct blm_table *table, const uint64_t *traits,
                            size_t count, bool may_try, uint64_t *trait);
const char *blm_reason_text (enum blm_reason reason);
bool blm_is_blocked (const struct blm_table *table, uint64_t trait);
uint32_t blm_blocked_count (const struct blm_table *table);
uint64_t blm_blocked_trait (const struct blm_table *table, uint32_t index,
                            bool *whole);
void blm_foreach (const struct blm_table *table, uint64_t trait, blm_each each,
                  void *arg);

#endif
