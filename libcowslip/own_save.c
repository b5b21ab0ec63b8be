#include "own_private.h"
#include "plc_pin.h"

static bool
own_pins_equal (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return false;
  for (guint i = 0; i < a->len; i++)
    {
      const struct plc_pin *x = g_ptr_array_index (a, i);
      const struct plc_pin *y = g_ptr_array_index (b, i);

      if (x->slot != y->slot || !g_str_equal (x->model, y->model)
          || !g_str_equal (x->endpoint, y->endpoint))
        return false;
    }
  return true;
}

static bool
own_member_lists_equal (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return false;
  for (guint i = 0; i < a->len; i++)
    if (!g_ptr_array_find_with_equal_func (
            (GPtrArray *)b, g_ptr_array_index (a, i), g_str_equal, NULL))
      return false;
  return true;
}

/* Report the result of the waiting save, if any, to its caller.  */
void
own_save_finish (struct own *own, bool saved)
{
  own_done done = own->save_done;
  GPtrArray *pins = own->save_pins;

  if (pins == NULL)
    return;
  own->save_pins = NULL;
  own->save_done = NULL;
  done (own->save_arg, saved);
  g_ptr_array_unref (pins);
}

static void
own_save_done (void *arg, const struct kv_result *result)
{
  struct own *own = arg;

  if (own_end_call (own, result->outcome) && own->is_holder
      && !own->by_promises && own->pending_placement != NULL)
    {
      if (result->outcome == KV_OK)
        {
          own->controller_revision = result->revision;
          own->placement_revision = result->revision;
          own_placement_free (own->placement);
          own->placement = own->pending_placement;
          own->pending_placement = NULL;
          if (own->save_pins != NULL
              && own_pins_equal (own->save_pins, own->placement->pins))
            own_save_finish (own, true);
        }
      else
        {
          /* The next read shows whether the write took effect.  */
          own->needs_reread = true;
          own->next_read_us = 0;
        }
    }
  own_placement_free (own->pending_placement);
  own->pending_placement = NULL;
  own_unref (own);
}

/* The key still names this instance after a write whose reply was lost.  The
   write may still take effect later, so it is repeated with the revisions just
   read until a reply arrives.  */
void
own_save_read_back (struct own *own)
{
  own->needs_reread = false;
  own->members_stale = true;
  if (own->save_pins != NULL
      && own_pins_equal (own->save_pins, own->placement->pins))
    own_save_finish (own, true);
  if (!own->call_in_flight)
    own_save_tick (own);
}

/* Write the waiting placement or a changed member list, if any.  */
void
own_save_tick (struct own *own)
{
  GPtrArray *names;
  GPtrArray *merged;

  if (own->save_pins == NULL && !own->members_stale)
    return;
  names = own->needs_member_ack ? g_ptr_array_ref (own->placement->members)
                                : own_member_names (own);
  own->members_stale = own->needs_member_ack;
  if (own->save_pins == NULL
      && own_member_lists_equal (names, own->placement->members))
    {
      g_ptr_array_unref (names);
      return;
    }

  own->pending_placement = own_placement_new ();
  own->pending_placement->epoch = own->placement->epoch;
  g_ptr_array_unref (own->pending_placement->members);
  own->pending_placement->members = names;
  g_ptr_array_unref (own->pending_placement->pins);
  own->pending_placement->pins = plc_pins_copy (
      own->save_pins != NULL ? own->save_pins : own->placement->pins);

  /* Until the reply arrives either list may be the recorded one, so promises
     are required from the members of both.  */
  merged = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < own->placement->members->len; i++)
    g_ptr_array_add (
        merged, g_strdup (g_ptr_array_index (own->placement->members, i)));
  for (guint i = 0; i < names->len; i++)
    if (!own_is_listed (own, g_ptr_array_index (names, i)))
      g_ptr_array_add (merged, g_strdup (g_ptr_array_index (names, i)));
  g_ptr_array_unref (own->placement->members);
  own->placement->members = merged;

  own_write (own, own->config.instance, own->lease, own->pending_placement,
             own_save_done);
}

/* Write PINS (struct plc_pin) as the zone's placement and call DONE with
   whether it is in force.  Until then neither the old nor the new pin of a
   slot that moves may be relied on.  Fails immediately if the service is
   unavailable.  */
void
own_save_pins (struct own *own, const GPtrArray *pins, own_done done,
               void *arg)
{
  if (!own->is_holder || own->by_promises || own->save_pins != NULL
      || !own_kv_available (own))
    {
      done (arg, false);
      return;
    }
  own->save_pins = plc_pins_copy (pins);
  own->save_done = done;
  own->save_arg = arg;
  if (!own->call_in_flight && !own->needs_reread)
    own_save_tick (own);
}
