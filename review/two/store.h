#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

/* The platform's store: items, leases, transactions and watches.  */

char *store_start (const char *ip);
void store_put (const char *key, const char *value);
void store_remove (const char *key);
char *store_value (const char *key);

#endif
