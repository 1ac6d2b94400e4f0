/* Load for callers' measurements: open loop (seeded Poisson arrivals) or
   closed loop over keep-alive connections; prints one JSON object.

   Usage: standin-load --target ADDRESS [OPTION...]; see print_usage.

   In an open loop, latency counts from the scheduled arrival, so a slow
   answer also delays what comes after it.  With --direct, each arrival sends
   one request to the direct address and one to the target, in alternating
   order; latency counts from the sending, and the added latency is the
   difference within the pair.  */

#include "base/clk.h"
#include "base/rnd.h"
#include "load_client.h"
#include "met/hst.h"

#include <curl/curl.h>
#include <errno.h>
#include <getopt.h>
#include <jansson.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_TARGETS 16
#define MAX_ORDERS 4000000u
static struct
{
  struct net_address targets[MAX_TARGETS];
  size_t target_count;
  struct net_address direct;
  bool has_direct;
  const char *path;
  const char *ledgers[MAX_TARGETS];
  size_t ledger_count;
  long pids[MAX_TARGETS];
  size_t pid_count;
  double rate; /* 0: closed loop */
  double seconds;
  double post_share;
  bool repeat;
  clk_time deadline; /* 0: none */
  unsigned connections;
  uint64_t seed;
} option = { .path = "/", .seconds = 5, .connections = 16, .seed = 1 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct rnd random_state; /* guarded by the lock */
static clk_time next_arrival;   /* likewise */
static uint32_t next_number;    /* likewise */
static clk_time end_time;
static atomic_uint_fast64_t counts[OUTCOME_COUNT];
static atomic_uint_fast64_t repeats;
static atomic_uint_fast64_t in_time; /* answered within the deadline */
static struct hst latency;
static struct hst answered_latency;
static struct hst direct_latency;
static struct hst difference;
static uint8_t *reported; /* 1 + outcome of each order; 0: no order */

/* Returns false when the time is over.  */
static bool
take_arrival (struct arrival *arrival)
{
  bool more;

  pthread_mutex_lock (&lock);
  if (option.rate > 0)
    next_arrival += (clk_time)(-log (1 - rnd_unit (&random_state))
                               / option.rate * (double)CLK_SECOND);
  arrival->at = option.rate > 0 ? next_arrival : clk_now ();
  arrival->number = next_number++;
  arrival->post = rnd_unit (&random_state) < option.post_share;
  more = arrival->at < end_time && arrival->number < MAX_ORDERS;
  pthread_mutex_unlock (&lock);
  return more;
}

static void
sleep_until (clk_time when)
{
  struct timespec time = clk_to_timespec (when);

  while (clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &time, NULL)
         == EINTR)
    continue;
}

static enum outcome
run_call (struct client *client, const struct arrival *arrival)
{
  enum outcome outcome = FAILED;

  if (send_request (client, arrival, option.path, option.seed))
    outcome = read_response (client);
  if (outcome == FAILED)
    disconnect (client);
  return outcome;
}

/* Repeats an order whose outcome is not known, with the same key.  */
static enum outcome
resolve (struct client *client, const struct arrival *arrival,
         enum outcome outcome)
{
  for (int i = 0; i < 5 && (outcome == UNKNOWN || outcome == FAILED); i++)
    {
      enum outcome next;

      atomic_fetch_add (&repeats, 1);
      usleep (50000);
      next = run_call (client, arrival);
      /* "Not run" is said of the repeat, not of the first try.  */
      if (next == ANSWERED)
        outcome = next;
    }
  return outcome;
}

static void
run_pair (struct client *direct, struct client *target,
          const struct arrival *arrival)
{
  clk_time elapsed[2] = { 0, 0 };
  enum outcome outcome = FAILED;
  bool valid = true;

  for (unsigned i = 0; i < 2; i++)
    {
      unsigned which = (i + arrival->number) % 2;
      clk_time begun = clk_now ();
      enum outcome one = run_call (which == 0 ? direct : target, arrival);

      elapsed[which] = clk_now () - begun;
      valid = valid && one == ANSWERED;
      if (which == 1)
        outcome = one;
    }
  atomic_fetch_add (&counts[outcome], 1);
  if (!valid)
    return;
  hst_record (&direct_latency, (uint64_t)elapsed[0]);
  hst_record (&latency, (uint64_t)elapsed[1]);
  hst_record (&difference, elapsed[1] > elapsed[0]
                               ? (uint64_t)(elapsed[1] - elapsed[0])
                               : 0);
}

static void
count_call (const struct arrival *arrival, enum outcome outcome)
{
  clk_time elapsed = clk_now () - arrival->at;

  hst_record (&latency, (uint64_t)elapsed);
  atomic_fetch_add (&counts[outcome], 1);
  if (outcome != ANSWERED)
    return;
  hst_record (&answered_latency, (uint64_t)elapsed);
  if (option.deadline == 0 || elapsed <= option.deadline)
    atomic_fetch_add (&in_time, 1);
}

static void *
work (void *context)
{
  size_t index = atomic_fetch_add ((atomic_size_t *)context, 1);
  struct client target = { option.targets[index % option.target_count], -1 };
  struct client direct = { option.direct, -1 };
  struct arrival arrival;

  while (take_arrival (&arrival))
    {
      enum outcome outcome;

      sleep_until (arrival.at);
      if (option.has_direct)
        {
          run_pair (&direct, &target, &arrival);
          continue;
        }
      outcome = run_call (&target, &arrival);
      count_call (&arrival, outcome);
      if (arrival.post && option.repeat)
        outcome = resolve (&target, &arrival, outcome);
      if (arrival.post)
        reported[arrival.number] = (uint8_t)(1 + outcome);
    }
  disconnect (&target);
  disconnect (&direct);
  return NULL;
}

/* Returns the CPU time of the processes given, in seconds.  */
static double
read_cpu (void)
{
  double ticks = 0;

  for (size_t i = 0; i < option.pid_count; i++)
    {
      char name[64];
      char text[1024] = "";
      unsigned long user = 0;
      unsigned long system = 0;
      const char *place;
      FILE *file;

      snprintf (name, sizeof name, "/proc/%ld/stat", option.pids[i]);
      file = fopen (name, "re");
      if (file == NULL)
        continue;
      if (fgets (text, sizeof text, file) != NULL
          && (place = strrchr (text, ')')) != NULL
          && sscanf (place,
                     ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
                     "%lu %lu",
                     &user, &system)
                 == 2)
        ticks += (double)(user + system);
      fclose (file);
    }
  return ticks / (double)sysconf (_SC_CLK_TCK);
}

static size_t
store (char *data, size_t size, size_t count, void *context)
{
  buf_append (context, data, size * count);
  return size * count;
}

/* Adds the executions that one upstream's ledger holds to EXECUTIONS.  */
static bool
read_ledger (const char *url, uint8_t *executions)
{
  CURL *curl = curl_easy_init ();
  struct buf body = { 0 };
  json_t *ledger = NULL;
  const char *key;
  json_t *value;

  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, store);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &body);
  if (curl_easy_perform (curl) == CURLE_OK)
    ledger = json_loadb (buf_text (&body), body.length, 0, NULL);
  curl_easy_cleanup (curl);
  buf_close (&body);
  if (ledger == NULL)
    return false;
  json_object_foreach (ledger, key, value)
  {
    uint64_t seed;
    uint32_t number;

    if (sscanf (key, "load-%" SCNu64 "-%" SCNu32, &seed, &number) == 2
        && seed == option.seed && number < MAX_ORDERS)
      executions[number] += (uint8_t)json_integer_value (value);
  }
  json_decref (ledger);
  return true;
}

/* Compares what was reported to callers with what the upstreams ran.  */
static json_t *
check_ledgers (void)
{
  uint8_t *executions = calloc (MAX_ORDERS, 1);
  int orders = 0;
  int lost = 0;
  int doubled = 0;
  int false_not_run = 0;
  int unknown = 0;

  if (executions == NULL)
    abort ();
  for (size_t i = 0; i < option.ledger_count; i++)
    if (!read_ledger (option.ledgers[i], executions))
      {
        free (executions);
        return json_pack ("{s:s}", "error", "a ledger cannot be read");
      }
  for (uint32_t i = 0; i < MAX_ORDERS; i++)
    if (reported[i] > 0)
      {
        enum outcome outcome = (enum outcome) (reported[i] - 1);

        orders++;
        lost += outcome == ANSWERED && executions[i] == 0;
        doubled += executions[i] > 1;
        false_not_run += outcome == NOT_RUN && executions[i] > 0;
        unknown += outcome == UNKNOWN || outcome == FAILED;
      }
  free (executions);
  return json_pack ("{s:i, s:i, s:i, s:i, s:i}", "orders", orders, "lost",
                    lost, "doubled", doubled, "false_not_run", false_not_run,
                    "unknown", unknown);
}

static json_t *
describe (const struct hst *histogram)
{
  json_t *result = json_object ();
  static const struct
  {
    const char *name;
    double share;
  } shares[] = { { "p50_us", 0.5 },
                 { "p90_us", 0.9 },
                 { "p99_us", 0.99 },
                 { "p999_us", 0.999 } };

  for (size_t i = 0; i < sizeof shares / sizeof *shares; i++)
    json_object_set_new (
        result, shares[i].name,
        json_real (((double)hst_quantile (histogram, shares[i].share))
                   / (double)CLK_MICROSECOND));
  return result;
}

static void
report (double cpu, double elapsed)
{
  json_t *result = json_object ();
  uint64_t calls = 0;
  char *text;

  for (int i = 0; i < OUTCOME_COUNT; i++)
    {
      calls += atomic_load (&counts[i]);
      json_object_set_new (result, outcome_names[i],
                           json_integer ((json_int_t)counts[i]));
    }
  json_object_set_new (result, "calls_per_second",
                       json_real ((double)calls / elapsed));
  json_object_set_new (result, "repeats", json_integer ((json_int_t)repeats));
  json_object_set_new (result, "in_time", json_integer ((json_int_t)in_time));
  json_object_set_new (result, "latency", describe (&latency));
  json_object_set_new (result, "answered_latency",
                       describe (&answered_latency));
  if (option.has_direct)
    {
      json_object_set_new (result, "direct", describe (&direct_latency));
      json_object_set_new (result, "added", describe (&difference));
      json_object_set_new (
          result, "p99_difference_us",
          json_real (((double)hst_quantile (&latency, 0.99)
                      - (double)hst_quantile (&direct_latency, 0.99))
                     / (double)CLK_MICROSECOND));
    }
  if (option.pid_count > 0 && calls > 0)
    json_object_set_new (result, "cpu_us_per_call",
                         json_real (cpu * 1e6 / (double)calls));
  if (option.ledger_count > 0)
    json_object_set_new (result, "ledger", check_ledgers ());
  text = json_dumps (result, JSON_INDENT (1) | JSON_REAL_PRECISION (6));
  puts (text);
  free (text);
  json_decref (result);
}

static int
print_usage (void)
{
  fputs ("Usage: standin-load --target ADDRESS [OPTION...]\n"
         "  --target ADDRESS     mesh address for callers; up to 16\n"
         "  --direct ADDRESS     compare with an upstream's own address\n"
         "  --path PATH          default /\n"
         "  --rate CALLS         a second, open loop; default: closed loop\n"
         "  --connections COUNT  default 16\n"
         "  --seconds TIME       default 5\n"
         "  --post-share SHARE   of POST with Idempotency-Key; default 0\n"
         "  --repeat             an order with an unknown outcome, same key\n"
         "  --deadline MS        count answers within this time as in_time\n"
         "  --ledger URL         compare with an upstream's executions\n"
         "  --pid PID            add this process's CPU time\n"
         "  --seed NUMBER        default 1\n",
         stderr);
  return 2;
}

/* Stores one option.  Returns false when it is not valid.  */
static bool
store_option (int letter, const char *value)
{
  switch (letter)
    {
    case 't':
      return option.target_count < MAX_TARGETS
             && net_parse (value, &option.targets[option.target_count++]);
    case 'd':
      option.has_direct = true;
      return net_parse (value, &option.direct);
    case 'p':
      option.path = value;
      return value[0] == '/';
    case 'r':
      option.rate = strtod (value, NULL);
      return option.rate > 0;
    case 'c':
      option.connections = (unsigned)strtoul (value, NULL, 10);
      return option.connections > 0 && option.connections <= 1024;
    case 's':
      option.seconds = strtod (value, NULL);
      return option.seconds > 0;
    case 'o':
      option.post_share = strtod (value, NULL);
      return option.post_share >= 0 && option.post_share <= 1;
    case 'u':
      option.repeat = true;
      return true;
    case 'm':
      option.deadline = strtol (value, NULL, 10) * CLK_MILLISECOND;
      return option.deadline > 0;
    case 'l':
      option.ledgers[option.ledger_count % MAX_TARGETS] = value;
      return option.ledger_count++ < MAX_TARGETS;
    case 'i':
      option.pids[option.pid_count % MAX_TARGETS] = strtol (value, NULL, 10);
      return option.pid_count++ < MAX_TARGETS;
    case 'e':
      option.seed = strtoull (value, NULL, 10);
      return true;
    default:
      return false;
    }
}

int
main (int count, char **arguments)
{
  static const struct option names[] = { { "target", 1, NULL, 't' },
                                         { "direct", 1, NULL, 'd' },
                                         { "path", 1, NULL, 'p' },
                                         { "rate", 1, NULL, 'r' },
                                         { "connections", 1, NULL, 'c' },
                                         { "seconds", 1, NULL, 's' },
                                         { "post-share", 1, NULL, 'o' },
                                         { "repeat", 0, NULL, 'u' },
                                         { "ledger", 1, NULL, 'l' },
                                         { "pid", 1, NULL, 'i' },
                                         { "seed", 1, NULL, 'e' },
                                         { "deadline", 1, NULL, 'm' },
                                         { NULL, 0, NULL, 0 } };
  static atomic_size_t worker_count;
  pthread_t threads[1024];
  clk_time begun;
  double cpu;
  int letter;

  while ((letter = getopt_long (count, arguments, "", names, NULL)) != -1)
    if (!store_option (letter, optarg))
      return print_usage ();
  if (option.target_count == 0 || optind < count)
    return print_usage ();
  reported = calloc (MAX_ORDERS, 1);
  if (reported == NULL)
    abort ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  rnd_init (&random_state, option.seed);
  begun = clk_now ();
  next_arrival = begun;
  end_time = begun + (clk_time)(option.seconds * (double)CLK_SECOND);
  cpu = read_cpu ();
  for (unsigned i = 0; i < option.connections; i++)
    pthread_create (&threads[i], NULL, work, &worker_count);
  for (unsigned i = 0; i < option.connections; i++)
    pthread_join (threads[i], NULL);
  report (read_cpu () - cpu, (double)(clk_now () - begun) / CLK_SECOND);
  free (reported);
  curl_global_cleanup ();
  return 0;
}
