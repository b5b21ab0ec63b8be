#include "daemon.h"

/* Call NOTIFY with ARG and the event's data whenever EVENT is published.
   Subscribers are called in the order of subscription.  */
void
cd_subscribe (struct cd_daemon *daemon, enum cd_event event, cd_notify notify,
              void *arg)
{
  struct cd_subscriber subscriber = { notify, arg };

  if (daemon->subscribers[event] == NULL)
    daemon->subscribers[event]
        = g_array_new (FALSE, FALSE, sizeof (struct cd_subscriber));
  g_array_append_val (daemon->subscribers[event], subscriber);
}

/* Publish EVENT with DATA, which is valid during the call only, to all
   subscribers.  */
void
cd_publish (struct cd_daemon *daemon, enum cd_event event, const void *data)
{
  const GArray *list = daemon->subscribers[event];

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      struct cd_subscriber s = g_array_index (list, struct cd_subscriber, i);

      s.notify (s.arg, data);
    }
}
