/* What the control thread must do after an event.  Entry points of dst append
   actions; the control thread carries them out in order.  */

#ifndef MULBERRYSHIFT_DST_DST_ACTION_H
#define MULBERRYSHIFT_DST_DST_ACTION_H

#include "base/buf.h"
#include "base/net.h"
#include "mbr/mbr_member.h"
#include "snp/snp.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Longest datagram, in bytes, without IP and UDP headers.  */
#define DST_MAX_DATAGRAM 1400
/* Addresses in a directory object.  */
#define DST_MAX_DIRECTORY 8
#define DST_MAX_UNREACHABLE 8
#define DST_REASON_SIZE 160

  enum dst_action_kind
  {
    DST_SEND,    /* send DATA as one datagram to ADDRESS */
    DST_FETCH,   /* send FetchRequest (held STAMP, want_document, want_members,
                    members: own record if PUSH_SELF) by TCP to ADDRESS; report
                    with dst_fetched and ID */
    DST_PUBLISH, /* compile DATA as version STAMP, publish it if valid;
                    report with dst_published before any other event */
    DST_WATCH,   /* keep a watch on the configuration object while ON;
                    report with dst_object_seen or dst_platform_done */
    DST_READ,    /* read the configuration object once; same reports */
    DST_READ_DIRECTORY,  /* read directory/ENVIRONMENT/ of all data centres;
                            report with dst_directory_read */
    DST_WRITE_DIRECTORY, /* write DIRECTORY; report with dst_platform_done */
    DST_WRITE_STATUS,    /* write STATUS; report with dst_platform_done */
    DST_MEMBERS_CHANGED  /* rebuild the view from dst_members */
  };

  /* Content of status/ENVIRONMENT/DATA_CENTRE.  */
  struct dst_status
  {
    char data_centre[MBR_NAME_SIZE];
    char relay[MBR_NAME_SIZE]; /* the writer */
    uint32_t members;          /* live, with the writer */
    uint64_t highest;          /* version held by the writer */
    uint64_t lowest;           /* lowest version known to be held; 0: none */
    uint32_t at_highest;       /* members that reported HIGHEST */
    uint64_t forks;            /* equal versions with another document */
    uint64_t rejected;         /* last invalid version; 0: none */
    char reason[DST_REASON_SIZE];
    uint32_t unreachable_count; /* all dead or suspect members */
    char unreachable[DST_MAX_UNREACHABLE][MBR_NAME_SIZE]; /* the first ones */
  };

  struct dst_directory
  {
    struct net_address addresses[DST_MAX_DIRECTORY];
    size_t count;
  };

  struct dst_action
  {
    enum dst_action_kind kind;
    struct net_address address;
    struct snp_stamp stamp;
    uint64_t id;
    bool want_document;
    bool want_members;
    bool push_self;
    bool on;
    struct buf data;
    union
    {
      struct dst_status status;
      struct dst_directory directory;
    };
  };

  /* Zero-initialise.  */
  struct dst_actions
  {
    struct dst_action *items;
    size_t count;
    size_t capacity;
  };

  /* Appends an empty action.  The pointer is valid until the next append.  */
  struct dst_action *dst_actions_add (struct dst_actions *actions,
                                      enum dst_action_kind kind);

  /* Drops all actions and their data; keeps the array.  */
  void dst_actions_clear (struct dst_actions *actions);

  /* Frees everything.  */
  void dst_actions_close (struct dst_actions *actions);

#ifdef __cplusplus
}
#endif

#endif
