#ifndef COWSLIP_ADM_ORDER_H
#define COWSLIP_ADM_ORDER_H

#include <glib.h>

/* Comparison functions that sort the queued requests (struct adm_entry).  */

gint adm_compare_service (gconstpointer a, gconstpointer b, gpointer unused);
gint adm_compare_latest_start (gconstpointer a, gconstpointer b,
                               gpointer unused);
gint adm_compare_eviction (gconstpointer a, gconstpointer b, gpointer unused);

#endif
