#ifndef VANILLATILLER_SOURCE_ROUTING_ROUTING_H_
#define VANILLATILLER_SOURCE_ROUTING_ROUTING_H_

// Public header of the routing library: peer selection for attempts and
// detection of silent connections.

#include "routing/connection_monitor.h"  // IWYU pragma: export
#include "routing/link_budget.h"         // IWYU pragma: export
#include "routing/peer_state.h"          // IWYU pragma: export
#include "routing/routing_table.h"       // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_ROUTING_ROUTING_H_
