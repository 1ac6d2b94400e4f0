/* Doubly linked list whose links lie in its items.

   Example:

     struct call { struct lst_entry link; int number; };

     lst_push_front (&calls, &call->link);
     for (struct lst_entry *at = calls.first; at != NULL; at = at->next)
       use (LST_ITEM (at, struct call, link));  */

#ifndef MULBERRYSHIFT_BASE_LST_H
#define MULBERRYSHIFT_BASE_LST_H

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* A place in a list.  Zero-initialise.  */
  struct lst_entry
  {
    struct lst_entry *next;
    struct lst_entry *previous;
  };

  /* A list.  Zero-initialise.  */
  struct lst
  {
    struct lst_entry *first;
  };

/* Returns the item of TYPE whose MEMBER is LINK.  */
#define LST_ITEM(link, type, member)                                          \
  ((type *)((char *)(link)-offsetof (type, member)))

  /* Adds an item at the start.  */
  void lst_push_front (struct lst *list, struct lst_entry *link);

  /* Removes an item from the list, if it is in it.  */
  void lst_remove (struct lst *list, struct lst_entry *link);

  /* Removes and returns the first item, null when the list is empty.  */
  struct lst_entry *lst_pop_front (struct lst *list);

#ifdef __cplusplus
}
#endif

#endif
