/* Series of tenants.  */

#include "met/met_tenant.h"

#include "met/met.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Size of a tenant's name; names that differ after that share series.  */
#define NAME_SIZE 64

/* Size of the labels of a series: a name of which each byte is escaped, and
   one more label.  */
#define LABELS_SIZE (2 * NAME_SIZE + 64)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char names[MET_MAX_TENANTS][NAME_SIZE];
static size_t name_count;

/* Returns whether series exist for TENANT; adds it while there is a place.  */
static bool
has_place (const char *tenant)
{
  bool found = false;

  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < name_count && !found; i++)
    found = strncmp (names[i], tenant, NAME_SIZE - 1) == 0;
  if (!found && name_count < MET_MAX_TENANTS)
    {
      snprintf (names[name_count++], NAME_SIZE, "%s", tenant);
      found = true;
    }
  pthread_mutex_unlock (&lock);
  return found;
}

/* Writes the label of TENANT to LABELS, escaped as the exposition format asks.
   Control characters become spaces.  Returns its length.  */
static size_t
put_tenant (const char *tenant, char labels[LABELS_SIZE])
{
  size_t length = (size_t)sprintf (labels, "tenant=\"");

  if (tenant == NULL)
    tenant = "none";
  else if (!has_place (tenant))
    tenant = "other";
  for (size_t i = 0; i < NAME_SIZE - 1 && tenant[i] != '\0'; i++)
    {
      if (tenant[i] == '"' || tenant[i] == '\\')
        labels[length++] = '\\';
      labels[length++] = (unsigned char)tenant[i] < ' ' ? ' ' : tenant[i];
    }
  labels[length++] = '"';
  labels[length] = '\0';
  return length;
}

void
met_count_tenant (const char *name, const char *tenant, const char *label,
                  const char *value)
{
  char labels[LABELS_SIZE];
  size_t length = put_tenant (tenant, labels);

  snprintf (labels + length, sizeof labels - length, ",%s=\"%s\"", label,
            value);
  met_add (met_counter (name, labels), 1);
}

void
met_time_tenant (const char *name, const char *tenant, uint64_t time)
{
  char labels[LABELS_SIZE];

  put_tenant (tenant, labels);
  hst_record (met_histogram (name, labels), time);
}
