#ifndef COWSLIP_ENV_DOCUMENT_H
#define COWSLIP_ENV_DOCUMENT_H

/* The parsed document, shared by the env*.c files only.  */

#include "env.h"

/* The arrays keep the order of the document.  Each index maps names to the
   elements of its array.  */
struct env_document
{
  gint references;
  char *name;
  char *text;
  size_t text_bytes;
  char digest[ENV_DIGEST_CHARS + 1];
  struct env_limits limits;
  GPtrArray *classes;
  GPtrArray *pools;
  GPtrArray *models;
  GPtrArray *adapters;
  GPtrArray *services;
  GPtrArray *zones;
  GHashTable *class_index;
  GHashTable *pool_index;
  GHashTable *model_index;
  GHashTable *adapter_index;
  GHashTable *service_index;
};

struct env_document *env_document_new (void);

#endif
