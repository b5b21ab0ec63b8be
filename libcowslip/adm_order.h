#ifndef COWSLIP_ADM_ORDER_H
#define COWSLIP_ADM_ORDER_H

#include <glib.h>

/* Comparison functions of struct adm_entry for the orders of its queues.  */

gint adm_compare_service (gconstpointer a, gconstpointer b, gpointer unused);
gint adm_compare_latest_start (gconstpointer a, gconstpointer b,
                               gpointer unused);
gint adm_compare_eviction (gconstpointer a, gconstpointer b, gpointer unused);

#endif
