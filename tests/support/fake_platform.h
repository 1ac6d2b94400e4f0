/* Platform in memory that loses responses, for tests.  */

#ifndef MULBERRYSHIFT_TESTS_FAKE_PLATFORM_H
#define MULBERRYSHIFT_TESTS_FAKE_PLATFORM_H

#include "key/key.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>

enum fake_fault
{
  FAKE_NONE,
  FAKE_RESPONSE_LOST, /* the write takes effect, the response is lost */
  FAKE_REQUEST_LOST,
  FAKE_DOWN
};

struct fake_platform
{
  std::mutex lock;
  std::map<std::string, std::pair<std::string, int> > objects;
  std::deque<enum fake_fault> faults; /* of the next calls */
  int last_etag = 0;
  int call_count = 0;
};

/* Opens clients of PLATFORM, which must outlive them.  */
struct key_factory fake_platform_factory (struct fake_platform *platform);

#endif
