#include <string.h>

#include "control_impl.h"
#include "env.h"
#include "lg.h"
#include "peers.h"

static GArray *
control_model_specs (const struct env_document *document, const char *zone)
{
  const GPtrArray *models = env_models (document);
  GArray *specs = g_array_new (FALSE, FALSE, sizeof (struct plc_model_spec));

  for (guint i = 0; i < models->len; i++)
    {
      const struct env_model *model = g_ptr_array_index (models, i);
      struct plc_model_spec spec
          = { .name = model->name,
              .version = model->version,
              .pool = model->pool->name,
              .bytes = model->bytes,
              .adapter_bytes = model->adapter_bytes,
              .budget = env_budget (model, zone),
              .batch = model->pool->batch,
              .keep_alive_min_ms = model->keep_alive_min_ms,
              .keep_alive_max_ms = model->keep_alive_max_ms };

      g_array_append_val (specs, spec);
    }
  return specs;
}

static GArray *
control_engine_specs (const struct env_document *document, const char *zone)
{
  const GPtrArray *pools = env_pools (document);
  GArray *specs = g_array_new (FALSE, FALSE, sizeof (struct plc_engine_spec));

  for (guint i = 0; i < pools->len; i++)
    {
      const struct env_pool *pool = g_ptr_array_index (pools, i);

      for (guint j = 0; j < pool->endpoints->len; j++)
        {
          const struct env_endpoint *endpoint
              = g_ptr_array_index (pool->endpoints, j);
          struct plc_engine_spec spec
              = { .address = endpoint->address,
                  .pool = pool->name,
                  .memory_bytes = pool->memory_bytes,
                  .checks_fencing = pool->checks_fencing };

          if (g_str_equal (endpoint->zone, zone))
            g_array_append_val (specs, spec);
        }
    }
  return specs;
}

static GArray *
control_adapter_specs (const struct env_document *document)
{
  const GPtrArray *adapters = env_adapters (document);
  GArray *specs = g_array_new (FALSE, FALSE, sizeof (struct plc_adapter_spec));

  for (guint i = 0; i < adapters->len; i++)
    {
      const struct env_adapter *adapter = g_ptr_array_index (adapters, i);
      struct plc_adapter_spec spec = { .name = adapter->name,
                                       .version = adapter->version,
                                       .model = adapter->model->name,
                                       .bytes = adapter->bytes };

      g_array_append_val (specs, spec);
    }
  return specs;
}

/* Return the zone's share of TOTAL concurrent loads.  The remainder of the
   division goes to the first zones by name, so that it is not lost to
   rounding.  */
static uint32_t
control_zone_share (const struct env_document *document, const char *zone,
                    uint32_t total)
{
  const GPtrArray *zones = env_zones (document);
  uint32_t before = 0;

  if (zones->len == 0)
    return total;
  for (guint i = 0; i < zones->len; i++)
    if (strcmp (g_ptr_array_index (zones, i), zone) < 0)
      before++;
  return total / zones->len + (before < total % zones->len);
}

/* Pass the part of the document WHAT that concerns this zone to placement.  */
void
control_on_document (void *arg, const void *what)
{
  struct cd_control *control = arg;
  const struct env_document *document = what;
  const char *zone = control->daemon->settings->zone;
  GArray *models = control_model_specs (document, zone);
  GArray *engines = control_engine_specs (document, zone);
  GArray *adapters = control_adapter_specs (document);
  struct plc_plan plan
      = { .models = (const struct plc_model_spec *)(void *)models->data,
          .model_count = models->len,
          .engines = (const struct plc_engine_spec *)(void *)engines->data,
          .engine_count = engines->len,
          .weight_fetches_max = control_zone_share (
              document, zone, env_limits (document)->weight_loads_max) };

  plc_set_plan (control->plc, &plan);
  plc_set_adapters (
      control->plc, (const struct plc_adapter_spec *)(void *)adapters->data,
      adapters->len,
      control_zone_share (document, zone,
                          env_limits (document)->adapter_loads_max));
  g_array_free (models, TRUE);
  g_array_free (engines, TRUE);
  g_array_free (adapters, TRUE);
}

/* Pass the members of this zone from the table WHAT to placement, the election
   and the view updates.  */
void
control_on_members (void *arg, const void *what)
{
  struct cd_control *control = arg;
  const struct set_settings *settings = control->daemon->settings;
  const GPtrArray *all = mem_members (what);
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (struct plc_member));
  GArray *receivers = g_array_new (FALSE, FALSE, sizeof (struct vwp_member));
  GArray *others = g_array_new (FALSE, FALSE, sizeof (struct own_member));
  struct plc_member self = { settings->instance, true, true };
  bool shared;

  g_array_append_val (peers, self);
  for (guint i = 0; i < all->len; i++)
    {
      const struct mem_member *m = g_ptr_array_index (all, i);
      struct plc_member peer = { m->instance, m->recorded, m->reachable };
      struct own_member other
          = { m->instance, m->number, m->recorded, m->reachable, m->draining };
      struct vwp_member receiver
          = { m->instance, m->incarnation, m->reachable };

      if (!g_str_equal (m->zone, settings->zone)
          || g_str_equal (m->instance, settings->instance))
        continue;
      g_array_append_val (peers, peer);
      g_array_append_val (others, other);
      g_array_append_val (receivers, receiver);
    }
  plc_set_members (control->plc, (struct plc_member *)(void *)peers->data,
                   peers->len);
  shared = own_number_shared (control->own);
  own_set_members (control->own, (struct own_member *)(void *)others->data,
                   others->len);
  if (!shared && own_number_shared (control->own))
    lg_write (LG_MEMBER_NUMBER_DUPLICATE, "number %u",
              settings->member_number);
  vwp_set_members (control->pushes,
                   (struct vwp_member *)(void *)receivers->data,
                   receivers->len);
  g_array_free (receivers, TRUE);
  g_array_free (peers, TRUE);
  g_array_free (others, TRUE);
}
