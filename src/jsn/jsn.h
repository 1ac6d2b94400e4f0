/* Splits a JSON text into its members and elements without parsing them.

   A parser refuses a whole text for one value that it cannot represent, such
   as a number beyond its range or nesting beyond its limit.  Where a text
   holds values of several writers, it is split first, and each part is parsed
   on its own.  The functions need memory and stack that do not depend on the
   text.  They check only what they need to find the ends of values; the parts
   must still be parsed.

   Example:

     struct jsn_text element = { 0 };

     while (jsn_next_element (array, &element))
       ...  */

#ifndef MULBERRYSHIFT_JSN_JSN_H
#define MULBERRYSHIFT_JSN_JSN_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* A value within a longer text, which owns the bytes.  */
  struct jsn_text
  {
    const char *start; /* null: no value */
    size_t length;
  };

  /* Finds the value of the member KEY of OBJECT, the first one of that name.
     KEY must have no characters that JSON escapes.  Returns false when OBJECT
     is not an object or has no such member before its first fault.  */
  bool jsn_find_member (struct jsn_text object, const char *key,
                        struct jsn_text *value);

  /* Sets *ELEMENT, which is { 0 } at first, to the next element of ARRAY.
     Returns false after the last one, at the first fault, and when ARRAY is
     not an array.  */
  bool jsn_next_element (struct jsn_text array, struct jsn_text *element);

  /* Returns whether ARRAY is an array whose elements all have an end, up to
     its closing bracket.  */
  bool jsn_is_array (struct jsn_text array);

#ifdef __cplusplus
}
#endif

#endif
