/* Requests at the store, and the faults that it may have.  */

#include "sst_internal.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

/* Time after which a delayed write is done.  */
#define LATE_WRITE CLK_SECOND

/* Returns the IP address of the store that the caller has used.  */
uint32_t
sst_called_ip (const struct srv_exchange *exchange)
{
  struct sockaddr_in where = { 0 };
  socklen_t size = sizeof where;

  if (getsockname (srv_descriptor (exchange), (struct sockaddr *)&where, &size)
      != 0)
    return 0;
  return ntohl (where.sin_addr.s_addr);
}

static enum sst_fault
fault_of (const struct sst *store, uint32_t ip)
{
  for (size_t i = 0; i < store->fault_count; i++)
    if (store->faults[i].ip == 0 || store->faults[i].ip == ip)
      return store->faults[i].fault;
  return SST_HEALTHY;
}

/* Does a write whose caller gets no answer.  */
static void
lose (struct sst *store, struct srv_exchange *exchange,
      struct htp_message *message, bool late)
{
  struct sst_waiting *entry;

  srv_abort (exchange);
  if (!late)
    {
      sst_perform (store, NULL, message);
      return;
    }
  entry = sst_add_waiting (store, NULL, evl_now (store->loop) + LATE_WRITE);
  entry->is_late = true;
  entry->message = *message;
  *message = (struct htp_message){ 0 };
}

void
sst_handle_request (void *context, struct srv_exchange *exchange,
                    struct htp_message *message)
{
  struct sst *store = context;
  bool is_read = message->method == HTTP_GET;
  struct sst_waiting *entry;

  store->calls++;
  if (!is_read)
    store->writes++;
  switch (fault_of (store, sst_called_ip (exchange)))
    {
    case SST_NO_RESPONSE:
      return;
    case SST_BUSY:
      sst_answer (store, exchange, 503, NULL);
      return;
    case SST_RESET:
      srv_abort (exchange);
      return;
    case SST_LOSE_RESPONSE:
    case SST_DELAY_WRITE:
      if (is_read)
        break;
      lose (store, exchange, message,
            fault_of (store, sst_called_ip (exchange)) == SST_DELAY_WRITE);
      return;
    default:
      break;
    }
  if (store->delay == 0)
    {
      sst_perform (store, exchange, message);
      return;
    }
  entry = sst_add_waiting (store, exchange,
                           evl_now (store->loop) + store->delay);
  entry->message = *message;
  *message = (struct htp_message){ 0 };
}

/* Cuts the calls that wait for callers with this fault.  */
static void
cut_waiting (struct sst *store, enum sst_fault fault, uint32_t ip)
{
  struct sst_waiting *next;

  for (struct sst_waiting *entry = sst_waiting_at (store->waiting.first);
       entry != NULL; entry = next)
    {
      struct srv_exchange *exchange = entry->exchange;

      next = sst_waiting_at (entry->list.next);
      if (exchange == NULL || (ip != 0 && sst_called_ip (exchange) != ip))
        continue;
      if (fault == SST_NO_RESPONSE)
        entry->exchange = NULL;
      else if (fault == SST_BUSY || fault == SST_RESET)
        {
          sst_free_waiting (entry);
          srv_abort (exchange);
        }
    }
}

void
sst_set_fault (struct sst *store, enum sst_fault fault, uint32_t ip)
{
  if (store->fault_count == SST_MAX_FAULTS)
    abort ();
  store->faults[store->fault_count++] = (struct sst_caller_fault){ ip, fault };
  cut_waiting (store, fault, ip);
}

void
sst_clear_faults (struct sst *store)
{
  store->fault_count = 0;
  store->delay = 0;
}

void
sst_set_delay (struct sst *store, clk_time delay)
{
  store->delay = delay;
}
