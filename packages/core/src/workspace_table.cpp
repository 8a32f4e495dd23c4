#include <jujubecart/core/workspace_table.hpp>

#include <cstring>
#include <openssl/sha.h>

namespace jujubecart::core {

std::string ApiKeyDigest::shortText() const {
  constexpr std::size_t ShownBytes = 4;
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (std::size_t Index = 0; Index < ShownBytes; ++Index) {
    Out += Digits[Bytes[Index] >> 4];
    Out += Digits[Bytes[Index] & 0xf];
  }
  return Out;
}

ApiKeyDigest digestOf(std::string_view Key) {
  ApiKeyDigest Out;
  static_assert(sizeof Out.Bytes == SHA256_DIGEST_LENGTH);
  ::SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
           Out.Bytes.data());
  return Out;
}

WorkspaceTable::WorkspaceTable(std::vector<Entry> List)
    : Configured(true), Entries(std::move(List)) {
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    ByHash.emplace(Entries[Index].Item.hash(), Index);
    for (const ApiKeyDigest &Key : Entries[Index].Keys)
      ByKey.emplace(Key, Index);
  }
}

// The time of the lookup depends only on the digest, whose bytes say nothing
// about how similar two keys are.
const Workspace *WorkspaceTable::find(std::string_view Key) const {
  return find(digestOf(Key));
}

const Workspace *WorkspaceTable::find(const ApiKeyDigest &Digest) const {
  const auto Found = ByKey.find(Digest);
  return Found == ByKey.end() ? nullptr : &Entries[Found->second].Item;
}

const Workspace *WorkspaceTable::findByHash(std::uint64_t Hash) const noexcept {
  const auto Found = ByHash.find(Hash);
  return Found == ByHash.end() ? nullptr : &Entries[Found->second].Item;
}

std::size_t WorkspaceTable::DigestHash::operator()(
    const ApiKeyDigest &Digest) const noexcept {
  std::size_t Out = 0;
  std::memcpy(&Out, Digest.Bytes.data(), sizeof Out);
  return Out;
}

} // namespace jujubecart::core
