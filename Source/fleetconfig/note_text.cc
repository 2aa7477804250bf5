#include <algorithm>
#include <tuple>

#include "absl/strings/escaping.h"
#include "fleetconfig/item_fields.h"
#include "fleetconfig/release_note.h"
#include "fleetconfig/toml_writer.h"

namespace vanillatiller {
namespace {

constexpr std::string_view kLinkArrow = "->";

std::optional<ItemKind> KindByName(std::string_view name) {
  for (int i = 0; i <= static_cast<int>(ItemKind::kMethod); ++i) {
    const auto kind = static_cast<ItemKind>(i);
    if (ItemKindName(kind) == name) return kind;
  }
  return std::nullopt;
}

// Reads the header and the items of a note.
class NoteReader {
 public:
  NoteReader(TomlReader* reader, ReleaseNote* note)
      : m_reader(reader), m_note(note) {}

  void Read(const toml::table& root) {
    m_reader->CheckFields(root, {"base_version", "base_digest", "version",
                                 "digest", "added", "changed", "withdrawn"});
    ReadVersion(root, "base_version", 0, &m_note->base_version);
    ReadDigest(root, "base_digest", &m_note->base_digest);
    ReadVersion(root, "version", 1, &m_note->version);
    ReadDigest(root, "digest", &m_note->digest);
    m_note->base_location = FieldLocation(root, "base_version");
    m_note->version_location = FieldLocation(root, "version");
    m_note->digest_location = FieldLocation(root, "digest");
    for (const NoteAction action :
         {NoteAction::kAdded, NoteAction::kChanged, NoteAction::kWithdrawn}) {
      m_reader->ForEach(
          root, NoteActionName(action),
          [&](const toml::table& table) { ReadItem(table, action); });
    }
  }

 private:
  static SourceLocation FieldLocation(const toml::table& root,
                                      std::string_view key) {
    const toml::node* node = root.get(key);
    return node == nullptr ? SourceLocation{} : LocationOf(*node);
  }

  void ReadVersion(const toml::table& root, std::string_view key, int64_t low,
                   uint64_t* out) {
    if (m_reader->Require(root, key) == nullptr) return;
    m_reader->ReadInteger(root, key, low, INT64_MAX, out);
  }

  void ReadDigest(const toml::table& root, std::string_view key,
                  Sha256Digest* out) {
    std::string digits;
    m_reader->ReadString(root, key, &digits);
    if (digits.empty()) return;
    const bool is_hex =
        digits.size() == 2 * out->size() &&
        std::ranges::all_of(digits, [](char c) {
          return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        });
    if (!is_hex) {
      m_reader->Report(root.get(key)->source(),
                       "field \"" + std::string(key) +
                           "\": expected 64 lower-case hexadecimal digits");
      return;
    }
    const std::string bytes = absl::HexStringToBytes(digits);
    std::ranges::copy(bytes, out->begin());
  }

  void ReadItem(const toml::table& table, NoteAction action) {
    NoteItem item;
    item.action = action;
    item.location = LocationOf(table);
    std::string kind_name;
    m_reader->ReadString(table, "kind", &kind_name);
    m_reader->ReadString(table, "name", &item.name);
    if (kind_name.empty()) return;
    const auto kind = KindByName(kind_name);
    if (!kind) {
      m_reader->Report(table.get("kind")->source(),
                       "field \"kind\": expected chain, rank, tenant, region, "
                       "failure_domain, link, service or method, found \"" +
                           kind_name + "\"");
      return;
    }
    item.kind = *kind;
    if (action == NoteAction::kWithdrawn) {
      m_reader->CheckFields(table, {"kind", "name"});
    } else {
      m_reader->CheckFields(table, {"kind", "name"}, FieldNames(*kind));
      RequireOptionalFields(table, *kind);
      ReadItemFields(table, &item);
    }
    m_note->items.push_back(std::move(item));
  }

  // ReadFields itself requires the skipped fields; checking them here as well
  // would report them twice.
  void RequireOptionalFields(const toml::table& table, ItemKind kind) {
    for (const std::string_view field : FieldNames(kind)) {
      if (field == "region" || field == "bytes_per_second") continue;
      if (field == "rank") continue;
      m_reader->Require(table, field);
    }
  }

  template <typename T>
  void ReadNamed(const toml::table& table, NoteItem* item) {
    T fields;
    fields.name = item->name;
    ReadFields(*m_reader, table, &fields);
    item->fields = std::move(fields);
  }

  void ReadItemFields(const toml::table& table, NoteItem* item) {
    switch (item->kind) {
      case ItemKind::kChain:
        ReadFields(*m_reader, table, &item->fields.emplace<ChainConfig>());
        break;
      case ItemKind::kRank:
        ReadNamed<RankConfig>(table, item);
        break;
      case ItemKind::kTenant:
        ReadNamed<TenantConfig>(table, item);
        break;
      case ItemKind::kRegion:
        ReadNamed<RegionConfig>(table, item);
        break;
      case ItemKind::kFailureDomain:
        ReadNamed<FailureDomainConfig>(table, item);
        break;
      case ItemKind::kLink:
        ReadLink(table, item);
        break;
      case ItemKind::kService:
        ReadFields(*m_reader, table, &item->fields.emplace<ServiceFields>());
        break;
      case ItemKind::kMethod:
        ReadMethod(table, item);
        break;
    }
  }

  void ReadLink(const toml::table& table, NoteItem* item) {
    auto& link = item->fields.emplace<LinkConfig>();
    ReadFields(*m_reader, table, &link);
    if (item->name.empty()) return;
    const size_t arrow = item->name.find(kLinkArrow);
    if (arrow == std::string::npos) {
      m_reader->Report(table.get("name")->source(),
                       "the name of a link has the form \"FROM->TO\"");
      return;
    }
    link.from = item->name.substr(0, arrow);
    link.to = item->name.substr(arrow + kLinkArrow.size());
  }

  void ReadMethod(const toml::table& table, NoteItem* item) {
    auto& method = item->fields.emplace<MethodConfig>();
    ReadFields(*m_reader, table, &method, nullptr);
    std::ranges::sort(method.calls);
    if (item->name.empty()) return;
    const size_t dot = item->name.find('.');
    if (dot == std::string::npos) {
      m_reader->Report(table.get("name")->source(),
                       "the name of a method has the form \"SERVICE.METHOD\"");
      return;
    }
    method.name = item->name.substr(dot + 1);
  }

  TomlReader* m_reader;
  ReleaseNote* m_note;
};

// Writes the fields of an item; a withdrawn item has none.
struct FieldsWriter {
  void operator()(const std::monostate& /*fields*/) const {}
  template <typename T>
  void operator()(const T& fields) const {
    WriteFields(*writer, fields);
  }

  TomlWriter* writer;
};

}  // namespace

std::optional<ReleaseNote> ParseNote(std::string_view text,
                                     std::string_view source,
                                     Findings* findings) {
  const size_t findings_before = findings->size();
  TomlReader reader(source, findings);
  ReleaseNote note;
  ParseToml(reader, text, source, [&](const toml::table& root) {
    NoteReader(&reader, &note).Read(root);
  });
  if (findings->size() != findings_before) return std::nullopt;
  std::ranges::stable_sort(note.items, {}, [](const NoteItem& item) {
    return std::tie(item.action, item.kind, item.name);
  });
  return note;
}

std::string FormatNote(const ReleaseNote& note) {
  std::string text;
  TomlWriter writer(&text);
  writer.Write("base_version", note.base_version);
  writer.Write("base_digest", ToHex(note.base_digest));
  writer.Write("version", note.version);
  writer.Write("digest", ToHex(note.digest));
  for (const NoteItem& item : note.items) {
    writer.ArrayTable(NoteActionName(item.action));
    writer.Write("kind", ItemKindName(item.kind));
    writer.Write("name", item.name);
    std::visit(FieldsWriter{&writer}, item.fields);
  }
  return text;
}

}  // namespace vanillatiller
