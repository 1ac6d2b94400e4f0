/* Events that the helper threads report to the control thread.  */

#ifndef MULBERRYSHIFT_CTL_CTL_EVENT_H
#define MULBERRYSHIFT_CTL_CTL_EVENT_H

#include "base/buf.h"
#include "base/ring.h"
#include "dst/dst.h"
#include "wire/mesh.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

enum ctl_event_kind
{
  CTL_FETCHED,       /* ID and FRAME, which is null when the fetch failed */
  CTL_OBJECT_SEEN,   /* VERSION and DATA */
  CTL_PLATFORM_DONE, /* REQUEST and SUCCEEDED */
  CTL_DIRECTORY_READ /* DIRECTORY: the addresses of all data centres */
};

/* Addresses read from the directory objects of an environment.  */
#define CTL_MAX_ADDRESSES 64

struct ctl_event
{
  enum ctl_event_kind kind;
  uint64_t id;
  Mesh__Frame *frame;
  uint64_t version;
  struct buf data;
  enum dst_request request;
  bool succeeded;
  struct net_address addresses[CTL_MAX_ADDRESSES];
  size_t address_count;
};

/* Where the helper threads put events; DESCRIPTOR (an eventfd) wakes the
   control thread.  */
struct ctl_inbox
{
  struct ring *ring;
  int descriptor;
};

/* Returns an empty event.  */
struct ctl_event *ctl_event_create (enum ctl_event_kind kind);

/* Frees an event and its parts.  */
void ctl_event_destroy (struct ctl_event *event);

/* Hands EVENT over; drops it when the control thread does not keep up.  */
void ctl_inbox_post (struct ctl_inbox *inbox, struct ctl_event *event);

#endif
