#ifndef VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSIS_H_
#define VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSIS_H_

// Public header of the diagnosis library: decides for each edge of the call
// graph and each rank whether overload or the network is at fault, and where
// the overload begins.

#include "diagnosis/diagnoser.h"  // IWYU pragma: export
#include "diagnosis/evidence.h"   // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_DIAGNOSIS_DIAGNOSIS_H_
