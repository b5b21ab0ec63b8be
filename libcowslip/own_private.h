#ifndef COWSLIP_OWN_PRIVATE_H
#define COWSLIP_OWN_PRIVATE_H

/* State and functions shared by the own*.c files only.  */

#include "own.h"
#include "own_record.h"

#define OWN_US_PER_MS   UINT64_C (1000)
#define OWN_EPOCH_SHIFT 32

struct own
{
  struct own_config config;
  struct own_callbacks callbacks;
  void *arg;
  uint32_t references; /* one for the owner, one per call */
  bool closed;
  struct tm_timer tick;
  char *controller_key;
  char *placement_key;

  bool is_holder;
  bool by_promises; /* authority from a round, without a lease */
  bool resigned;    /* handed over for good */
  uint64_t fence;
  uint64_t highest_fence; /* seen from any instance */
  char *holder;           /* last known controller, or NULL */

  int64_t lease;
  int64_t controller_revision;
  int64_t read_revision; /* controller key's, at the last placement read */
  int64_t placement_revision;
  struct own_placement *placement; /* last read or written */
  uint64_t lease_valid_until_us;   /* end of authority under the lease */
  uint64_t unfenced_from_us; /* for engines that ignore fencing numbers */
  bool needs_member_ack; /* no recorded member has acknowledged our fence */

  /* Acquisition of the controller key in progress.  */
  struct own_placement *acquire_placement;
  int64_t acquire_lease;
  uint64_t acquire_valid_until_us;
  bool acquire_released;
  bool acquire_needs_ack;

  bool needs_reread;   /* read the keys before the next write */
  bool call_in_flight; /* read, acquisition, save or release */
  bool renewing;
  bool has_read_keys; /* at least once since start */
  bool kv_failed;
  uint64_t kv_failed_us; /* last failed call; 0: none */
  uint64_t call_started_us;
  uint64_t renew_started_us;
  uint64_t next_read_us;
  uint64_t next_renew_us;

  GPtrArray *members;   /* struct own_peer */
  bool number_shared;   /* another live member has our number */
  GHashTable *promises; /* instance name -> expiry (uint64_t *) */
  uint64_t next_promise_us;
  bool members_stale; /* recorded members differ from the members */
  char *promised_to;
  uint64_t promised_until_us;
  uint64_t holder_absent_since_us; /* 0: reachable */

  GPtrArray *save_pins;                    /* waiting to be written, or NULL */
  struct own_placement *pending_placement; /* being written, or NULL */
  own_done save_done;
  void *save_arg;
  own_done release_done;
  void *release_arg;
};

/* State of another member of the zone.  */
struct own_peer
{
  char *instance;
  uint32_t number;
  bool recorded;
  bool reachable;
  bool draining;
  uint64_t absent_since_us; /* 0: recorded or reachable */
};

static inline uint64_t
own_now (const struct own *own)
{
  return tm_now_us (own->config.tm);
}

void own_ref (struct own *own);
void own_unref (struct own *own);
void own_begin_authority (struct own *own, uint64_t fence, bool is_current);
void own_end_authority (struct own *own);
void own_set_holder (struct own *own, const char *holder);

void own_kv_tick (struct own *own);
void own_begin_call (struct own *own);
bool own_end_call (struct own *own, enum kv_outcome outcome);

GPtrArray *own_member_names (const struct own *own);
void own_write (struct own *own, const char *holder, int64_t lease,
                const struct own_placement *placement, kv_done done);
void own_acquire (struct own *own, bool released);
void own_reacquire (struct own *own, int64_t lease);
void own_release (struct own *own);

void own_save_tick (struct own *own);
void own_save_read_back (struct own *own);
void own_save_finish (struct own *own, bool saved);

void own_promise_tick (struct own *own);
bool own_all_promised (const struct own *own);
bool own_is_listed (const struct own *own, const char *instance);
struct own_peer *own_find_peer (const struct own *own, const char *instance);

#endif
