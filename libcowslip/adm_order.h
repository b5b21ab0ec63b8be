#ifndef COWSLIP_ADM_ORDER_H
#define COWSLIP_ADM_ORDER_H

#include <glib.h>

/* Orders of waiting requests; all compare struct adm_entry.  */

gint adm_by_turn (gconstpointer a, gconstpointer b, gpointer unused);
gint adm_by_latest (gconstpointer a, gconstpointer b, gpointer unused);
gint adm_by_worth (gconstpointer a, gconstpointer b, gpointer unused);

#endif
