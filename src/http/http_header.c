/* Rules for HTTP headers.  */

#include "http/http_header.h"

#include <string.h>
#include <strings.h>

static bool
is_listed (const char *name, const char *const *names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcasecmp (names[i], name) == 0)
      return true;
  return false;
}

/* Returns whether a comma-separated LIST contains NAME.  */
static bool
list_contains (const char *list, const char *name)
{
  size_t length = strlen (name);

  while (*list != '\0')
    {
      size_t token;

      list += strspn (list, " \t,");
      token = strcspn (list, " \t,");
      if (token == length && strncasecmp (list, name, length) == 0)
        return true;
      list += token;
    }
  return false;
}

bool
http_is_hop_header (const char *name, const char *connection)
{
  static const char *const names[]
      = { "Connection",          "Keep-Alive",        "Transfer-Encoding",
          "Content-Length",      "Upgrade",           "TE",
          "Proxy-Connection",    "Trailer",           "Expect",
          "Proxy-Authorization", "Proxy-Authenticate" };

  return is_listed (name, names, sizeof names / sizeof *names)
         || (connection != NULL && list_contains (connection, name));
}

bool
http_is_mesh_header (const char *name)
{
  static const char *const names[]
      = { "Mulberryshift-Context", "Mulberryshift-Outcome",
          "Mulberryshift-Retries", "Mulberryshift-Call" };

  return is_listed (name, names, sizeof names / sizeof *names);
}

bool
http_is_valid_header (const char *name, const char *value)
{
  static const char token[] = "!#$%&'*+-.^_`|~0123456789"
                              "abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

  if (name[0] == '\0' || strspn (name, token) != strlen (name))
    return false;
  for (; *value != '\0'; value++)
    if (((unsigned char)*value < ' ' && *value != '\t') || *value == 0x7f)
      return false;
  return true;
}

const char *
http_find_fault (const struct http_header *headers, size_t count,
                 const char *version)
{
  unsigned lengths = 0;
  unsigned encodings = 0;
  unsigned hosts = 0;

  for (size_t i = 0; i < count; i++)
    {
      const char *name = headers[i].name;
      const char *value = headers[i].value;

      if (!http_is_valid_header (name, value))
        return "a header's name or value has characters that are not allowed";
      hosts += strcasecmp (name, "Host") == 0;
      if (strcasecmp (name, "Content-Length") == 0)
        {
          lengths++;
          if (value[0] == '\0'
              || strspn (value, "0123456789") != strlen (value)
              || strlen (value) > 18)
            return "Content-Length must be one whole number";
        }
      if (strcasecmp (name, "Transfer-Encoding") == 0)
        {
          encodings++;
          if (strcasecmp (value, "chunked") != 0)
            return "the only transfer encoding served is chunked";
        }
    }
  if (lengths > 1 || encodings > 1)
    return "Content-Length or Transfer-Encoding was sent more than once";
  if (lengths > 0 && encodings > 0)
    return "Content-Length and Transfer-Encoding exclude each other";
  if (hosts > 1)
    return "Host was sent more than once";
  if (hosts == 0 && version != NULL && strcmp (version, "1.1") == 0)
    return "HTTP/1.1 needs a Host header";
  return NULL;
}
