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
own_lists_equal (const GPtrArray *a, const GPtrArray *b)
{
  if (a->len != b->len)
    return false;
  for (guint i = 0; i < a->len; i++)
    if (!g_ptr_array_find_with_equal_func (
            (GPtrArray *)b, g_ptr_array_index (a, i), g_str_equal, NULL))
      return false;
  return true;
}

/* Tell the owner of the waiting table that it was SAVED or given up.  */
void
own_save_end (struct own *own, bool saved)
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

  if (own_end_call (own, result->outcome) && own->holding && !own->by_round
      && own->written != NULL)
    {
      if (result->outcome == KV_OK)
        {
          own->controller_revision = result->revision;
          own->placement_revision = result->revision;
          own_placement_free (own->placement);
          own->placement = own->written;
          own->written = NULL;
          if (own->save_pins != NULL
              && own_pins_equal (own->save_pins, own->placement->pins))
            own_save_end (own, true);
        }
      else
        {
          /* Whether it was written is seen by reading it back.  */
          own->reread = true;
          own->next_read_us = 0;
        }
    }
  own_placement_free (own->written);
  own->written = NULL;
  own_unref (own);
}

/* The key still names this instance after a write whose answer was lost.  The
   write may yet arrive, so it is repeated until it is answered, with the
   revisions that were read.  */
void
own_save_read_back (struct own *own)
{
  own->reread = false;
  own->members_stale = true;
  if (own->save_pins != NULL
      && own_pins_equal (own->save_pins, own->placement->pins))
    own_save_end (own, true);
  if (!own->calling)
    own_save_tick (own);
}

/* Write the waiting table or a changed member list.  */
void
own_save_tick (struct own *own)
{
  GPtrArray *names;
  GPtrArray *both;

  if (own->save_pins == NULL && !own->members_stale)
    return;
  names = own->needs_witness ? g_ptr_array_ref (own->placement->members)
                             : own_member_names (own);
  own->members_stale = own->needs_witness;
  if (own->save_pins == NULL
      && own_lists_equal (names, own->placement->members))
    {
      g_ptr_array_unref (names);
      return;
    }

  own->written = own_placement_new ();
  own->written->epoch = own->placement->epoch;
  g_ptr_array_unref (own->written->members);
  own->written->members = names;
  g_ptr_array_unref (own->written->pins);
  own->written->pins = plc_pins_copy (
      own->save_pins != NULL ? own->save_pins : own->placement->pins);

  /* Until the answer is here either list may be the recorded one, so all on
     both have to promise.  */
  both = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < own->placement->members->len; i++)
    g_ptr_array_add (
        both, g_strdup (g_ptr_array_index (own->placement->members, i)));
  for (guint i = 0; i < names->len; i++)
    if (!own_is_listed (own, g_ptr_array_index (names, i)))
      g_ptr_array_add (both, g_strdup (g_ptr_array_index (names, i)));
  g_ptr_array_unref (own->placement->members);
  own->placement->members = both;

  own_write (own, own->config.instance, own->lease, own->written,
             own_save_done);
}

/* Write PINS (struct plc_pin) as the zone's placement and call DONE with
   whether they are in force; until then neither the old nor the new pin of a
   slot that moves may be relied on.  Refused at once when the service does not
   answer.  */
void
own_save_pins (struct own *own, const GPtrArray *pins, own_done done,
               void *arg)
{
  if (!own->holding || own->by_round || own->save_pins != NULL
      || !own_kv_answers (own))
    {
      done (arg, false);
      return;
    }
  own->save_pins = plc_pins_copy (pins);
  own->save_done = done;
  own->save_arg = arg;
  if (!own->calling && !own->reread)
    own_save_tick (own);
}
