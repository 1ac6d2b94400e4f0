/* HTTP client of the load tool; included by load.c alone, since every source
   file of this folder is a program.  */

#ifndef MULBERRYSHIFT_STANDINS_LOAD_CLIENT_H
#define MULBERRYSHIFT_STANDINS_LOAD_CLIENT_H

#include "base/buf.h"
#include "base/net.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESPONSE_SIZE 65536
#define CALL_LIMIT (10 * CLK_SECOND)

enum outcome
{
  ANSWERED,
  UPSTREAM_ERROR,
  NOT_RUN,
  UNKNOWN,
  FAILED, /* no whole HTTP response */
  OUTCOME_COUNT
};

static const char *const outcome_names[]
    = { "answered", "upstream_error", "not_run", "unknown", "failed" };

/* A connection to one address, opened when first needed.  */
struct client
{
  struct net_address address;
  int socket;
};

struct arrival
{
  clk_time at;
  uint32_t number;
  bool post;
};

static void
disconnect (struct client *client)
{
  if (client->socket >= 0)
    close (client->socket);
  client->socket = -1;
}

static bool
send_request (struct client *client, const struct arrival *arrival,
              const char *path, uint64_t seed)
{
  struct buf request = { 0 };
  bool sent;

  if (client->socket < 0)
    {
      struct timeval limit = { CALL_LIMIT / CLK_SECOND, 0 };

      client->socket = net_connect (client->address, clk_now () + CLK_SECOND);
      if (client->socket < 0)
        return false;
      setsockopt (client->socket, SOL_SOCKET, SO_RCVTIMEO, &limit,
                  sizeof limit);
    }
  if (arrival->post)
    buf_printf (&request,
                "POST %s HTTP/1.1\r\nHost: load\r\nContent-Length: 5\r\n"
                "Idempotency-Key: load-%" PRIu64 "-%u\r\n\r\norder",
                path, seed, arrival->number);
  else
    buf_printf (&request, "GET %s HTTP/1.1\r\nHost: load\r\n\r\n", path);
  sent = send (client->socket, request.data, request.length, MSG_NOSIGNAL)
         == (ssize_t)request.length;
  buf_close (&request);
  return sent;
}

/* Returns the value of a header in TEXT, or null.  */
static const char *
find_value (const char *text, const char *name)
{
  const char *place = strcasestr (text, name);

  return place == NULL ? NULL : place + strlen (name);
}

static enum outcome
classify (const char *head, int status)
{
  const char *outcome = find_value (head, "\r\nMulberryshift-Outcome: ");

  if (outcome != NULL && strncmp (outcome, "not-run", 7) == 0)
    return NOT_RUN;
  if (outcome != NULL && strncmp (outcome, "unknown", 7) == 0)
    return UNKNOWN;
  return status < 500 ? ANSWERED : UPSTREAM_ERROR;
}

/* Reads one response with Content-Length.  */
static enum outcome
read_response (struct client *client)
{
  char data[RESPONSE_SIZE + 1];
  size_t length = 0;
  size_t whole = SIZE_MAX;
  enum outcome outcome = FAILED;
  bool closing = false;

  while (length < whole)
    {
      size_t room = RESPONSE_SIZE - length;
      ssize_t count = recv (client->socket, data + length, room, 0);
      const char *end;
      const char *value;

      if (count <= 0 || room == 0)
        {
          disconnect (client);
          return FAILED;
        }
      length += (size_t)count;
      data[length] = '\0';
      end = strstr (data, "\r\n\r\n");
      if (whole != SIZE_MAX || end == NULL)
        continue;
      value = find_value (data, "\r\nContent-Length: ");
      whole = (size_t)(end - data) + 4
              + (value != NULL ? strtoul (value, NULL, 10) : 0);
      outcome = classify (data, (int)strtol (data + 9, NULL, 10));
      closing = strcasestr (data, "\r\nConnection: close") != NULL;
    }
  if (closing)
    disconnect (client);
  return outcome;
}

#endif
