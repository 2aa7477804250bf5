#ifndef VANILLATILLER_SOURCE_HTTP_HTTP_H_
#define VANILLATILLER_SOURCE_HTTP_HTTP_H_

// Public header of the http library: the HTTP server and the pool of threads
// that blocking work runs on.

#include "http/http_connection.h"  // IWYU pragma: export
#include "http/http_server.h"      // IWYU pragma: export
#include "http/memory_budget.h"    // IWYU pragma: export
#include "http/worker_pool.h"      // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_HTTP_HTTP_H_
