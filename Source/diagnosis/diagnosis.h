#ifndef VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSIS_H_
#define VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSIS_H_

// Public header of the diagnosis library: determines for each edge of the call
// graph and each rank whether failures are caused by overload or by the
// network, and in which service the overload originates.

#include "diagnosis/diagnoser.h"  // IWYU pragma: export
#include "diagnosis/evidence.h"   // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSIS_H_
