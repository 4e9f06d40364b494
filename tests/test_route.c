#include "libmangofork/relay/route.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static void
route_set (MfRoute *route, const char *host, const char *prefix)
{
  route->name = strdup (prefix);
  route->host = strdup (host);
  route->path_prefix = strdup (prefix);
  route->host_bytes = (uint32_t)strlen (host);
  route->prefix_bytes = (uint32_t)strlen (prefix);
}

static MfRoutes *
routes_new (void)
{
  MfRoutes *routes = mf_routes_new (3, 2);

  assert_non_null (routes);
  route_set (&routes->routes[0], "a.example", "/x/");
  route_set (&routes->routes[1], "a.example", "/x/y/");
  route_set (&routes->routes[2], "b.example", "/x/");
  routes->services[0].name = strdup ("one");
  routes->services[1].name = strdup ("two");
  return routes;
}

static const MfRoute *
find (const MfRoutes *routes, const char *host, const char *path)
{
  return mf_routes_find (routes, host, strlen (host), path, strlen (path));
}

static void
test_longest_prefix_of_the_host (void **state)
{
  MfRoutes *routes = routes_new ();

  (void)state;
  assert_ptr_equal (find (routes, "a.example", "/x/1"), &routes->routes[0]);
  assert_ptr_equal (find (routes, "a.example", "/x/y/1"), &routes->routes[1]);
  assert_ptr_equal (find (routes, "A.Example:8080", "/x/y/"), &routes->routes[1]);
  assert_ptr_equal (find (routes, "b.example", "/x/y/1"), &routes->routes[2]);
  assert_null (find (routes, "a.example", "/x"));
  assert_null (find (routes, "a.example", "/X/1"));
  assert_null (find (routes, "c.example", "/x/1"));
  assert_null (find (routes, "", "/x/1"));
  mf_routes_unref (routes);
}

static void
test_weights (void **state)
{
  MfRouteShare shares[2] = { { .service = 0, .weight = 90 }, { .service = 1, .weight = 10 } };
  MfRoute route = { .shares = shares, .n_shares = 2 };
  uint32_t n_second = 0;

  (void)state;
  for (uint32_t i = 0; i < 1000; i++)
    n_second += mf_route_choose (&route, i * 4294967U) == 1;
  assert_in_range (n_second, 90, 110);
  shares[0].weight = 0;
  assert_int_equal (mf_route_choose (&route, 0), 1);
  shares[1].weight = 0;
  assert_int_equal (mf_route_choose (&route, UINT32_MAX), 0);
  route.n_shares = 0;
  assert_int_equal (mf_route_choose (&route, 7), MF_NONE);
}

static void
test_routes_that_lead_elsewhere_have_changed (void **state)
{
  MfRoutes *before = routes_new ();
  MfRoutes *after = routes_new ();

  (void)state;
  for (uint32_t i = 0; i < 3; i++)
    {
      before->routes[i].shares = calloc (1, sizeof (MfRouteShare));
      after->routes[i].shares = calloc (1, sizeof (MfRouteShare));
      before->routes[i].n_shares = 1;
      after->routes[i].n_shares = 1;
    }
  mf_routes_note_changes (before, NULL, 100);
  assert_int_equal (before->routes[0].changed_us, 0);
  before->routes[0].changed_us = 7;
  after->routes[1].shares[0].service = 1;
  mf_routes_note_changes (after, before, 200);
  assert_int_equal (after->routes[0].changed_us, 7);
  assert_int_equal (after->routes[1].changed_us, 200);
  assert_int_equal (after->routes[2].changed_us, 0);
  mf_routes_unref (before);
  mf_routes_unref (after);
}

static void
test_longest_timeout_of_streams (void **state)
{
  MfRoutes *routes = routes_new ();

  (void)state;
  for (uint32_t i = 0; i < 3; i++)
    routes->routes[i].timeout_us = 100 - i;
  routes->routes[0].kind = MF_ROUTE_IDEMPOTENT;
  routes->routes[1].kind = MF_ROUTE_STREAMING;
  routes->routes[2].kind = MF_ROUTE_STREAMING;
  assert_int_equal (mf_routes_stream_timeout_us (routes), 99);
  mf_routes_unref (routes);
}

static void
test_a_version_lasts_as_long_as_its_requests (void **state)
{
  MfRoutes *routes = routes_new ();
  MfRoutes *ref = mf_routes_ref (routes);

  (void)state;
  mf_routes_unref (routes);
  assert_int_equal (mf_routes_service (ref, "two"), 1);
  assert_int_equal (mf_routes_service (ref, "three"), MF_NONE);
  mf_routes_unref (ref);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_prefix_of_the_host),
    cmocka_unit_test (test_weights),
    cmocka_unit_test (test_routes_that_lead_elsewhere_have_changed),
    cmocka_unit_test (test_longest_timeout_of_streams),
    cmocka_unit_test (test_a_version_lasts_as_long_as_its_requests),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
