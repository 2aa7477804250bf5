#include "eventio/byte_budget.h"

#include <algorithm>
#include <utility>

namespace vanillatiller {
namespace {

// A part of a number of bytes.
struct Part {
  size_t numerator;
  size_t denominator;

  size_t Of(size_t bytes) const { return bytes / denominator * numerator; }
};

// Parts of the capacity.
// All bytes together above which large requests are refused.
constexpr Part kAllWithLargeRequests = {3, 4};
// Ordinary requests that are held whatever else is.
constexpr Part kOrdinaryShare = {1, 8};
// All bytes together above which answers are discarded: large ones, and all.
constexpr Part kAllWithLargeAnswers = {1, 1};
constexpr Part kAllWithAnswers = {5, 4};
// Answers of all kinds above which further large ones are discarded.
constexpr Part kAnswersWithLargeOnes = {1, 2};
constexpr Part kServerAnswers = {1, 4};
constexpr Part kRetainedAnswers = {1, 8};
// Answers of all kinds above which no request begins: none at all, none but the
// urgent ones, and none but those with small answers.
constexpr Part kAnswersForRequests = {1, 4};
constexpr Part kAnswersForUrgentRequests = {3, 8};
constexpr Part kAnswersForSmallRequests = {3, 4};

}  // namespace

void ByteBudget::SetCapacity(size_t capacity) {
  m_capacity = capacity;
  m_limits.fill({});
  if (capacity == kUnlimited) return;
  const auto set = [this](ByteUse use, Limit limit) {
    m_limits[Index(use)] = limit;
  };
  set(ByteUse::kOrdinaryRequest,
      {.share = kOrdinaryShare.Of(capacity), .all = capacity});
  set(ByteUse::kLargeRequest, {.all = kAllWithLargeRequests.Of(capacity)});
  const Limit large_answers = {.answers = kAnswersWithLargeOnes.Of(capacity),
                               .all = kAllWithLargeAnswers.Of(capacity)};
  set(ByteUse::kPeerAnswer, large_answers);
  set(ByteUse::kServerAnswer, {.own = kServerAnswers.Of(capacity),
                               .answers = large_answers.answers,
                               .all = large_answers.all});
  set(ByteUse::kOutput, {.all = kAllWithAnswers.Of(capacity)});
  set(ByteUse::kRetainedAnswer, {.all = kAllWithAnswers.Of(capacity)});
}

bool ByteBudget::HasRoom(ByteUse use, size_t bytes) const {
  const Limit& limit = LimitOf(use);
  const auto fits = [bytes](size_t held, size_t most) {
    return held <= most && bytes <= most - held;
  };
  if (fits(used(use), limit.share)) return true;
  return fits(used(use), limit.own) && fits(AnswerBytes(), limit.answers) &&
         fits(m_used, limit.all);
}

bool ByteBudget::TryTake(ByteUse use, size_t bytes) {
  while (!HasRoom(use, bytes)) {
    const Limit& limit = LimitOf(use);
    const size_t most = std::min({limit.own, limit.answers, limit.all});
    const size_t before = m_used;
    // What is queued for a connection is released later than the connection.
    if (bytes > most || !Reclaim(use) || m_used >= before) return false;
  }
  Take(use, bytes);
  return true;
}

void ByteBudget::Take(ByteUse use, size_t bytes) {
  m_used += bytes;
  m_used_by[Index(use)] += bytes;
}

void ByteBudget::Return(ByteUse use, size_t bytes) {
  m_used -= bytes;
  m_used_by[Index(use)] -= bytes;
}

size_t ByteBudget::AnswerBytes() const {
  return used(ByteUse::kServerAnswer) + used(ByteUse::kPeerAnswer) +
         used(ByteUse::kOutput) + used(ByteUse::kRetainedAnswer);
}

bool ByteBudget::MayBeginRequest(bool is_urgent, bool is_small) const {
  Part part = kAnswersForRequests;
  if (is_urgent) part = kAnswersForUrgentRequests;
  if (is_small) part = kAnswersForSmallRequests;
  return m_capacity == kUnlimited || AnswerBytes() <= part.Of(m_capacity);
}

size_t ByteBudget::RetainedLimit() const {
  return kRetainedAnswers.Of(m_capacity);
}

ByteCharge& ByteCharge::operator=(ByteCharge&& other) noexcept {
  if (this == &other) return *this;
  Resize(0);
  m_budget = other.m_budget;
  m_use = other.m_use;
  m_bytes = std::exchange(other.m_bytes, 0);
  return *this;
}

bool ByteCharge::TryResize(ByteUse use, size_t bytes) {
  if (m_budget == nullptr) return true;
  if (use == m_use && bytes > m_bytes) {
    if (!m_budget->TryTake(use, bytes - m_bytes)) return false;
    m_bytes = bytes;
    return true;
  }
  if (use != m_use && bytes > m_bytes) {
    // Counted as this use for the decision.
    const ByteUse before = std::exchange(m_use, use);
    m_budget->Return(before, m_bytes);
    if (!m_budget->TryTake(use, bytes)) {
      m_budget->Take(before, m_bytes);
      m_use = before;
      return false;
    }
    m_bytes = bytes;
    return true;
  }
  Resize(use, bytes);
  return true;
}

void ByteCharge::Resize(ByteUse use, size_t bytes) {
  if (m_budget == nullptr) return;
  m_budget->Return(m_use, m_bytes);
  m_budget->Take(use, bytes);
  m_use = use;
  m_bytes = bytes;
}

ByteCharge ByteCharge::Split(size_t bytes) {
  ByteCharge part(m_budget, m_use);
  part.m_bytes = std::min(bytes, m_bytes);
  m_bytes -= part.m_bytes;
  return part;
}

HeldBytesPtr Hold(std::string text, ByteBudget* budget, ByteUse use) {
  ByteCharge charge(budget, use);
  charge.Resize(text.capacity());
  return std::make_shared<const HeldBytes>(std::move(text), std::move(charge));
}

}  // namespace vanillatiller
