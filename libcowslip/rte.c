#include <string.h>

#include "rte.h"

static void
rte_target_clear (gpointer data)
{
  g_free (((struct rte_target *)data)->service);
}

static void
rte_route_free (gpointer data)
{
  struct rte_route *route = data;

  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_array_free (route->targets, TRUE);
  g_free (route);
}

/* Return an empty route.  */
struct rte_route *
rte_route_new (void)
{
  struct rte_route *route = g_new0 (struct rte_route, 1);

  route->targets = g_array_new (FALSE, TRUE, sizeof (struct rte_target));
  g_array_set_clear_func (route->targets, rte_target_clear);
  return route;
}

/* Free the struct rte_model at DATA.  */
void
rte_model_free (gpointer data)
{
  struct rte_model *model = data;

  g_free (model->name);
  g_free (model);
}

static void
rte_service_free (gpointer data)
{
  struct rte_service *service = data;

  g_free (service->name);
  g_hash_table_destroy (service->by_name);
  g_ptr_array_free (service->models, TRUE);
  g_free (service);
}

/* Return a service without models.  */
struct rte_service *
rte_service_new (void)
{
  struct rte_service *service = g_new0 (struct rte_service, 1);

  service->models = g_ptr_array_new_with_free_func (rte_model_free);
  service->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return service;
}

/* Add MODEL to SERVICE, which takes ownership of it.  */
void
rte_add_model (struct rte_service *service, struct rte_model *model)
{
  g_ptr_array_add (service->models, model);
  g_hash_table_insert (service->by_name, model->name, model);
  service->adapter_mb_max = MAX (service->adapter_mb_max, model->adapter_mb);
}

/* Return a configuration without routes.  */
struct rte_config *
rte_config_new (void)
{
  struct rte_config *config = g_new0 (struct rte_config, 1);

  config->references = 1;
  config->routes = g_ptr_array_new_with_free_func (rte_route_free);
  config->services = g_ptr_array_new_with_free_func (rte_service_free);
  return config;
}

/* Take a reference to CONFIG.  */
struct rte_config *
rte_config_ref (struct rte_config *config)
{
  config->references++;
  return config;
}

/* Drop a reference to CONFIG, which may be NULL.  */
void
rte_config_unref (struct rte_config *config)
{
  if (config == NULL || --config->references > 0)
    return;
  g_ptr_array_free (config->routes, TRUE);
  g_ptr_array_free (config->services, TRUE);
  g_free (config);
}

static bool
rte_host_is (const char *expected, const char *host)
{
  size_t length = strcspn (host, ":");

  return strlen (expected) == length
         && g_ascii_strncasecmp (expected, host, length) == 0;
}

/* Return the route of HOST with the longest prefix of the path in TARGET, a
   path with an optional query.  Return NULL if there is none.  */
const struct rte_route *
rte_match (const struct rte_config *config, const char *host,
           const char *target)
{
  const struct rte_route *best = NULL;
  size_t path_bytes = strcspn (target, "?");
  size_t best_bytes = 0;

  for (guint i = 0; i < config->routes->len; i++)
    {
      const struct rte_route *route = g_ptr_array_index (config->routes, i);
      size_t bytes = strlen (route->prefix);

      if (bytes <= path_bytes && (best == NULL || bytes > best_bytes)
          && strncmp (route->prefix, target, bytes) == 0
          && rte_host_is (route->host, host))
        {
          best = route;
          best_bytes = bytes;
        }
    }
  return best;
}

/* Return the service that the weights of ROUTE assign to DRAW, a uniform
   random number in [0, 1), or NULL if all weights are 0.  */
const char *
rte_pick_service (const struct rte_route *route, double draw)
{
  uint64_t total = 0;
  double remaining;

  for (guint i = 0; i < route->targets->len; i++)
    total += g_array_index (route->targets, struct rte_target, i).weight;
  remaining = draw * (double)total;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const struct rte_target *target
          = &g_array_index (route->targets, struct rte_target, i);

      remaining -= target->weight;
      if (remaining < 0)
        return target->service;
    }
  return NULL;
}

/* Return the service called NAME, or NULL.  */
const struct rte_service *
rte_service (const struct rte_config *config, const char *name)
{
  for (guint i = 0; i < config->services->len; i++)
    {
      const struct rte_service *service
          = g_ptr_array_index (config->services, i);

      if (g_str_equal (service->name, name))
        return service;
    }
  return NULL;
}

/* Return the model of SERVICE called NAME, or NULL.  */
const struct rte_model *
rte_model (const struct rte_service *service, const char *name)
{
  return g_hash_table_lookup (service->by_name, name);
}

/* Return whether a request of ROUTE that may have run may be retried.  */
bool
rte_may_retry (const struct rte_route *route)
{
  return route->kind == RTE_IDEMPOTENT
         || (route->kind == RTE_STREAM && route->resumable);
}
