/* A platform in memory behind the client's function table, with faults.  */

#ifndef MULBERRYSHIFT_TESTS_MEMORY_PLATFORM_H
#define MULBERRYSHIFT_TESTS_MEMORY_PLATFORM_H

#include "plt/plt.h"

#include <functional>
#include <map>
#include <string>

enum memory_fault
{
  MEMORY_NONE,
  MEMORY_DOWN,          /* PLT_UNREACHABLE, nothing done */
  MEMORY_BUSY,          /* PLT_BUSY, nothing done */
  MEMORY_REQUEST_LOST,  /* PLT_UNKNOWN, nothing done */
  MEMORY_RESPONSE_LOST, /* done, but PLT_UNKNOWN */
  MEMORY_WRITE_DELAYED, /* PLT_UNKNOWN; a write is done after the next call */
  MEMORY_INVALID_RESPONSE, /* PLT_INVALID, a write is done */
  MEMORY_FAULT_COUNT
};

struct memory_object
{
  std::string value;
  unsigned long etag;
};

struct memory_platform
{
  std::map<std::string, memory_object> objects;
  std::map<unsigned, memory_fault> faults;  /* by number of the call */
  memory_fault default_fault = MEMORY_NONE; /* for every call */
  unsigned call_count = 0;
  unsigned long last_etag = 0;
  std::function<void (unsigned)> before_call; /* gets the call's number */
  std::function<void (const std::string &, const std::string &)> on_write;
  std::function<void ()> delayed_write;

  /* Returns a client; several may exist, and none owns the platform.  */
  struct plt_client client ();

  /* Sets an object to a value with a new ETag, as a restored backup does.  */
  void restore (const std::string &key, const std::string &value);

  /* Returns the value, "" when there is none.  */
  std::string value (const std::string &key) const;
};

#endif
