#ifndef COWSLIP_LDR_IMPL_H
#define COWSLIP_LDR_IMPL_H

#include "ldr.h"

/* Shared by the ldr*.c files only.  */

#define LDR_US_PER_MS UINT64_C (1000)
#define LDR_NOBODY    "-"
/* Names that the mark of terms keeps.  Terms follow each other in a second at
   the least, so these cover the time between orders of two leaders.  */
#define LDR_HOLDERS_MAX 5

/* The leader's record as the store has it.  */
struct ldr_record
{
  char *instance; /* NULL: no record */
  uint64_t incarnation;
  int64_t revision;
  int64_t lease;
};

struct ldr
{
  struct ldr_config config;
  struct ldr_callbacks callbacks;
  void *arg;
  struct tm_timer tick;
  bool closed;
  uint32_t calls; /* under way */

  /* What the store holds, as far as it was read.  */
  bool synced;
  bool reading;
  void *watch;
  enum kv_pace pace;
  GPtrArray *members; /* struct ldr_member, by name */
  struct ldr_record leader;
  int64_t term_revision; /* 0: there never was a leader */
  char *term_holders;    /* who led, the last first, separated by spaces;
                            begins with LDR_NOBODY if that one resigned */
  bool key_known;
  uint32_t strength; /* most members that were ever seen */
  int64_t strength_revision;
  bool registered; /* the own record stands under the present lease */

  int64_t lease; /* 0: none */
  bool granting;
  bool renewing;
  bool writing;
  uint64_t renew_us; /* when the renewal under way was sent */
  bool checking;     /* the leader's record is being read */
  uint64_t check_us; /* when that read was sent */
  uint64_t next_check_us;
  uint64_t next_renew_us;
  uint64_t retry_us;  /* no grant, read or write before */
  uint64_t safe_us;   /* the lease is safe until then */
  uint64_t failed_us; /* last renewal that was not answered; 0: none */

  bool resigned;
  uint64_t started_us;
  uint64_t lost_us; /* when the own lead ended; 0: never */
  bool leading;
  uint64_t fence;
  uint32_t wait_ms; /* before the first order, if the lead is gained now */
  uint64_t orders_from_us;
  uint64_t vacant_us; /* since when there is no leader; 0: there is one */
};

/* ldr_table.c */
void ldr_table_clear (struct ldr *ldr);
void ldr_table_apply (struct ldr *ldr, const char *key, const char *value,
                      size_t bytes, int64_t revision, int64_t lease);
char *ldr_encode (const struct ldr *ldr);
char *ldr_member_key (const struct ldr *ldr);
extern const char ldr_prefix[];
extern const char ldr_leader_key[];
extern const char ldr_term_key[];
extern const char ldr_key_key[];
extern const char ldr_strength_key[];

/* ldr_write.c */
void ldr_write_due (struct ldr *ldr);
void ldr_write_resign (struct ldr *ldr);

/* ldr.c */
void ldr_evaluate (struct ldr *ldr);
bool ldr_call_ended (struct ldr *ldr);
uint32_t ldr_wait_ms (const struct ldr *ldr);
char *ldr_holders (const struct ldr *ldr, const char *first);

#endif
