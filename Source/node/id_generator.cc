#include "node/id_generator.h"

#include <array>
#include <random>

namespace vanillatiller {

IdGenerator::IdGenerator() {
  std::random_device device;
  std::array<uint32_t, 16> words;
  for (uint32_t& word : words) word = device();
  std::seed_seq seed(words.begin(), words.end());
  m_generator.seed(seed);
}

uint64_t IdGenerator::NextRandom64() {
  const std::lock_guard lock(m_mutex);
  return m_generator();
}

WideId IdGenerator::NextId() {
  const std::lock_guard lock(m_mutex);
  return WideId{m_generator() | 1, m_generator()};
}

}  // namespace vanillatiller
