#ifndef COWSLIP_CHG_H
#define COWSLIP_CHG_H

/* Applies changes to an environment's document in the key-value service, and
   reads the document and its history.  */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kv.h"
#include "pch.h"
#include "tm.h"

/* Limit on the JSON text of the patch in a history entry.  */
#define CHG_PATCH_MAX_BYTES 65536

/* Length of the history.  At 16,000 changes a day it covers 90 minutes, and
   all entries fit in one reply of the key-value service.  */
#define CHG_HISTORY_MAX_ENTRIES 1000

/* One stored generation of a document.  A document record has TEXT and no
   PATCH.  A history entry has no TEXT, and no PATCH if it would be longer than
   CHG_PATCH_MAX_BYTES.  */
struct chg_record
{
  uint64_t generation; /* 0: the environment has no document */
  char *digest;
  char *author;
  char *comment;
  char *change_id;
  int64_t time_ms;
  char *text;
  struct pch_patch *patch; /* from the previous generation */
  int64_t revision;
};

enum chg_outcome
{
  CHG_ACCEPTED,
  CHG_CONFLICT,    /* another change took effect first; see the record */
  CHG_TOO_LARGE,   /* exceeds the value limit of the key-value service */
  CHG_UNAVAILABLE, /* nothing was changed */
  CHG_UNKNOWN      /* the change may or may not take effect */
};

/* A change requested by an operator.  CHANGE_ID is unique, so that the change
   is recognized in the key-value service after a lost reply.  */
struct chg_change
{
  const char *environment;
  uint64_t base; /* generation that the change is based on */
  const char *digest;
  const char *author;
  const char *comment;
  const char *change_id;
  int64_t time_ms;
  const char *text;
};

/* RECORD is the record in the key-value service, or NULL if it is not
   known.  */
typedef void (*chg_done) (void *arg, enum chg_outcome outcome,
                          const struct chg_record *record);
/* RECORD is NULL if the key-value service did not respond or the value is
   malformed.  */
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
