#ifndef VANILLATILLER_SOURCE_VTSTUB_VTSTUB_H_
#define VANILLATILLER_SOURCE_VTSTUB_VTSTUB_H_

// Public header of the test stubs: a backend server, the platform (its
// configuration service and VM list) and a TCP relay. Each has HTTP controls
// for fault injection.

#include "vtstub/backend_server.h"   // IWYU pragma: export
#include "vtstub/execution_log.h"    // IWYU pragma: export
#include "vtstub/platform_server.h"  // IWYU pragma: export
#include "vtstub/read_limiter.h"     // IWYU pragma: export
#include "vtstub/service_time.h"     // IWYU pragma: export
#include "vtstub/slot_pool.h"        // IWYU pragma: export
#include "vtstub/tcp_relay.h"        // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_VTSTUB_VTSTUB_H_
