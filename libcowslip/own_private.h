#ifndef COWSLIP_OWN_PRIVATE_H
#define COWSLIP_OWN_PRIVATE_H

#include "own.h"
#include "own_record.h"

#define OWN_US_PER_MS   UINT64_C (1000)
#define OWN_EPOCH_SHIFT 32

struct own
{
  struct own_config config;
  struct own_callbacks callbacks;
  void *arg;
  uint32_t references; /* the owner's and one per call under way */
  bool closed;
  struct tm_timer tick;
  char *controller_key;
  char *placement_key;

  bool holding;
  bool by_round; /* authority from a round, not from the lease */
  bool leaving;  /* handed over; never takes control again */
  uint64_t fence;
  uint64_t highest_fence; /* seen anywhere */
  char *holder;           /* last known */

  int64_t lease;
  int64_t controller_revision;
  int64_t seen_revision; /* of the controller key, with the placement */
  int64_t placement_revision;
  struct own_placement *placement; /* last read or written */
  uint64_t lease_safe_us;          /* orders are safe before this time */
  uint64_t unchecked_from_us;      /* engines that ignore fencing numbers */
  bool needs_witness; /* no member of the list of the last holder agreed */

  /* The take-over under way.  */
  struct own_placement *take_placement;
  int64_t take_lease;
  uint64_t take_safe_us;
  bool take_released;
  bool take_needs_witness;

  bool reread;  /* the keys must be read before the next write */
  bool calling; /* read, take-over, save or release under way */
  bool renewing;
  bool kv_read; /* read at least once since the start */
  bool kv_failed;
  uint64_t failed_us; /* last failed call; 0: none */
  uint64_t call_us;
  uint64_t renew_us;
  uint64_t next_read_us;
  uint64_t next_renew_us;

  GPtrArray *members;   /* struct own_peer */
  bool number_shared;   /* another live member has the same number */
  GHashTable *promises; /* instance -> time until which it promised */
  uint64_t next_ask_us;
  bool members_stale; /* the recorded list differs from the members */
  char *promised_to;
  uint64_t promised_until_us;
  uint64_t holder_lost_us; /* when the holder was first missed; 0: present */

  GPtrArray *save_pins;          /* waiting to be written, or NULL */
  struct own_placement *written; /* being written, or NULL */
  own_done save_done;
  void *save_arg;
  own_done release_done;
  void *release_arg;
};

/* What this instance knows of another member.  */
struct own_peer
{
  char *instance;
  uint32_t number;
  bool recorded;
  bool reachable;
  bool draining;
  uint64_t missed_us; /* neither recorded nor reachable since; 0: present */
};

static inline uint64_t
own_now (const struct own *own)
{
  return tm_now_us (own->config.tm);
}

void own_ref (struct own *own);
void own_unref (struct own *own);
void own_gain (struct own *own, uint64_t fence, bool certain);
void own_lose (struct own *own);
void own_note_holder (struct own *own, const char *holder);

void own_kv_tick (struct own *own);
void own_begin_call (struct own *own);
bool own_end_call (struct own *own, enum kv_outcome outcome);

GPtrArray *own_member_names (const struct own *own);
void own_write (struct own *own, const char *holder, int64_t lease,
                const struct own_placement *placement, kv_done done);
void own_take (struct own *own, bool released);
void own_take_again (struct own *own, int64_t lease);
void own_release (struct own *own);

void own_save_tick (struct own *own);
void own_save_read_back (struct own *own);
void own_save_end (struct own *own, bool saved);

void own_promise_tick (struct own *own);
bool own_all_promised (const struct own *own);
bool own_is_listed (const struct own *own, const char *instance);
struct own_peer *own_find_peer (const struct own *own, const char *instance);

#endif
