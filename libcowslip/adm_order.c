#include "adm_order.h"
#include "adm.h"

static gint
adm_compare_uint64 (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

/* Compare by class priority, then by deadline, then by arrival.  */
gint
adm_compare_service (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct adm_entry *x = a;
  const struct adm_entry *y = b;

  (void)unused;
  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  if (x->deadline_us != y->deadline_us)
    return adm_compare_uint64 (x->deadline_us, y->deadline_us);
  return adm_compare_uint64 (x->arrival_number, y->arrival_number);
}

/* Compare by latest useful start time, then by arrival.  */
gint
adm_compare_latest_start (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct adm_entry *x = a;
  const struct adm_entry *y = b;

  (void)unused;
  if (x->latest_start_us != y->latest_start_us)
    return adm_compare_uint64 (x->latest_start_us, y->latest_start_us);
  return adm_compare_uint64 (x->arrival_number, y->arrival_number);
}

/* Compare by eviction order when the queues are full: lowest priority first,
   and the newest first among equals.  */
gint
adm_compare_eviction (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct adm_entry *x = a;
  const struct adm_entry *y = b;

  (void)unused;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  return adm_compare_uint64 (y->arrival_number, x->arrival_number);
}
