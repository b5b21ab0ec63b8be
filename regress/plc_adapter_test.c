#include <string.h>

#include <gsl/gsl_rng.h>

#include "plc_adapter.h"
#include "unit.h"

#define NAMES    12
#define SHARE    3
#define RESERVED 100

static const char *const names[NAMES]
    = { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l" };
static const char *const engines[] = { "x", "y" };

/* The test's own record of one adapter on one engine.  */
enum held
{
  NOT_HELD,
  LOADING,
  LOADED,
  UNLOADING
};

static enum held held[2][NAMES];

static uint64_t
bytes_of (uint32_t name)
{
  return 20 + name * 2;
}

static void
check (void)
{
  uint32_t loading = 0;

  for (uint32_t e = 0; e < 2; e++)
    {
      uint64_t used = 0;

      for (uint32_t n = 0; n < NAMES; n++)
        {
          used += held[e][n] == NOT_HELD ? 0 : bytes_of (n);
          loading += held[e][n] == LOADING;
        }
      CU_ASSERT_TRUE (used <= RESERVED);
    }
  CU_ASSERT_TRUE (loading <= SHARE);
}

static void
answer (struct plc_adapters *adapters, uint32_t e, uint32_t n, bool good)
{
  if (held[e][n] == LOADING)
    {
      plc_adapter_done (adapters, engines[e], names[n], good);
      held[e][n] = good ? LOADED : NOT_HELD;
    }
  else if (held[e][n] == UNLOADING)
    {
      plc_adapter_unloaded (adapters, engines[e], names[n]);
      held[e][n] = NOT_HELD;
    }
}

static void
want (struct plc_adapters *adapters, uint32_t e, uint32_t n, uint64_t now_us)
{
  struct plc_adapter_need need
      = { engines[e], "m", names[n], bytes_of (n), RESERVED };
  const char *victim = NULL;
  enum plc_adapter_step step
      = plc_adapter_next (adapters, &need, now_us, &victim);

  if (step == PLC_ADAPTER_LOAD)
    held[e][n] = LOADING;
  if (step == PLC_ADAPTER_READY)
    CU_ASSERT_EQUAL (held[e][n], LOADED);
  for (uint32_t v = 0; step == PLC_ADAPTER_EVICT && v < NAMES; v++)
    if (g_str_equal (names[v], victim))
      held[e][v] = UNLOADING;
}

/* Guards against more adapter loads in flight than the zone's share, and
   against adapters beyond the memory that a replica reserves.  */
static void
test_seeds (void)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  uint32_t loads = 0;

  for (uint32_t seed = 1; seed <= 50; seed++)
    {
      struct plc_adapters *adapters = plc_adapters_new (SHARE);

      memset (held, 0, sizeof held);
      gsl_rng_set (random, seed);
      for (uint32_t t = 0; t < 1000; t++)
        {
          uint32_t e = (uint32_t)gsl_rng_uniform_int (random, 2);
          uint32_t n = (uint32_t)gsl_rng_uniform_int (random, NAMES);

          if (gsl_rng_uniform_int (random, 3) > 0)
            answer (adapters, e, n, gsl_rng_uniform_int (random, 5) > 0);
          else
            want (adapters, e, n, t);
          loads += held[e][n] == LOADED;
          check ();
        }
      plc_adapters_free (adapters);
    }
  CU_ASSERT_TRUE (loads > 0);
  gsl_rng_free (random);
}

/* Guards against a zone without any share, and against a share that adds up
   to more than the limit.  */
static void
test_share (void)
{
  CU_ASSERT_EQUAL (plc_adapter_share (32, 3), 10);
  CU_ASSERT_EQUAL (plc_adapter_share (4, 12), 1);
  CU_ASSERT_EQUAL (plc_adapter_share (32, 0), 32);
}

int
main (void)
{
  static const struct unit_test tests[]
      = { { "share", test_share }, { "seeds", test_seeds }, { NULL, NULL } };

  return unit_main ("plc_adapter", tests);
}
