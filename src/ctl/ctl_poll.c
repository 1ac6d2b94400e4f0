/* Naive control: every node watches the platform itself and sends its record
   to all members that it knows.  Measurements compare the tree with it.  */

#include "ctl/ctl.h"

#include "base/err.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/thr.h"
#include "met/met.h"
#include "plt/plt_config.h"
#include "snp/snp.h"
#include "view/view.h"
#include "wire/frm.h"

#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#define MAX_MEMBERS 1024
#define MAX_DATAGRAM 1400
#define SEND_INTERVAL (500 * CLK_MILLISECOND)
#define SILENCE_LIMIT (5 * CLK_SECOND)
#define WATCH_LENGTH (5 * CLK_SECOND)
#define RETRY_INTERVAL CLK_SECOND
/* IP and UDP headers, in bytes.  */
#define DATAGRAM_OVERHEAD 28

struct poll_state
{
  const struct cfg_settings *settings;
  struct up_lease *lease;
  uint64_t mesh;
  int socket;
  pthread_t member_thread;
  pthread_t watch_thread;
  pthread_mutex_t lock;
  struct mbr_member self;
  struct mbr_member members[MAX_MEMBERS];
  clk_time silence_ends[MAX_MEMBERS];
  size_t member_count;
  struct snp_snapshot *snapshot;
  atomic_bool stopping;
  atomic_uint_fast64_t bytes_sent;
  atomic_uint_fast64_t bytes_read;
};

/* Publishes the members and the snapshot; with the lock held.  */
static void
publish (struct poll_state *ctl)
{
  struct mbr_member members[MAX_MEMBERS + 1];

  members[0] = ctl->self;
  memcpy (members + 1, ctl->members,
          ctl->member_count * sizeof (struct mbr_member));
  view_publish (
      view_create (ctl->snapshot, members, ctl->member_count + 1, &ctl->self));
}

/* Copies the upstream's announcement into the own record; with the lock held.
   Returns whether it changed.  */
static bool
update_self (struct poll_state *ctl, clk_time now)
{
  struct mbr_member before = ctl->self;
  struct up_announcement upstream;

  memset (ctl->self.service, 0, sizeof ctl->self.service);
  memset (ctl->self.upstream, 0, sizeof ctl->self.upstream);
  ctl->self.slots = 0;
  if (up_lease_get (ctl->lease, now, &upstream))
    {
      snprintf (ctl->self.service, sizeof ctl->self.service, "%s",
                upstream.service);
      snprintf (ctl->self.upstream, sizeof ctl->self.upstream, "%s",
                upstream.name);
      ctl->self.slots = upstream.slots;
    }
  if (mbr_member_equal (&before, &ctl->self))
    return false;
  ctl->self.sequence++;
  return true;
}

static void
send_record (struct poll_state *ctl)
{
  Mesh__Datagram datagram = MESH__DATAGRAM__INIT;
  Mesh__Member record;
  Mesh__Member *records[] = { &record };
  uint8_t data[MAX_DATAGRAM];
  size_t length;

  mbr_member_to_wire (&ctl->self, &record);
  datagram.protocol = FRM_PROTOCOL;
  datagram.mesh = ctl->mesh;
  datagram.from = ctl->self.name;
  datagram.incarnation = ctl->self.incarnation;
  datagram.n_updates = 1;
  datagram.updates = records;
  length = mesh__datagram__get_packed_size (&datagram);
  if (length > sizeof data)
    return;
  mesh__datagram__pack (&datagram, data);
  for (size_t i = 0; i < ctl->settings->seed_count; i++)
    net_send_datagram (ctl->socket, ctl->settings->seeds[i], data, length);
  for (size_t i = 0; i < ctl->member_count; i++)
    net_send_datagram (ctl->socket, ctl->members[i].address, data, length);
  atomic_fetch_add (&ctl->bytes_sent,
                    (ctl->settings->seed_count + ctl->member_count)
                        * (length + DATAGRAM_OVERHEAD));
}

/* Stores a record of another node; with the lock held.  Returns whether
   anything changed.  */
static bool
store_member (struct poll_state *ctl, const struct mbr_member *member,
              clk_time now)
{
  size_t i = 0;
  bool changed;

  if (strcmp (member->name, ctl->self.name) == 0)
    return false;
  while (i < ctl->member_count
         && strcmp (ctl->members[i].name, member->name) != 0)
    i++;
  if (i == MAX_MEMBERS)
    return false;
  if (i == ctl->member_count)
    ctl->member_count++;
  changed = !mbr_member_equal (&ctl->members[i], member);
  ctl->members[i] = *member;
  ctl->silence_ends[i] = now + SILENCE_LIMIT;
  return changed;
}

static bool
receive_records (struct poll_state *ctl, clk_time now)
{
  uint8_t data[MAX_DATAGRAM];
  bool changed = false;
  ssize_t length;

  while ((length = recv (ctl->socket, data, sizeof data, MSG_DONTWAIT)) > 0)
    {
      Mesh__Datagram *datagram
          = mesh__datagram__unpack (NULL, (size_t)length, data);
      struct mbr_member member;

      if (datagram == NULL)
        continue;
      if (datagram->protocol == FRM_PROTOCOL && datagram->mesh == ctl->mesh)
        for (size_t i = 0; i < datagram->n_updates; i++)
          if (mbr_member_from_wire (datagram->updates[i], &member)
              && store_member (ctl, &member, now))
            changed = true;
      mesh__datagram__free_unpacked (datagram, NULL);
    }
  return changed;
}

static bool
drop_silent (struct poll_state *ctl, clk_time now)
{
  bool changed = false;

  for (size_t i = ctl->member_count; i > 0; i--)
    if (now >= ctl->silence_ends[i - 1])
      {
        ctl->member_count--;
        ctl->members[i - 1] = ctl->members[ctl->member_count];
        ctl->silence_ends[i - 1] = ctl->silence_ends[ctl->member_count];
        changed = true;
      }
  return changed;
}

static void *
exchange_members (void *context)
{
  struct poll_state *ctl = context;
  clk_time next = 0;

  while (!atomic_load (&ctl->stopping))
    {
      struct pollfd item = { .fd = ctl->socket, .events = POLLIN };
      clk_time now;
      bool changed;

      poll (&item, 1, 100);
      now = clk_now ();
      pthread_mutex_lock (&ctl->lock);
      changed = receive_records (ctl, now);
      changed = update_self (ctl, now) || changed;
      changed = drop_silent (ctl, now) || changed;
      if (changed)
        publish (ctl);
      if (changed || now >= next)
        {
          send_record (ctl);
          next = now + SEND_INTERVAL;
        }
      pthread_mutex_unlock (&ctl->lock);
    }
  return NULL;
}

static void
accept_object (struct poll_state *ctl, const struct plt_object *object)
{
  struct snp_snapshot *snapshot = NULL;
  struct plt_config config;

  if (plt_config_decode (buf_text (&object->value), object->value.length,
                         &config)
          != PLT_OK
      || snp_create (config.version, buf_text (&config.document),
                     config.document.length, &snapshot)
             != SNP_OK)
    log_write (LOG_ERROR, "ctl", "version refused: %s", err_last ());
  plt_config_close (&config);
  if (snapshot == NULL)
    return;
  pthread_mutex_lock (&ctl->lock);
  if (ctl->snapshot == NULL
      || snapshot->stamp.version > ctl->snapshot->stamp.version)
    {
      snp_release (ctl->snapshot);
      ctl->snapshot = snp_retain (snapshot);
      publish (ctl);
      log_set_config_version (snapshot->stamp.version);
      log_write (LOG_INFO, "ctl", "version %" PRIu64 " is in force",
                 snapshot->stamp.version);
    }
  pthread_mutex_unlock (&ctl->lock);
  snp_release (snapshot);
}

static void *
watch_platform (void *context)
{
  struct poll_state *ctl = context;
  struct plt_client client = plt_open_http (ctl->settings->platform_url);
  char key[PLT_KEY_SIZE];
  char etag[PLT_ETAG_SIZE] = "";

  plt_config_key (ctl->settings->environment, key);
  while (!atomic_load (&ctl->stopping))
    {
      struct plt_object object;
      enum plt_status status = client.operations->watch (
          client.state, key, etag, clk_now () + WATCH_LENGTH, &object);

      if (status == PLT_OK)
        {
          memcpy (etag, object.etag, sizeof etag);
          atomic_fetch_add (&ctl->bytes_read, object.value.length);
          accept_object (ctl, &object);
          plt_object_close (&object);
        }
      else if (status != PLT_NOT_FOUND)
        usleep ((useconds_t)(RETRY_INTERVAL / CLK_MICROSECOND));
    }
  plt_close (&client);
  return NULL;
}

static void *
poll_create (const struct ctl_parts *parts)
{
  const struct cfg_settings *settings = parts->settings;
  struct poll_state *result = mem_alloc (1, sizeof *result);

  result->settings = settings;
  result->lease = parts->lease;
  result->mesh
      = XXH3_64bits (settings->environment, strlen (settings->environment));
  snprintf (result->self.name, MBR_NAME_SIZE, "%s", settings->name);
  snprintf (result->self.data_centre, MBR_NAME_SIZE, "%s",
            settings->data_centre);
  snprintf (result->self.region, MBR_NAME_SIZE, "%s", settings->region);
  result->self.incarnation = parts->incarnation;
  result->self.address = settings->mesh_address;
  pthread_mutex_init (&result->lock, NULL);
  result->socket = net_bind_datagram (settings->mesh_address);
  if (result->socket < 0)
    {
      free (result);
      return NULL;
    }
  publish (result);
  thr_start (&result->member_thread, exchange_members, result);
  thr_start (&result->watch_thread, watch_platform, result);
  return result;
}

static void
poll_leave (void *state)
{
  struct poll_state *ctl = state;

  pthread_mutex_lock (&ctl->lock);
  ctl->self.state = MBR_LEAVING;
  ctl->self.sequence++;
  publish (ctl);
  send_record (ctl);
  pthread_mutex_unlock (&ctl->lock);
}

static void
poll_fetch (void *state, const Mesh__FetchRequest *request,
            Mesh__FetchReply *reply)
{
  (void)state;
  (void)request;
  (void)reply;
}

static bool
poll_is_ready (void *state)
{
  struct poll_state *ctl = state;
  bool ready;

  pthread_mutex_lock (&ctl->lock);
  ready = ctl->snapshot != NULL;
  pthread_mutex_unlock (&ctl->lock);
  return ready;
}

static json_t *
poll_status (void *state)
{
  struct poll_state *ctl = state;
  json_t *status;

  pthread_mutex_lock (&ctl->lock);
  status = json_pack (
      "{s:s, s:s, s:I, s:I}", "name", ctl->self.name, "data_centre",
      ctl->self.data_centre, "version",
      (json_int_t)(ctl->snapshot != NULL ? ctl->snapshot->stamp.version : 0),
      "members", (json_int_t)ctl->member_count + 1);
  pthread_mutex_unlock (&ctl->lock);
  return status;
}

static void
poll_metrics (void *state)
{
  struct poll_state *ctl = state;

  met_set (met_counter ("control_bytes_total", "kind=\"records\""),
           atomic_load (&ctl->bytes_sent));
  met_set (met_counter ("control_bytes_total", "kind=\"documents\""),
           atomic_load (&ctl->bytes_read));
}

static void
poll_destroy (void *state)
{
  struct poll_state *ctl = state;

  atomic_store (&ctl->stopping, true);
  pthread_join (ctl->member_thread, NULL);
  pthread_join (ctl->watch_thread, NULL);
  close (ctl->socket);
  snp_release (ctl->snapshot);
  pthread_mutex_destroy (&ctl->lock);
  free (ctl);
}

const struct ctl_operations ctl_poll
    = { poll_create, poll_leave,   poll_fetch,  poll_is_ready,
        poll_status, poll_metrics, poll_destroy };
