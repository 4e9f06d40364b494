#include "fuzz.h"

#include "platform/platform.h"

#include <stdlib.h>

/* A configuration is either refused with an error, or can be asked: each of its routes leads to one
 * of its services. */
int
fuzz_routes (const uint8_t *data, size_t n_bytes)
{
  MfError error = { 0 };
  MfRoutes *routes = platform_decode_config ((const char *)data, n_bytes, &error);

  if ((routes == NULL) != mf_error_is_set (&error))
    abort ();
  for (uint32_t i = 0; routes != NULL && i < routes->n_routes; i++)
    {
      const MfRoute *route = &routes->routes[i];

      if (mf_route_choose (route, UINT32_MAX) >= routes->n_services
          || mf_route_choose (route, 0) >= routes->n_services
          || mf_routes_find (routes, route->host, route->host_bytes, route->path_prefix,
                             route->prefix_bytes)
                 == NULL)
        abort ();
    }
  mf_routes_unref (routes);
  return 0;
}
