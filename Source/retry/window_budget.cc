#include "retry/window_budget.h"

#include <algorithm>
#include <chrono>

namespace vanillatiller {
namespace {

// Fraction of a window's allowance that is refilled at a constant rate. The
// rest covers the burst below.
constexpr double kSteadyRefillFraction = 0.85;
// Fraction of a window's allowance that can accumulate for a short failure.
constexpr double kBurstFraction = 0.1;

}  // namespace

WindowBudget::WindowBudget(const WindowBudgetSettings& settings, TimePoint now)
    : m_settings(settings),
      m_bucket_length(settings.window / kBucketsInWindow),
      m_newest_start(now),
      m_tokens(settings.burst),
      m_refilled_at(now) {}

void WindowBudget::Advance(TimePoint now) {
  for (size_t i = 0; i < kBuckets && now >= m_newest_start + m_bucket_length;
       ++i) {
    m_newest = (m_newest + 1) % kBuckets;
    Newest() = {};
    m_newest_start += m_bucket_length;
  }
  // After an idle period longer than all buckets cover, they are empty.
  if (now >= m_newest_start + m_bucket_length) m_newest_start = now;
}

uint32_t WindowBudget::Sum(uint32_t Bucket::*field, size_t newest,
                           size_t oldest) const {
  uint32_t sum = 0;
  for (size_t age = newest; age <= oldest; ++age) {
    sum += m_buckets[(m_newest + kBuckets - age) % kBuckets].*field;
  }
  return sum;
}

uint32_t WindowBudget::ReferenceRequests(size_t age) const {
  constexpr size_t kHalf = kBucketsInWindow / 2;
  // A window may begin anywhere in its bucket, so only buckets that lie within
  // it for every possible start are counted.
  const uint32_t own = age == 0 ? 0 : Sum(&Bucket::requests, 0, age - 1);
  const size_t half_newest = age < kHalf ? 0 : age - kHalf + 1;
  const uint32_t half_before =
      Sum(&Bucket::requests, half_newest, age + kHalf - 1);
  const uint32_t before =
      Sum(&Bucket::requests, age + 1, age + kBucketsInWindow - 1);
  return std::max({own, half_before, before});
}

bool WindowBudget::IsWithinLimit() const {
  uint32_t retries = 1;
  for (size_t age = 0; age <= kBucketsInWindow; ++age) {
    retries += Sum(&Bucket::retries, age, age);
    if (retries >
        m_settings.ratio * ReferenceRequests(age) + m_settings.burst) {
      return false;
    }
  }
  return true;
}

void WindowBudget::RecordRequest(TimePoint now) {
  Advance(now);
  ++Newest().requests;
}

void WindowBudget::RecordRetry(TimePoint now) {
  Advance(now);
  ++Newest().retries;
  m_tokens = std::max(0.0, m_tokens - 1);
}

bool WindowBudget::TrySpend(double priority, TimePoint now) {
  Advance(now);
  const double allowance =
      m_settings.ratio * ReferenceRequests(kBucketsInWindow);
  const double capacity =
      std::max(m_settings.burst, kBurstFraction * allowance);
  if (now > m_refilled_at) {
    const double windows = std::chrono::duration<double>(now - m_refilled_at) /
                           std::chrono::duration<double>(m_settings.window);
    m_tokens = std::min(
        capacity, m_tokens + windows * (kSteadyRefillFraction * allowance +
                                        m_settings.burst));
    m_refilled_at = now;
  }
  // Ignores the priority while at most one token is missing, because a small
  // budget is too coarse to rank retries.
  const bool is_reserved =
      m_tokens < capacity - 1 && m_tokens < priority * capacity;
  if (m_tokens < 1 || is_reserved || !IsWithinLimit()) return false;
  RecordRetry(now);
  return true;
}

}  // namespace vanillatiller
