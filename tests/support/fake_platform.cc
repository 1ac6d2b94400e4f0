/* Platform in memory that loses responses, for tests.  */

#include "support/fake_platform.h"

#include <cstdio>

static enum fake_fault
take_fault (struct fake_platform *platform)
{
  enum fake_fault fault = FAKE_NONE;

  platform->call_count++;
  if (!platform->faults.empty ())
    {
      fault = platform->faults.front ();
      platform->faults.pop_front ();
    }
  return fault;
}

static enum plt_status
fake_get (void *state, const char *key, clk_time, struct plt_object *object)
{
  auto *platform = (struct fake_platform *)state;
  std::lock_guard<std::mutex> guard (platform->lock);
  enum fake_fault fault = take_fault (platform);
  auto found = platform->objects.find (key);

  if (fault != FAKE_NONE)
    return fault == FAKE_DOWN ? PLT_UNREACHABLE : PLT_UNKNOWN;
  if (found == platform->objects.end ())
    return PLT_NOT_FOUND;
  snprintf (object->etag, sizeof object->etag, "%d", found->second.second);
  buf_append (&object->value, found->second.first.data (),
              found->second.first.size ());
  return PLT_OK;
}

static enum plt_status
fake_put (void *state, const char *key, enum plt_condition, const char *,
          const struct buf *value, clk_time, char new_etag[PLT_ETAG_SIZE])
{
  auto *platform = (struct fake_platform *)state;
  std::lock_guard<std::mutex> guard (platform->lock);
  enum fake_fault fault = take_fault (platform);

  if (fault == FAKE_DOWN)
    return PLT_UNREACHABLE;
  if (fault == FAKE_REQUEST_LOST)
    return PLT_UNKNOWN;
  if (platform->objects.count (key) > 0)
    return fault == FAKE_RESPONSE_LOST ? PLT_UNKNOWN : PLT_CONFLICT;
  platform->objects[key] = { std::string (buf_text (value), value->length),
                             ++platform->last_etag };
  snprintf (new_etag, PLT_ETAG_SIZE, "%d", platform->last_etag);
  return fault == FAKE_RESPONSE_LOST ? PLT_UNKNOWN : PLT_OK;
}

static enum plt_status
fake_remove (void *state, const char *key, const char *, clk_time)
{
  auto *platform = (struct fake_platform *)state;
  std::lock_guard<std::mutex> guard (platform->lock);

  if (take_fault (platform) != FAKE_NONE)
    return PLT_UNREACHABLE;
  platform->objects.erase (key);
  return PLT_OK;
}

static void
fake_destroy (void *)
{
}

static struct plt_client
fake_open (void *context)
{
  static const struct plt_operations operations
      = { fake_get, fake_put, fake_remove, nullptr, nullptr, fake_destroy };

  return { &operations, context };
}

struct key_factory
fake_platform_factory (struct fake_platform *platform)
{
  return { platform, fake_open };
}
