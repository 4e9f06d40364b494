#include "route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Returns an empty configuration with one reference, or NULL when out of memory. */
MfRoutes *
mf_routes_new (uint32_t n_routes, uint32_t n_services)
{
  MfRoutes *routes = calloc (1, sizeof *routes);

  if (routes == NULL)
    return NULL;
  *routes = (MfRoutes){
    .routes = calloc (n_routes + 1, sizeof *routes->routes),
    .services = calloc (n_services + 1, sizeof *routes->services),
    .n_routes = n_routes,
    .n_services = n_services,
    .n_refs = 1,
  };
  if (routes->routes != NULL && routes->services != NULL)
    return routes;
  mf_routes_unref (routes);
  return NULL;
}

/* Adds a reference. */
MfRoutes *
mf_routes_ref (MfRoutes *routes)
{
  routes->n_refs++;
  return routes;
}

/* Accepts NULL. */
void
mf_routes_unref (MfRoutes *routes)
{
  if (routes == NULL || --routes->n_refs > 0)
    return;
  for (uint32_t i = 0; routes->routes != NULL && i < routes->n_routes; i++)
    {
      free (routes->routes[i].name);
      free (routes->routes[i].host);
      free (routes->routes[i].path_prefix);
      free (routes->routes[i].shares);
    }
  for (uint32_t i = 0; routes->services != NULL && i < routes->n_services; i++)
    free (routes->services[i].name);
  mf_customers_free (routes->customers);
  free (routes->routes);
  free (routes->services);
  free (routes);
}

/* Returns the index of a service, or MF_NONE. */
uint32_t
mf_routes_service (const MfRoutes *routes, const char *name)
{
  for (uint32_t i = 0; i < routes->n_services; i++)
    {
      if (strcmp (routes->services[i].name, name) == 0)
        return i;
    }
  return MF_NONE;
}

/* Returns the route of a host and a path: among the routes with this host whose prefix begins the
 * path, the one with the longest prefix; NULL if there is none. A port after the host is ignored.
 */
const MfRoute *
mf_routes_find (const MfRoutes *routes, const char *host, size_t host_bytes, const char *path,
                size_t path_bytes)
{
  const MfRoute *best = NULL;
  const char *colon = memchr (host, ':', host_bytes);

  if (colon != NULL)
    host_bytes = (size_t)(colon - host);
  for (uint32_t i = 0; i < routes->n_routes; i++)
    {
      const MfRoute *route = &routes->routes[i];

      if (route->host_bytes != host_bytes || route->prefix_bytes > path_bytes
          || (best != NULL && best->prefix_bytes >= route->prefix_bytes))
        continue;
      if (memcmp (route->path_prefix, path, route->prefix_bytes) == 0
          && strncasecmp (route->host, host, host_bytes) == 0)
        best = route;
    }
  return best;
}

/* Whether two routes have the same host and path prefix, and lead to the same services. */
static bool
leads_to_the_same (const MfRoutes *routes, const MfRoute *route, const MfRoutes *other_routes,
                   const MfRoute *other)
{
  if (route->n_shares != other->n_shares || strcmp (route->path_prefix, other->path_prefix) != 0
      || strcasecmp (route->host, other->host) != 0)
    return false;
  for (uint32_t i = 0; i < route->n_shares; i++)
    {
      if (strcmp (routes->services[route->shares[i].service].name,
                  other_routes->services[other->shares[i].service].name)
          != 0)
        return false;
    }
  return true;
}

/* Sets since when each route leads to its services, from the configuration before; NULL: there was
 * none. */
void
mf_routes_note_changes (MfRoutes *routes, const MfRoutes *before, uint64_t now_us)
{
  for (uint32_t i = 0; before != NULL && i < routes->n_routes; i++)
    {
      MfRoute *route = &routes->routes[i];

      route->changed_us = now_us;
      for (uint32_t j = 0; j < before->n_routes && route->changed_us == now_us; j++)
        {
          if (leads_to_the_same (routes, route, before, &before->routes[j]))
            route->changed_us = before->routes[j].changed_us;
        }
    }
}

/* Returns the longest timeout of the routes of streams; 0 when there are none. */
uint64_t
mf_routes_stream_timeout_us (const MfRoutes *routes)
{
  uint64_t longest_us = 0;

  for (uint32_t i = 0; i < routes->n_routes; i++)
    {
      const MfRoute *route = &routes->routes[i];

      if (route->kind == MF_ROUTE_STREAMING && route->timeout_us > longest_us)
        longest_us = route->timeout_us;
    }
  return longest_us;
}

/* Returns the service for one request; random is uniform and selects by weight. */
uint32_t
mf_route_choose (const MfRoute *route, uint32_t random)
{
  uint64_t total = 0;

  for (uint32_t i = 0; i < route->n_shares; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return route->n_shares > 0 ? route->shares[0].service : MF_NONE;
  total = (uint64_t)random * total >> 32;
  for (uint32_t i = 0; i < route->n_shares; i++)
    {
      if (total < route->shares[i].weight)
        return route->shares[i].service;
      total -= route->shares[i].weight;
    }
  return route->shares[route->n_shares - 1].service;
}
