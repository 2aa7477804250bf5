#ifndef VANILLATILLER_SOURCE_EVENTIO_EVENTIO_H_
#define VANILLATILLER_SOURCE_EVENTIO_EVENTIO_H_

// Public header of the event-driven I/O library: a single-threaded event loop,
// TCP connections, and an HTTP/1.1 client and server that expose each
// connection's state.

#include "eventio/byte_budget.h"          // IWYU pragma: export
#include "eventio/event_loop.h"           // IWYU pragma: export
#include "eventio/http_client_session.h"  // IWYU pragma: export
#include "eventio/http_message.h"         // IWYU pragma: export
#include "eventio/http_reader.h"          // IWYU pragma: export
#include "eventio/http_server_session.h"  // IWYU pragma: export
#include "eventio/http_session_pool.h"    // IWYU pragma: export
#include "eventio/response_order.h"       // IWYU pragma: export
#include "eventio/tcp_connection.h"       // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_EVENTIO_EVENTIO_H_
