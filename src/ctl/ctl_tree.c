/* Control by the decisions of dst and mbr: this file only carries datagrams,
   fetches and platform calls between them and the outside.  */

#include "ctl/ctl.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/rnd.h"
#include "base/thr.h"
#include "ctl/ctl_event.h"
#include "ctl/ctl_fetcher.h"
#include "ctl/ctl_platform.h"
#include "mbr/mbr.h"
#include "met/met.h"
#include "snp/snp.h"
#include "view/view.h"
#include "wire/frm.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#define INBOX_SIZE 256
#define RECEIVE_SIZE 2048
/* Longest sleep; the upstream's lease is looked at this often.  */
#define MAX_SLEEP_MS 200
/* Datagrams taken before timers are looked at again.  */
#define RECEIVE_BATCH 64
/* Room for the frame around a fetch reply, in bytes.  */
#define REPLY_MARGIN 1024

struct tree
{
  const struct cfg_settings *settings;
  struct up_lease *lease;
  struct ctl_inbox inbox;
  struct ctl_fetcher *fetcher;
  struct ctl_platform *platform;
  int socket;
  pthread_t thread;
  atomic_bool stopping;
  atomic_uint_fast64_t cpu_ns; /* of the control thread */
  pthread_mutex_t lock;        /* guards the rest */
  struct dst *dst;
  struct dst_actions actions;
  struct snp_snapshot *snapshot;
  struct mbr_member *members;
};

/* Publishes members and snapshot; with the lock held.  */
static void
publish (struct tree *tree)
{
  size_t count = dst_members (tree->dst, tree->members, MBR_MAX_MEMBERS);

  view_publish (view_create (tree->snapshot, tree->members, count,
                             dst_self (tree->dst)));
}

/* Compiles and publishes a version, and reports the result; with the lock
   held.  */
static void
try_version (struct tree *tree, struct snp_stamp stamp, const struct buf *text)
{
  struct snp_snapshot *snapshot;
  enum snp_status status
      = snp_create (stamp.version, buf_text (text), text->length, &snapshot);

  if (status == SNP_OK)
    {
      snp_release (tree->snapshot);
      tree->snapshot = snapshot;
      publish (tree);
      log_set_config_version (stamp.version);
      log_write (LOG_INFO, "ctl", "version %" PRIu64 " is in effect",
                 stamp.version);
    }
  else
    log_write (LOG_ERROR, "ctl", "version %" PRIu64 " is rejected: %s",
               stamp.version, err_last ());
  dst_published (tree->dst, stamp, status == SNP_OK,
                 status == SNP_OK ? NULL : err_last (), clk_now (),
                 &tree->actions);
}

static void
carry_out (struct tree *tree, size_t index)
{
  /* A copy, since reporting a result may move the array.  */
  struct dst_action action = tree->actions.items[index];

  switch (action.kind)
    {
    case DST_SEND:
      net_send_datagram (tree->socket, action.address, action.data.data,
                         action.data.length);
      break;
    case DST_FETCH:
      ctl_fetcher_start (tree->fetcher, &action, dst_self (tree->dst));
      break;
    case DST_PUBLISH:
      try_version (tree, action.stamp, &action.data);
      break;
    case DST_MEMBERS_CHANGED:
      publish (tree);
      break;
    default:
      ctl_platform_start (tree->platform, &action);
    }
}

/* Carries out all actions, also those that results append; with the lock
   held.  */
static void
carry_out_all (struct tree *tree)
{
  struct dst_roles roles;

  for (size_t i = 0; i < tree->actions.count; i++)
    carry_out (tree, i);
  dst_actions_clear (&tree->actions);
  roles = dst_roles_of (tree->dst);
  ctl_platform_set_relay (tree->platform, roles.relay || roles.standby);
}

static void
receive_datagrams (struct tree *tree)
{
  uint8_t data[RECEIVE_SIZE];

  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      struct sockaddr_in from = { 0 };
      socklen_t size = sizeof from;
      ssize_t length = recvfrom (tree->socket, data, sizeof data, MSG_DONTWAIT,
                                 (struct sockaddr *)&from, &size);
      Mesh__Datagram *datagram;
      struct net_address address;

      if (length <= 0)
        return;
      datagram = mesh__datagram__unpack (NULL, (size_t)length, data);
      if (datagram == NULL)
        continue;
      address.ip = ntohl (from.sin_addr.s_addr);
      address.port = ntohs (from.sin_port);
      dst_datagram (tree->dst, address, datagram, clk_now (), &tree->actions);
      mesh__datagram__free_unpacked (datagram, NULL);
    }
}

static void
handle_event (struct tree *tree, const struct ctl_event *event)
{
  clk_time now = clk_now ();

  switch (event->kind)
    {
    case CTL_FETCHED:
      dst_fetched (tree->dst, event->id,
                   event->frame != NULL ? event->frame->fetch_reply : NULL,
                   now, &tree->actions);
      break;
    case CTL_OBJECT_SEEN:
      dst_object_seen (tree->dst, event->version, buf_text (&event->data),
                       event->data.length, now, &tree->actions);
      break;
    case CTL_PLATFORM_DONE:
      dst_platform_done (tree->dst, event->request, event->succeeded, now,
                         &tree->actions);
      break;
    default:
      dst_directory_read (tree->dst, event->addresses, event->address_count,
                          now, &tree->actions);
    }
}

static void
handle_events (struct tree *tree)
{
  struct ctl_event *event;
  eventfd_t count;

  eventfd_read (tree->inbox.descriptor, &count);
  while ((event = ring_pop (tree->inbox.ring, 0)) != NULL)
    {
      handle_event (tree, event);
      carry_out_all (tree);
      ctl_event_destroy (event);
    }
}

/* Passes the upstream's announcement, or its absence, on.  */
static void
update_upstream (struct tree *tree, clk_time now)
{
  const struct mbr_member *self = dst_self (tree->dst);
  struct up_announcement upstream = { 0 };

  if (!up_lease_get (tree->lease, now, &upstream))
    memset (&upstream, 0, sizeof upstream);
  if (strcmp (self->service, upstream.service) != 0
      || strcmp (self->upstream, upstream.name) != 0
      || self->slots != upstream.slots)
    dst_set_upstream (tree->dst, upstream.service, upstream.name,
                      upstream.slots, now, &tree->actions);
}

static void
record_cpu_time (struct tree *tree)
{
  struct timespec used;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &used);
  atomic_store (&tree->cpu_ns,
                (uint64_t)used.tv_sec * 1000000000 + (uint64_t)used.tv_nsec);
}

static void *
run_control (void *context)
{
  struct tree *tree = context;
  clk_time wake = 0;

  while (!atomic_load (&tree->stopping))
    {
      struct pollfd items[]
          = { { .fd = tree->socket, .events = POLLIN },
              { .fd = tree->inbox.descriptor, .events = POLLIN } };

      poll (items, 2, clk_poll_timeout (clk_now (), wake, MAX_SLEEP_MS));
      pthread_mutex_lock (&tree->lock);
      receive_datagrams (tree);
      carry_out_all (tree);
      handle_events (tree);
      update_upstream (tree, clk_now ());
      dst_tick (tree->dst, clk_now (), &tree->actions);
      carry_out_all (tree);
      wake = dst_next_wake (tree->dst);
      pthread_mutex_unlock (&tree->lock);
      record_cpu_time (tree);
    }
  return NULL;
}

static void
fill_settings (const struct ctl_parts *parts, struct dst_settings *settings)
{
  const struct cfg_settings *from = parts->settings;

  memset (settings, 0, sizeof *settings);
  snprintf (settings->self.name, MBR_NAME_SIZE, "%s", from->name);
  snprintf (settings->self.data_centre, MBR_NAME_SIZE, "%s",
            from->data_centre);
  snprintf (settings->self.region, MBR_NAME_SIZE, "%s", from->region);
  settings->self.incarnation = parts->incarnation;
  settings->self.address = from->mesh_address;
  settings->mesh = XXH3_64bits (from->environment, strlen (from->environment));
  snprintf (settings->platform_region, MBR_NAME_SIZE, "%s",
            from->platform_region);
  settings->seed_count
      = from->seed_count < DST_MAX_SEEDS ? from->seed_count : DST_MAX_SEEDS;
  memcpy (settings->seeds, from->seeds,
          settings->seed_count * sizeof *from->seeds);
  settings->seed = rnd_system_seed ();
}

static void *
tree_create (const struct ctl_parts *parts)
{
  struct tree *tree = mem_alloc (1, sizeof *tree);
  struct dst_settings settings;

  tree->members = mem_alloc (MBR_MAX_MEMBERS, sizeof *tree->members);
  tree->settings = parts->settings;
  tree->lease = parts->lease;
  tree->socket = net_bind_datagram (parts->settings->mesh_address);
  if (tree->socket < 0)
    {
      free (tree->members);
      free (tree);
      return NULL;
    }
  tree->inbox.ring = ring_create (INBOX_SIZE);
  tree->inbox.descriptor = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  pthread_mutex_init (&tree->lock, NULL);
  fill_settings (parts, &settings);
  tree->dst = dst_create (&settings, clk_now ());
  tree->fetcher = ctl_fetcher_create (parts->pool, &tree->inbox);
  tree->platform = ctl_platform_create (parts->settings, &tree->inbox);
  publish (tree);
  thr_start (&tree->thread, run_control, tree);
  return tree;
}

static void
tree_leave (void *state)
{
  struct tree *tree = state;

  pthread_mutex_lock (&tree->lock);
  dst_leave (tree->dst, clk_now (), &tree->actions);
  carry_out_all (tree);
  pthread_mutex_unlock (&tree->lock);
}

/* Copies FROM, whose records share allocations with their strings, to TO,
   whose parts are allocated one by one as protobuf-c frees them.  */
static void
copy_reply (const Mesh__FetchReply *from, Mesh__FetchReply *to)
{
  size_t length = mesh__fetch_reply__get_packed_size (from);
  uint8_t *data = mem_alloc (1, length + 1);
  Mesh__FetchReply *copy;

  mesh__fetch_reply__pack (from, data);
  copy = mesh__fetch_reply__unpack (NULL, length, data);
  if (copy == NULL)
    abort ();
  *to = *copy;
  free (copy);
  free (data);
}

/* Leaves the records out when the reply would exceed a frame; the asker then
   learns them from probes and its next synchronisation.  */
static void
limit_reply (Mesh__FetchReply *reply)
{
  size_t count = reply->n_members;

  if (mesh__fetch_reply__get_packed_size (reply) + REPLY_MARGIN
      <= FRM_MAX_LENGTH)
    return;
  for (size_t i = 0; i < count; i++)
    free (reply->members[i]);
  reply->n_members = 0;
  log_write (LOG_WARNING, "ctl",
             "a fetch is answered without its %zu member records", count);
}

static void
tree_fetch (void *state, const Mesh__FetchRequest *request,
            Mesh__FetchReply *reply)
{
  struct tree *tree = state;
  Mesh__FetchReply answer = MESH__FETCH_REPLY__INIT;

  pthread_mutex_lock (&tree->lock);
  dst_answer_fetch (tree->dst, request, clk_now (), &answer, &tree->actions);
  carry_out_all (tree);
  pthread_mutex_unlock (&tree->lock);
  limit_reply (&answer);
  copy_reply (&answer, reply);
  dst_reply_close (&answer);
}

static bool
tree_is_ready (void *state)
{
  struct tree *tree = state;
  bool ready;

  pthread_mutex_lock (&tree->lock);
  ready = dst_is_ready (tree->dst);
  pthread_mutex_unlock (&tree->lock);
  return ready;
}

/* Returns the number of members in each state as JSON; with the lock held.  */
static json_t *
count_states (struct tree *tree)
{
  size_t count = dst_members (tree->dst, tree->members, MBR_MAX_MEMBERS);
  json_int_t states[MBR_DEAD + 1] = { 0 };
  json_t *result = json_object ();

  for (size_t i = 0; i < count; i++)
    states[tree->members[i].state]++;
  for (int i = 0; i < MBR_DEAD; i++)
    json_object_set_new (result, mbr_state_name ((enum mbr_state)i),
                         json_integer (states[i]));
  return result;
}

static json_t *
tree_status (void *state)
{
  struct tree *tree = state;
  const struct mbr_member *self;
  struct dst_roles roles;
  struct snp_stamp held;
  json_t *status;

  pthread_mutex_lock (&tree->lock);
  self = dst_self (tree->dst);
  roles = dst_roles_of (tree->dst);
  held = dst_held (tree->dst);
  status = json_pack (
      "{s:s, s:s, s:s, s:I, s:s, s:I, s:I, s:b, s:b, s:b, s:b, s:b, s:o}",
      "name", self->name, "data_centre", self->data_centre, "region",
      self->region, "incarnation", (json_int_t)self->incarnation, "service",
      self->service, "version", (json_int_t)held.version, "members",
      (json_int_t)dst_members (tree->dst, tree->members, MBR_MAX_MEMBERS),
      "ready", dst_is_ready (tree->dst), "relay", roles.relay, "standby",
      roles.standby, "region_relay", roles.region_relay, "region_standby",
      roles.region_standby, "states", count_states (tree));
  pthread_mutex_unlock (&tree->lock);
  return status;
}

static void
tree_metrics (void *state)
{
  static const char *const kinds[DST_TRAFFIC_KINDS]
      = { "probes", "updates", "announcements", "fetches" };
  struct tree *tree = state;
  struct dst_counters counters;
  char labels[64];

  pthread_mutex_lock (&tree->lock);
  counters = *dst_counters_of (tree->dst);
  pthread_mutex_unlock (&tree->lock);
  for (int kind = 0; kind < DST_TRAFFIC_KINDS; kind++)
    for (int far = 0; far < 2; far++)
      {
        snprintf (labels, sizeof labels, "kind=\"%s\",to=\"%s\"", kinds[kind],
                  far ? "other-region" : "own-region");
        met_set (met_counter ("control_bytes_total", labels),
                 counters.bytes[kind][far]);
      }
  met_set (met_counter ("control_datagrams_total", ""), counters.datagrams);
  met_set (met_counter ("versions_forked_total", ""), counters.forks);
  met_set (met_counter ("versions_rejected_total", ""), counters.rejections);
  met_set (met_counter ("deltas_failed_total", ""), counters.bad_deltas);
  met_set (met_counter ("fetches_busy_total", ""), counters.busy_replies);
  met_set (met_counter ("control_messages_invalid_total", ""),
           counters.invalid);
  met_set (met_counter ("control_cpu_nanoseconds_total", ""),
           atomic_load (&tree->cpu_ns));
}

static void
tree_destroy (void *state)
{
  struct tree *tree = state;
  struct ctl_event *event;

  atomic_store (&tree->stopping, true);
  eventfd_write (tree->inbox.descriptor, 1);
  pthread_join (tree->thread, NULL);
  ctl_platform_destroy (tree->platform);
  ctl_fetcher_destroy (tree->fetcher);
  while ((event = ring_pop (tree->inbox.ring, 0)) != NULL)
    ctl_event_destroy (event);
  ring_destroy (tree->inbox.ring);
  close (tree->inbox.descriptor);
  close (tree->socket);
  dst_destroy (tree->dst);
  dst_actions_close (&tree->actions);
  snp_release (tree->snapshot);
  pthread_mutex_destroy (&tree->lock);
  free (tree->members);
  free (tree);
}

const struct ctl_operations ctl_tree
    = { tree_create, tree_leave,   tree_fetch,  tree_is_ready,
        tree_status, tree_metrics, tree_destroy };
