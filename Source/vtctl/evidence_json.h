#ifndef VANILLATILLER_SOURCE_VTCTL_EVIDENCE_JSON_H_
#define VANILLATILLER_SOURCE_VTCTL_EVIDENCE_JSON_H_

#include <nlohmann/json.hpp>

#include "diagnosis/diagnosis.h"

namespace vanillatiller {

// Reads the evidence of one node from the part "edges" of its status. Missing
// fields are read as 0.
FleetEvidence EvidenceFromJson(const nlohmann::json& status);

nlohmann::json DiagnosisToJson(const Diagnosis& diagnosis);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_VTCTL_EVIDENCE_JSON_H_
