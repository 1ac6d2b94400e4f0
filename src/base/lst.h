/* Doubly linked list whose links lie in its items.

   Example:

     struct call { struct lst_link link; int number; };

     lst_add (&calls, &call->link);
     for (struct lst_link *at = calls.first; at != NULL; at = at->next)
       use (LST_ITEM (at, struct call, link));  */

#ifndef MULBERRYSHIFT_BASE_LST_H
#define MULBERRYSHIFT_BASE_LST_H

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* A place in a list.  Zero-initialise.  */
  struct lst_link
  {
    struct lst_link *next;
    struct lst_link *previous;
  };

  /* A list.  Zero-initialise.  */
  struct lst
  {
    struct lst_link *first;
  };

/* Returns the item of TYPE whose MEMBER is LINK.  */
#define LST_ITEM(link, type, member)                                          \
  ((type *)((char *)(link)-offsetof (type, member)))

  /* Adds an item at the start.  */
  void lst_add (struct lst *list, struct lst_link *link);

  /* Removes an item from the list, if it is in it.  */
  void lst_remove (struct lst *list, struct lst_link *link);

  /* Removes and returns the first item, null when the list is empty.  */
  struct lst_link *lst_take (struct lst *list);

#ifdef __cplusplus
}
#endif

#endif
