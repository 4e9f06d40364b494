#include "libmangofork/health.h"
#include "libmangofork/service.h"

#include "fakes/cores.h"
#include "fakes/text.h"
#include "one_core.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

static uint32_t
find (const MfCore *core, const char *name)
{
  return mf_upstream_find (core, mf_hash_name (name));
}

/* An upstream that was ejected on suspicion is used again if all others of its pool are dead or
 * leaving. Otherwise suspicion alone would take a pool out of service. */
static void
test_suspicion_never_empties_a_pool (void **state)
{
  const FakeCoresOptions options = { .n_instances = 1, .n_data_centres = 1, .seed = 3 };
  FakeCores *cores = fake_cores_new (&options);
  const FakeConfigTextOptions wanted = { .n_upstreams = 3, .slots = 20, .version = "" };
  char *text = fake_config_text (&wanted);
  MfCore *core;

  (void)state;
  fake_cores_publish (cores, 1, text);
  fake_cores_start (cores, 0);
  fake_cores_run (cores, MF_US_PER_S);
  core = fake_cores_core (cores, 0);
  mf_upstream_set_health (core, find (core, "d0"), MF_HEALTH_EJECTED, MF_CODE_UPSTREAM_STALLED);
  mf_upstream_set_health (core, find (core, "d1"), MF_HEALTH_DEAD, MF_CODE_UPSTREAM_DIED);
  assert_false (mf_upstream_is_usable (&core->board.upstreams[find (core, "d0")]));
  mf_upstream_set_health (core, find (core, "d2"), MF_HEALTH_LEAVING, MF_CODE_NO_UPSTREAM);
  assert_true (mf_upstream_is_usable (&core->board.upstreams[find (core, "d0")]));
  fake_cores_free (cores);
  free (text);
}

/* Requests for a pool that has just lost its last upstream are queued; those for a pool that stays
 * down are refused. */
static void
test_short_outage_is_waited_for (void **state)
{
  OneCore *one = one_core_new ();
  uint32_t s1 = find (one->core, "s1");

  (void)state;
  mf_upstream_set_health (one->core, s1, MF_HEALTH_DEAD, MF_CODE_UPSTREAM_DIED);
  one_core_request (one, "early", "/stock", ONE_ANSWERS, 0);
  assert_int_equal (one->code, MF_CODE_OK);
  assert_int_equal (one->call_id, 0);
  one_core_wait (one, 500 * MF_US_PER_MS);
  mf_upstream_set_health (one->core, s1, MF_HEALTH_OK, MF_CODE_OK);
  one_core_wait (one, 200 * MF_US_PER_MS);
  assert_int_not_equal (one->call_id, 0);
  mf_upstream_set_health (one->core, s1, MF_HEALTH_LEAVING, MF_CODE_NO_UPSTREAM);
  one_core_wait (one, 3500 * MF_US_PER_MS);
  one->code = MF_CODE_OK;
  one_core_request (one, "late", "/stock", ONE_ANSWERS, 0);
  assert_int_equal (one->code, MF_CODE_NO_UPSTREAM);
  one_core_free (one);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_suspicion_never_empties_a_pool),
    cmocka_unit_test (test_short_outage_is_waited_for),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
