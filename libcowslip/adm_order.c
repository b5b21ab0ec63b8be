#include "adm_order.h"
#include "adm.h"

static gint
adm_compare (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

/* Order by class priority, then by deadline, then by arrival.  */
gint
adm_by_turn (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct adm_entry *x = a;
  const struct adm_entry *y = b;

  (void)unused;
  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  if (x->deadline_us != y->deadline_us)
    return adm_compare (x->deadline_us, y->deadline_us);
  return adm_compare (x->order, y->order);
}

/* Order by the latest useful time of start.  */
gint
adm_by_latest (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct adm_entry *x = a;
  const struct adm_entry *y = b;

  (void)unused;
  if (x->latest_us != y->latest_us)
    return adm_compare (x->latest_us, y->latest_us);
  return adm_compare (x->order, y->order);
}

/* Order by what is given up first when the queues are full: the lowest
   priority and then the newest.  */
gint
adm_by_worth (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct adm_entry *x = a;
  const struct adm_entry *y = b;

  (void)unused;
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  return adm_compare (y->order, x->order);
}
