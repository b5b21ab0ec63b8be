#include <string.h>

#include "fake_kv.h"
#include "own.h"
#include "unit.h"

#define SECOND_US UINT64_C (1000000)

static uint32_t gains;

static void
count_gain (void *arg, uint64_t fence, const GPtrArray *pins, bool certain)
{
  (void)arg;
  (void)fence;
  (void)pins;
  (void)certain;
  gains++;
}

static void
ignore_loss (void *arg)
{
  (void)arg;
}

static void
ignore_request (void *arg, const char *instance, uint64_t fence,
                uint32_t duration_ms, uint64_t sent_us)
{
  (void)arg;
  (void)instance;
  (void)fence;
  (void)duration_ms;
  (void)sent_us;
}

/* Return how often an instance with member number 1 gains control after the
   controller of its zone has died and while the key-value service is down, if
   another live member has NUMBER.  */
static uint32_t
gains_with_peer (uint32_t number)
{
  static const struct own_callbacks callbacks
      = { count_gain, ignore_loss, ignore_request };
  struct tm_service *tm = tm_new (0);
  struct fake_kv *kv = fake_kv_new (tm, 1000);
  struct own_config config = { .kv = fake_kv_store (kv),
                               .tm = tm,
                               .environment = "e",
                               .zone = "z",
                               .instance = "a",
                               .incarnation = 1,
                               .number = 1 };
  struct own_member other = { "b", number, true, true, false };
  struct own *own;

  fake_kv_set_fault (kv, FAKE_KV_UNAVAILABLE);
  gains = 0;
  own = own_new (&config, &callbacks, NULL);
  own_set_members (own, &other, 1);
  own_observe_fence (own, UINT64_C (5) << 32 | 9, "dead");
  tm_advance (tm, 60 * SECOND_US);
  own_free (own);
  tm_advance (tm, 70 * SECOND_US);
  fake_kv_free (kv);
  tm_free (tm);
  return gains;
}

/* Guards against two instances with the same member number that gain control
   in the same round and send different orders under one fencing number.  */
static void
test_shared_number (void)
{
  CU_ASSERT_TRUE (gains_with_peer (2) > 0);
  CU_ASSERT_EQUAL (gains_with_peer (1), 0);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "shared number", test_shared_number }, { NULL, NULL } };

  return unit_main ("own", tests);
}
