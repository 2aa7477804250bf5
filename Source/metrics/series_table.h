#ifndef VANILLATILLER_SOURCE_METRICS_SERIES_TABLE_H_
#define VANILLATILLER_SOURCE_METRICS_SERIES_TABLE_H_

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "base/base.h"

namespace vanillatiller {

// Labels of one series: (tenant, service, rank) or (caller, callee, rank).
struct SeriesLabels {
  std::string_view first;
  std::string_view second;
  uint32_t rank = 0;
};

// Series by their labels, at most as many as the capacity. Lookups share the
// lock of one stripe; only the first sample of a label set takes it alone.
template <typename Series>
class SeriesTable {
 public:
  explicit SeriesTable(size_t capacity) : m_capacity(capacity) {}

  // The series of these labels; null if there is no room for it. It lives as
  // long as the table.
  Series* Find(const SeriesLabels& labels) {
    Stripe& stripe = m_stripes[Hash()(labels) % kStripes];
    {
      const std::shared_lock lock(stripe.mutex);
      const auto found = stripe.series.find(labels);
      if (found != stripe.series.end()) return found->second.get();
    }
    const std::unique_lock lock(stripe.mutex);
    const auto found = stripe.series.find(labels);
    if (found != stripe.series.end()) return found->second.get();
    if (m_size.fetch_add(1) >= m_capacity) {
      --m_size;
      return nullptr;
    }
    const Key key{std::string(labels.first), std::string(labels.second),
                  labels.rank};
    return stripe.series.emplace(key, std::make_unique<Series>())
        .first->second.get();
  }

  // Calls `visit` with the labels and the series of each.
  template <typename Visitor>
  void ForEach(const Visitor& visit) const {
    for (const Stripe& stripe : m_stripes) {
      const std::shared_lock lock(stripe.mutex);
      for (const auto& [key, series] : stripe.series) {
        visit(SeriesLabels{key.first, key.second, key.rank}, *series);
      }
    }
  }

 private:
  static constexpr size_t kStripes = 16;

  struct Key {
    std::string first;
    std::string second;
    uint32_t rank;
  };

  struct Hash {
    using is_transparent = void;
    size_t operator()(const SeriesLabels& labels) const {
      return MixHash(MixHash(HashBytes(labels.first), HashBytes(labels.second)),
                     labels.rank);
    }
    size_t operator()(const Key& key) const {
      return (*this)(SeriesLabels{key.first, key.second, key.rank});
    }
  };

  struct Equal {
    using is_transparent = void;
    template <typename Left, typename Right>
    bool operator()(const Left& left, const Right& right) const {
      return left.rank == right.rank && left.first == right.first &&
             left.second == right.second;
    }
  };

  struct Stripe {
    mutable std::shared_mutex mutex;
    absl::flat_hash_map<Key, std::unique_ptr<Series>, Hash, Equal> series;
  };

  const size_t m_capacity;
  std::atomic<size_t> m_size{0};
  std::array<Stripe, kStripes> m_stripes;
};

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_METRICS_SERIES_TABLE_H_
