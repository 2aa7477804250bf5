#ifndef VANILLATILLER_SOURCE_FLEETCONFIG_RELEASE_NOTE_H_
#define VANILLATILLER_SOURCE_FLEETCONFIG_RELEASE_NOTE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"
#include "fleetconfig/config_check.h"
#include "fleetconfig/fleet_config.h"

namespace vanillatiller {

enum class NoteAction : uint8_t { kAdded, kChanged, kWithdrawn };

enum class ItemKind : uint8_t {
  kChain,
  kRank,
  kTenant,
  kRegion,
  kFailureDomain,
  kLink,
  kService,
  kMethod,
};

// "added", "changed" or "withdrawn".
std::string_view NoteActionName(NoteAction action);
// "chain", "rank", ..., as in the field `kind` of a note.
std::string_view ItemKindName(ItemKind kind);

// A service without its methods, which are items of their own.
struct ServiceFields {
  uint32_t slots = 1;
  uint32_t connections = 1;

  bool operator==(const ServiceFields&) const = default;
};

// The fields of an item; monostate for a withdrawn one.
using ItemFields = std::variant<std::monostate, ChainConfig, RankConfig,
                                TenantConfig, RegionConfig, FailureDomainConfig,
                                LinkConfig, ServiceFields, MethodConfig>;

// One line of a release note.
struct NoteItem {
  NoteAction action = NoteAction::kAdded;
  ItemKind kind = ItemKind::kRank;
  // "service.method" for a method, "from->to" for a link, "chain" for the
  // chain, and the name of the item otherwise.
  std::string name;
  ItemFields fields;
  // Where the item stands in the text of its note; not compared.
  SourceLocation location;

  bool operator==(const NoteItem& other) const {
    return action == other.action && kind == other.kind && name == other.name &&
           fields == other.fields;
  }
};

// A change of the configuration value from one version to another. It is what
// operators write and also the delta that nodes send to each other.
struct ReleaseNote {
  uint64_t base_version = 0;
  Sha256Digest base_digest{};
  uint64_t version = 0;
  Sha256Digest digest{};
  // Sorted by action, kind and name.
  std::vector<NoteItem> items;
  // Where base_version, version and digest stand in the text; not compared.
  SourceLocation base_location;
  SourceLocation version_location;
  SourceLocation digest_location;

  bool operator==(const ReleaseNote& other) const {
    return base_version == other.base_version &&
           base_digest == other.base_digest && version == other.version &&
           digest == other.digest && items == other.items;
  }
};

// How a note relates to the value in force.
enum class NoteApplicability : uint8_t {
  // The note was made on this value.
  kApplicable,
  // The value is the one that the note leads to.
  kAlreadyApplied,
  // The value has the note's version but another digest: another note was
  // applied to the same base.
  kConflicting,
  // The value is newer than the one that the note leads to, or than its base.
  kSuperseded,
  // The value is older than the note's base.
  kBaseMissing,
  // The value has the version of the note's base but another digest.
  kBaseDiffers,
};

// "applicable", "in-force", "rival", "overtaken", "base-missing" or
// "base-differs".
std::string_view NoteApplicabilityName(NoteApplicability applicability);

NoteApplicability ClassifyNote(uint64_t version, const Sha256Digest& digest,
                               const ReleaseNote& note);

// One sentence for people: what is wrong with applying `note` to this value
// and what to do. Empty for kApplicable.
std::string DescribeApplicability(NoteApplicability applicability,
                                  uint64_t version, const Sha256Digest& digest,
                                  const ReleaseNote& note);

// The items of a configuration value, sorted by kind and name, as a note that
// adds them all to nothing would list them.
std::vector<NoteItem> ListItems(const FleetConfig& config);

// The note that leads from `before` to `after`.
ReleaseNote DiffNote(const FleetConfig& before, const FleetConfig& after);

// Parses a note in TOML; every item has all its fields. Returns nullopt if
// there is any finding; all findings are reported, not only the first. Checks
// fields and types only; see CheckNote.
std::optional<ReleaseNote> ParseNote(std::string_view text,
                                     std::string_view source,
                                     Findings* findings);

std::string FormatNote(const ReleaseNote& note);

// Reports everything that keeps `note` from being applied to `base`. An empty
// result means that ApplyNote succeeds. Beyond the checks of CheckFleetConfig
// on the result: the wrong base, items that are added twice, changed or
// withdrawn but unknown, withdrawn while still used, an idempotent flag that
// changes while another method calls that method, a digest that is not the one
// of the result.
Findings CheckNote(const FleetConfig& base, const ReleaseNote& note,
                   std::string_view source);

// Applies `note` to `base` after all checks of CheckNote. The result has the
// digest that the note names; nullopt with findings otherwise.
std::optional<FleetConfig> ApplyNote(const FleetConfig& base,
                                     const ReleaseNote& note,
                                     std::string_view source,
                                     Findings* findings);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_FLEETCONFIG_RELEASE_NOTE_H_
