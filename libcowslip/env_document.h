#ifndef COWSLIP_ENV_DOCUMENT_H
#define COWSLIP_ENV_DOCUMENT_H

#include "env.h"

/* Private to the env_ module.  Each list is in the order of the document; each
   index maps names to its members.  */
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
