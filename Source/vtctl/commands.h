#ifndef VANILLATILLER_SOURCE_VTCTL_COMMANDS_H_
#define VANILLATILLER_SOURCE_VTCTL_COMMANDS_H_

#include "vtctl/command.h"

namespace vanillatiller {

ExitStatus NoteDiff(const Invocation& invocation);
ExitStatus NoteCheck(const Invocation& invocation);
ExitStatus NoteApply(const Invocation& invocation);
ExitStatus ShowStatus(const Invocation& invocation);
ExitStatus ShowMembers(const Invocation& invocation);
ExitStatus ShowHistogram(const Invocation& invocation);
ExitStatus DrainNode(const Invocation& invocation);
ExitStatus Diagnose(const Invocation& invocation);
ExitStatus VerifyNote(const Invocation& invocation);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_COMMANDS_H_
