#ifndef VANILLATILLER_SOURCE_BASE_HASH_H_
#define VANILLATILLER_SOURCE_BASE_HASH_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillatiller {

// 64-bit XXH3 hash. Not for authentication.
uint64_t HashBytes(std::string_view bytes);

// Hash of two words; its result depends on their order.
uint64_t MixHash(uint64_t first, uint64_t second);

// Weight of `member` for `key` in rendezvous hashing: the member with the
// largest weight is chosen.
uint64_t RendezvousWeight(std::string_view key, std::string_view member);

using Sha256Digest = std::array<uint8_t, 32>;

Sha256Digest Sha256(std::string_view bytes);

// HMAC-SHA256 of `bytes`.
Sha256Digest HmacSha256(std::string_view key, std::string_view bytes);

// Lower-case hexadecimal digits.
std::string ToHex(std::string_view bytes);
std::string ToHex(const Sha256Digest& digest);

}  // namespace vanillatiller

#endif  // VANILLATILLER_SOURCE_BASE_HASH_H_
