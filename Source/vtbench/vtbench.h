#ifndef VANILLATILLER_SOURCE_VTBENCH_VTBENCH_H_
#define VANILLATILLER_SOURCE_VTBENCH_VTBENCH_H_

// Public header of the load generation and experiment library.

#include "vtbench/arrival_schedule.h"  // IWYU pragma: export
#include "vtbench/caller.h"            // IWYU pragma: export
#include "vtbench/execution_audit.h"   // IWYU pragma: export
#include "vtbench/experiment.h"        // IWYU pragma: export
#include "vtbench/fault_driver.h"      // IWYU pragma: export
#include "vtbench/fleet_plan.h"        // IWYU pragma: export
#include "vtbench/load_driver.h"       // IWYU pragma: export
#include "vtbench/report.h"            // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_VTBENCH_VTBENCH_H_
