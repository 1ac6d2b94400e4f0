/* Reports routes that duplicate or hide one another, and unused services.  */

#include "base/mem.h"
#include "doc/doc_reader.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static int
compare_routes (const void *left, const void *right, void *context)
{
  const struct doc_document *document = context;

  return doc_compare_routes (&document->routes[*(const uint32_t *)left],
                             &document->routes[*(const uint32_t *)right]);
}

static bool
is_same_place (const struct doc_route *left, const struct doc_route *right)
{
  return strcasecmp (left->host, right->host) == 0
         && strcmp (left->path, right->path) == 0;
}

static bool
is_covered (uint32_t methods, uint32_t covered, bool all_covered)
{
  return all_covered || (methods != 0 && (methods & ~covered) == 0);
}

/* Reports the routes of SORTED[0..COUNT), all with the same host and path,
   that those before them leave no request to.  */
static void
check_group (struct doc_reader *reader, const uint32_t *sorted, size_t count)
{
  const struct doc_route *routes = reader->document->routes;
  uint32_t covered = 0;
  bool all_covered = false;

  for (size_t i = 0; i < count; i++)
    {
      const struct doc_route *route = &routes[sorted[i]];
      size_t first = 0;
      char quoted[TOML_QUOTE_SIZE];

      while (first < i
             && !is_covered (route->methods, routes[sorted[first]].methods,
                             routes[sorted[first]].methods == 0))
        first++;
      toml_quote (route->path, quoted);
      if (first < i && routes[sorted[first]].methods == route->methods)
        toml_add_error (&reader->report, route->line, 1,
                        "this route has the same host, path %s and methods as "
                        "the one in line %u; remove one of them",
                        quoted, routes[sorted[first]].line);
      else if (is_covered (route->methods, covered, all_covered))
        toml_add_error (&reader->report, route->line, 1,
                        "this route for path %s never gets a request, as the "
                        "route in line %u takes its methods first; remove it "
                        "or change its methods",
                        quoted, routes[sorted[first < i ? first : 0]].line);
      covered |= route->methods;
      all_covered = all_covered || route->methods == 0;
    }
}

static void
warn_unused (struct doc_reader *reader)
{
  const struct doc_document *document = reader->document;
  bool *used = mem_alloc (document->service_count, sizeof *used);
  char quoted[TOML_QUOTE_SIZE];

  for (size_t i = 0; i < document->route_count; i++)
    if (document->routes[i].service != UINT32_MAX)
      used[document->routes[i].service] = true;
  for (size_t i = 0; i < document->service_count; i++)
    if (!used[i])
      toml_add_warning (&reader->report, document->services[i].line, 1,
                        "no route leads to service %s; add a [[route]] with "
                        "this service if callers need it",
                        toml_quote (document->services[i].name, quoted));
  free (used);
}

void
doc_check_routes (struct doc_reader *reader)
{
  struct doc_document *document = reader->document;
  uint32_t *sorted = mem_alloc (document->route_count, sizeof *sorted);
  size_t count = 0;
  size_t start = 0;

  for (size_t i = 0; i < document->route_count; i++)
    if (document->routes[i].path[0] == '/'
        && document->routes[i].methods != DOC_FAULTY_METHODS)
      sorted[count++] = (uint32_t)i;
  qsort_r (sorted, count, sizeof *sorted, compare_routes, document);
  for (size_t i = 1; i <= count; i++)
    if (i == count
        || !is_same_place (&document->routes[sorted[start]],
                           &document->routes[sorted[i]]))
      {
        check_group (reader, sorted + start, i - start);
        start = i;
      }
  free (sorted);
  if (!toml_has_errors (&reader->report))
    warn_unused (reader);
}
