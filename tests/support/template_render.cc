/* Fills in settings templates.  */

#include "support/template_render.h"

#include <jansson.h>
#include <stdexcept>
#include <vector>

namespace
{

/* The entry of a section that is being rendered.  */
struct Entry
{
  const json_t *value;
  std::string key;
  bool last;
};

class Renderer
{
public:
  explicit Renderer (const json_t *root) : fields (root) {}

  std::string
  render (const std::string &text)
  {
    std::string output;
    size_t at = 0;

    for (;;)
      {
        size_t open = text.find ("{{", at);
        size_t close = text.find ("}}", open);

        output += text.substr (at, open - at);
        if (open == std::string::npos || close == std::string::npos)
          return output;
        at = close + 2;
        put (text, text.substr (open + 2, close - open - 2), &at, &output);
      }
  }

private:
  const json_t *fields;
  std::vector<Entry> entries;

  void
  put (const std::string &text, const std::string &name, size_t *at,
       std::string *output)
  {
    if (name[0] == '#' || name[0] == '^')
      {
        std::string end = "{{/" + name.substr (1) + "}}";
        size_t stop = text.find (end, *at);

        if (stop == std::string::npos)
          throw std::runtime_error ("section " + name + " does not end");
        *output += section (name, text.substr (*at, stop - *at));
        *at = stop + end.size ();
      }
    else
      *output += value (name);
  }

  /* Lists and tables repeat the section for each entry.  */
  std::string
  section (const std::string &name, const std::string &body)
  {
    const json_t *found = find (name.substr (1));
    bool present = found != nullptr && !json_is_false (found);
    std::string output;
    size_t index = 0;
    const char *key;
    json_t *item;

    if (name[0] == '^')
      return present ? "" : render (body);
    if (!present)
      return "";
    if (json_is_array (found))
      json_array_foreach (found, index, item) output
          += render_entry (body, { item, std::to_string (index),
                                   index + 1 == json_array_size (found) });
    else if (json_is_object (found))
      json_object_foreach (const_cast<json_t *> (found), key, item) output
          += render_entry (body,
                           { item, key, ++index == json_object_size (found) });
    else
      output = render_entry (body, { found, "", true });
    return output;
  }

  std::string
  render_entry (const std::string &body, const Entry &entry)
  {
    std::string output;

    entries.push_back (entry);
    output = render (body);
    entries.pop_back ();
    return output;
  }

  std::string
  value (std::string name)
  {
    size_t bar = name.find ("|json");
    const json_t *found;
    char *text;
    std::string output;

    if (name == "@")
      return entries.back ().key;
    if (name == ",")
      return entries.back ().last ? "" : ",";
    found = find (name.substr (0, bar));
    if (found == nullptr)
      return "";
    if (bar == std::string::npos && json_is_string (found))
      return json_string_value (found);
    text = json_dumps (found, JSON_ENCODE_ANY);
    output = text;
    free (text);
    return output;
  }

  const json_t *
  find (const std::string &name)
  {
    if (name == "." && !entries.empty ())
      return entries.back ().value;
    for (auto entry = entries.rbegin (); entry != entries.rend (); ++entry)
      if (const json_t *found = find_in (entry->value, name))
        return found;
    return find_in (fields, name);
  }

  static const json_t *
  find_in (const json_t *value, const std::string &name)
  {
    size_t dot = name.find ('.');
    const json_t *part
        = json_object_get (value, name.substr (0, dot).c_str ());

    if (part == nullptr || dot == std::string::npos)
      return part;
    return find_in (part, name.substr (dot + 1));
  }
};

}

std::string
render_template (const std::string &text, const std::string &fields)
{
  json_t *root = json_loads (fields.c_str (), 0, nullptr);
  std::string output;

  if (root == nullptr)
    throw std::runtime_error ("the fields are not JSON");
  output = Renderer (root).render (text);
  json_decref (root);
  return output;
}
