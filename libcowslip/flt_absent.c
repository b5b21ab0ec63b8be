#include "flt_impl.h"

/* Models and adapters that engines have reported absent, contrary to their
   entries.  */

/* Requests for a model or adapter that an engine reported absent are not sent
   there for this long, unless a notice says that it was loaded.  The next
   entry, about 1 s later, has the current state.  */
#define FLT_ABSENT_TTL_MS 1000

/* A model or adapter that an engine reported absent.  */
struct flt_absent
{
  char *model;
  char *adapter; /* NULL: the model */
  uint64_t until_us;
};

static void
flt_absent_clear (gpointer data)
{
  struct flt_absent *absent = data;

  g_free (absent->model);
  g_free (absent->adapter);
}

/* Return an empty list of them.  */
GArray *
flt_absent_new (void)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct flt_absent));

  g_array_set_clear_func (list, flt_absent_clear);
  return list;
}

/* Return the index of the absence record of MODEL or, unless it is NULL, its
   ADAPTER; the number of records if there is none.  */
static guint
flt_find_absent (const struct flt_endpoint *endpoint, const char *model,
                 const char *adapter)
{
  guint i;

  for (i = 0; i < endpoint->absent->len; i++)
    {
      const struct flt_absent *absent
          = &g_array_index (endpoint->absent, struct flt_absent, i);

      if (g_str_equal (absent->model, model)
          && g_strcmp0 (absent->adapter, adapter) == 0)
        break;
    }
  return i;
}

/* Forget that ENDPOINT has reported MODEL or its ADAPTER absent.  */
void
flt_drop_absent (struct flt_endpoint *endpoint, const char *model,
                 const char *adapter)
{
  guint i = flt_find_absent (endpoint, model, adapter);

  if (i < endpoint->absent->len)
    g_array_remove_index (endpoint->absent, i);
}

/* Record that ENDPOINT refused a request because it does not hold MODEL or,
   unless it is NULL, its ADAPTER.  */
void
flt_mark_absent (struct flt_fleet *fleet, struct flt_endpoint *endpoint,
                 const char *model, const char *adapter)
{
  struct flt_absent absent
      = { .model = g_strdup (model),
          .adapter = g_strdup (adapter),
          .until_us
          = tm_now_us (fleet->tm) + FLT_ABSENT_TTL_MS * FLT_US_PER_MS };

  flt_drop_absent (endpoint, model, adapter);
  g_array_append_val (endpoint->absent, absent);
}

/* Return whether ENDPOINT has reported MODEL or its ADAPTER absent.  */
bool
flt_is_absent (const struct flt_fleet *fleet,
               const struct flt_endpoint *endpoint, const char *model,
               const char *adapter)
{
  guint i = flt_find_absent (endpoint, model, adapter);

  return i < endpoint->absent->len
         && tm_now_us (fleet->tm)
                < g_array_index (endpoint->absent, struct flt_absent, i)
                      .until_us;
}
