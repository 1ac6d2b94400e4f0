/* Announcement of an upstream, in JSON.  */

#include "http/http_announcement.h"

#include "base/err.h"

#include <jansson.h>
#include <string.h>

#define MAX_SLOTS 65536
#define MAX_CONNECTIONS 1000000

#define NAME_RULE "a string of 1 to 63 letters, digits, '.', '-' and '_'"

enum kind
{
  KIND_NAME,
  KIND_ADDRESS,
  KIND_NUMBER
};

struct field
{
  const char *name;
  enum kind kind;
  bool optional;
  json_int_t lowest;
  json_int_t highest;
  const char *rule;
};

enum field_index
{
  FIELD_SERVICE,
  FIELD_NAME,
  FIELD_ADDRESS,
  FIELD_SLOTS,
  FIELD_CONNECTIONS,
  FIELD_COUNT
};

static const struct field fields[FIELD_COUNT] = {
  { "service", KIND_NAME, false, 0, 0, NAME_RULE },
  { "name", KIND_NAME, false, 0, 0, NAME_RULE },
  { "address", KIND_ADDRESS, false, 0, 0,
    "a string with an IPv4 address and a port from 1 to 65535, such as "
    "\"10.0.0.5:8000\"" },
  { "slots", KIND_NUMBER, false, 1, MAX_SLOTS,
    "a whole number from 1 to 65536" },
  { "connections", KIND_NUMBER, true, 0, MAX_CONNECTIONS,
    "a whole number from 0 to 1000000" },
};

/* Returns whether TEXT is a name of 1 to MBR_NAME_SIZE - 1 letters, digits,
   dots, hyphens and underscores.  */
static bool
is_name (const char *text)
{
  size_t length = strlen (text);

  return length > 0 && length < MBR_NAME_SIZE
         && strspn (text, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                == length;
}

static bool
is_in_range (const struct field *field, const json_t *value)
{
  struct net_address address;

  switch (field->kind)
    {
    case KIND_NAME:
      return is_name (json_string_value (value));
    case KIND_ADDRESS:
      return net_parse (json_string_value (value), &address)
             && address.port != 0;
    default:
      return json_integer_value (value) >= field->lowest
             && json_integer_value (value) <= field->highest;
    }
}

static const char *
kind_name (const json_t *value)
{
  switch (json_typeof (value))
    {
    case JSON_OBJECT:
      return "an object";
    case JSON_ARRAY:
      return "an array";
    case JSON_STRING:
      return "a string";
    case JSON_INTEGER:
      return "a number";
    case JSON_REAL:
      return "a number with a fraction or an exponent";
    case JSON_NULL:
      return "null";
    default:
      return "true or false";
    }
}

/* Returns whether FIELD of ROOT is valid; else sets the error.  */
static bool
check_field (const json_t *root, const struct field *field)
{
  const json_t *value = json_object_get (root, field->name);
  bool right_kind = field->kind == KIND_NUMBER ? json_is_integer (value)
                                               : json_is_string (value);

  if (value == NULL && field->optional)
    return true;
  if (value == NULL)
    err_set ("%s is missing; it must be %s", field->name, field->rule);
  else if (!right_kind)
    err_set ("%s is %s; it must be %s", field->name, kind_name (value),
             field->rule);
  else if (is_in_range (field, value))
    return true;
  else if (field->kind == KIND_NUMBER)
    err_set ("%s is out of range; it must be %s", field->name, field->rule);
  else
    err_set ("%s is not valid; it must be %s", field->name, field->rule);
  return false;
}

/* Returns whether ROOT has only known fields; else sets the error.  */
static bool
check_names (json_t *root)
{
  const char *name;
  json_t *value;

  json_object_foreach (root, name, value)
  {
    size_t i = 0;

    while (i < FIELD_COUNT && strcmp (name, fields[i].name) != 0)
      i++;
    if (i == FIELD_COUNT)
      {
        err_set ("\"%.64s\" is not a field; the fields are service, name, "
                 "address, slots and connections",
                 name);
        return false;
      }
  }
  return true;
}

static bool
check (json_t *root, const json_error_t *error)
{
  if (root == NULL)
    {
      err_set ("it is not JSON, or a field occurs twice: line %d: %s",
               error->line, error->text);
      return false;
    }
  if (!json_is_object (root))
    {
      err_set ("it must be a JSON object, not %s", kind_name (root));
      return false;
    }
  if (!check_names (root))
    return false;
  for (size_t i = 0; i < FIELD_COUNT; i++)
    if (!check_field (root, &fields[i]))
      return false;
  return true;
}

static const char *
get_text (const json_t *root, enum field_index index)
{
  return json_string_value (json_object_get (root, fields[index].name));
}

static uint32_t
get_number (const json_t *root, enum field_index index)
{
  return (uint32_t)json_integer_value (
      json_object_get (root, fields[index].name));
}

bool
http_read_announcement (const char *text, size_t length,
                        struct up_announcement *announcement)
{
  json_error_t error;
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &error);
  bool valid = check (root, &error);

  memset (announcement, 0, sizeof *announcement);
  if (valid)
    {
      strcpy (announcement->service, get_text (root, FIELD_SERVICE));
      strcpy (announcement->name, get_text (root, FIELD_NAME));
      net_parse (get_text (root, FIELD_ADDRESS), &announcement->address);
      announcement->slots = get_number (root, FIELD_SLOTS);
      announcement->connections = get_number (root, FIELD_CONNECTIONS);
    }
  json_decref (root);
  return valid;
}
