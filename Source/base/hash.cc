#include "base/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include "absl/strings/escaping.h"

namespace vanillatiller {

uint64_t HashBytes(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

uint64_t MixHash(uint64_t first, uint64_t second) {
  const std::array<uint64_t, 2> words = {first, second};
  return XXH3_64bits(words.data(), sizeof(words));
}

uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  return MixHash(HashBytes(key), HashBytes(member));
}

Sha256Digest Sha256(std::string_view bytes) {
  Sha256Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  return digest;
}

Sha256Digest HmacSha256(std::string_view key, std::string_view bytes) {
  Sha256Digest digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &length);
  return digest;
}

std::string ToHex(std::string_view bytes) {
  return absl::BytesToHexString(absl::string_view(bytes.data(), bytes.size()));
}

std::string ToHex(const Sha256Digest& digest) {
  return ToHex(std::string_view(reinterpret_cast<const char*>(digest.data()),
                                digest.size()));
}

}  // namespace vanillatiller
