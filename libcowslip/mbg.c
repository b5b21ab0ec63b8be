#include <unistd.h>

#include "mbg.h"

/* Fractions of the machine's memory.  The rest is for code, control and the
   kernel's buffers.  */
#define MBG_CLIENT_SHARE  0.5
#define MBG_CONTROL_SHARE 0.0625
/* Part of the clients' memory that those with much may use.  */
#define MBG_LARGE_SHARE 0.75
/* A client that holds more than this has much.  */
#define MBG_LARGE_HOLDER_BYTES (64U << 10)
/* A client stalls if it is behind this rate for this long.  Clients that send
   a request of the largest size in the usual time are some 50 times faster. */
#define MBG_RATE_MIN_BYTES_PER_S (16U << 10)
#define MBG_STALL_US             500000
/* Memory of a machine that is not stated; smaller ones are.  */
#define MBG_MACHINE_DEFAULT_BYTES (UINT64_C (256) << 20)

#define MBG_BYTES_PER_MB (UINT64_C (1) << 20)
#define MBG_US_PER_S     UINT64_C (1000000)
#define MBG_MS_PER_S     1000
#define MBG_WINDOW_US    MBG_US_PER_S
/* Bounds on the time after which a refused client may return.  */
#define MBG_RETRY_MIN_MS 500
#define MBG_RETRY_MAX_MS 10000

struct mbg_budget
{
  uint32_t references;
  struct tm_service *tm;
  uint64_t memory_bytes;
  uint64_t used_bytes;
  GQueue holders; /* struct mbg_holder */
  uint64_t evictions;
  /* Bytes given back in the current window and in the one before.  */
  uint64_t window_us;
  uint64_t window_bytes;
  uint64_t last_window_bytes;
};

/* Return a budget for a machine with MEMORY_BYTES.  TM must outlive it.  */
struct mbg_budget *
mbg_new (struct tm_service *tm, uint64_t memory_bytes)
{
  struct mbg_budget *budget = g_new0 (struct mbg_budget, 1);

  budget->references = 1;
  budget->tm = tm;
  budget->memory_bytes = memory_bytes;
  budget->window_us = tm_now_us (tm);
  g_queue_init (&budget->holders);
  return budget;
}

/* Return a further reference to BUDGET.  */
struct mbg_budget *
mbg_ref (struct mbg_budget *budget)
{
  budget->references++;
  return budget;
}

/* Release a reference to BUDGET, which may be NULL.  */
void
mbg_unref (struct mbg_budget *budget)
{
  if (budget != NULL && --budget->references == 0)
    g_free (budget);
}

/* Return the memory to assume if none is stated: that of the machine, at most
   256 MiB.  */
uint64_t
mbg_machine_bytes (void)
{
  long pages = sysconf (_SC_PHYS_PAGES);
  long page_bytes = sysconf (_SC_PAGESIZE);

  if (pages <= 0 || page_bytes <= 0)
    return MBG_MACHINE_DEFAULT_BYTES;
  return MIN ((uint64_t)pages * (uint64_t)page_bytes,
              MBG_MACHINE_DEFAULT_BYTES);
}

/* Read the optional setting "memory_mb", the memory of the machine in
   MiB.  */
uint32_t
mbg_read_memory_mb (struct jsn_reader *reader)
{
  const struct jsn_range range = { MBG_MEMORY_MIN_MB, MBG_MEMORY_MAX_MB, false,
                                   mbg_machine_bytes () / MBG_BYTES_PER_MB };

  return (uint32_t)jsn_number (reader, "memory_mb", range);
}

/* Return the limit on the bytes that are used when more are taken for USE.  */
uint64_t
mbg_limit_bytes (const struct mbg_budget *budget, enum mbg_use use)
{
  double share = MBG_CLIENT_SHARE;

  if (use == MBG_LARGE)
    share *= MBG_LARGE_SHARE;
  else if (use == MBG_CONTROL)
    share += MBG_CONTROL_SHARE;
  return (uint64_t)((double)budget->memory_bytes * share);
}

/* Return the memory of the machine.  */
uint64_t
mbg_memory_bytes (const struct mbg_budget *budget)
{
  return budget->memory_bytes;
}

/* Return the number of bytes that are taken.  */
uint64_t
mbg_used_bytes (const struct mbg_budget *budget)
{
  return budget->used_bytes;
}

/* Return the number of evictions since the start.  */
uint64_t
mbg_evictions (const struct mbg_budget *budget)
{
  return budget->evictions;
}

/* Return whether clients with much get no more memory.  */
bool
mbg_is_short (const struct mbg_budget *budget)
{
  return budget->used_bytes >= mbg_limit_bytes (budget, MBG_LARGE);
}

/* Return the stalled holder with the most bytes, of equal ones the one that
   stalls for longest; NULL if there is none.  */
static struct mbg_holder *
mbg_find_victim (const struct mbg_budget *budget)
{
  uint64_t now_us = tm_now_us (budget->tm);
  struct mbg_holder *victim = NULL;

  for (const GList *item = budget->holders.head; item != NULL;
       item = item->next)
    {
      struct mbg_holder *holder = item->data;

      if (!holder->evictable || holder->bytes == 0
          || holder->progress_us + MBG_STALL_US > now_us)
        continue;
      if (victim == NULL || holder->bytes > victim->bytes
          || (holder->bytes == victim->bytes
              && holder->progress_us < victim->progress_us))
        victim = holder;
    }
  return victim;
}

static bool
mbg_evict (struct mbg_budget *budget)
{
  struct mbg_holder *victim = mbg_find_victim (budget);

  if (victim == NULL)
    return false;
  budget->evictions++;
  victim->evictable = false;
  victim->evict (victim->arg);
  return true;
}

/* Take BYTES from BUDGET for USE.  Stalled clients are evicted until enough
   are left.  Return false, without a change, if that does not suffice.  */
bool
mbg_take (struct mbg_budget *budget, size_t bytes, enum mbg_use use)
{
  uint64_t limit_bytes = mbg_limit_bytes (budget, use);

  while (budget->used_bytes + bytes > limit_bytes)
    if (bytes > limit_bytes || !mbg_evict (budget))
      return false;
  budget->used_bytes += bytes;
  return true;
}

/* Take BYTES that cannot be refused, because they have been received already
   or belong to a request in progress.  */
void
mbg_add (struct mbg_budget *budget, size_t bytes)
{
  budget->used_bytes += bytes;
}

static void
mbg_turn_window (struct mbg_budget *budget)
{
  uint64_t now_us = tm_now_us (budget->tm);

  if (now_us - budget->window_us < MBG_WINDOW_US)
    return;
  budget->last_window_bytes = now_us - budget->window_us < 2 * MBG_WINDOW_US
                                  ? budget->window_bytes
                                  : 0;
  budget->window_bytes = 0;
  budget->window_us = now_us;
}

/* Give BYTES back to BUDGET.  */
void
mbg_give (struct mbg_budget *budget, size_t bytes)
{
  g_assert (bytes <= budget->used_bytes);
  mbg_turn_window (budget);
  budget->window_bytes += bytes;
  budget->used_bytes -= bytes;
}

/* Return the bytes that were given back lately in a second.  */
static uint64_t
mbg_rate (const struct mbg_budget *budget)
{
  uint64_t age_us = tm_now_us (budget->tm) - budget->window_us;

  if (age_us < MBG_WINDOW_US)
    return MAX (budget->window_bytes, budget->last_window_bytes);
  return age_us < 2 * MBG_WINDOW_US ? budget->window_bytes : 0;
}

/* Return after how many milliseconds a client that needs BYTES and was refused
   them can expect to get them, at the rate at which bytes were given back
   lately.  */
uint32_t
mbg_retry_after_ms (const struct mbg_budget *budget, size_t bytes)
{
  uint64_t limit_bytes = mbg_limit_bytes (budget, MBG_LARGE);
  uint64_t rate = mbg_rate (budget);
  uint64_t missing = budget->used_bytes + bytes;

  missing = missing > limit_bytes ? missing - limit_bytes : 0;
  if (missing == 0)
    return MBG_RETRY_MIN_MS;
  if (rate == 0)
    return MBG_RETRY_MAX_MS;
  return (uint32_t)CLAMP (missing * MBG_MS_PER_S / rate, MBG_RETRY_MIN_MS,
                          MBG_RETRY_MAX_MS);
}

/* Add HOLDER to BUDGET.  EVICT is called with ARG, from within mbg_take of
   another holder, to free its memory.  It is not evictable yet.  */
void
mbg_open (struct mbg_holder *holder, struct mbg_budget *budget,
          void (*evict) (void *arg), void *arg)
{
  *holder
      = (struct mbg_holder){ .budget = budget, .evict = evict, .arg = arg };
  holder->link.data = holder;
  g_queue_push_tail_link (&budget->holders, &holder->link);
  mbg_restart (holder);
}

/* Remove HOLDER from its budget.  */
void
mbg_close (struct mbg_holder *holder)
{
  g_queue_unlink (&holder->budget->holders, &holder->link);
}

/* Measure the rate of HOLDER from now on.  */
void
mbg_restart (struct mbg_holder *holder)
{
  holder->progress_us = tm_now_us (holder->budget->tm);
}

/* Record that HOLDER has sent or read BYTES.  */
void
mbg_progress (struct mbg_holder *holder, size_t bytes)
{
  uint64_t now_us = tm_now_us (holder->budget->tm);

  holder->progress_us
      = MIN (now_us, holder->progress_us
                         + bytes * MBG_US_PER_S / MBG_RATE_MIN_BYTES_PER_S);
}

/* Set the number of bytes that the eviction of HOLDER would free.  */
void
mbg_set_bytes (struct mbg_holder *holder, size_t bytes)
{
  holder->bytes = bytes;
}

/* Set whether HOLDER may be evicted if it stalls.  */
void
mbg_set_evictable (struct mbg_holder *holder, bool evictable)
{
  holder->evictable = evictable;
}

/* Return the use for which HOLDER takes BYTES more.  */
enum mbg_use
mbg_holder_use (const struct mbg_holder *holder, size_t bytes)
{
  return holder->bytes + bytes > MBG_LARGE_HOLDER_BYTES ? MBG_LARGE
                                                        : MBG_CLIENT;
}
