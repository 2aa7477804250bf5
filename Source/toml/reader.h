#ifndef VANILLATILLER_SOURCE_TOML_READER_H_
#define VANILLATILLER_SOURCE_TOML_READER_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"
#include "toml++/toml.h"

namespace vanillatiller {

// Reads and validates the fields of TOML tables and collects findings.
class TomlReader {
 public:
  TomlReader(std::string_view source, Findings* findings)
      : m_source(source), m_findings(findings) {}

  void Report(const toml::source_region& region, std::string text) {
    m_findings->push_back({std::string(m_source), region.begin.line,
                           region.begin.column, std::move(text)});
  }

  // Reports fields of `table` that are in neither `known` nor `also_known`.
  void CheckFields(const toml::table& table,
                   std::initializer_list<std::string_view> known,
                   std::span<const std::string_view> also_known = {}) {
    for (const auto& [key, value] : table) {
      bool found = false;
      for (const std::string_view name : known) found |= key.str() == name;
      for (const std::string_view name : also_known) found |= key.str() == name;
      if (!found) {
        Report(key.source(),
               "unknown field \"" + std::string(key.str()) + "\"");
      }
    }
  }

  void ReadString(const toml::table& table, std::string_view key,
                  std::string* out) {
    const toml::node* node = Require(table, key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      Report(node->source(), Expected(key, "a non-empty string"));
      return;
    }
    *out = *value;
  }

  template <typename T>
  void ReadInteger(const toml::table& table, std::string_view key, int64_t low,
                   int64_t high, T* out) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<int64_t>();
    if (!value || *value < low || *value > high) {
      Report(node->source(),
             Expected(key, "an integer from " + std::to_string(low) + " to " +
                               std::to_string(high)));
      return;
    }
    *out = static_cast<T>(*value);
  }

  void ReadBool(const toml::table& table, std::string_view key, bool* out) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<bool>();
    if (!value) {
      Report(node->source(), Expected(key, "true or false"));
      return;
    }
    *out = *value;
  }

  void ReadStrings(const toml::table& table, std::string_view key,
                   std::vector<std::string>* out) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Report(node->source(), Expected(key, "an array of strings"));
      return;
    }
    for (const toml::node& item : *array) {
      const auto value = item.value_exact<std::string>();
      if (!value) {
        Report(item.source(), Expected(key, "an array of strings"));
        continue;
      }
      out->push_back(*value);
    }
  }

  // Calls `read` for each element of the array of tables `key`.
  void ForEach(const toml::table& table, std::string_view key,
               const std::function<void(const toml::table&)>& read) {
    const toml::node* node = table.get(key);
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Report(node->source(), Expected(key, "an array of tables"));
      return;
    }
    for (const toml::node& item : *array) {
      const toml::table* element = item.as_table();
      if (element == nullptr) {
        Report(item.source(), Expected(key, "an array of tables"));
        continue;
      }
      read(*element);
    }
  }

  const toml::node* Require(const toml::table& table, std::string_view key) {
    const toml::node* node = table.get(key);
    if (node == nullptr) {
      Report(table.source(), "field \"" + std::string(key) + "\" is missing");
    }
    return node;
  }

 private:
  static std::string Expected(std::string_view key, std::string what) {
    return "field \"" + std::string(key) + "\": expected " + std::move(what);
  }

  std::string_view m_source;
  Findings* m_findings;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_TOML_READER_H_
