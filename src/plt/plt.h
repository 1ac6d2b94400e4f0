/* Platform client: objects with versions (ETags), conditional writes, lists
   and watches, behind a table of function pointers.  */

#ifndef MULBERRYSHIFT_PLT_PLT_H
#define MULBERRYSHIFT_PLT_PLT_H

#include "base/buf.h"
#include "base/clk.h"

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define PLT_KEY_SIZE 256
#define PLT_ETAG_SIZE 64

  enum plt_status
  {
    PLT_OK,
    PLT_NOT_FOUND,   /* no such object; a watch: nothing new by the deadline */
    PLT_CONFLICT,    /* the condition of a write does not hold */
    PLT_BUSY,        /* over the call budget, here or at the platform */
    PLT_UNREACHABLE, /* no byte of the request left */
    PLT_UNKNOWN, /* the request left, the response did not come or says so */
    PLT_REFUSED, /* the platform refused the request */
    PLT_INVALID  /* the response cannot be understood; a write may have
                    taken effect */
  };

  struct plt_object
  {
    char key[PLT_KEY_SIZE];
    char etag[PLT_ETAG_SIZE];
    struct buf value;
  };

  struct plt_list
  {
    struct plt_object *objects;
    size_t count;
  };

  /* Condition of a write.  */
  enum plt_condition
  {
    PLT_IF_ABSENT, /* the object must not exist */
    PLT_IF_MATCH   /* the object must have this ETag */
  };

  /* Each function blocks at most until DEADLINE and sets err_last on failure.
     A client belongs to one thread.  */
  struct plt_operations
  {
    enum plt_status (*get) (void *state, const char *key, clk_time deadline,
                            struct plt_object *object);
    enum plt_status (*put) (void *state, const char *key,
                            enum plt_condition condition, const char *etag,
                            const struct buf *value, clk_time deadline,
                            char new_etag[PLT_ETAG_SIZE]);
    enum plt_status (*remove) (void *state, const char *key, const char *etag,
                               clk_time deadline);
    enum plt_status (*list) (void *state, const char *prefix,
                             clk_time deadline, struct plt_list *list);
    /* Waits until the object's ETag differs from ETAG ("" for absent).  */
    enum plt_status (*watch) (void *state, const char *key, const char *etag,
                              clk_time deadline, struct plt_object *object);
    void (*destroy) (void *state);
  };

  struct plt_client
  {
    const struct plt_operations *operations;
    void *state;
  };

  /* Opens a client that speaks HTTP to URL, for example
     "http://127.0.0.1:5000".  */
  struct plt_client plt_open_http (const char *url);

  /* Makes calls of an HTTP client end within about a second, as PLT_UNKNOWN,
     once *STOP is not 0; another thread sets it with an atomic store.  A
     process that shuts down thus does not wait for its watch.  */
  void plt_http_stop_on (struct plt_client *client, const int *stop);

  /* Closes a client.  */
  void plt_close (struct plt_client *client);

  /* Frees what a get or watch stored.  */
  void plt_object_close (struct plt_object *object);

  /* Frees what a list stored.  */
  void plt_list_close (struct plt_list *list);

  /* Returns a short sentence for a status, for operators.  */
  const char *plt_describe (enum plt_status status);

#ifdef __cplusplus
}
#endif

#endif
