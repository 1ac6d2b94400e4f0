/* Tests the splitting of JSON texts.  */

#include "jsn/jsn.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

/* Returns TEXT with its single quotes replaced by double ones.  */
static std::string
json_of (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

static struct jsn_text
text_of (const std::string &text)
{
  return { text.data (), text.size () };
}

static std::string
string_of (struct jsn_text text)
{
  return std::string (text.start, text.length);
}

static std::vector<std::string>
split (const std::string &array)
{
  std::vector<std::string> elements;
  struct jsn_text element = {};

  while (jsn_next_element (text_of (array), &element))
    elements.push_back (string_of (element));
  return elements;
}

/* Guards against an element that hides those that follow it.  */
TEST (Split, FindsTheEndOfEachElement)
{
  const std::vector<std::string> expected
      = { json_of ("{'a':']},[\\'','b':[1,{}]}"),
          "1e999",
          "99999999999999999999999",
          json_of ("'text\\\\'"),
          "null",
          "[[],[[]]]" };
  std::string array;

  for (const std::string &element : expected)
    array += (array.empty () ? " [ " : " ,\n") + element;
  array += " ] ";
  EXPECT_EQ (split (array), expected);
  EXPECT_TRUE (jsn_is_array (text_of (array)));
}

/* Guards against stack or time that grows with the depth of a value.  */
TEST (Split, PassesOverDeepValues)
{
  const std::string deep
      = std::string (1000000, '[') + std::string (1000000, ']');

  EXPECT_EQ (split ("[" + deep + ",7]"),
             (std::vector<std::string>{ deep, "7" }));
}

/* Guards against a text that breaks off and passes for a whole list.  */
TEST (Split, RejectsATextThatBreaksOff)
{
  for (const char *text : { "", "[", "[1", "[1,", "[1,]", "[\"a", "[{]", "[}",
                            "{}", "[1 2]", "[x\"]" })
    EXPECT_FALSE (jsn_is_array (text_of (text))) << text;
  EXPECT_TRUE (jsn_is_array (text_of ("[]")));
  EXPECT_TRUE (split ("[]").empty ());
  EXPECT_TRUE (split ("").empty ());
}

/* Guards against a member that is taken for another or from a nested
   object.  */
TEST (Split, FindsMembersOfTheObjectOnly)
{
  const std::string object
      = json_of (" { 'x' : {'items':[1]}, 'items2':0, 'items' : [2] }");
  struct jsn_text value;

  ASSERT_TRUE (jsn_find_member (text_of (object), "items", &value));
  EXPECT_EQ (string_of (value), "[2]");
  ASSERT_TRUE (jsn_find_member (text_of (object), "x", &value));
  EXPECT_EQ (string_of (value), json_of ("{'items':[1]}"));
  EXPECT_FALSE (jsn_find_member (text_of (object), "item", &value));
  for (const char *text :
       { "", "{", "{'items'", "{'items':", "[1]", "{1}", "{'a':1 'items':2}" })
    EXPECT_FALSE (jsn_find_member (text_of (json_of (text)), "items", &value))
        << text;
}
