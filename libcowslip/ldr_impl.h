#ifndef COWSLIP_LDR_IMPL_H
#define COWSLIP_LDR_IMPL_H

#include "ldr.h"

/* Private to the ldr*.c files.  */

#define LDR_US_PER_MS UINT64_C (1000)
#define LDR_MS_PER_S  UINT64_C (1000)
/* First entry of the term record if the latest leader resigned.  */
#define LDR_RESIGNED "-"
/* Precedes the era of the store in the term record.  */
#define LDR_ERA_MARK '@'
/* Instance names kept in the term record.  Successive terms start at least a
   second apart, so these cover the required gap between orders of two
   leaders.  */
#define LDR_PAST_LEADERS_MAX 5

/* Cached copy of the leader record.  */
struct ldr_record
{
  char *instance; /* NULL: no record */
  uint64_t incarnation;
  int64_t revision;
  int64_t lease;
};

/* A lease of this instance.  */
struct ldr_lease
{
  int64_t id; /* 0: none */
  bool granting;
  bool renewing;
  uint64_t sent_us; /* when the last grant or renewal was sent */
  uint64_t next_renew_us;
};

struct ldr
{
  struct ldr_config config;
  struct ldr_callbacks callbacks;
  void *arg;
  struct tm_timer tick;
  bool closed;
  uint32_t calls_in_flight;

  /* Cached copy of the store's contents.  */
  bool synced;
  bool reading;
  uint64_t first_read_us; /* no read before */
  void *watch;
  GPtrArray *members; /* struct ldr_member, sorted by name */
  struct ldr_record leader;
  int64_t term_revision; /* of the last change, also a removal; 0: none */
  int64_t term_era;      /* of the store when the term record was written */
  char *past_leaders; /* latest first, space-separated; see ldr_encode_term */
  int64_t peer_key_revision; /* 0: no record */
  bool peer_key_stored;      /* the record holds the key in use */
  int64_t peak_revision;     /* 0: no record */
  uint32_t peak_stored;
  bool registered; /* own member record exists under the current lease */

  /* Known for good, whatever the store has lost.  */
  int64_t era;           /* of the store at the last read */
  uint64_t era_began_us; /* when a later era was noticed; 0: never */
  bool has_read;
  bool has_peer_key;
  unsigned char peer_key[LDR_KEY_BYTES];
  uint32_t peak_members; /* most members ever registered at once */

  struct ldr_lease member_lease;
  struct ldr_lease leader_lease; /* held while leading or campaigning */
  bool writing;
  bool checking;          /* read of the leader record in flight */
  uint64_t check_sent_us; /* when that read was sent */
  uint64_t next_check_us;
  uint64_t retry_at_us;        /* no grant, read or write earlier */
  uint32_t failures;           /* of these since the last success */
  uint64_t confirmed_until_us; /* sending orders is safe until then */
  uint64_t renew_failed_us;    /* last unanswered renewal; 0: none */

  bool resigned;
  uint64_t started_us;
  uint64_t lost_at_us; /* end of own last term; 0: none */
  bool leading;
  uint64_t fence;
  uint32_t order_delay_ms; /* before the first order of a new term */
  uint64_t may_order_from_us;
  uint64_t vacant_since_us; /* 0: there is a leader */
};

/* ldr_table.c */
void ldr_table_clear (struct ldr *ldr);
void ldr_table_retain (struct ldr *ldr, const GPtrArray *before);
bool ldr_table_expire (struct ldr *ldr);
void ldr_table_apply (struct ldr *ldr, const char *key, const char *value,
                      size_t bytes, int64_t revision, int64_t lease);
char *ldr_encode (const struct ldr *ldr);
char *ldr_member_key (const struct ldr *ldr);
extern const char ldr_prefix[];
extern const char ldr_leader_key[];
extern const char ldr_term_key[];
extern const char ldr_peer_key_key[];
extern const char ldr_peak_members_key[];

/* ldr_write.c */
void ldr_write_due (struct ldr *ldr);
void ldr_write_resign (struct ldr *ldr);

/* ldr_lease.c */
void ldr_lease_maintain_member (struct ldr *ldr);
void ldr_lease_maintain_leader (struct ldr *ldr);
void ldr_lease_grant_leader (struct ldr *ldr);

/* ldr.c */
void ldr_update_role (struct ldr *ldr);
void ldr_back_off (struct ldr *ldr);
void ldr_registered (struct ldr *ldr);
bool ldr_call_ended (struct ldr *ldr);
uint32_t ldr_order_delay_ms (const struct ldr *ldr);
char *ldr_encode_term (const struct ldr *ldr, const char *first);

#endif
