/* TOML text to a plain tree, by toml++.  */

#include "toml/toml.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <new>
#include <string>
#include <string_view>

#include <toml++/toml.h>

namespace
{

constexpr const char TOO_DEEP[] = "lists or tables are nested too deeply; "
                                  "write them without nesting";

char *
copy_text (std::string_view text)
{
  char *copy = static_cast<char *> (std::malloc (text.size () + 1));

  if (copy == nullptr)
    std::abort ();
  std::memcpy (copy, text.data (), text.size ());
  copy[text.size ()] = '\0';
  return copy;
}

struct toml_node *
make_children (size_t count)
{
  void *children = std::calloc (count == 0 ? 1 : count, sizeof (toml_node));

  if (children == nullptr)
    std::abort ();
  return static_cast<struct toml_node *> (children);
}

bool
comes_before (const toml_node &left, const toml_node &right)
{
  if (left.key_line != right.key_line)
    return left.key_line < right.key_line;
  return left.key_column < right.key_column;
}

enum toml_status
refuse (toml_error &error, enum toml_status status,
        const toml::source_position &position, const char *message)
{
  error.line = position.line > 0 ? position.line : 1;
  error.column = position.column > 0 ? position.column : 1;
  std::snprintf (error.message, sizeof error.message, "%s", message);
  return status;
}

/* Returns whether TEXT has a null, which C strings cannot carry.  */
bool
has_null (std::string_view text)
{
  return text.find ('\0') != std::string_view::npos;
}

enum toml_status
refuse_null (toml_error &error, const toml::source_position &position)
{
  return refuse (error, TOML_BAD_ENCODING, position,
                 "the text has a null character; remove it");
}

enum toml_status convert (const toml::node &from, toml_node &to,
                          toml_error &error, int depth);

enum toml_status
convert_table (const toml::table &from, toml_node &to, toml_error &error,
               int depth)
{
  to.kind = TOML_TABLE;
  to.children = make_children (from.size ());
  for (const auto &[key, value] : from)
    {
      toml_node &child = to.children[to.child_count++];

      child.key = copy_text (key.str ());
      child.key_line = key.source ().begin.line;
      child.key_column = key.source ().begin.column;
      if (has_null (key.str ()))
        return refuse_null (error, key.source ().begin);
      enum toml_status status = convert (value, child, error, depth + 1);
      if (status != TOML_OK)
        return status;
    }
  std::stable_sort (to.children, to.children + to.child_count, comes_before);
  return TOML_OK;
}

enum toml_status
convert_array (const toml::array &from, toml_node &to, toml_error &error,
               int depth)
{
  to.kind = TOML_ARRAY;
  to.children = make_children (from.size ());
  for (const auto &value : from)
    {
      enum toml_status status
          = convert (value, to.children[to.child_count++], error, depth + 1);
      if (status != TOML_OK)
        return status;
    }
  return TOML_OK;
}

enum toml_status
convert (const toml::node &from, toml_node &to, toml_error &error, int depth)
{
  if (depth > TOML_MAX_DEPTH)
    return refuse (error, TOML_TOO_DEEP, from.source ().begin, TOO_DEEP);
  to.line = from.source ().begin.line;
  to.column = from.source ().begin.column;
  if (const auto *table = from.as_table ())
    return convert_table (*table, to, error, depth);
  if (const auto *array = from.as_array ())
    return convert_array (*array, to, error, depth);
  if (const auto *string = from.as_string ())
    {
      if (has_null (string->get ()))
        return refuse_null (error, from.source ().begin);
      to.kind = TOML_STRING;
      to.string = copy_text (string->get ());
    }
  else if (const auto *integer = from.as_integer ())
    {
      to.kind = TOML_INTEGER;
      to.integer = integer->get ();
    }
  else if (const auto *real = from.as_floating_point ())
    {
      to.kind = TOML_FLOAT;
      to.real = real->get ();
    }
  else if (const auto *boolean = from.as_boolean ())
    {
      to.kind = TOML_BOOLEAN;
      to.boolean = boolean->get ();
    }
  else
    to.kind = TOML_DATE;
  return TOML_OK;
}

void
free_children (toml_node &node)
{
  for (size_t i = 0; i < node.child_count; i++)
    free_children (node.children[i]);
  std::free (node.children);
  std::free (node.key);
  std::free (node.string);
}

/* Returns the length of the UTF-8 character at the start of TEXT, 0 when it is
   not valid.  */
size_t
character_length (std::string_view text)
{
  auto byte = [text] (size_t i) -> unsigned {
    return i < text.size () ? static_cast<unsigned char> (text[i]) : 0;
  };
  auto follows = [byte] (size_t i) { return (byte (i) & 0xc0) == 0x80; };
  unsigned first = byte (0);

  if (first < 0x80)
    return first == 0 ? 0 : 1;
  if (first >= 0xc2 && first <= 0xdf)
    return follows (1) ? 2 : 0;
  if (first >= 0xe0 && first <= 0xef)
    {
      if (first == 0xe0 && byte (1) < 0xa0)
        return 0; /* longer than needed */
      if (first == 0xed && byte (1) > 0x9f)
        return 0; /* half of a UTF-16 pair */
      return follows (1) && follows (2) ? 3 : 0;
    }
  if (first < 0xf0 || first > 0xf4 || (first == 0xf0 && byte (1) < 0x90)
      || (first == 0xf4 && byte (1) > 0x8f))
    return 0;
  return follows (1) && follows (2) && follows (3) ? 4 : 0;
}

/* Checks that TEXT is UTF-8 without nulls.  */
enum toml_status
check_text (std::string_view text, toml_error &error)
{
  toml::source_position position{ 1, 1 };

  for (size_t i = 0; i < text.size ();)
    {
      size_t length = character_length (text.substr (i));

      if (text[i] == '\0')
        return refuse_null (error, position);
      if (length == 0)
        return refuse (error, TOML_BAD_ENCODING, position,
                       "this character is not valid UTF-8; type it again and "
                       "save the file as UTF-8");
      position.column++;
      if (text[i] == '\n')
        position = { position.line + 1, 1 };
      i += length;
    }
  return TOML_OK;
}

/* Returns the index after the string that starts at TEXT[I], or after the line
   when a string of one line does not end.  */
size_t
skip_string (std::string_view text, size_t i)
{
  char quote = text[i];
  std::string_view triple = quote == '"' ? "\"\"\"" : "\'\'\'";

  if (text.substr (i, 3) == triple)
    {
      for (i += 3; i < text.size () && text.substr (i, 3) != triple; i++)
        if (quote == '"' && text[i] == '\\')
          i++;
      return i + 3;
    }
  for (i++; i < text.size () && text[i] != quote && text[i] != '\n'; i++)
    if (quote == '"' && text[i] == '\\')
      i++;
  return i + 1;
}

/* Refuses dotted keys of more than TOML_MAX_DEPTH parts.  The parser accepts
   any number and frees the tables by recursion, which exhausts the stack.  */
enum toml_status
check_dots (std::string_view text, toml_error &error)
{
  toml::source_index line = 1;
  size_t start = 0;
  int dots = 0;

  for (size_t i = 0; i < text.size ();)
    {
      size_t next = i + 1;

      if (text[i] == '"' || text[i] == '\'')
        next = skip_string (text, i);
      else if (text[i] == '#')
        next = text.find ('\n', i);
      else if (text[i] == '.')
        dots++;
      else if (std::string_view ("=,[]{}\n").find (text[i])
               != std::string_view::npos)
        dots = 0;
      if (dots >= TOML_MAX_DEPTH)
        return refuse (
            error, TOML_TOO_DEEP,
            { line, static_cast<toml::source_index> (i - start + 1) },
            TOO_DEEP);
      next = std::min (next, text.size ());
      for (; i < next; i++)
        if (text[i] == '\n')
          {
            line++;
            start = i + 1;
            dots = 0;
          }
    }
  return TOML_OK;
}

} // namespace

enum toml_status
toml_parse (const char *text, size_t length, struct toml_node **root,
            struct toml_error *error)
{
  *root = nullptr;
  enum toml_status status
      = check_text (std::string_view (text, length), *error);
  if (status == TOML_OK)
    status = check_dots (std::string_view (text, length), *error);
  if (status != TOML_OK)
    return status;
  try
    {
      toml::table table = toml::parse (std::string_view (text, length));
      toml_node *result = make_children (1);

      status = convert (table, *result, *error, 0);
      if (status == TOML_OK)
        *root = result;
      else
        toml_destroy (result);
      return status;
    }
  catch (const toml::parse_error &fault)
    {
      return refuse (*error, TOML_SYNTAX, fault.source ().begin,
                     std::string (fault.description ()).c_str ());
    }
  catch (const std::bad_alloc &)
    {
      std::abort ();
    }
}

void
toml_destroy (struct toml_node *root)
{
  if (root == nullptr)
    return;
  free_children (*root);
  std::free (root);
}

const struct toml_node *
toml_get (const struct toml_node *table, const char *key)
{
  for (size_t i = 0; i < table->child_count; i++)
    if (table->children[i].key != nullptr
        && std::strcmp (table->children[i].key, key) == 0)
      return &table->children[i];
  return nullptr;
}

const char *
toml_kind_name (enum toml_kind kind)
{
  switch (kind)
    {
    case TOML_TABLE:
      return "a table";
    case TOML_ARRAY:
      return "a list";
    case TOML_STRING:
      return "a text in quotes";
    case TOML_INTEGER:
      return "a whole number";
    case TOML_FLOAT:
      return "a number with a fraction";
    case TOML_BOOLEAN:
      return "true or false";
    default:
      return "a date or time";
    }
}
