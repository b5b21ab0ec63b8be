#ifndef COWSLIP_CHG_H
#define COWSLIP_CHG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kv.h"
#include "pch.h"
#include "tm.h"

/* Changes of an environment's document in the key-value service.  */

/* A history entry carries no longer patch than this, as JSON.  */
#define CHG_PATCH_MAX_BYTES 65536

/* One stored generation of a document.  TEXT is NULL in a history entry, and
   PATCH is NULL elsewhere and in an entry whose patch would be too long.  */
struct chg_record
{
  uint64_t generation; /* 0: the environment has no document */
  char *digest;
  char *author;
  char *comment;
  char *change_id;
  int64_t time_ms;
  char *text;
  struct pch_patch *patch; /* from the generation before */
  int64_t revision;
};

enum chg_outcome
{
  CHG_ACCEPTED,
  CHG_CONFLICT,    /* another change came first; the record says whose */
  CHG_TOO_LARGE,   /* larger than a value of the key-value service */
  CHG_UNAVAILABLE, /* nothing was changed */
  CHG_UNKNOWN      /* the change may or may not take effect */
};

/* What an operator wants to change.  CHANGE_ID tells this change from every
   other, so that it is recognised after a lost answer.  */
struct chg_change
{
  const char *environment;
  uint64_t base; /* generation that the operator read */
  const char *digest;
  const char *author;
  const char *comment;
  const char *change_id;
  int64_t time_ms;
  const char *text;
};

/* RECORD is the record in the service, NULL if it is not known.  */
typedef void (*chg_done) (void *arg, enum chg_outcome outcome,
                          const struct chg_record *record);
/* RECORD is NULL if the service did not answer.  */
typedef void (*chg_read_done) (void *arg, const struct chg_record *record);

void chg_apply (const struct kv_store *kv, struct tm_service *tm,
                const struct chg_change *change, chg_done done, void *arg);
void chg_read (const struct kv_store *kv, const char *environment,
               chg_read_done done, void *arg);
struct chg_record *chg_record_parse (const char *value, size_t bytes);
void chg_record_free (struct chg_record *record);
char *chg_document_key (const char *environment);
char *chg_history_prefix (const char *environment);
char *chg_history_key (const char *environment, uint64_t generation);

#endif
