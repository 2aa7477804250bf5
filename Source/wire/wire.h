#ifndef VANILLATILLER_SOURCE_WIRE_WIRE_H_
#define VANILLATILLER_SOURCE_WIRE_WIRE_H_

// Public header of the wire library: the messages between nodes and their
// conversions to the types of the base library.

#include "wire/conversions.h"  // IWYU pragma: export
#include "wire/credentials.h"  // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_WIRE_WIRE_H_
