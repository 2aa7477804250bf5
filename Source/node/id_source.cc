#include "node/id_source.h"

#include <array>
#include <random>

namespace vanillatiller {

IdSource::IdSource() {
  std::random_device device;
  std::array<uint32_t, 16> words;
  for (uint32_t& word : words) word = device();
  std::seed_seq seed(words.begin(), words.end());
  m_generator.seed(seed);
}

uint64_t IdSource::NextWord() {
  const std::lock_guard lock(m_mutex);
  return m_generator();
}

WideId IdSource::Next() {
  const std::lock_guard lock(m_mutex);
  return WideId{m_generator() | 1, m_generator()};
}

}  // namespace vanillatiller
