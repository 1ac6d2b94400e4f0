/* A platform in memory behind the client's function table, with faults.  */

#include "support/memory_platform.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace
{

std::string
etag_text (unsigned long etag)
{
  return "\"" + std::to_string (etag) + "\"";
}

/* Begins a call: runs the hook, and returns the fault of this call.  */
memory_fault
begin (memory_platform *platform)
{
  unsigned number = platform->call_count++;
  auto hook = platform->before_call; /* a copy: the hook may replace itself */

  if (hook)
    hook (number);
  auto found = platform->faults.find (number);
  return found != platform->faults.end () ? found->second
                                          : platform->default_fault;
}

/* Ends a call: a delayed write of an earlier call arrives.  */
enum plt_status
finish (std::function<void ()> &delayed, enum plt_status status)
{
  if (delayed)
    delayed ();
  return status;
}

enum plt_status
failure (memory_fault fault)
{
  switch (fault)
    {
    case MEMORY_DOWN:
      return PLT_UNREACHABLE;
    case MEMORY_BUSY:
      return PLT_BUSY;
    case MEMORY_INVALID_RESPONSE:
      return PLT_INVALID;
    default:
      return PLT_UNKNOWN;
    }
}

void
copy (struct plt_object *to, const std::string &key, const memory_object &from)
{
  std::snprintf (to->key, sizeof to->key, "%s", key.c_str ());
  std::snprintf (to->etag, sizeof to->etag, "%s",
                 etag_text (from.etag).c_str ());
  buf_append (&to->value, from.value.data (), from.value.size ());
}

enum plt_status
memory_get (void *state, const char *key, clk_time deadline,
            struct plt_object *object)
{
  auto *platform = static_cast<memory_platform *> (state);
  std::function<void ()> delayed;
  memory_fault fault = begin (platform);

  (void)deadline;
  std::swap (delayed, platform->delayed_write);
  std::memset (object, 0, sizeof *object);
  if (fault != MEMORY_NONE)
    return finish (delayed, failure (fault));
  auto found = platform->objects.find (key);
  if (found == platform->objects.end ())
    return finish (delayed, PLT_NOT_FOUND);
  copy (object, key, found->second);
  return finish (delayed, PLT_OK);
}

enum plt_status
write (memory_platform *platform, const std::string &key, bool absent,
       const std::string &etag, const std::string &value)
{
  auto found = platform->objects.find (key);
  bool exists = found != platform->objects.end ();

  if (absent ? exists : !exists || etag_text (found->second.etag) != etag)
    return PLT_CONFLICT;
  platform->objects[key] = { value, ++platform->last_etag };
  if (platform->on_write)
    platform->on_write (key, value);
  return PLT_OK;
}

enum plt_status
memory_put (void *state, const char *key, enum plt_condition condition,
            const char *etag, const struct buf *value, clk_time deadline,
            char new_etag[PLT_ETAG_SIZE])
{
  auto *platform = static_cast<memory_platform *> (state);
  std::string text (buf_text (value), value->length);
  std::string match = condition == PLT_IF_MATCH ? etag : "";
  std::function<void ()> delayed;
  memory_fault fault = begin (platform);
  enum plt_status status;

  (void)deadline;
  std::swap (delayed, platform->delayed_write);
  if (fault == MEMORY_WRITE_DELAYED)
    platform->delayed_write = [=, key = std::string (key)] {
      write (platform, key, condition == PLT_IF_ABSENT, match, text);
    };
  if (fault != MEMORY_NONE && fault != MEMORY_RESPONSE_LOST
      && fault != MEMORY_INVALID_RESPONSE)
    return finish (delayed, failure (fault));
  status = write (platform, key, condition == PLT_IF_ABSENT, match, text);
  std::snprintf (new_etag, PLT_ETAG_SIZE, "%s",
                 etag_text (platform->last_etag).c_str ());
  return finish (delayed, fault != MEMORY_NONE ? failure (fault) : status);
}

enum plt_status
memory_remove (void *state, const char *key, const char *etag,
               clk_time deadline)
{
  auto *platform = static_cast<memory_platform *> (state);
  memory_fault fault = begin (platform);
  auto found = platform->objects.find (key);

  (void)deadline;
  if (fault != MEMORY_NONE && fault != MEMORY_RESPONSE_LOST)
    return failure (fault);
  if (found == platform->objects.end ())
    return PLT_NOT_FOUND;
  if (etag_text (found->second.etag) != etag)
    return PLT_CONFLICT;
  platform->objects.erase (found);
  return fault == MEMORY_NONE ? PLT_OK : PLT_UNKNOWN;
}

enum plt_status
memory_list (void *state, const char *prefix, clk_time deadline,
             struct plt_list *list)
{
  auto *platform = static_cast<memory_platform *> (state);
  std::function<void ()> delayed;
  memory_fault fault = begin (platform);

  (void)deadline;
  std::swap (delayed, platform->delayed_write);
  std::memset (list, 0, sizeof *list);
  if (fault != MEMORY_NONE)
    return finish (delayed, failure (fault));
  list->objects = static_cast<plt_object *> (
      std::calloc (platform->objects.size () + 1, sizeof (plt_object)));
  for (const auto &[key, object] : platform->objects)
    if (key.compare (0, std::strlen (prefix), prefix) == 0)
      copy (&list->objects[list->count++], key, object);
  return finish (delayed, PLT_OK);
}

enum plt_status
memory_watch (void *state, const char *key, const char *etag,
              clk_time deadline, struct plt_object *object)
{
  enum plt_status status = memory_get (state, key, deadline, object);

  if (status != PLT_OK || std::strcmp (object->etag, etag) != 0)
    return status;
  plt_object_close (object);
  return PLT_NOT_FOUND;
}

void
memory_destroy (void *state)
{
  (void)state;
}

const struct plt_operations operations
    = { memory_get,  memory_put,   memory_remove,
        memory_list, memory_watch, memory_destroy };

} // namespace

struct plt_client
memory_platform::client ()
{
  return { &operations, this };
}

void
memory_platform::restore (const std::string &key, const std::string &value)
{
  objects[key] = { value, ++last_etag };
}

std::string
memory_platform::value (const std::string &key) const
{
  auto found = objects.find (key);

  return found != objects.end () ? found->second.value : "";
}
