#include "plc_pin.h"

static void
plc_pin_free (gpointer data)
{
  struct plc_pin *pin = data;

  g_free (pin->model);
  g_free (pin->endpoint);
  g_free (pin);
}

/* Return an empty table of struct plc_pin that owns its entries.  */
GPtrArray *
plc_pins_new (void)
{
  return g_ptr_array_new_with_free_func (plc_pin_free);
}

/* Add to PINS a pin of SLOT of MODEL to ENDPOINT.  */
void
plc_pins_add (GPtrArray *pins, const char *model, uint32_t slot,
              const char *endpoint)
{
  struct plc_pin *pin = g_new0 (struct plc_pin, 1);

  pin->model = g_strdup (model);
  pin->slot = slot;
  pin->endpoint = g_strdup (endpoint);
  g_ptr_array_add (pins, pin);
}

/* Return a copy of PINS.  */
GPtrArray *
plc_pins_copy (const GPtrArray *pins)
{
  GPtrArray *copy = plc_pins_new ();

  for (guint i = 0; i < pins->len; i++)
    {
      const struct plc_pin *pin = g_ptr_array_index (pins, i);

      plc_pins_add (copy, pin->model, pin->slot, pin->endpoint);
    }
  return copy;
}
