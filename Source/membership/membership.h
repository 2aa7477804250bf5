#ifndef VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_
#define VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_

// Public header of the membership library: which VMs there are and what is
// known of them.

#include "membership/member.h"  // IWYU pragma: export

#endif  // VANILLATILLER_SOURCE_MEMBERSHIP_MEMBERSHIP_H_
