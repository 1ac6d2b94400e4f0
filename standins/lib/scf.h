/* Stand-in of the operator's document on the users' platform.  */

#ifndef MULBERRYSHIFT_STANDINS_SCF_H
#define MULBERRYSHIFT_STANDINS_SCF_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Host of all routes of the document.  */
#define SCF_HOST "mesh.example"

/* Request target of the health checks of all services.  */
#define SCF_HEALTH_PATH "/health"

  /* Returns a document that sends /SERVICE/ to each of SERVICES and PATHS to
     the first one, all of which may run again, and /once/ to the first one at
     most once.  */
  json_t *scf_create_document (uint64_t version, const char *const *services,
                               size_t service_count, const char *const *paths,
                               size_t path_count);

  /* A tenant of a document.  */
  struct scf_tenant
  {
    const char *name;
    const char *const *keys;
    size_t key_count;
    double rate; /* requests per second; 0: no limit */
    double burst;
  };

  /* Adds a tenant to a document.  */
  void scf_add_tenant (json_t *document, const struct scf_tenant *tenant);

  /* Sets the timeout of all routes, in s.  */
  void scf_set_timeout (json_t *document, double seconds);

  /* Makes the routes with this path public.  */
  void scf_make_public (json_t *document, const char *path);

#ifdef __cplusplus
}
#endif

#endif
