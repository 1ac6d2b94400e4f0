/* Names, output and release of the parts of a document.  */

#include "base/str.h"
#include "doc/doc.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char *const method_names[]
    = { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };

#define METHOD_COUNT (sizeof method_names / sizeof *method_names)

uint32_t
doc_method_bit (const char *method)
{
  for (size_t i = 0; i < METHOD_COUNT; i++)
    if (strcmp (method_names[i], method) == 0)
      return 1u << i;
  return 0;
}

void
doc_print_methods (uint32_t methods, struct buf *output)
{
  const char *separator = "";

  if (methods == 0)
    buf_printf (output, "any");
  for (size_t i = 0; i < METHOD_COUNT; i++)
    if ((methods & (1u << i)) != 0)
      {
        buf_printf (output, "%s%s", separator, method_names[i]);
        separator = ", ";
      }
}

int
doc_compare_routes (const struct doc_route *left,
                    const struct doc_route *right)
{
  int order = strcasecmp (left->host, right->host);

  if (order == 0)
    order = strcmp (left->path, right->path);
  if (order != 0)
    return order;
  if ((left->methods != 0) != (right->methods != 0))
    return left->methods != 0 ? -1 : 1;
  return left < right ? -1 : left > right;
}

bool
doc_is_health_path (const char *text)
{
  size_t length = strlen (text);

  if (text[0] != '/' || length > DOC_MAX_PATH_LENGTH)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!isgraph ((unsigned char)text[i]))
      return false;
  return true;
}

const char *
doc_class_name (enum doc_class call_class)
{
  return call_class == DOC_AT_MOST_ONCE ? "once" : "repeatable";
}

const char *
doc_key_store_name (enum doc_key_store order_keys)
{
  return order_keys == DOC_KEY_STORE_MEMORY ? "memory" : "platform";
}

void
doc_destroy (struct doc_document *document)
{
  if (document == NULL)
    return;
  for (size_t i = 0; i < document->service_count; i++)
    {
      struct doc_service *service = &document->services[i];

      for (size_t j = 0; j < service->upstream_count; j++)
        free (service->upstreams[j]);
      free (service->upstreams);
      free (service->name);
      free (service->health_path);
    }
  for (size_t i = 0; i < document->route_count; i++)
    {
      str_release (document->routes[i].host);
      str_release (document->routes[i].path);
      free (document->routes[i].weighted_services);
    }
  for (size_t i = 0; i < document->tenant_count; i++)
    {
      free (document->tenants[i].name);
      free (document->tenants[i].keys);
    }
  free (document->services);
  free (document->routes);
  free (document->tenants);
  free (document);
}
