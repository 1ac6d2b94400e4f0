/* Doubly linked list (intrusive: each item contains its list entry).

   Example:

     struct call { struct lst_entry entry; int number; };

     lst_push_front (&calls, &call->entry);
     for (struct lst_entry *at = calls.first; at != NULL; at = at->next)
       use (LST_ITEM (at, struct call, entry));  */

#ifndef MULBERRYSHIFT_BASE_LST_H
#define MULBERRYSHIFT_BASE_LST_H

#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* The entry of an item in a list.  Zero-initialize it.  */
  struct lst_entry
  {
    struct lst_entry *next;
    struct lst_entry *previous;
  };

  /* A list.  Zero-initialize it.  */
  struct lst
  {
    struct lst_entry *first;
  };

/* Returns the item of TYPE whose MEMBER is ENTRY.  */
#define LST_ITEM(entry, type, member)                                         \
  ((type *)((char *)(entry)-offsetof (type, member)))

  /* Inserts ENTRY at the front.  */
  void lst_push_front (struct lst *list, struct lst_entry *entry);

  /* Removes ENTRY from LIST; does nothing when it is in no list.  */
  void lst_remove (struct lst *list, struct lst_entry *entry);

  /* Removes and returns the first entry, null when the list is empty.  */
  struct lst_entry *lst_pop_front (struct lst *list);

#ifdef __cplusplus
}
#endif

#endif
